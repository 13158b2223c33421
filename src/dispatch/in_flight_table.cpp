#include "dispatch/in_flight_table.hpp"

#include "net/task_group.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace pimentograde::dispatch
{

struct in_flight_table::impl
{
    std::map<base::work_identity, std::shared_ptr<in_flight_work>> in_flight;
    boost::fibers::mutex mutex;
    /// Notified when any entry completes; `drain` waits for it.
    boost::fibers::condition_variable ended;
    net::task_group fibers;
};

in_flight_table::in_flight_table() : impl_(std::make_unique<impl>()) {}

in_flight_table::~in_flight_table()
{
    impl_->fibers.join();
}

bool in_flight_table::contains(const base::work_identity& identity) const
{
    return impl_->in_flight.contains(identity);
}

std::size_t in_flight_table::size() const
{
    return impl_->in_flight.size();
}

std::shared_ptr<in_flight_work> in_flight_table::join(
    const base::work_identity& identity,
    std::function<base::work_result(const in_flight_work&)> body)
{
    auto& entry = impl_->in_flight[identity];
    if (entry)
    {
        ++entry->submissions;
        return entry;
    }
    entry = std::make_shared<in_flight_work>();
    entry->submissions = 1;
    impl_->fibers.spawn(
        [state = impl_.get(), identity, own = entry, run = std::move(body)]
        {
            own->result = run(*own);
            state->in_flight.erase(identity);
            own->ended.notify_all();
            state->ended.notify_all();
        });
    return entry;
}

std::optional<base::work_result>
in_flight_table::wait(const std::shared_ptr<in_flight_work>& entry,
                      base::time_point deadline)
{
    std::unique_lock lock(impl_->mutex);
    entry->ended.wait_until(lock, deadline,
                            [&] { return entry->result.has_value(); });
    return entry->result;
}

bool in_flight_table::drain(base::time_point deadline)
{
    std::unique_lock lock(impl_->mutex);
    return impl_->ended.wait_until(lock, deadline,
                                   [&] { return impl_->in_flight.empty(); });
}

} // namespace pimentograde::dispatch
