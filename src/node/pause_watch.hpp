#ifndef PIMENTOGRADE_NODE_PAUSE_WATCH_HPP
#define PIMENTOGRADE_NODE_PAUSE_WATCH_HPP

#include "base/time.hpp"

#include <optional>

namespace pimentograde::node
{

/// Tells whether what this process knows may have become outdated while it did
/// not run, for example since its machine was suspended. All times are of the
/// clock that also runs meanwhile.
class pause_watch
{
public:
    /// To be called often: a long time since the last call is a pause. Returns
    /// its length, or zero.
    base::duration note(base::time_point now);
    /// What was asked for at `asked_at` has been answered.
    void note_confirmed(base::time_point asked_at);
    [[nodiscard]] bool is_confirmed() const { return !resumed_at_; }

private:
    std::optional<base::time_point> noted_at_;
    /// End of the last pause, until something asked for later is answered.
    std::optional<base::time_point> resumed_at_;
};

} // namespace pimentograde::node

#endif
