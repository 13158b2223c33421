#ifndef PIMENTOGRADE_NET_WAKEUP_HPP
#define PIMENTOGRADE_NET_WAKEUP_HPP

#include "base/time.hpp"

#include <memory>

namespace pimentograde::net
{

/// Wakes fibers of the same thread that wait for a change of state. A
/// notification without a waiting fiber is kept for the next one.
class wakeup
{
public:
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    void notify();
    /// Returns whether it was notified before `deadline`.
    bool wait_until(base::time_point deadline);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::net

#endif
