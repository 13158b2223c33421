#ifndef PIMENTOGRADE_ENTRY_CALLER_LISTENER_HPP
#define PIMENTOGRADE_ENTRY_CALLER_LISTENER_HPP

#include "base/work.hpp"
#include "entry/access_control.hpp"
#include "net/endpoint.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace pimentograde::entry
{

/// What the caller listener needs from the entry instance.
struct caller_operations
{
    std::function<std::optional<caller_identity>(std::string_view token)>
        find_caller;
    /// Runs a request or records a job; suspends the fiber meanwhile.
    std::function<base::work_result(const base::submission&)> submit;
    /// The recorded state of a request; empty when there is no record.
    std::function<std::optional<base::work_result>(const base::work_identity&)>
        find_request;
    /// The state of a job of this caller; empty when there is none.
    std::function<std::optional<base::work_result>(const caller_identity&,
                                                   const base::job_id&)>
        find_job;
    std::function<std::optional<base::work_result>(const caller_identity&,
                                                   const base::job_id&)>
        cancel_job;
    /// What the load balancer reads at /readyz.
    std::function<bool()> is_ready;
    /// Whether submissions are taken. Stays true at first in a planned stop,
    /// until the load balancer has noticed.
    std::function<bool()> takes_work;
};

/// HTTP listener for callers: requests, jobs and health.
class caller_listener
{
public:
    class builder
    {
    public:
        builder& listen_on(net::endpoint where);
        builder& use(caller_operations operations);
        /// Submissions in progress beyond this are refused as not run.
        builder& max_in_progress(std::size_t count);
        /// Throws `base::error` when the address cannot be bound.
        std::unique_ptr<caller_listener> build();

    private:
        net::endpoint where_;
        caller_operations operations_;
        std::size_t max_in_progress_ = 4000;
    };

    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    [[nodiscard]] const net::endpoint& local_endpoint() const;
    [[nodiscard]] std::size_t in_progress() const;
    /// See `net::http_server::stop_gracefully`.
    bool stop_gracefully(base::time_point deadline);

private:
    struct impl;
    explicit caller_listener(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::entry

#endif
