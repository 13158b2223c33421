#include "jobs/near_placement.hpp"

#include <cmath>

namespace pimentograde::jobs
{

void near_placement::begin_plan(std::span<worker_view* const> workers,
                                const resource_amount& waiting,
                                std::size_t jobs)
{
    racks_.clear();
    spare_.clear();
    resource_amount free;
    capacity_millis_ = 0.0;
    for (const worker_view* worker : workers)
    {
        free += worker->free();
        capacity_millis_ +=
            static_cast<double>(worker->description.capacity.cpu_millis);
    }
    is_full_ = !free.covers(waiting);
    waiting_jobs_ = jobs;
}

rack_forecast* near_placement::find(const std::string& key)
{
    const auto found = racks_.find(key);
    return found == racks_.end() ? nullptr : &found->second;
}

rack_forecast& near_placement::add(const std::string& key,
                                   rack_forecast forecast)
{
    return racks_.insert_or_assign(key, std::move(forecast)).first->second;
}

void near_placement::reserve(const expected_place& place)
{
    spare_.insert_or_assign(place.worker, place.spare);
}

std::vector<worker_view*>
near_placement::unreserved(std::span<worker_view* const> workers,
                           const resource_amount& need) const
{
    std::vector<worker_view*> result;
    result.reserve(workers.size());
    for (worker_view* worker : workers)
    {
        const auto found = spare_.find(worker);
        if (found == spare_.end() || found->second.covers(need))
            result.push_back(worker);
    }
    return result;
}

void near_placement::note_start(worker_view& worker,
                                const resource_amount& need)
{
    if (const auto found = spare_.find(&worker); found != spare_.end())
        found->second -= need;
}

double near_placement::delay_of_others(const resource_amount& need,
                                       double seconds) const
{
    if (!is_full_ || waiting_jobs_ < 2 || capacity_millis_ <= 0.0)
        return 0.0;
    return seconds * static_cast<double>(need.cpu_millis) / capacity_millis_ *
           static_cast<double>(waiting_jobs_ - 1);
}

void near_placement::count_start(bool is_local) const
{
    if (counters_ != nullptr)
        counters_
            ->get_counter(
                "pimentograde_near_starts_total",
                metrics::label("place", is_local ? "rack_local" : "remote"))
            .add();
}

void near_placement::count_passed_slow() const
{
    if (counters_ != nullptr)
        counters_->get_counter("pimentograde_starts_past_slow_workers_total")
            .add();
}

void near_placement::count_wait(std::string_view outcome, double seconds) const
{
    if (counters_ == nullptr)
        return;
    counters_
        ->get_counter("pimentograde_near_waits_total",
                      metrics::label("outcome", outcome))
        .add();
    constexpr double millis_per_second = 1000.0;
    counters_->get_counter("pimentograde_near_wait_milliseconds_total")
        .add(static_cast<std::uint64_t>(
            std::lround(seconds * millis_per_second)));
}

} // namespace pimentograde::jobs
