#include "policy/outlier_ejector.hpp"

#include <algorithm>

namespace pimentograde::policy
{

namespace
{

// A readmitted worker counts as recovered at this limit. No deployed worker has
// more slots.
constexpr std::uint32_t recovered_slot_limit = 64;

} // namespace

outlier_ejector::outlier_ejector(ejection_settings settings)
    : settings_(settings)
{
}

void outlier_ejector::add_worker(const base::worker_id& worker)
{
    workers_.try_emplace(worker);
}

void outlier_ejector::remove_worker(const base::worker_id& worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    set_phase(found->second, phase::serving);
    workers_.erase(found);
    readmit_excess();
}

void outlier_ejector::reset_worker(const base::worker_id& worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    set_phase(found->second, phase::serving);
    found->second = worker_state{};
}

void outlier_ejector::set_phase(worker_state& state, phase next)
{
    ejected_count_ -= state.current == phase::ejected ? 1 : 0;
    limited_count_ -= state.current != phase::serving ? 1 : 0;
    state.current = next;
    ejected_count_ += next == phase::ejected ? 1 : 0;
    limited_count_ += next != phase::serving ? 1 : 0;
}

void outlier_ejector::readmit_excess()
{
    while (ejected_count_ > workers_.size() / settings_.pool_divisor)
    {
        worker_state* earliest = nullptr;
        for (auto& [id, state] : workers_)
            if (state.current == phase::ejected &&
                (earliest == nullptr ||
                 state.ejected_until < earliest->ejected_until))
                earliest = &state;
        set_phase(*earliest, phase::recovering);
        earliest->limit = 1;
    }
}

bool outlier_ejector::is_failing(worker_state& state,
                                 base::time_point now) const
{
    auto& recent = state.recent;
    while (!recent.empty() &&
           (recent.size() > settings_.max_outcomes ||
            now - recent.front().when > settings_.max_outcome_age))
        recent.pop_front();
    if (recent.size() < settings_.min_outcomes)
        return false;
    const auto failures =
        std::count_if(recent.begin(), recent.end(),
                      [](const outcome& entry) { return !entry.success; });
    return static_cast<double>(failures) >=
           settings_.failure_ratio * static_cast<double>(recent.size());
}

void outlier_ejector::eject(worker_state& state, base::time_point now)
{
    state.last_ejection_duration =
        state.last_ejection_duration == base::duration::zero()
            ? settings_.initial_duration
            : std::min(state.last_ejection_duration * 2,
                       settings_.max_duration);
    state.ejected_until = now + state.last_ejection_duration;
    state.recent.clear();
    set_phase(state, phase::ejected);
}

void outlier_ejector::record_recovery(worker_state& state, bool success)
{
    if (!success)
    {
        state.limit = std::max(state.limit / 2, 1U);
        return;
    }
    if (++state.limit < recovered_slot_limit)
        return;
    state.last_ejection_duration = {};
    set_phase(state, phase::serving);
}

void outlier_ejector::record(const base::worker_id& worker, bool success,
                             base::time_point now)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    auto& state = found->second;
    if (state.current == phase::ejected)
    {
        // No probes run before the ejection ends, so this task was started
        // before the ejection.
        if (now < state.ejected_until)
            return;
        if (!success)
            return eject(state, now);
        state.limit = 1;
        set_phase(state, phase::recovering);
        return;
    }
    state.recent.push_back({now, success});
    if (state.current == phase::recovering)
        record_recovery(state, success);
    if (success || !is_failing(state, now))
        return;
    const auto allowed = workers_.size() / settings_.pool_divisor;
    if (ejected_count_ < allowed)
        eject(state, now);
}

std::uint32_t outlier_ejector::slot_limit(const base::worker_id& worker,
                                          std::uint32_t slots,
                                          base::time_point now) const
{
    if (limited_count_ == 0)
        return slots;
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return slots;
    const auto& state = found->second;
    switch (state.current)
    {
    case phase::serving:
        break;
    case phase::ejected:
        return now < state.ejected_until ? 0 : std::min(slots, 1U);
    case phase::recovering:
        return std::min(slots, state.limit);
    }
    return slots;
}

bool outlier_ejector::is_ejected(const base::worker_id& worker) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && found->second.current == phase::ejected;
}

std::optional<base::time_point>
outlier_ejector::next_change(base::time_point now) const
{
    if (ejected_count_ == 0)
        return std::nullopt;
    std::optional<base::time_point> next;
    for (const auto& [id, state] : workers_)
        if (state.current == phase::ejected && state.ejected_until > now &&
            (!next || state.ejected_until < *next))
            next = state.ejected_until;
    return next;
}

} // namespace pimentograde::policy
