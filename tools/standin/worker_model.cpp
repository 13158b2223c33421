#include "standin/worker_model.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::standin
{

using provider::lease_state;

namespace
{

// Ended tasks stay in the usage report for this time, so that a reader who
// polls every few seconds sees short tasks too.
constexpr std::chrono::seconds usage_window{5};
constexpr std::size_t max_reported_tasks = 64;

base::duration scale(base::duration length, double factor)
{
    return base::duration{static_cast<base::duration::rep>(
        static_cast<double>(length.count()) * factor)};
}

} // namespace

bool worker_model::lease::active() const
{
    return state == lease_state::reserved || state == lease_state::running;
}

worker_model::worker_model(worker_settings settings, std::uint64_t incarnation,
                           execution_log& log, checkpoint_table& checkpoints)
    : settings_(std::move(settings)), incarnation_(incarnation), log_(&log),
      checkpoints_(&checkpoints)
{
}

std::uint32_t worker_model::slots_used() const
{
    return static_cast<std::uint32_t>(active_.size());
}

worker_model::lease* worker_model::find(const base::lease_id& id)
{
    if (const auto at = active_.find(id.str()); at != active_.end())
        return &at->second;
    if (const auto at = ended_.find(id.str()); at != ended_.end())
        return &at->second;
    return nullptr;
}

base::time_point worker_model::task_end(const lease& target) const
{
    return target.settled_at +
           scale(target.work_left, slowness_ / target.share);
}

void worker_model::settle(lease& target, base::time_point now) const
{
    if (target.state != lease_state::running)
        return;
    const auto done = scale(now - target.settled_at, target.share / slowness_);
    target.work_left = std::max(target.work_left - done, base::duration{});
    target.settled_at = now;
}

void worker_model::end(lease& target, lease_state state,
                       std::string_view reason, execution_outcome outcome,
                       base::time_point now)
{
    const bool ran = target.state == lease_state::running;
    target.state = state;
    target.reason = reason;
    target.ended_at = now;
    if (ran)
        log_->end(target.log_position, now, outcome, target.answer);
}

void worker_model::finish(const std::string& id, lease& target,
                          base::time_point end_time)
{
    checkpoints_->erase(target.task.task);
    if (target.payload.fail)
    {
        end(target, lease_state::failed, "task_failed",
            execution_outcome::failed, end_time);
        return;
    }
    boost::json::object answer{
        {"task", target.task.task},
        {"worker", settings_.id.str()},
        {"lease", id},
        {"answer", target.payload.token},
        {"started_at_ms", log_->to_wall_ms(target.started_at)},
        {"ended_at_ms", log_->to_wall_ms(end_time)}};
    target.answer = boost::json::serialize(answer);
    if (target.answer.size() < target.payload.answer_bytes)
    {
        answer["padding"] = std::string(
            target.payload.answer_bytes - target.answer.size(), '.');
        target.answer = boost::json::serialize(answer);
    }
    end(target, lease_state::done, "", execution_outcome::done, end_time);
}

void worker_model::advance_lease(const std::string& id, lease& target,
                                 base::time_point now)
{
    if (!target.active())
        return;
    const bool running = target.state == lease_state::running;
    const base::time_point expiry =
        target.expiry.value_or(base::time_point::max());
    if (running && task_end(target) <= std::min(now, expiry))
        return finish(id, target, task_end(target));
    if (expiry > now)
        return;
    if (running)
        end(target, lease_state::stopped_started, "expired",
            execution_outcome::stopped, expiry);
    else
        end(target, lease_state::stopped_unstarted, "expired",
            execution_outcome::stopped, expiry);
}

void worker_model::advance(base::time_point now)
{
    for (auto at = active_.begin(); at != active_.end();)
    {
        const auto current = at++;
        advance_lease(current->first, current->second, now);
        if (current->second.active())
            continue;
        ended_order_.push_back(current->first);
        ended_.insert(active_.extract(current));
    }
    while (!ended_order_.empty())
    {
        const auto oldest = ended_.find(ended_order_.front());
        if (now - oldest->second.ended_at < settings_.retention)
            break;
        ended_.erase(oldest);
        ended_order_.pop_front();
    }
}

std::optional<base::time_point> worker_model::next_event() const
{
    std::optional<base::time_point> next;
    const auto consider = [&next](base::time_point moment)
    {
        next = next ? std::min(*next, moment) : moment;
    };
    for (const auto& [id, target] : active_)
    {
        if (target.expiry)
            consider(*target.expiry);
        if (target.state == lease_state::running)
            consider(task_end(target));
    }
    return next;
}

provider::lease_status worker_model::status_of(const lease& target,
                                               base::time_point now) const
{
    provider::lease_status status;
    status.state = target.state;
    status.answer = target.answer;
    status.reason = target.reason;
    status.incarnation = incarnation_;
    if (target.started_at != base::time_point{})
        status.run_time =
            (target.active() ? now : target.ended_at) - target.started_at;
    return status;
}

provider::reserve_result worker_model::reserve(const base::task_size& size,
                                               base::duration ttl,
                                               base::time_point now)
{
    advance(now);
    provider::reserve_result result;
    result.incarnation = incarnation_;
    result.slots_used = slots_used();
    if (leaving())
        result.outcome = provider::reserve_outcome::leaving;
    else if (!base::fits(size, settings_.size))
        result.outcome = provider::reserve_outcome::too_large;
    else if (slots_used() >= settings_.slots)
        result.outcome = provider::reserve_outcome::full;
    else
    {
        const std::string id = settings_.id.str() + "-" +
                               std::to_string(incarnation_) + "-" +
                               std::to_string(++last_lease_);
        active_[id].expiry = now + ttl;
        result.outcome = provider::reserve_outcome::granted;
        result.lease = base::lease_id(id);
        result.slots_used = slots_used();
    }
    return result;
}

void worker_model::begin(const std::string& id, lease& target,
                         const provider::task_spec& task, bool force_failure,
                         base::time_point now)
{
    target.state = lease_state::running;
    target.expiry.reset();
    if (settings_.running_ttl > base::duration{})
        target.expiry = now + settings_.running_ttl;
    target.task = task;
    target.payload = parse_task_payload(task.payload);
    target.payload.fail = target.payload.fail || force_failure;
    target.work_left = target.payload.work;
    target.started_at = now;
    target.settled_at = now;
    const auto saved = checkpoints_->find(task.task);
    const bool resumed = saved != checkpoints_->end();
    if (resumed)
        target.work_left =
            std::max(target.work_left - saved->second, base::duration{});
    execution entry;
    entry.worker = settings_.id.str();
    entry.incarnation = incarnation_;
    entry.lease = id;
    entry.task = task.task;
    entry.queue = task.queue;
    entry.token = target.payload.token;
    entry.resumed = resumed;
    entry.started_at_ms = log_->to_wall_ms(now);
    target.log_position = log_->begin(std::move(entry));
}

provider::lease_status worker_model::start(const base::lease_id& id,
                                           const provider::task_spec& task,
                                           bool force_failure,
                                           base::time_point now)
{
    advance(now);
    lease* target = find(id);
    if (target == nullptr)
        return query(id, now);
    const bool started = target->started_at != base::time_point{};
    if (started && target->task.task != task.task)
        throw base::error(base::error_code::conflict, "start",
                          settings_.id.str(), "lease has another task");
    if (target->state != lease_state::reserved)
        return status_of(*target, now);
    if (leaving_since_ && now - *leaving_since_ >= settings_.leaving_grace)
        end(*target, lease_state::stopped_unstarted, "leaving",
            execution_outcome::stopped, now);
    else
        begin(id.str(), *target, task, force_failure, now);
    return query(id, now);
}

provider::lease_status worker_model::query(const base::lease_id& id,
                                           base::time_point now)
{
    advance(now);
    if (const lease* target = find(id))
        return status_of(*target, now);
    provider::lease_status status;
    status.incarnation = incarnation_;
    return status;
}

provider::lease_status worker_model::renew(const base::lease_id& id,
                                           base::duration ttl,
                                           base::time_point now)
{
    advance(now);
    lease* target = find(id);
    if (target != nullptr && target->expiry && target->active())
        target->expiry = std::max(*target->expiry, now + ttl);
    return query(id, now);
}

provider::lease_status worker_model::stop(const base::lease_id& id,
                                          base::time_point now)
{
    advance(now);
    lease* target = find(id);
    if (target != nullptr && target->active())
        end(*target,
            target->state == lease_state::running
                ? lease_state::stopped_started
                : lease_state::stopped_unstarted,
            "stopped", execution_outcome::stopped, now);
    return query(id, now);
}

provider::lease_status worker_model::checkpoint(const base::lease_id& id,
                                                base::time_point now)
{
    advance(now);
    lease* target = find(id);
    if (target == nullptr || target->state != lease_state::running)
        return stop(id, now);
    if (!target->payload.checkpointable)
        throw base::error(base::error_code::refused, "checkpoint",
                          settings_.id.str(), "task has no checkpoints");
    settle(*target, now);
    (*checkpoints_)[target->task.task] =
        target->payload.work - target->work_left;
    end(*target, lease_state::stopped_started, "checkpointed",
        execution_outcome::checkpointed, now);
    return query(id, now);
}

provider::lease_status worker_model::throttle(const base::lease_id& id,
                                              double share,
                                              base::time_point now)
{
    constexpr double lowest_share = 0.001;
    if (!(share >= lowest_share && share <= 1))
        throw base::error(base::error_code::invalid, "throttle",
                          settings_.id.str(), "share is not in (0, 1]");
    advance(now);
    lease* target = find(id);
    if (target != nullptr && target->state == lease_state::running)
    {
        settle(*target, now);
        target->share = share;
    }
    return query(id, now);
}

provider::worker_report worker_model::report(base::time_point now)
{
    advance(now);
    provider::worker_report result;
    result.incarnation = incarnation_;
    result.leaving = leaving();
    result.slots = settings_.slots;
    result.slots_used = slots_used();
    const base::time_point sampled = now - settings_.usage_lag;
    const auto add = [&](const std::string& id, const lease& target)
    {
        if (target.started_at == base::time_point{} ||
            target.started_at > sampled ||
            result.usage.size() >= max_reported_tasks)
            return;
        const base::time_point until =
            target.active() ? sampled : std::min(sampled, target.ended_at);
        result.usage.push_back({base::lease_id(id), target.task.queue,
                                target.payload.use.value_or(target.task.size),
                                until - target.started_at});
    };
    for (const auto& [id, target] : active_)
        add(id, target);
    for (auto id = ended_order_.rbegin(); id != ended_order_.rend(); ++id)
    {
        const lease& target = ended_.at(*id);
        if (sampled - target.ended_at > usage_window)
            break;
        add(*id, target);
    }
    return result;
}

void worker_model::drain(base::time_point now)
{
    if (!leaving_since_)
        leaving_since_ = now;
}

void worker_model::undrain()
{
    leaving_since_.reset();
}

void worker_model::forget_all(base::time_point now)
{
    for (auto& [id, target] : active_)
        end(target, lease_state::stopped_started, "lost",
            execution_outcome::lost, now);
    active_.clear();
    ended_.clear();
    ended_order_.clear();
    ++incarnation_;
    last_lease_ = 0;
}

void worker_model::reboot(base::time_point now)
{
    advance(now);
    if (!active_.empty())
        throw base::error(base::error_code::refused, "reboot",
                          settings_.id.str(), "leases are in use");
    forget_all(now);
}

void worker_model::kill(base::time_point now)
{
    advance(now);
    forget_all(now);
}

void worker_model::set_slowness(double factor, base::time_point now)
{
    if (factor == slowness_)
        return;
    advance(now);
    for (auto& [id, target] : active_)
        settle(target, now);
    slowness_ = factor;
}

} // namespace pimentograde::standin
