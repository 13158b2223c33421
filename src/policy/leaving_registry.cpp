#include "policy/leaving_registry.hpp"

#include <algorithm>

namespace pimentograde::policy
{

namespace
{

// Delayed messages refer to one of the last few incarnations.
constexpr std::size_t max_earlier_incarnations = 8;

} // namespace

bool leaving_registry::update_incarnation(worker_state& state,
                                          std::uint64_t incarnation)
{
    if (incarnation == state.incarnation)
        return true;
    if (std::find(state.earlier_incarnations.begin(),
                  state.earlier_incarnations.end(),
                  incarnation) != state.earlier_incarnations.end())
        return false;
    if (state.incarnation == 0)
    {
        // Signals recorded before any incarnation was known apply to the first
        // one that is seen.
        for (auto& [source, signal] : state.signals)
            if (signal.incarnation == 0)
                signal.incarnation = incarnation;
    }
    else
    {
        state.earlier_incarnations.push_back(state.incarnation);
        if (state.earlier_incarnations.size() > max_earlier_incarnations)
            state.earlier_incarnations.pop_front();
    }
    state.incarnation = incarnation;
    return true;
}

void leaving_registry::signal(const base::worker_id& worker,
                              leaving_source source, std::uint64_t incarnation,
                              base::time_point now)
{
    auto& state = workers_[worker];
    if (incarnation != 0 && !update_incarnation(state, incarnation))
        return;
    if (source == leaving_source::instance_list &&
        state.signals.contains(source))
        return;
    state.signals[source] = {state.incarnation, now};
}

void leaving_registry::clear(const base::worker_id& worker,
                             leaving_source source)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end())
        found->second.signals.erase(source);
}

void leaving_registry::observe(const base::worker_id& worker,
                               std::uint64_t incarnation, bool leaving,
                               base::time_point now)
{
    auto& state = workers_[worker];
    if (incarnation != 0 && !update_incarnation(state, incarnation))
        return;
    if (leaving)
    {
        state.signals[leaving_source::worker_refusal] = {state.incarnation,
                                                         now};
        return;
    }
    for (const auto source :
         {leaving_source::worker_refusal, leaving_source::peer_hint})
    {
        const auto found = state.signals.find(source);
        if (found != state.signals.end() &&
            now - found->second.since > max_report_lag)
            state.signals.erase(found);
    }
}

bool leaving_registry::is_in_force(const worker_state& state,
                                   leaving_source source,
                                   const signal_state& signal)
{
    return source == leaving_source::fleet_state ||
           signal.incarnation == state.incarnation;
}

bool leaving_registry::is_leaving(const base::worker_id& worker) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return false;
    const auto& state = found->second;
    return std::any_of(state.signals.begin(), state.signals.end(),
                       [&](const auto& entry) {
                           return is_in_force(state, entry.first, entry.second);
                       });
}

std::uint64_t leaving_registry::incarnation(const base::worker_id& worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 0 : found->second.incarnation;
}

std::vector<leaving_hint> leaving_registry::hints() const
{
    std::vector<leaving_hint> found;
    for (const auto& [worker, state] : workers_)
        for (const auto& [source, signal] : state.signals)
            if ((source == leaving_source::instance_list ||
                 source == leaving_source::worker_refusal) &&
                signal.incarnation == state.incarnation &&
                state.incarnation != 0)
            {
                found.push_back({worker, state.incarnation});
                break;
            }
    return found;
}

} // namespace pimentograde::policy
