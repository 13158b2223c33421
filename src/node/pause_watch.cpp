#include "node/pause_watch.hpp"

#include <utility>

namespace pimentograde::node
{

namespace
{

// Half of the time in which a new configuration must be applied.
constexpr std::chrono::seconds least_pause{1};

} // namespace

base::duration pause_watch::note(base::time_point now)
{
    const auto before = std::exchange(noted_at_, now);
    if (!before || now - *before < least_pause)
        return base::duration::zero();
    resumed_at_ = now;
    return now - *before;
}

void pause_watch::note_confirmed(base::time_point asked_at)
{
    if (resumed_at_ && asked_at >= *resumed_at_)
        resumed_at_.reset();
}

} // namespace pimentograde::node
