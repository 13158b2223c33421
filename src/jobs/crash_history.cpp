#include "jobs/crash_history.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// A task that survives its start may still crash its worker later. After this
// many such crashes it runs alone.
constexpr std::size_t crashes_before_isolation = 3;
constexpr std::size_t addresses_of_cause = 2;
constexpr std::size_t min_crashes_of_cause = 2;
// Limits the workers that one task may crash.
constexpr std::size_t max_crashes_of_cause = 5;
// A task that lasts may crash workers without end.
constexpr std::size_t max_recorded_crashes = 12;
// Chance that an innocent task is taken for the cause.
constexpr double max_error_chance = 1e-5;

std::size_t crashes_of_cause(double chance)
{
    if (chance <= 0.0)
        return min_crashes_of_cause;
    if (chance >= 1.0)
        return max_crashes_of_cause;
    const double needed = std::log(max_error_chance) / std::log(chance);
    return static_cast<std::size_t>(
        std::clamp(std::ceil(needed), static_cast<double>(min_crashes_of_cause),
                   static_cast<double>(max_crashes_of_cause)));
}

} // namespace

void crash_history::add(worker_crash crash)
{
    withdraw_start(crash.run);
    const auto known = std::find_if(crashes_.begin(), crashes_.end(),
                                    [&](const worker_crash& earlier)
                                    { return earlier.run == crash.run; });
    if (known != crashes_.end())
    {
        if (known->worker == crash.worker &&
            known->evidence == crash_evidence::start_unanswered &&
            crash.evidence != crash_evidence::starting)
            *known = std::move(crash);
        return;
    }
    crashes_.push_back(std::move(crash));
    if (crashes_.size() > max_recorded_crashes)
        crashes_.erase(crashes_.begin());
}

bool crash_history::withdraw_start(int run)
{
    return std::erase_if(crashes_,
                         [&](const worker_crash& crash) {
                             return crash.run == run &&
                                    crash.evidence == crash_evidence::starting;
                         }) > 0;
}

void crash_history::note_new_owner()
{
    for (worker_crash& crash : crashes_)
        if (crash.evidence == crash_evidence::starting)
            crash.evidence = crash_evidence::start_unanswered;
}

void crash_history::confirm(std::string_view worker)
{
    for (worker_crash& crash : crashes_)
        if (crash.worker == worker &&
            crash.evidence == crash_evidence::unconfirmed)
            crash.evidence = crash_evidence::confirmed;
}

bool crash_history::note_burst(int run)
{
    bool is_new = false;
    for (worker_crash& crash : crashes_)
        if (crash.run == run)
            is_new |= !std::exchange(crash.is_in_burst, true);
    return is_new;
}

bool crash_history::withdraw(int run, std::string_view worker)
{
    return std::erase_if(crashes_,
                         [&](const worker_crash& crash)
                         {
                             return crash.run == run &&
                                    crash.worker == worker &&
                                    crash.evidence != crash_evidence::confirmed;
                         }) > 0;
}

bool crash_history::note_survived_start()
{
    bool is_unexplained = false;
    std::erase_if(crashes_,
                  [&](const worker_crash& crash)
                  {
                      is_unexplained |=
                          crash.at_start && crash.is_only_suspect &&
                          crash.evidence == crash_evidence::confirmed;
                      return crash.at_start;
                  });
    return is_unexplained;
}

suspicion crash_history::level() const
{
    const auto at_start = static_cast<std::size_t>(std::count_if(
        crashes_.begin(), crashes_.end(),
        [](const worker_crash& crash) { return crash.at_start; }));
    if (crashes_.size() - at_start >= crashes_before_isolation)
        return suspicion::runs_alone;
    return at_start == 0 ? suspicion::none : suspicion::starts_apart;
}

// Two crashes after starts without an answer count as one confirmed crash, and
// so do two under runs that had outlived their start, or in bursts. Where both
// hold, the task is not the cause. The limit of crashes holds for those right
// after starts, in bursts or not.
bool crash_history::is_cause(double chance) const
{
    std::set<std::string_view> addresses;
    std::size_t half_crashes = 0;
    std::size_t crashes_at_start = 0;
    for (const worker_crash& crash : crashes_)
    {
        const bool is_unanswered =
            crash.evidence == crash_evidence::start_unanswered;
        if (crash.evidence == crash_evidence::unconfirmed ||
            crash.evidence == crash_evidence::starting ||
            (is_unanswered && !crash.is_only_suspect))
            continue;
        if (crash.is_in_burst && !crash.at_start)
            continue;
        const bool is_confirmed_at_start = !is_unanswered && crash.at_start;
        half_crashes += is_confirmed_at_start && !crash.is_in_burst ? 2 : 1;
        crashes_at_start += is_confirmed_at_start ? 1 : 0;
        addresses.insert(crash.address);
    }
    const crash_evidence last = crashes_.empty() ? crash_evidence::unconfirmed
                                                 : crashes_.back().evidence;
    const bool is_at_limit = half_crashes >= 2 * max_crashes_of_cause ||
                             crashes_at_start >= max_crashes_of_cause;
    return (is_at_limit || half_crashes >= 2 * crashes_of_cause(chance)) &&
           (is_at_limit || addresses.size() >= addresses_of_cause) &&
           last != crash_evidence::unconfirmed &&
           last != crash_evidence::starting && crashes_.back().is_only_suspect;
}

bool crash_history::contains_address(std::string_view address) const
{
    return std::any_of(crashes_.begin(), crashes_.end(),
                       [&](const worker_crash& crash)
                       { return crash.address == address; });
}

} // namespace pimentograde::jobs
