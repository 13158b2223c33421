#ifndef PIMENTOGRADE_POOLS_POOL_OWNER_HPP
#define PIMENTOGRADE_POOLS_POOL_OWNER_HPP

#include "base/time.hpp"
#include "jobs/pool_state.hpp"
#include "metrics/registry.hpp"
#include "net/http_client.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::pools
{

/// Answer to a submission.
struct submission_answer
{
    enum class kind
    {
        accepted,
        /// Not accepted, and it never runs.
        refused,
        /// The result is not known yet; the job may still be accepted.
        unknown,
        /// Not accepted: another tenant has a job of that id.
        other_tenant
    };
    kind outcome = kind::accepted;
    base::duration retry_after{};
    std::string reason;
};

/// Which jobs a submission may concern.
enum class admission
{
    all_jobs,
    /// The queue's new jobs may be accepted in another pool.
    known_jobs
};

/// Answer to a status query or a cancellation of one job.
struct job_answer
{
    enum class kind
    {
        found,
        /// No such job.
        absent,
        /// The pool is not loaded, or the change is not stored yet.
        unavailable,
        /// The job belongs to another tenant. Only before a submission;
        /// otherwise such a job is `absent`.
        other_tenant
    };
    kind outcome = kind::found;
    jobs::reported_status status = jobs::reported_status::queued;
};

/// Runs the jobs of one pool while this instance owns it. Ownership is fenced:
/// workers ignore the orders of an earlier owner, and the store rejects its
/// writes.
class pool_owner
{
public:
    class builder
    {
    public:
        builder& pool(std::string name);
        /// Store key of the ownership and the revision at which it was written.
        /// The revision is also the fence.
        builder& ownership(std::string key, std::int64_t revision);
        builder& store(platform::store_client& client);
        builder& http(net::http_client& client);
        /// Maximum lease that workers grant.
        builder& worker_lease(base::duration length);
        /// See `jobs::pool_state::set_remote_factor`.
        builder& remote_factor(double factor);
        /// Whether tasks wait for rack-local places while that pays.
        builder& near_wait(bool is_enabled);
        /// Whether tasks avoid workers whose runs take longer than expected.
        builder& worker_speed(bool is_used);
        /// How long a worker may take to stop a run.
        builder& stop_time(base::duration longest);
        /// Where the owner counts its decisions; nowhere if not set.
        builder& counters(metrics::registry& registry);
        /// Returns whether the instance's lease still allows orders.
        builder& may_order(std::function<bool()> check);
        /// Returns whether no other instance can own the pool at present. If
        /// not set, none ever can.
        builder& holds_lease(std::function<bool()> check);
        /// Called once when the ownership ends.
        builder& on_lost(std::function<void(std::string_view reason)> hook);
        /// Called while the pool is loaded, again after it has thrown. For what
        /// has to be read after the claim, before a job is accepted or denied.
        builder& on_load(std::function<void()> read);
        std::unique_ptr<pool_owner> build();

    private:
        friend class pool_owner;
        std::string pool_;
        std::string key_;
        std::int64_t revision_ = 0;
        platform::store_client* store_ = nullptr;
        net::http_client* http_ = nullptr;
        base::duration lease_{};
        double remote_factor_ = 1.0;
        bool near_wait_ = false;
        bool worker_speed_ = false;
        base::duration stop_time_{};
        metrics::registry* counters_ = nullptr;
        std::function<bool()> may_order_;
        std::function<bool()> holds_lease_ = []
        {
            return true;
        };
        std::function<void(std::string_view)> lost_;
        std::function<void()> load_ = [] {
        };
    };

    ~pool_owner();
    pool_owner(const pool_owner&) = delete;
    pool_owner& operator=(const pool_owner&) = delete;

    /// Loads the pool's jobs and runs them, on fibers of its own.
    void start();
    /// Stops sending orders, stores pending changes and leaves the runs to the
    /// next owner. The destructor also waits for requests to workers that are
    /// in progress.
    void quiesce();

    void set_policies(std::span<const jobs::queue_policy> policies);
    /// Sets the policy of a queue that this owner does not know yet.
    void add_policy(const jobs::queue_policy& policy);
    /// See `jobs::pool_state::set_tenants`.
    void set_tenants(std::span<const jobs::tenant_policy> tenants);
    /// Sets all workers of the pool that the store lists.
    void set_workers(std::span<const jobs::worker_description> workers);

    /// `tenant` is the caller's; empty where none applies.
    submission_answer submit(std::string_view id, jobs::job_spec spec,
                             std::string_view queue, base::time_point deadline,
                             admission admitted = admission::all_jobs,
                             std::string_view tenant = {});
    job_answer status(std::string_view id) const;
    /// The same; accepts no job for which it answers `absent`, since it is
    /// accepted in another pool then.
    job_answer status_before_submission(std::string_view id);
    job_answer cancel(std::string_view id, base::time_point deadline);
    /// Pending jobs of the queue; empty while the pool is not loaded.
    [[nodiscard]] std::optional<int> pending(std::string_view queue) const;

    /// Frees a worker for maintenance or a move; see
    /// `jobs::pool_state::prepare_leave`. Returns false while the pool is not
    /// loaded, or another instance can own it.
    bool release_worker(std::string_view worker, base::duration hold);
    /// See `jobs::pool_state::set_leaving_soon`.
    void set_leaving_soon(std::span<const std::string> workers);
    /// See `jobs::pool_state::end_worker`.
    void end_worker(std::string_view worker);

    [[nodiscard]] const std::string& pool() const;
    [[nodiscard]] std::int64_t fence() const;
    [[nodiscard]] bool is_loaded() const;
    /// Whether it is loaded and not ending; otherwise nothing is said about
    /// jobs.
    [[nodiscard]] bool answers_callers() const;
    [[nodiscard]] const jobs::pool_state& state() const;

private:
    struct impl;
    explicit pool_owner(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::pools

#endif
