#include "dispatch/flight_table.hpp"

#include "net/task_group.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace pimentograde::dispatch
{

struct flight_table::impl
{
    std::map<base::work_identity, std::shared_ptr<flight>> flights;
    boost::fibers::mutex mutex;
    /// Notified when any entry completes; `drain` waits for it.
    boost::fibers::condition_variable ended;
    net::task_group fibers;
};

flight_table::flight_table() : impl_(std::make_unique<impl>()) {}

flight_table::~flight_table()
{
    impl_->fibers.join();
}

bool flight_table::contains(const base::work_identity& identity) const
{
    return impl_->flights.contains(identity);
}

std::size_t flight_table::size() const
{
    return impl_->flights.size();
}

std::shared_ptr<flight>
flight_table::join(const base::work_identity& identity,
                   std::function<base::work_result(const flight&)> body)
{
    auto& slot = impl_->flights[identity];
    if (slot)
    {
        ++slot->submissions;
        return slot;
    }
    slot = std::make_shared<flight>();
    slot->submissions = 1;
    impl_->fibers.spawn(
        [state = impl_.get(), identity, own = slot, run = std::move(body)]
        {
            own->result = run(*own);
            state->flights.erase(identity);
            own->ended.notify_all();
            state->ended.notify_all();
        });
    return slot;
}

std::optional<base::work_result>
flight_table::wait(const std::shared_ptr<flight>& of, base::time_point deadline)
{
    std::unique_lock lock(impl_->mutex);
    of->ended.wait_until(lock, deadline,
                         [&] { return of->result.has_value(); });
    return of->result;
}

bool flight_table::drain(base::time_point deadline)
{
    std::unique_lock lock(impl_->mutex);
    return impl_->ended.wait_until(lock, deadline,
                                   [&] { return impl_->flights.empty(); });
}

} // namespace pimentograde::dispatch
