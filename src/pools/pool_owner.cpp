#include "pools/pool_owner.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "net/task_group.hpp"
#include "net/wakeup.hpp"
#include "pools/collect_delay.hpp"
#include "pools/events.hpp"
#include "pools/job_writer.hpp"
#include "pools/quota_store.hpp"
#include "pools/stored_pool.hpp"
#include "pools/tenant_counters.hpp"
#include "pools/worker_link.hpp"

#include <boost/fiber/operations.hpp>

#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace pimentograde::pools
{

namespace
{

// The planner also runs this often without a change, for pauses that expire.
constexpr std::chrono::milliseconds plan_interval{250};
// Batches changes that arrive together into one plan.
constexpr collect_delay plan_delay{std::chrono::milliseconds(2),
                                   std::chrono::milliseconds(8)};
constexpr std::chrono::milliseconds load_retry_delay{200};
constexpr std::chrono::seconds outage_retry_after{1};
// How often a submission checks whether its job is stored or withdrawn.
constexpr std::chrono::milliseconds stored_check_interval{100};
// The store lists an ended worker until three heartbeats of 1.5 s are missed.
constexpr std::chrono::seconds max_stale_listing_time{6};

std::string_view to_string(submission_answer::kind outcome)
{
    switch (outcome)
    {
    case submission_answer::kind::accepted:
        return "accepted";
    case submission_answer::kind::refused:
        return "refused";
    case submission_answer::kind::other_tenant:
        return "other_tenant";
    case submission_answer::kind::unknown:
        break;
    }
    return "unknown";
}

} // namespace

struct pool_owner::impl
{
    explicit impl(const builder& parts)
        : pool(parts.pool_), fence(parts.revision_), order_fence(fence),
          store(*parts.store_), http(*parts.http_), lease(parts.lease_),
          may_order(parts.may_order_), holds_lease(parts.holds_lease_),
          counters(parts.counters_), by_tenant(parts.counters_),
          lost_hook(parts.lost_), load_hook(parts.load_), state(parts.pool_),
          roster(parts.pool_, parts.key_, parts.revision_, *parts.store_),
          writer(parts.pool_, parts.key_, parts.revision_, state, *parts.store_,
                 roster,
                 {[this](std::string_view reason)
                  { handle_ownership_lost(reason); },
                  [this]
                  {
                      return is_stopping;
                  }}),
          quotas(parts.pool_, parts.key_, parts.revision_, state, *parts.store_,
                 parts.counters_,
                 {[this](std::string_view reason)
                  { handle_ownership_lost(reason); },
                  [this] { return is_stopping; },
                  [this]
                  {
                      plan_wakeup.notify();
                  }})
    {
        state.set_remote_factor(parts.remote_factor_);
        if (parts.near_wait_)
            state.set_near_wait(jobs::decide_locality);
        state.set_worker_speed(parts.worker_speed_);
        state.set_counters(parts.counters_);
        state.set_stop_time(parts.stop_time_);
        state.on_decision([this](const jobs::decision& entry)
                          { log_decision(entry); });
    }

    std::string pool;
    std::int64_t fence;
    /// The highest fence that a link has used.
    std::int64_t order_fence;
    platform::store_client& store;
    net::http_client& http;
    base::duration lease;
    std::function<bool()> may_order;
    std::function<bool()> holds_lease;
    /// Null if nobody counts.
    metrics::registry* counters;
    tenant_counters by_tenant;
    std::function<void(std::string_view)> lost_hook;
    std::function<void()> load_hook;
    bool is_loaded = false;
    bool is_stopping = false;
    bool has_handed_over = false;
    bool is_lost = false;
    std::vector<jobs::worker_description> workers;
    /// Workers that ended because their machine was moved or maintained, with
    /// the time.
    std::map<std::string, base::time_point, std::less<>> ended_workers;
    jobs::pool_state state;
    roster_store roster;
    job_writer writer;
    quota_store quotas;
    std::map<std::string, std::unique_ptr<worker_link>> links;
    /// Links of removed workers, kept until their requests have ended.
    std::vector<std::unique_ptr<worker_link>> closing_links;
    /// Whether `workers` holds the store's list.
    bool has_worker_list = false;
    net::wakeup plan_wakeup;
    net::task_group fibers;

    void log_decision(const jobs::decision& entry) const
    {
        log::write(event_decision, {{"what", entry.what},
                                    {"fence", fence},
                                    {"job", entry.job},
                                    {"task", entry.task},
                                    {"run", entry.run},
                                    {"worker", entry.worker},
                                    {"detail", entry.detail}});
    }
    void handle_ownership_lost(std::string_view reason);
    void changed();
    void load();
    [[nodiscard]] bool withdraw_lease_ends(const stored_pool& stored);
    void inherit_workers(std::span<const jobs::roster_entry> entries);
    void hand_over();
    void plan_loop();
    void plan_once();
    void apply_workers();
    worker_link& link_of(const jobs::worker_description& worker);
    void remove_idle_links();
    submission_answer answer_submission(std::string_view id,
                                        base::time_point deadline);
};

void pool_owner::impl::handle_ownership_lost(std::string_view reason)
{
    if (std::exchange(is_lost, true))
        return;
    is_stopping = true;
    log::write(event_pool_lost,
               {{"pool", pool}, {"fence", fence}, {"reason", reason}});
    changed();
    lost_hook(reason);
}

void pool_owner::impl::changed()
{
    plan_wakeup.notify();
    writer.notify();
    if (is_stopping)
        quotas.notify();
}

void pool_owner::impl::load()
{
    std::optional<stored_pool> stored;
    while (!is_stopping && !stored)
    {
        stored = read_stored_pool(pool, store, roster, load_hook);
        if (!stored)
            boost::this_fiber::sleep_for(load_retry_delay);
    }
    if (is_stopping || !withdraw_lease_ends(*stored))
        return;
    // The workers' reports are compared with the records.
    state.restore_statistics(std::move(stored->statistics));
    state.set_unreadable(restore_jobs(stored->records, pool, state));
    inherit_workers(stored->roster);
    is_loaded = true;
    log::write(event_pool_loaded, {{"pool", pool},
                                   {"fence", fence},
                                   {"jobs", state.job_count()},
                                   {"inherited_workers", links.size()},
                                   {"lists_workers", has_worker_list ? 1 : 0}});
    if (has_worker_list)
        apply_workers();
    fibers.spawn_restarting("store records", [this] { writer.run(); });
    fibers.spawn_restarting("plan", [this] { plan_loop(); });
    fibers.spawn_restarting("grants", [this] { quotas.run(); });
}

// Lease ends in the roster hold for its reader only, who may extend them: if
// this ownership ended without a roster of its own, the next owner would rely
// on them. Returns false when the ownership ends.
bool pool_owner::impl::withdraw_lease_ends(const stored_pool& stored)
{
    std::vector<jobs::roster_entry> entries = stored.roster;
    bool is_needed = false;
    for (jobs::roster_entry& entry : entries)
    {
        is_needed = is_needed || entry.lease_left;
        entry.lease_left.reset();
    }
    while (is_needed && !is_stopping)
    {
        try
        {
            const roster_write result =
                roster.write(entries, stored.statistics);
            if (result == roster_write::stored)
                return true;
            if (result == roster_write::not_owner)
                handle_ownership_lost("the store holds another owner");
        }
        catch (const std::exception& failure)
        {
            log::write(event_load_failed,
                       {{"pool", pool}, {"reason", failure.what()}});
            boost::this_fiber::sleep_for(load_retry_delay);
        }
    }
    return !is_stopping;
}

void pool_owner::impl::inherit_workers(
    std::span<const jobs::roster_entry> entries)
{
    const base::time_point now = base::steady_now();
    // One line, since a takeover logs the runs that it finds, too.
    std::string known;
    for (const auto& entry : entries)
    {
        state.inherit_worker(entry, now + inherited_lease(entry, lease), now);
        link_of(entry.worker);
        known += (known.empty() ? "" : " ") + entry.worker.id + '=' +
                 (entry.runs ? std::to_string(entry.runs->size()) : "unknown");
    }
    if (!entries.empty())
        log_decision({"workers_inherited", {}, {}, 0, {}, known});
}

// Lets the next owner go on without waiting for workers that are silent.
void pool_owner::impl::hand_over()
{
    if (is_loaded && !is_lost && !std::exchange(has_handed_over, true))
        writer.write_final_roster(base::steady_now());
}

worker_link& pool_owner::impl::link_of(const jobs::worker_description& worker)
{
    auto& link = links[worker.id];
    if (link)
        return *link;
    worker_link::hooks hooks;
    hooks.changed = [this]
    {
        changed();
    };
    hooks.stored = [this](std::uint64_t change, base::time_point deadline)
    {
        return writer.wait_stored(change, deadline);
    };
    hooks.fenced_off = [this](std::string_view reason)
    {
        handle_ownership_lost(reason);
    };
    hooks.may_order = [this]
    {
        return !is_stopping && may_order();
    };
    hooks.holds_lease = holds_lease;
    hooks.raise_fence = [this](std::int64_t above, base::time_point deadline)
    {
        writer.wait_owned_after(above, deadline);
        order_fence = writer.owned_revision();
        return order_fence;
    };
    link = std::make_unique<worker_link>(worker, order_fence, lease, state,
                                         http, std::move(hooks));
    link->start();
    return *link;
}

void pool_owner::impl::apply_workers()
{
    std::map<std::string_view, bool> listed;
    for (const auto& worker : workers)
    {
        if (ended_workers.contains(worker.id))
            continue;
        listed[worker.id] = true;
        state.update_worker(worker);
        link_of(worker).update(worker);
    }
    const base::time_point now = base::steady_now();
    for (auto& [id, link] : links)
        if (!listed.contains(id))
            state.unlist_worker(id, now);
    std::erase_if(ended_workers, [now](const auto& entry)
                  { return now - entry.second > max_stale_listing_time; });
    remove_idle_links();
    changed();
}

// Keeps a link while its worker may still run tasks. A worker that is listed
// again gets a new link, since the old one may take seconds to close.
void pool_owner::impl::remove_idle_links()
{
    std::erase_if(closing_links,
                  [](const auto& link) { return link->is_idle(); });
    if (!has_worker_list)
        return;
    const base::time_point now = base::steady_now();
    for (auto entry = links.begin(); entry != links.end();)
    {
        if (!state.can_forget(entry->first, now))
        {
            ++entry;
            continue;
        }
        state.forget_worker(entry->first);
        entry->second->stop();
        closing_links.push_back(std::move(entry->second));
        entry = links.erase(entry);
    }
}

void pool_owner::impl::plan_loop()
{
    while (!is_stopping)
    {
        plan_wakeup.wait_until(base::steady_now() + plan_interval);
        if (is_stopping)
            return;
        boost::this_fiber::sleep_for(plan_delay.at(state.workers().size()));
        plan_once();
    }
}

void pool_owner::impl::plan_once()
{
    for (auto& order : state.take_stops())
        if (const auto link = links.find(order.worker); link != links.end())
            link->second->send(std::move(order));
    if (!may_order())
        return;
    const auto held =
        holds_lease() ? jobs::ownership::exclusive : jobs::ownership::contested;
    for (auto& order : state.plan(base::steady_now(), base::wall_now(), held))
        if (const auto link = links.find(order.worker); link != links.end())
            link->second->send(std::move(order));
    quotas.notify();
    remove_idle_links();
}

submission_answer pool_owner::impl::answer_submission(std::string_view id,
                                                      base::time_point deadline)
{
    using kind = submission_answer::kind;
    const jobs::job* subject = nullptr;
    const auto is_decided = [&]
    {
        subject = state.find_job(id);
        return subject == nullptr || subject->is_stored;
    };
    while (!is_decided())
    {
        const base::time_point now = base::steady_now();
        // The job of another call must not be withdrawn, but this owner ends.
        if (is_stopping)
            return {kind::unknown, {}, "not stored in time"};
        if (writer.is_failing() && state.withdraw(id))
            return {kind::refused, outage_retry_after,
                    "the store refuses writes"};
        if (now >= deadline)
            return state.withdraw(id)
                       ? submission_answer{kind::refused, outage_retry_after,
                                           "not stored in time"}
                       : submission_answer{
                             kind::unknown, {}, "not stored in time"};
        writer.wait_until(
            is_decided,
            std::min<base::time_point>(deadline, now + stored_check_interval));
    }
    // The same job may have been submitted twice, and the other call may have
    // withdrawn it.
    if (subject == nullptr)
        return {kind::refused, outage_retry_after, "the store refused the job"};
    return {kind::accepted, {}, "stored"};
}

std::unique_ptr<pool_owner> pool_owner::builder::build()
{
    return std::unique_ptr<pool_owner>(
        new pool_owner(std::make_unique<impl>(*this)));
}

pool_owner::pool_owner(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

pool_owner::~pool_owner()
{
    quiesce();
    impl_->links.clear();
    impl_->closing_links.clear();
}

void pool_owner::start()
{
    impl_->fibers.spawn([state = impl_.get()] { state->load(); });
}

void pool_owner::quiesce()
{
    impl_->is_stopping = true;
    for (auto& [id, link] : impl_->links)
        link->stop();
    impl_->changed();
    impl_->fibers.join();
    impl_->hand_over();
}

void pool_owner::set_policies(std::span<const jobs::queue_policy> policies)
{
    for (const jobs::queue_policy& policy : policies)
        impl_->state.set_policy(policy);
}

void pool_owner::add_policy(const jobs::queue_policy& policy)
{
    impl_->state.add_policy(policy);
}

void pool_owner::set_tenants(std::span<const jobs::tenant_policy> tenants)
{
    impl_->state.set_tenants(tenants);
    impl_->by_tenant.set_tenants(tenants);
}

void pool_owner::set_workers(std::span<const jobs::worker_description> workers)
{
    impl_->workers.assign(workers.begin(), workers.end());
    impl_->has_worker_list = true;
    if (impl_->is_loaded && !impl_->is_stopping)
        impl_->apply_workers();
}

submission_answer pool_owner::submit(std::string_view id, jobs::job_spec spec,
                                     std::string_view queue,
                                     base::time_point deadline,
                                     admission admitted,
                                     std::string_view tenant)
{
    using kind = submission_answer::kind;
    submission_answer answer{kind::refused, outage_retry_after, {}};
    const base::time_point now = base::steady_now();
    jobs::submit_result result;
    const jobs::job* known = impl_->state.find_job(id);
    const bool is_new = known == nullptr;
    if (!impl_->is_loaded || impl_->is_stopping)
        answer.reason = "the pool is not loaded";
    else if (!is_new && !known->is_accessible_to(tenant))
        answer = {kind::other_tenant, {}, "another tenant's job has the id"};
    else if (impl_->state.is_unreadable(id))
        answer = {kind::unknown, {}, "the job's record cannot be read"};
    else if (is_new && (admitted == admission::known_jobs ||
                        impl_->state.is_denied(id, now)))
        answer = {kind::unknown, {}, "the job may be in another pool"};
    else if (is_new && impl_->writer.is_failing())
        answer.reason = "the store is away";
    else
    {
        result = impl_->state.submit(id, std::move(spec), queue, now,
                                     base::wall_now(), tenant);
        if (result.outcome == jobs::submit_result::kind::refused)
            answer = {kind::refused, result.admission.retry_after,
                      result.admission.exceeds_share
                          ? "the tenant exceeds its share"
                          : "the backlog is too long"};
        else
        {
            impl_->changed();
            answer = impl_->answer_submission(id, deadline);
        }
        if (is_new && answer.outcome == kind::accepted)
            impl_->by_tenant.note_accepted(tenant, result.is_excess);
        else if (is_new && answer.outcome == kind::refused)
            impl_->by_tenant.note_refused(tenant, result.is_excess);
    }
    log::write(event_submission,
               {{"job", id},
                {"queue", queue},
                {"tenant", tenant},
                {"is_excess", result.is_excess ? 1 : 0},
                {"pool", impl_->pool},
                {"outcome", to_string(answer.outcome)},
                {"reason", answer.reason},
                {"expected_wait_s", result.admission.expected_wait},
                {"took_ms", base::count_millis(base::steady_now() - now)}});
    return answer;
}

job_answer pool_owner::status(std::string_view id) const
{
    using kind = job_answer::kind;
    if (!impl_->is_loaded || impl_->is_stopping)
        return {kind::unavailable, {}};
    if (const auto status = impl_->state.status_of(id))
        return {kind::found, *status};
    if (impl_->state.is_unreadable(id))
        return {kind::unavailable, {}};
    // A job that is still being stored is reported as unavailable: it may yet
    // be withdrawn.
    return {impl_->state.find_job(id) == nullptr ? kind::absent
                                                 : kind::unavailable,
            {}};
}

job_answer pool_owner::status_before_submission(std::string_view id)
{
    const job_answer answer = status(id);
    if (answer.outcome == job_answer::kind::absent)
        impl_->state.deny(id, base::steady_now());
    return answer;
}

job_answer pool_owner::cancel(std::string_view id, base::time_point deadline)
{
    using kind = job_answer::kind;
    if (!impl_->is_loaded || impl_->is_stopping ||
        impl_->state.is_unreadable(id))
        return {kind::unavailable, {}};
    if (!impl_->state.cancel(id, base::wall_now()))
    {
        impl_->state.deny(id, base::steady_now());
        return {kind::absent, {}};
    }
    impl_->changed();
    const bool is_stored =
        impl_->writer.wait_stored(impl_->state.change_number(), deadline);
    return {is_stored ? kind::found : kind::unavailable,
            jobs::reported_status::cancelled};
}

std::optional<int> pool_owner::pending(std::string_view queue) const
{
    if (!impl_->is_loaded || impl_->is_stopping)
        return std::nullopt;
    return impl_->state.pending(queue);
}

bool pool_owner::release_worker(std::string_view worker, base::duration hold)
{
    // The next owner may have started tasks there.
    if (!impl_->is_loaded || impl_->is_stopping || !impl_->holds_lease())
        return false;
    const base::time_point now = base::steady_now();
    const bool is_released =
        impl_->state.prepare_leave(worker, now + hold, now);
    impl_->plan_wakeup.notify();
    return is_released;
}

void pool_owner::set_leaving_soon(std::span<const std::string> workers)
{
    impl_->state.set_leaving_soon(workers);
}

void pool_owner::end_worker(std::string_view worker)
{
    if (!impl_->is_loaded || impl_->is_stopping)
        return;
    const base::time_point now = base::steady_now();
    if (!impl_->state.end_worker(worker, now, base::wall_now()))
        return;
    impl_->ended_workers.emplace(worker, now);
    impl_->apply_workers();
}

const std::string& pool_owner::pool() const
{
    return impl_->pool;
}

std::int64_t pool_owner::fence() const
{
    return impl_->fence;
}

bool pool_owner::is_loaded() const
{
    return impl_->is_loaded;
}

bool pool_owner::answers_callers() const
{
    return impl_->is_loaded && !impl_->is_stopping;
}

const jobs::pool_state& pool_owner::state() const
{
    return impl_->state;
}

} // namespace pimentograde::pools
