#include "node/peer_liveness.hpp"

namespace pimentograde::node
{

namespace
{

// Status queries are answered within milliseconds, also on a busy instance.
constexpr std::chrono::milliseconds silence_limit{400};
constexpr std::chrono::milliseconds probe_interval{250};

} // namespace

void peer_liveness::begin_call(base::time_point now)
{
    if (calls_++ == 0 && !has_timed_out_)
        waiting_since_ = now;
}

void peer_liveness::end_call(bool is_answered, base::time_point now)
{
    --calls_;
    if (is_answered)
        waiting_since_ = now;
    has_timed_out_ = !is_answered;
}

bool peer_liveness::is_silent(base::time_point now) const
{
    return (calls_ > 0 || has_timed_out_) &&
           now - waiting_since_ > silence_limit;
}

bool peer_liveness::should_submit(base::time_point now)
{
    if (!is_silent(now))
        return true;
    if (now - probed_at_ < probe_interval)
        return false;
    probed_at_ = now;
    return true;
}

} // namespace pimentograde::node
