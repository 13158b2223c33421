#include "jobs/rack_forecast.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

bool is_earlier(const room_release& left, const room_release& right)
{
    return left.seconds < right.seconds;
}

} // namespace

void rack_forecast::add_worker(worker_view& worker,
                               std::vector<room_release> releases)
{
    std::sort(releases.begin(), releases.end(), is_earlier);
    workers_.push_back({&worker, worker.free(), false, std::move(releases)});
}

expected_place rack_forecast::next_place(const resource_amount& need,
                                         const worker_filter& accepts) const
{
    expected_place best;
    for (const entry& candidate : workers_)
    {
        resource_amount free = candidate.free;
        if ((free.covers(need) && !candidate.is_claimed) ||
            !accepts(*candidate.worker))
            continue;
        double seconds = 0.0;
        bool is_certain = true;
        for (auto next = candidate.releases.begin(); !free.covers(need); ++next)
        {
            if (next == candidate.releases.end() ||
                (best.worker != nullptr && next->seconds >= best.seconds))
                break;
            free += next->room;
            seconds = next->seconds;
            is_certain = is_certain && next->is_certain;
        }
        if (!free.covers(need) ||
            (best.worker != nullptr && seconds >= best.seconds))
            continue;
        free -= need;
        best = {candidate.worker, seconds, is_certain, free};
    }
    return best;
}

std::vector<expected_place>
rack_forecast::next_places(const resource_amount& need, int count,
                           int per_worker, const worker_filter& accepts) const
{
    const int most = per_worker == 0 ? count : std::min(per_worker, count);
    std::vector<expected_place> places;
    for (const entry& candidate : workers_)
    {
        if (!accepts(*candidate.worker))
            continue;
        resource_amount free = candidate.free;
        double seconds = 0.0;
        bool is_certain = true;
        auto next = candidate.releases.begin();
        for (int taken = 0; taken < most;)
        {
            if (free.covers(need))
            {
                free -= need;
                ++taken;
                places.push_back({candidate.worker, seconds, is_certain, free});
                continue;
            }
            if (next == candidate.releases.end())
                break;
            free += next->room;
            seconds = next->seconds;
            is_certain = is_certain && next->is_certain;
            ++next;
        }
    }
    if (places.size() < static_cast<std::size_t>(count))
        return {};
    std::stable_sort(places.begin(), places.end(),
                     [](const expected_place& left, const expected_place& right)
                     { return left.seconds < right.seconds; });
    places.resize(static_cast<std::size_t>(count));
    return places;
}

void rack_forecast::claim(const expected_place& place,
                          const resource_amount& need, double run_seconds)
{
    const auto found = std::find_if(workers_.begin(), workers_.end(),
                                    [&](const entry& candidate) {
                                        return candidate.worker == place.worker;
                                    });
    if (found == workers_.end())
        return;
    found->free -= need;
    found->is_claimed = true;
    ++claims_;
    const room_release end{place.seconds + run_seconds, need, place.is_certain};
    found->releases.insert(std::upper_bound(found->releases.begin(),
                                            found->releases.end(), end,
                                            is_earlier),
                           end);
}

} // namespace pimentograde::jobs
