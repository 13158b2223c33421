#ifndef PIMENTOGRADE_NODE_PEER_LIVENESS_HPP
#define PIMENTOGRADE_NODE_PEER_LIVENESS_HPP

#include "base/time.hpp"

namespace pimentograde::node
{

/// Whether another instance answers, from the calls of all fibers to it. After
/// a power loss it stays silent until its lease lapses: new submissions are
/// refused at once instead of waiting for their callers' deadlines, but for one
/// from time to time that shows its return. Answers of any kind count, since a
/// submission may take long while the store is slow.
class peer_liveness
{
public:
    void begin_call(base::time_point now);
    /// `is_answered` is false when the call timed out.
    void end_call(bool is_answered, base::time_point now);
    [[nodiscard]] bool is_silent(base::time_point now) const;
    /// Whether to send a submission now. Returns true for one submission of
    /// each probe interval while the instance is silent.
    bool should_submit(base::time_point now);

private:
    int calls_ = 0;
    bool has_timed_out_ = false;
    /// Since when no call was answered although one was waiting.
    base::time_point waiting_since_{};
    base::time_point probed_at_{};
};

} // namespace pimentograde::node

#endif
