#include "entry/worker_watch.hpp"

#include "base/error.hpp"
#include "net/task_group.hpp"
#include "policy/events.hpp"

#include <set>
#include <utility>

namespace pimentograde::entry
{

namespace
{

// Well below the 3 s after which a leaving worker may get no new work.
constexpr std::chrono::seconds list_interval{1};
constexpr std::chrono::seconds report_interval{2};
constexpr std::chrono::milliseconds call_limit{500};

} // namespace

struct worker_watch::impl
{
    hooks calls;
    net::stop_signal stopping;
    net::task_group fibers;
    std::set<base::worker_id> listed_leaving;

    void run_reports();
    void run_list();
    void read_report(const provider::worker_endpoint& worker);
    void read_list();
    void report_overdue();
    /// Overdue loans that were logged already.
    std::set<std::string> reported_loans;
};

void worker_watch::impl::report_overdue()
{
    std::set<std::string> overdue;
    for (const auto& grant : calls.slots->overdue_loans())
    {
        overdue.insert(grant.id);
        if (!reported_loans.contains(grant.id))
            log::write(policy::event_loan_overdue,
                       {{"pool", grant.pool.str()},
                        {"worker", grant.worker.str()},
                        {"grant", grant.id}});
    }
    reported_loans = std::move(overdue);
}

void worker_watch::impl::read_report(const provider::worker_endpoint& worker)
{
    try
    {
        calls.slots->record_report(
            worker.id,
            calls.workers.report(worker, base::steady_now() + call_limit));
    }
    catch (const base::error&)
    {
        // A worker that does not answer is found by its outcomes and by the
        // planner.
    }
}

void worker_watch::impl::run_reports()
{
    while (!stopping.wait_for(report_interval))
    {
        const auto bundle = calls.bundle();
        if (!bundle)
            continue;
        net::task_group round;
        for (const auto& worker : bundle->workers)
            if (calls.is_mine(worker.id))
                round.spawn([this, peer = provider::worker_endpoint{
                                       worker.id,
                                       worker.address}] { read_report(peer); });
        round.join();
        report_overdue();
    }
}

void worker_watch::impl::read_list()
{
    std::set<base::worker_id> leaving;
    for (const auto& instance :
         calls.instances.list(base::steady_now() + call_limit))
        if (instance.state == provider::listed_state::leaving)
            leaving.insert(instance.id);
    for (const auto& worker : leaving)
        calls.slots->record_leaving(worker,
                                    policy::leaving_source::instance_list, 0);
    for (const auto& worker : listed_leaving)
        if (!leaving.contains(worker))
            calls.slots->clear_leaving(worker,
                                       policy::leaving_source::instance_list);
    listed_leaving = std::move(leaving);
}

void worker_watch::impl::run_list()
{
    while (!stopping.wait_for(list_interval))
    {
        try
        {
            read_list();
        }
        catch (const base::error&)
        {
            // The planner logs an unreadable list; the other signals count.
        }
    }
}

worker_watch::worker_watch(hooks calls) : impl_(std::make_unique<impl>())
{
    impl_->calls = std::move(calls);
}

worker_watch::~worker_watch()
{
    stop();
}

void worker_watch::start()
{
    impl_->fibers.spawn_restarting("read worker reports",
                                   [this] { impl_->run_reports(); });
    impl_->fibers.spawn_restarting("read instance list",
                                   [this] { impl_->run_list(); });
}

void worker_watch::stop()
{
    impl_->stopping.set();
    impl_->fibers.join();
}

} // namespace pimentograde::entry
