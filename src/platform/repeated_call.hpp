#ifndef PIMENTOGRADE_PLATFORM_REPEATED_CALL_HPP
#define PIMENTOGRADE_PLATFORM_REPEATED_CALL_HPP

#include "base/time.hpp"
#include "net/task_group.hpp"
#include "platform/json_call.hpp"

#include <functional>

namespace pimentograde::platform
{

/// When a call without an answer is sent again.
struct repetition
{
    base::time_point deadline;
    /// Time between two tries.
    base::duration delay{};
    int max_tries = 1;
};

/// Whether the status says that the call was turned away without effect.
bool is_turned_away(const json_response& response);

/// Sends a call whose repetition does no harm, again and beside its earlier
/// tries, until one of them is answered. `send` has to return by the deadline;
/// tries that are still open when another is answered run on in `tries`.
///
/// Throws the error of the last try; with `timeout` when an earlier one may
/// have taken effect, so `effect_unknown` holds for the call as a whole.
json_response send_repeatedly(net::task_group& tries, const repetition& plan,
                              std::function<json_response()> send);

} // namespace pimentograde::platform

#endif
