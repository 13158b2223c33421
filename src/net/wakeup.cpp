#include "net/wakeup.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <mutex>
#include <utility>

namespace pimentograde::net
{

struct wakeup::impl
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool is_notified = false;
};

wakeup::wakeup() : impl_(std::make_unique<impl>()) {}

wakeup::~wakeup() = default;

void wakeup::notify()
{
    if (std::exchange(impl_->is_notified, true))
        return;
    impl_->changed.notify_all();
}

bool wakeup::wait_until(base::time_point deadline)
{
    std::unique_lock lock(impl_->mutex);
    impl_->changed.wait_until(lock, deadline,
                              [&] { return impl_->is_notified; });
    return std::exchange(impl_->is_notified, false);
}

} // namespace pimentograde::net
