#include "jobs/worker_view.hpp"

#include "jobs/lease_bound.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// Number of consecutive failures of different jobs that quarantines a worker. A
// faulty job fails on every worker, but three of them in a row on one worker
// are rare.
constexpr int failures_before_quarantine = 3;
constexpr std::chrono::seconds min_quarantine{3};
constexpr int max_quarantine_doublings = 3;
constexpr std::chrono::milliseconds refusal_quarantine{500};
// A task that crashes its worker does so soon after its start.
constexpr std::chrono::milliseconds start_observation{100};
// Suspects of one crash of a worker that fills up after the one before.
constexpr std::size_t max_recent_starts = 4;
// A run that begins so late may work this long if its worker is silent: the
// time of an order may count from its arrival, on a clock that is 2 % slow.
constexpr std::chrono::milliseconds late_order_lease{1600};

} // namespace

void worker_health::note_done()
{
    failure_streak_ = 0;
    last_failed_job_.clear();
    if (quarantines_ > 0)
        --quarantines_;
}

void worker_health::note_failure(const std::string& job, base::time_point now)
{
    if (job == last_failed_job_)
        return;
    last_failed_job_ = job;
    if (++failure_streak_ >= failures_before_quarantine)
        quarantine(now);
}

void worker_health::note_stall(base::time_point now)
{
    quarantine(now);
}

void worker_health::note_refusal(base::time_point now)
{
    quarantined_until_ = std::max(quarantined_until_, now + refusal_quarantine);
}

bool worker_health::is_quarantined(base::time_point now) const
{
    return now < quarantined_until_;
}

void worker_health::quarantine(base::time_point now)
{
    if (is_quarantined(now))
        return;
    quarantined_until_ =
        now + min_quarantine *
                  (1 << std::min(quarantines_, max_quarantine_doublings));
    ++quarantines_;
    // One more failure after the quarantine is enough to renew it.
    failure_streak_ = failures_before_quarantine - 1;
}

std::vector<task_id> worker_view::note_alive(base::time_point at)
{
    std::vector<task_id> survived;
    std::erase_if(recent_starts,
                  [&](const recent_start& start)
                  {
                      if (start.begun_by > at - start_observation)
                          return false;
                      survived.push_back(start.task);
                      return true;
                  });
    return survived;
}

void worker_view::note_begun(const task_id& task, base::time_point at)
{
    for (recent_start& start : recent_starts)
        if (start.task == task)
            start.begun_by = std::min(start.begun_by, at);
}

bool worker_view::has_many_recent_starts() const
{
    return recent_starts.size() >= max_recent_starts;
}

void worker_view::forget_start(const task_id& task)
{
    std::erase_if(recent_starts, [&](const recent_start& start)
                  { return start.task == task; });
}

void worker_view::stop_observing(const task_id& task)
{
    std::erase(observed, task);
}

bool worker_view::is_starting(const task_id& task) const
{
    return std::any_of(recent_starts.begin(), recent_starts.end(),
                       [&](const recent_start& start)
                       { return start.task == task; });
}

bool worker_view::may_end_as_planned(base::time_point now) const
{
    return description.is_draining || (leaving_until != base::time_point{} &&
                                       now < leaving_until + late_call_time);
}

base::time_point worker_view::note_unanswered(const task_id& task, int run,
                                              base::time_point now)
{
    std::erase_if(unanswered, [now](const unanswered_start& start)
                  { return start.arrives_by <= now; });
    unanswered.push_back({task, run, now + late_call_time + late_order_lease});
    return unanswered.back().arrives_by;
}

void worker_view::end_acknowledgement(bool may_arrive)
{
    const base::time_point until =
        std::exchange(acknowledgement_under_way_until, {});
    if (may_arrive)
        late_acknowledgement_until =
            std::max(late_acknowledgement_until, until);
}

base::time_point worker_view::acknowledges_until() const
{
    return std::max(late_acknowledgement_until,
                    acknowledgement_under_way_until);
}

void worker_view::note_arrived(const task_id& task, int run)
{
    std::erase_if(unanswered, [&](const unanswered_start& start)
                  { return start.task == task && start.run == run; });
}

base::time_point worker_view::withholds_ends_until() const
{
    base::time_point until{};
    if (lists_many_ends)
        return until;
    for (const unanswered_start& start : unanswered)
        until = std::max(until, start.arrives_by);
    return until;
}

bool worker_view::awaits_late_start(const task_id& task) const
{
    return std::any_of(unanswered.begin(), unanswered.end(),
                       [&](const unanswered_start& start)
                       { return start.task == task; });
}

bool worker_view::awaits_late_starts(base::time_point now) const
{
    return std::any_of(unanswered.begin(), unanswered.end(),
                       [now](const unanswered_start& start)
                       { return now < start.arrives_by; });
}

bool worker_view::has_unrecorded_late_starts(base::time_point now) const
{
    return std::any_of(unanswered.begin(), unanswered.end(),
                       [now](const unanswered_start& start) {
                           return now < start.arrives_by && !start.is_recorded;
                       });
}

void worker_view::note_recorded(const task_id& task, int run)
{
    for (unanswered_start& start : unanswered)
        if (start.task == task && start.run == run)
            start.is_recorded = true;
}

void worker_view::note_late_start_stopped(const task_id& task, int run)
{
    for (unanswered_start& start : unanswered)
        if (start.task == task && start.run <= run)
            start.is_stopped = true;
}

void worker_view::forget_late_stops()
{
    for (unanswered_start& start : unanswered)
    {
        start.is_stopped = false;
        start.stop_sent_at = {};
    }
}

worker_description worker_view::described_as_known() const
{
    worker_description result = description;
    result.born_ms = born_ms;
    return result;
}

resource_amount worker_view::free() const
{
    resource_amount left = description.capacity;
    left -= used;
    left -= used_by_others;
    return left;
}

bool worker_view::accepts_starts(base::time_point now) const
{
    return now >= leaving_until && accepts_starts_if_it_stays(now);
}

bool worker_view::accepts_starts_if_it_stays(base::time_point now) const
{
    return is_listed && recorded == roster_mark::with_starts &&
           knowledge.has_reported() && is_reachable &&
           !description.is_draining && now >= no_room_until &&
           now >= forgets_ends_until && !has_unknown_runs &&
           !health.is_quarantined(now);
}

roster_mark worker_view::wanted_mark(base::time_point now) const
{
    // The next owner has to know of the late starts, not to ask for runs.
    if (!may_run_something())
        return awaits_late_starts(now) ? roster_mark::without_starts
                                       : roster_mark::absent;
    // The order to its machine may end it before the next owner can ask it.
    const bool is_released =
        now < released_until && runs.empty() && !lists_other_runs;
    return (is_silent || is_released) && knowledge.is_certain()
               ? roster_mark::without_starts
               : roster_mark::with_starts;
}

std::string worker_view::rack() const
{
    return description.labels.empty() ? std::string{}
                                      : description.labels.back();
}

bool worker_view::has_label(const std::string& label) const
{
    const auto& labels = description.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

} // namespace pimentograde::jobs
