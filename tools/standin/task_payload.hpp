#ifndef PIMENTOGRADE_STANDIN_TASK_PAYLOAD_HPP
#define PIMENTOGRADE_STANDIN_TASK_PAYLOAD_HPP

#include "base/task_size.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::standin
{

/// What a task's payload tells the worker to do. All fields are optional:
/// `{"sleep_ms":50,"answer":"x","fail":false,"checkpointable":true,
/// "answer_bytes":0,"use":{"cores":1,"memory_mb":100,"accelerators":0}}`.
struct task_payload
{
    base::duration work{};
    /// Repeated in the answer, so that a mix-up of answers is visible.
    std::string token;
    bool fail = false;
    bool checkpointable = true;
    /// The answer is padded to at least this size.
    std::size_t answer_bytes = 0;
    /// What the usage report shows; the declared size when not set.
    std::optional<base::task_size> use;
};

/// A payload that is not a JSON object, or a field of another type, counts as
/// absent: such a task ends at once.
task_payload parse_task_payload(std::string_view text);

} // namespace pimentograde::standin

#endif
