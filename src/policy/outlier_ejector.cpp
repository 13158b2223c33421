#include "policy/outlier_ejector.hpp"

#include <algorithm>

namespace pimentograde::policy
{

namespace
{

// A readmitted worker that reached this many slots counts as recovered; no
// worker of the deployments has more.
constexpr std::uint32_t full_growth = 64;

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
    enter(found->second, phase::serving);
    workers_.erase(found);
    readmit_excess();
}

void outlier_ejector::reset_worker(const base::worker_id& worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    enter(found->second, phase::serving);
    found->second = worker_state{};
}

void outlier_ejector::enter(worker_state& state, phase next)
{
    ejected_ -= state.current == phase::ejected ? 1 : 0;
    limited_ -= state.current != phase::serving ? 1 : 0;
    state.current = next;
    ejected_ += next == phase::ejected ? 1 : 0;
    limited_ += next != phase::serving ? 1 : 0;
}

void outlier_ejector::readmit_excess()
{
    while (ejected_ > workers_.size() / settings_.pool_divisor)
    {
        worker_state* earliest = nullptr;
        for (auto& [id, state] : workers_)
            if (state.current == phase::ejected &&
                (earliest == nullptr || state.until < earliest->until))
                earliest = &state;
        enter(*earliest, phase::growing);
        earliest->limit = 1;
    }
}

bool outlier_ejector::is_failing(worker_state& state,
                                 base::time_point now) const
{
    auto& recent = state.recent;
    while (!recent.empty() && (recent.size() > settings_.window ||
                               now - recent.front().when > settings_.max_age))
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
    state.last_ejection =
        state.last_ejection == base::duration::zero()
            ? settings_.first
            : std::min(state.last_ejection * 2, settings_.longest);
    state.until = now + state.last_ejection;
    state.recent.clear();
    enter(state, phase::ejected);
}

void outlier_ejector::record_growth(worker_state& state, bool success)
{
    if (!success)
    {
        state.limit = std::max(state.limit / 2, 1U);
        return;
    }
    if (++state.limit < full_growth)
        return;
    state.last_ejection = {};
    enter(state, phase::serving);
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
        // Before that time the task had started before the ejection.
        if (now < state.until)
            return;
        if (!success)
            return eject(state, now);
        state.limit = 1;
        enter(state, phase::growing);
        return;
    }
    state.recent.push_back({now, success});
    if (state.current == phase::growing)
        record_growth(state, success);
    if (success || !is_failing(state, now))
        return;
    const auto allowed = workers_.size() / settings_.pool_divisor;
    if (ejected_ < allowed)
        eject(state, now);
}

std::uint32_t outlier_ejector::slot_limit(const base::worker_id& worker,
                                          std::uint32_t slots,
                                          base::time_point now) const
{
    if (limited_ == 0)
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
        return now < state.until ? 0 : std::min(slots, 1U);
    case phase::growing:
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
    if (ejected_ == 0)
        return std::nullopt;
    std::optional<base::time_point> next;
    for (const auto& [id, state] : workers_)
        if (state.current == phase::ejected && state.until > now &&
            (!next || state.until < *next))
            next = state.until;
    return next;
}

} // namespace pimentograde::policy
