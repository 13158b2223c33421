#ifndef PIMENTOGRADE_JOBS_RACK_FORECAST_HPP
#define PIMENTOGRADE_JOBS_RACK_FORECAST_HPP

#include "jobs/worker_view.hpp"

#include <functional>
#include <vector>

namespace pimentograde::jobs
{

/// Room that a run leaves at its expected end.
struct room_release
{
    double seconds = 0.0;
    resource_amount room;
    bool is_certain = false;
};

/// A place on a worker that is expected to be free in `seconds`.
struct expected_place
{
    worker_view* worker = nullptr;
    double seconds = 0.0;
    bool is_certain = false;
    /// Room on the worker then, beside the place.
    resource_amount spare;
};

/// When places on the workers of one rack will be free, in one plan. Tasks that
/// wait claim their places, so that those behind them expect later ones.
class rack_forecast
{
public:
    using worker_filter = std::function<bool(const worker_view&)>;

    /// `releases` leaves out runs whose end cannot be estimated.
    void add_worker(worker_view& worker, std::vector<room_release> releases);
    /// The earliest place for one task. A worker with room now that nobody
    /// claims is left out: the task was not placed there for another reason.
    [[nodiscard]] expected_place next_place(const resource_amount& need,
                                            const worker_filter& accepts) const;
    /// The earliest `count` places, at most `per_worker` on a worker if it is
    /// not 0, in the order of time; empty if there are fewer.
    [[nodiscard]] std::vector<expected_place>
    next_places(const resource_amount& need, int count, int per_worker,
                const worker_filter& accepts) const;
    /// A task takes the place for `run_seconds` from its time on.
    void claim(const expected_place& place, const resource_amount& need,
               double run_seconds);

    /// Number of claimed places.
    [[nodiscard]] int claims() const { return claims_; }

private:
    struct entry
    {
        worker_view* worker = nullptr;
        /// Less than nothing while claims wait for releases.
        resource_amount free;
        bool is_claimed = false;
        /// In the order of time.
        std::vector<room_release> releases;
    };

    std::vector<entry> workers_;
    int claims_ = 0;
};

} // namespace pimentograde::jobs

#endif
