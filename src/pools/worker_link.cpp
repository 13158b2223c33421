#include "pools/worker_link.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "pools/collect_delay.hpp"
#include "pools/events.hpp"
#include "pools/ownership_times.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::pools
{

namespace
{

// How long a worker may hold a poll until a run ends: short enough to detect a
// dead connection while tasks run, longer if no task ends soon.
constexpr std::chrono::milliseconds active_poll_wait{600};
constexpr std::chrono::milliseconds steady_poll_wait{900};
constexpr std::chrono::milliseconds recent_starts_poll_wait{150};
constexpr int polls_per_lease = 3;
// Runs outlive a silence of four fifths of their lease.
constexpr int extensions_per_lease = 7;
// Time that a poll may take beyond its wait.
constexpr std::chrono::milliseconds poll_timeout_slack{700};
constexpr std::chrono::milliseconds min_poll_timeout{100};
// Batches ends of runs that arrive together into one poll, since each poll has
// a cost.
constexpr collect_delay poll_interval{std::chrono::milliseconds(80),
                                      std::chrono::milliseconds(120)};
constexpr std::chrono::milliseconds poll_retry_delay{120};
constexpr std::chrono::milliseconds replaced_poll_delay{500};
// How long an idle link waits unless it is notified.
constexpr std::chrono::seconds idle_wait{5};
constexpr std::chrono::milliseconds order_timeout{450};
constexpr std::chrono::milliseconds order_storage_timeout{1000};
// While the store is unavailable or slow, ended runs stay listed and each poll
// returns at once, so polls are spaced by this interval.
constexpr std::chrono::milliseconds unstored_poll_interval{250};
// Ends are acknowledged only this soon after a report: a later incarnation of
// the worker, whose numbers begin anew, would forget ends that nobody has read.
constexpr std::chrono::milliseconds max_acknowledge_delay{500};

} // namespace

worker_link::worker_link(jobs::worker_description worker, std::int64_t fence,
                         base::duration lease, jobs::pool_state& state,
                         net::http_client& http, hooks functions)
    : worker_(std::move(worker)), fence_(fence), lease_(lease), state_(state),
      client_(http), hooks_(std::move(functions)), known_at_(target().where)
{
}

worker_link::~worker_link()
{
    stop();
    fibers_.join();
}

void worker_link::start()
{
    fibers_.spawn_restarting("look at worker", [this] { poll_loop(); });
    fibers_.spawn_restarting("order worker", [this] { order_loop(); });
}

void worker_link::stop()
{
    is_stopping_ = true;
    poll_wakeup_.notify();
    order_wakeup_.notify();
}

// The list may be older or newer than what the worker itself has said, so a
// restart that it shows is checked at the worker.
void worker_link::update(const jobs::worker_description& worker)
{
    if (worker == worker_)
        return;
    const bool may_have_restarted =
        worker.born_ms != 0 && born_ms_ != 0 && worker.born_ms != born_ms_;
    worker_ = worker;
    if (may_have_restarted)
    {
        orders_.emplace_front(restart_check{});
        order_wakeup_.notify();
    }
    poll_wakeup_.notify();
}

void worker_link::send(jobs::start_order order)
{
    orders_.emplace_back(std::move(order));
    order_wakeup_.notify();
}

void worker_link::send(jobs::stop_order order)
{
    orders_.emplace_back(std::move(order));
    order_wakeup_.notify();
}

platform::order_target worker_link::target() const
{
    return {*net::parse_endpoint(worker_.address), worker_.id, fence_,
            hooks_.may_order};
}

// Asked right before the order is sent, when its connection is open.
bool worker_link::may_send(const jobs::start_order& order) const
{
    return hooks_.may_order() &&
           (!order.needs_exclusive_ownership || hooks_.holds_lease());
}

bool worker_link::has_old_clock(base::time_point now) const
{
    return clock_ms_ > 0 && now - clock_read_at_ >= max_clock_age;
}

worker_link::extension worker_link::extend_lease(base::time_point now,
                                                 base::duration length,
                                                 jobs::extension_kind kind)
{
    const extension sent{
        lease_bound_.note_sent(now, longest_lease(length), kind),
        earliest_clock(clock_ms_, now - clock_read_at_) +
            base::count_millis(length)};
    lease_until_ms_ = std::max(lease_until_ms_, sent.until_ms);
    lease_bound_.forget_before(now);
    note_lease_end();
    return sent;
}

// The lease of a worker that does not answer must be able to lapse: each
// extension would postpone the time from which its runs count as lost.
bool worker_link::is_extension_due(base::time_point now) const
{
    return clock_ms_ > 0 && !has_failed_ && needs_poll() &&
           now - extended_at_ >=
               extension_length(lease_) / extensions_per_lease;
}

void worker_link::note_answered(const extension& sent)
{
    if (sent.number != 0)
        lease_bound_.note_answered(sent.number);
}

void worker_link::note_failed(const extension& sent, bool may_arrive)
{
    if (may_arrive)
        lease_bound_.note_failed(sent.number);
    else
        note_answered(sent);
}

void worker_link::note_lease_end()
{
    state_.set_lease_end(
        worker_.id,
        lease_bound_.ends_by(known_lease_end(),
                             state_.leaves_unanswered(clock_read_at_)));
}

base::time_point worker_link::known_lease_end() const
{
    const auto left = std::chrono::milliseconds(
        std::max<std::int64_t>(lease_until_ms_ - clock_ms_, 0));
    return clock_read_at_ + longest_lease(left);
}

bool worker_link::is_recorded() const
{
    const auto found = state_.workers().find(worker_.id);
    return found != state_.workers().end() &&
           found->second.recorded == jobs::roster_mark::with_starts;
}

bool worker_link::needs_poll() const
{
    const auto& workers = state_.workers();
    const auto found = workers.find(worker_.id);
    return found != workers.end() &&
           (!found->second.knowledge.has_reported() ||
            !found->second.runs.empty() || found->second.lists_other_runs ||
            !found->second.is_reachable || unstored_ ||
            acknowledged_end_ < forgettable_end(base::steady_now()));
}

base::duration worker_link::poll_wait() const
{
    const auto found = state_.workers().find(worker_.id);
    if (found == state_.workers().end() ||
        !found->second.knowledge.has_reported())
        return base::duration::zero();
    const auto& runs = found->second.runs;
    // The next task of a step can be moved once the previous one runs again, so
    // long-running tasks that are still starting are polled as often as short
    // tasks.
    const bool is_steady = std::all_of(
        runs.begin(), runs.end(),
        [&](const auto& entry)
        {
            const jobs::job* subject = state_.find_job(entry.first.job);
            return subject != nullptr && subject->spec.is_long_running() &&
                   state_.is_serving(entry.first);
        });
    // Polls several times within a lease, so that one failure does not end it.
    // The next suspect of a crash starts once the worker has survived this one.
    if (found->second.is_reserved(base::steady_now()))
        return base::duration::zero();
    const base::duration longest =
        found->second.has_many_recent_starts()
            ? base::duration(recent_starts_poll_wait)
            : base::duration(lease_ / polls_per_lease);
    return std::min<base::duration>(
        is_steady ? steady_poll_wait : active_poll_wait, longest);
}

base::time_point worker_link::idle_until(base::time_point now) const
{
    base::time_point latest = now + idle_wait;
    const base::time_point withheld = state_.withholds_ends_until(worker_.id);
    if (now < withheld)
        latest = std::min<base::time_point>(latest, withheld);
    if (clock_ms_ == 0)
        return latest;
    return std::min<base::time_point>(latest, clock_read_at_ + max_clock_age);
}

void worker_link::poll_loop()
{
    while (!is_stopping_)
    {
        const base::time_point now = base::steady_now();
        const bool is_needed = needs_poll() || has_old_clock(now);
        if (!is_needed || !hooks_.may_order())
        {
            poll_wakeup_.wait_until(is_needed ? now + poll_retry_delay
                                              : idle_until(now));
            continue;
        }
        poll(now);
    }
}

// The end of the lease of a silent worker is noticed at once.
base::time_point worker_link::poll_deadline(base::time_point now,
                                            base::duration wait) const
{
    const base::time_point latest = now + wait + poll_timeout_slack;
    const auto found = state_.workers().find(worker_.id);
    if (!has_failed_ || found == state_.workers().end())
        return latest;
    const base::time_point end = clock_ms_ > 0 && now < known_lease_end()
                                     ? known_lease_end()
                                     : found->second.lease_ends_by;
    if (end <= now)
        return latest;
    return std::min(latest,
                    std::max<base::time_point>(end, now + min_poll_timeout));
}

void worker_link::poll(base::time_point now)
{
    platform::listing_request request;
    request.stored_end = end_to_acknowledge(now);
    const bool is_idle = !needs_poll();
    const bool extends = is_extension_due(now);
    // After a failure the worker should answer at once, so that the next poll
    // can renew the lease. A poll that waits would often be under way when its
    // worker falls silent, and could extend the lease late.
    request.wait = has_failed_ || is_idle || extends ? base::duration::zero()
                                                     : poll_wait();
    extension sent;
    if (extends)
    {
        sent = extend_lease(now, extension_length(lease_),
                            jobs::extension_kind::poll);
        extended_at_ = now;
    }
    request.lease_until_ms = sent.until_ms;
    const platform::order_target asked = target();
    const open_acknowledgement earlier = open_acknowledgement_;
    if (request.stored_end > 0)
    {
        state_.begin_acknowledgement(worker_.id, now);
        open_acknowledgement_ = {asked.fence, now + jobs::late_call_time,
                                 earlier.fence < asked.fence ||
                                     now >= earlier.arrives_by};
    }
    // One that was cut off may arrive, too, but holds no starts back for the
    // whole time: a higher fence is enough for those.
    const auto end_acknowledgement = [&](bool may_arrive, bool is_timed_out)
    {
        state_.end_acknowledgement(worker_.id, is_timed_out);
        open_acknowledgement_.is_under_way = false;
        if (request.stored_end > 0 && !may_arrive)
            open_acknowledgement_ = earlier;
    };
    try
    {
        const auto listing =
            client_.list(asked, request, poll_deadline(now, request.wait));
        note_answered(sent);
        end_acknowledgement(false, false);
        if (is_stopping_ || !apply(listing, asked, now))
            return;
        // After a restart no end of the new incarnation is stored yet.
        if (request.stored_end <= stored_end_)
            acknowledged_end_ = std::max(acknowledged_end_, request.stored_end);
        if (!is_extension_due(base::steady_now()))
            wait_for_storage(now);
    }
    catch (const base::error& failure)
    {
        note_failed(sent, failure.effect_unknown());
        end_acknowledgement(failure.effect_unknown(),
                            failure.code() == base::error_code::timeout);
        handle_poll_failure(failure.what());
    }
    catch (const std::exception& failure)
    {
        note_failed(sent, true);
        end_acknowledgement(true, true);
        handle_poll_failure(failure.what());
    }
}

void worker_link::handle_poll_failure(std::string_view reason)
{
    if (is_stopping_)
        return;
    ++failed_polls_;
    note_unreachable(reason, base::steady_now());
    poll_wakeup_.wait_until(base::steady_now() + poll_retry_delay);
}

bool worker_link::apply(const platform::worker_listing& listing,
                        const platform::order_target& asked,
                        base::time_point sent_at)
{
    using kind = platform::worker_listing::kind;
    const base::time_point now = base::steady_now();
    if (listing.outcome == kind::fenced_off)
    {
        // Overtaken by an order of this link.
        if (!is_fenced_off(asked.fence))
            return false;
        hooks_.fenced_off("worker " + worker_.id + " has seen a higher fence");
        return false;
    }
    // Overtaken by a report that was requested later.
    if (sent_at < report_sent_at_)
        return false;
    if (listing.outcome == kind::replaced)
    {
        // It says nothing about the address where the worker is now.
        if (asked.where != target().where)
            return false;
        // The list may show an address that the worker has left before.
        if (asked.where != known_at_)
        {
            note_unreachable("another worker answers where it was not heard",
                             now);
            poll_wakeup_.wait_until(now + replaced_poll_delay);
            return false;
        }
        // The known incarnation of the worker has ended, with all its runs.
        state_.lose_runs(worker_.id, jobs::run_loss::ended, now,
                         base::wall_now());
        note_unreachable("another worker answers at its address", now);
        hooks_.changed();
        poll_wakeup_.wait_until(now + replaced_poll_delay);
        return false;
    }
    if (listing.outcome == kind::unhealthy)
    {
        note_unreachable("the worker says that it is unhealthy", now);
        poll_wakeup_.wait_until(now + poll_retry_delay);
        return false;
    }
    known_at_ = asked.where;
    apply_report(listing, sent_at, now);
    return true;
}

void worker_link::apply_report(const platform::worker_listing& listing,
                               base::time_point sent_at, base::time_point now)
{
    report_sent_at_ = sent_at;
    if (std::exchange(has_failed_, false))
        log::write(event_worker_reachable, {{"worker", worker_.id}});
    const auto& report = listing.report;
    const bool has_restarted =
        report.born_ms != 0 && born_ms_ != 0 && report.born_ms != born_ms_;
    // While a worker is cut off, more than one poll in a row fails.
    const int failed_polls = std::exchange(failed_polls_, 0);
    const bool has_left_unanswered = lease_bound_.note_reachable(sent_at);
    if (has_left_unanswered && !has_restarted && failed_polls <= 1)
        state_.note_left_unanswered(now);
    if (has_restarted)
        note_restart(report.born_ms, now);
    if (report.born_ms != 0)
        born_ms_ = report.born_ms;
    is_confirmed_ = is_confirmed_ || hooks_.holds_lease();
    // At the first answer the lease is one that an earlier owner has granted.
    if (clock_ms_ == 0)
        lease_until_ms_ = std::max(
            lease_until_ms_, listing.clock_ms + base::count_millis(lease_));
    clock_ms_ = listing.clock_ms;
    clock_read_at_ = now;
    note_lease_end();
    state_.apply_report(worker_.id, report, sent_at, now, base::wall_now(),
                        hooks_.holds_lease() ? jobs::ownership::exclusive
                                             : jobs::ownership::contested);
    hooks_.changed();
    const std::int64_t last_end = state_.storable_end(report, stored_end_);
    if (last_end != stored_end_ && !unstored_)
        unstored_ = {last_end, state_.change_number()};
}

// Ends that are stored are not listed again.
void worker_link::wait_for_storage(base::time_point sent_at)
{
    base::duration pause = poll_interval.at(state_.workers().size());
    // Ends that stay listed make each poll return at once.
    const auto found = state_.workers().find(worker_.id);
    if ((sent_at < state_.withholds_ends_until(worker_.id) &&
         acknowledged_end_ < stored_end_) ||
        (found != state_.workers().end() && found->second.lists_unreadable))
        pause = std::max<base::duration>(pause, unstored_poll_interval);
    if (!unstored_)
    {
        if (base::steady_now() - sent_at < pause)
            boost::this_fiber::sleep_for(pause);
        return;
    }
    // A restart of the worker during the wait replaces `unstored_`, since the
    // new incarnation numbers its ends from the beginning.
    const std::uint64_t change = unstored_->change;
    boost::this_fiber::sleep_for(pause);
    const bool is_stored =
        hooks_.stored(change, base::steady_now() + unstored_poll_interval);
    if (!is_stored || !unstored_ || unstored_->change != change)
        return;
    stored_end_ = unstored_->last_end;
    unstored_.reset();
}

std::int64_t worker_link::forgettable_end(base::time_point now) const
{
    return now < state_.withholds_ends_until(worker_.id) ? acknowledged_end_
                                                         : stored_end_;
}

std::int64_t worker_link::end_to_acknowledge(base::time_point now) const
{
    const std::int64_t last = forgettable_end(now);
    const bool is_needed = acknowledged_end_ < last &&
                           now - clock_read_at_ < max_acknowledge_delay;
    return is_needed ? last : 0;
}

// The new incarnation may still carry out an order that was sent to the
// previous one.
void worker_link::note_restart(std::int64_t born_ms, base::time_point now)
{
    log::write(event_worker_restarted,
               {{"worker", worker_.id}, {"born_ms", born_ms}});
    state_.set_lease_end(worker_.id, now + longest_lease(lease_));
    is_confirmed_ = false;
    stored_end_ = 0;
    acknowledged_end_ = 0;
    unstored_.reset();
    clock_ms_ = 0;
    lease_until_ms_ = 0;
    extended_at_ = {};
}

void worker_link::check_restart(base::time_point now)
{
    if (!hooks_.may_order())
        return;
    try
    {
        const platform::order_target asked = target();
        const auto listing = client_.list(asked, {}, now + order_timeout);
        if (!is_stopping_)
            apply(listing, asked, now);
    }
    catch (const std::exception& failure)
    {
        if (!is_stopping_)
            note_unreachable(failure.what(), base::steady_now());
    }
}

void worker_link::note_unreachable(std::string_view reason,
                                   base::time_point now)
{
    state_.set_reachable(worker_.id, false);
    if (!std::exchange(has_failed_, true))
        log::write(event_worker_unreachable,
                   {{"worker", worker_.id}, {"reason", reason}});
    // Other workers may have left calls unanswered since.
    if (clock_ms_ > 0)
        note_lease_end();
    const auto found = state_.workers().find(worker_.id);
    if (found == state_.workers().end() || found->second.runs.empty())
        return;
    if (now < found->second.lease_ends_by)
    {
        if (clock_ms_ > 0 && now >= known_lease_end() &&
            found->second.long_running_millis > 0)
        {
            state_.lose_long_running_runs(worker_.id, now, base::wall_now());
            hooks_.changed();
        }
        return;
    }
    state_.lose_runs(worker_.id, jobs::run_loss::lapsed, now, base::wall_now());
    hooks_.changed();
}

void worker_link::order_loop()
{
    while (!is_stopping_)
    {
        if (orders_.empty())
        {
            order_wakeup_.wait_until(base::steady_now() + idle_wait);
            continue;
        }
        const any_order next = std::move(orders_.front());
        orders_.pop_front();
        if (const auto* begin = std::get_if<jobs::start_order>(&next))
            send_start(*begin);
        else if (const auto* stop = std::get_if<jobs::stop_order>(&next))
            send_stop(*stop);
        else
            check_restart(base::steady_now());
        poll_wakeup_.notify();
    }
}

bool worker_link::outdate_acknowledgement(base::time_point now)
{
    if (now >= open_acknowledgement_.arrives_by)
        return true;
    const std::int64_t outdated = open_acknowledgement_.fence;
    const bool is_under_way = open_acknowledgement_.is_under_way;
    // One that is under way has most often arrived.
    if (fence_ <= outdated)
        fence_ = std::max(
            fence_,
            hooks_.raise_fence(
                outdated, is_under_way ? now : now + order_storage_timeout));
    return is_under_way || fence_ > outdated;
}

std::optional<jobs::start_answer>
worker_link::refuse_start(const jobs::start_order& order)
{
    using jobs::start_answer;
    const bool is_stored =
        order.required_change == 0 ||
        hooks_.stored(order.required_change,
                      base::steady_now() + order_storage_timeout);
    if (!is_stored || !hooks_.may_order())
        return start_answer::not_sent;
    // The next owner may know all runs of this worker. One that has restarted
    // since takes orders of both owners until it has heard the next one again.
    if (!hooks_.holds_lease())
    {
        if (order.needs_exclusive_ownership)
            return start_answer::not_sent;
        const base::time_point asked_at = base::steady_now();
        check_restart(asked_at);
        if (report_sent_at_ < asked_at)
            return start_answer::not_sent;
        if (!is_confirmed_)
            return start_answer::unconfirmed;
    }
    if (!outdate_acknowledgement(base::steady_now()))
        return start_answer::not_sent;
    if (!hooks_.may_order() || clock_ms_ == 0 || !is_recorded() ||
        state_.may_forget_ends(worker_.id, base::steady_now()) ||
        !state_.awaits_start(order))
        return start_answer::not_sent;
    return std::nullopt;
}

void worker_link::send_start(const jobs::start_order& order)
{
    const auto refusal = refuse_start(order);
    const base::time_point now = base::steady_now();
    platform::start_result result;
    extension sent;
    std::int64_t sent_fence = 0;
    if (refusal)
        result.answer = *refusal;
    else
    {
        try
        {
            sent = extend_lease(now, start_length(lease_),
                                jobs::extension_kind::start);
            platform::order_target where = target();
            sent_fence = where.fence;
            where.may_order = [&]
            {
                return may_send(order);
            };
            result =
                client_.start(where, order, sent.until_ms, now + order_timeout);
            note_answered(sent);
        }
        catch (const base::error& failure)
        {
            note_failed(sent, failure.effect_unknown());
            if (!failure.effect_unknown())
                result.answer = may_send(order)
                                    ? jobs::start_answer::unreachable
                                    : jobs::start_answer::not_sent;
            else
                result.answer = failure.code() == base::error_code::timeout
                                    ? jobs::start_answer::unknown
                                    : jobs::start_answer::cut_off;
        }
        catch (const std::exception& failure)
        {
            log::write(event_worker_unreachable,
                       {{"worker", worker_.id}, {"reason", failure.what()}});
            note_failed(sent, true);
            result.answer = jobs::start_answer::unknown;
        }
    }
    if (is_stopping_)
        return;
    state_.apply_start_answer(order, result.answer, base::steady_now());
    if (result.is_fenced_off && is_fenced_off(sent_fence))
        hooks_.fenced_off("worker " + worker_.id + " has seen a higher fence");
    if (result.answer != jobs::start_answer::started)
        hooks_.changed();
}

void worker_link::send_stop(const jobs::stop_order& order)
{
    bool is_acknowledged = false;
    if (hooks_.may_order())
    {
        try
        {
            is_acknowledged = client_.stop(target(), order,
                                           base::steady_now() + order_timeout);
        }
        catch (const std::exception& failure)
        {
            log::write(event_worker_unreachable,
                       {{"worker", worker_.id}, {"reason", failure.what()}});
        }
    }
    if (!is_stopping_)
        state_.apply_stop_answer(order, is_acknowledged, base::steady_now());
}

} // namespace pimentograde::pools
