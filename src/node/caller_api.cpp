#include "node/caller_api.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "platform/caller_key.hpp"
#include "platform/caller_protocol.hpp"
#include "platform/job_document.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

namespace
{

using submission_kind = pools::submission_answer::kind;
using job_kind = pools::job_answer::kind;

// For requests without a time limit; the user documentation promises 3 s.
constexpr std::chrono::milliseconds default_time_left{3000};
constexpr std::chrono::milliseconds max_time_left{10'000};
constexpr std::chrono::seconds outage_retry_after{1};
// Time reserved for sending a refusal.
constexpr std::chrono::milliseconds refusal_reserve{150};
// The record of the queues' pools may arrive shortly before the configuration.
constexpr std::chrono::milliseconds max_reassignment_wait{500};
constexpr std::chrono::milliseconds reassignment_poll_interval{10};

constexpr std::string_view outdated_reason =
    "the configuration may be outdated after a pause";

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned method_not_allowed = 405;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned too_large = 413;
constexpr unsigned service_unavailable = 503;
constexpr unsigned gateway_timeout = 504;

net::http_response retry_later(base::duration retry_after,
                               std::string_view reason,
                               unsigned status = service_unavailable)
{
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    net::http_response response{status, platform::write_reason(reason)};
    response.headers.emplace_back(
        "Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
    return response;
}

net::http_response refuse_other_tenant(std::string& reason)
{
    reason = "the id belongs to another tenant's job";
    return {conflict, platform::write_reason(reason)};
}

} // namespace

struct caller_api::call
{
    const net::http_request& request;
    std::string_view path{};
    const platform::queue_route* route = nullptr;
    /// Path after the queue's prefix.
    std::string_view job{};
    base::time_point deadline{};
    /// Name of the caller's tenant; empty if the call needs no key.
    std::string tenant{};
    /// The call needs a key, and the configuration could not be relied on when
    /// the key was checked.
    bool is_unverified = false;
    /// Reason for the response, for the log.
    std::string reason{};

    [[nodiscard]] named_job named() const { return {job, tenant}; }
};

caller_api::caller_api(pool_gateway& gateway, queue_recorder& queues,
                       metrics::registry& metrics,
                       std::function<bool()> is_current)
    : gateway_(gateway), queues_(queues), metrics_(metrics),
      is_current_(std::move(is_current))
{
}

void caller_api::set_configuration(const platform::configuration& current)
{
    configuration_ = current;
    tenants_.clear();
    for (const platform::tenant_settings& tenant : current.tenants)
    {
        // A caller without a tenant's name would see the jobs of all tenants.
        if (tenant.policy.name.empty())
            continue;
        for (const std::string& digest : tenant.key_digests)
            tenants_.add(digest, tenant.policy.name);
    }
}

net::http_response caller_api::handle(const net::http_request& request)
{
    const base::time_point begin = base::steady_now();
    call current{request, request.target};
    current.path = current.path.substr(0, current.path.find('?'));
    const base::duration time_left = std::clamp<base::duration>(
        platform::caller_time_left(request).value_or(default_time_left),
        base::duration::zero(), max_time_left);
    current.deadline = begin + time_left;
    net::http_response response = answer(current);
    log_request(current, response, begin);
    return response;
}

// What is denied, and what is counted, depends on the configuration.
net::http_response caller_api::answer(call& current)
{
    net::http_response response = answer_by_configuration(current);
    const bool depends = response.status == unauthorized ||
                         response.status == not_found ||
                         response.status == gone ||
                         (current.job.empty() && response.status == ok);
    if (!depends || is_current_())
        return response;
    current.reason = outdated_reason;
    return retry_later(outage_retry_after, current.reason);
}

net::http_response caller_api::answer_by_configuration(call& current)
{
    if (!is_configured())
    {
        current.reason = "no configuration yet";
        return retry_later(outage_retry_after, current.reason);
    }
    std::string_view host = current.request.host;
    host = host.substr(0, host.find(':'));
    current.route = configuration_->match(host, current.path);
    if (current.route == nullptr)
    {
        current.reason = "no such queue";
        return {not_found, platform::write_reason(current.reason)};
    }
    current.job = current.path.substr(current.route->path_prefix.size());
    const std::string& method = current.request.method;
    if (auto refusal = check_key(current))
        return std::move(*refusal);
    if (current.job.empty() && method == "GET")
        return pending_count(current);
    if (!platform::is_job_id(current.job))
    {
        current.reason = "the path names no job";
        return {not_found, platform::write_reason(current.reason)};
    }
    if (method == "POST")
        return submit(current);
    if (method == "GET")
        return status(current);
    if (method == "DELETE")
        return cancel(current);
    current.reason = "unknown method";
    return {method_not_allowed, platform::write_reason(current.reason)};
}

std::optional<net::http_response> caller_api::check_key(call& current)
{
    current.tenant.clear();
    current.is_unverified = false;
    if (!configuration_->has_tenants || current.route->is_public)
        return std::nullopt;
    if (!is_current_())
    {
        current.is_unverified = true;
        // Looked up first: a 503 says that the job never runs, and an earlier
        // call may have handed it in.
        if (current.request.method == "POST" &&
            platform::is_job_id(current.job))
            return std::nullopt;
        current.reason = outdated_reason;
        return retry_later(outage_retry_after, current.reason);
    }
    using kind = platform::caller_key::kind;
    const platform::caller_key key = platform::read_key(current.request);
    if (key.outcome == kind::repeated || key.outcome == kind::malformed)
        return refuse_key(current, to_string(key.outcome), bad_request);
    if (key.outcome != kind::present)
        return refuse_key(current, to_string(key.outcome), unauthorized);
    const std::string* tenant = tenants_.find(key.text);
    if (tenant == nullptr)
        return refuse_key(current, "unknown", unauthorized);
    current.tenant = *tenant;
    return std::nullopt;
}

net::http_response caller_api::refuse_key(call& current, std::string_view cause,
                                          unsigned status)
{
    metrics_
        .get_counter("pimentograde_key_refusals_total",
                     metrics::label("reason", cause))
        .add();
    log::write(event_key_refused,
               {{"job", current.job},
                {"reason", cause},
                {"queue", current.route->policy.name},
                {"host", current.route->host},
                {"prefix", current.route->path_prefix},
                {"config_version", configuration_->version}});
    current.reason = std::string("the key is refused: ").append(cause);
    net::http_response response{status, platform::write_reason(current.reason)};
    if (status == unauthorized)
        response.headers.emplace_back("WWW-Authenticate", "Token");
    return response;
}

net::http_response caller_api::submit(call& current)
{
    if (current.request.body.size() > configuration_->max_body_bytes)
    {
        current.reason = "the body is too large";
        return {too_large, platform::write_reason(current.reason)};
    }
    // Copied: the configuration may change during the calls.
    const platform::queue_route route = *current.route;
    jobs::job_spec spec;
    try
    {
        spec = platform::read_job(current.request.body);
    }
    catch (const base::error& failure)
    {
        current.reason = failure.detail();
        return {bad_request, platform::write_reason(current.reason)};
    }
    // Stored before the earlier pools are asked: from then on each owner of
    // them learns of the assignment, by the question or from the store.
    const auto assignment =
        queues_.wait_stored(route, current.deadline - refusal_reserve);
    if (!assignment && queues_.knowledge().is_superseded(route))
        return submit_reassigned(current);
    if (auto known = find_in_earlier_pools(
            current, route,
            assignment.value_or(queues_.knowledge().newest(route))))
        return std::move(*known);
    if (!assignment)
    {
        current.reason = "the queue's pool is not stored yet";
        return retry_later(outage_retry_after, current.reason, gateway_timeout);
    }
    const auto reply =
        !current.is_unverified && is_current_()
            ? gateway_.submit(route.policy, *assignment, current.named(),
                              std::move(spec), current.deadline)
            : gateway_.refuse(route.policy, *assignment, current.named(),
                              std::string(outdated_reason), current.deadline);
    current.reason = reply.reason;
    if (reply.outcome == submission_kind::accepted)
        return answer_accepted(current);
    if (reply.outcome == submission_kind::other_tenant)
        return refuse_other_tenant(current.reason);
    if (reply.outcome == submission_kind::refused)
        return retry_later(reply.retry_after, reply.reason);
    // A caller that has waited already may ask again at once.
    if (reply.retry_after == base::duration::zero())
        return {gateway_timeout, platform::write_reason(current.reason)};
    return retry_later(reply.retry_after, reply.reason, gateway_timeout);
}

net::http_response caller_api::answer_accepted(call& current)
{
    if (!current.is_unverified)
        return {ok, "{}"};
    current.reason = outdated_reason;
    return retry_later(outage_retry_after, current.reason, gateway_timeout);
}

net::http_response caller_api::submit_reassigned(call& current)
{
    const std::int64_t version = configuration_->version;
    const base::time_point until =
        std::min<base::time_point>(current.deadline - refusal_reserve,
                                   base::steady_now() + max_reassignment_wait);
    while (configuration_->version == version && base::steady_now() < until)
        boost::this_fiber::sleep_for(reassignment_poll_interval);
    if (configuration_->version != version)
        return answer_by_configuration(current);
    current.reason = "the queue has been assigned to another pool";
    return retry_later(outage_retry_after, current.reason, gateway_timeout);
}

// If the queue's pool has changed, a resubmitted job may already exist in an
// earlier pool; it must not be accepted a second time.
std::optional<net::http_response>
caller_api::find_in_earlier_pools(call& current,
                                  const platform::queue_route& route,
                                  const peer::queue_assignment& assignment)
{
    const auto policies = policies_of(route);
    for (std::size_t index = 1; index < policies.size(); ++index)
    {
        const auto reply = gateway_.status_before_submission(
            policies[index], assignment, current.named(), current.deadline);
        if (reply.outcome == job_kind::found)
        {
            current.reason = "accepted before";
            return answer_accepted(current);
        }
        if (reply.outcome == job_kind::other_tenant)
            return refuse_other_tenant(current.reason);
        if (reply.outcome == job_kind::absent)
            continue;
        current.reason = "an earlier pool of the queue does not answer";
        return net::http_response{gateway_timeout,
                                  platform::write_reason(current.reason)};
    }
    return std::nullopt;
}

std::vector<jobs::queue_policy>
caller_api::policies_of(const platform::queue_route& route) const
{
    std::vector<jobs::queue_policy> policies{route.policy};
    for (const std::string& pool : queues_.knowledge().earlier_pools(route))
    {
        policies.push_back(route.policy);
        policies.back().pool = pool;
    }
    return policies;
}

net::http_response caller_api::status(call& current)
{
    bool is_certain = true;
    const auto assignment = queues_.knowledge().newest(*current.route);
    for (const auto& queue : policies_of(*current.route))
    {
        const auto reply = gateway_.status(queue, assignment, current.named(),
                                           current.deadline);
        if (reply.outcome == job_kind::found)
            return {ok, platform::write_status(reply.status)};
        is_certain = is_certain && reply.outcome == job_kind::absent;
    }
    if (is_certain)
    {
        current.reason = "no such job";
        return {gone, platform::write_reason(current.reason)};
    }
    current.reason = "the pool's owner does not answer";
    return retry_later(outage_retry_after, current.reason);
}

net::http_response caller_api::cancel(call& current)
{
    bool is_certain = true;
    const auto assignment = queues_.knowledge().newest(*current.route);
    for (const auto& queue : policies_of(*current.route))
    {
        const auto reply = gateway_.cancel(queue, assignment, current.named(),
                                           current.deadline);
        if (reply.outcome == job_kind::found)
            return {ok, "{}"};
        is_certain = is_certain && reply.outcome == job_kind::absent;
    }
    if (is_certain)
    {
        current.reason = "no such job";
        return {gone, platform::write_reason(current.reason)};
    }
    current.reason = "the cancellation is not stored";
    return retry_later(outage_retry_after, current.reason);
}

// Jobs wait in each pool that the queue has had. Nobody owns a pool that is no
// longer configured, and nothing starts there.
net::http_response caller_api::pending_count(call& current)
{
    std::int64_t count = 0;
    const std::string current_pool = current.route->policy.pool;
    const auto assignment = queues_.knowledge().newest(*current.route);
    for (const auto& queue : policies_of(*current.route))
    {
        if (queue.pool != current_pool &&
            !configuration_->has_active_pool(queue.pool))
            continue;
        const auto pending =
            gateway_.pending(queue, assignment, current.deadline);
        if (!pending)
        {
            current.reason = "the pool's owner does not answer";
            return retry_later(outage_retry_after, current.reason);
        }
        count += *pending;
    }
    return {ok, platform::write_pending(count)};
}

void caller_api::log_request(const call& current,
                             const net::http_response& response,
                             base::time_point begin)
{
    const base::duration took = base::steady_now() - begin;
    const std::string& method = current.request.method;
    metrics_.get_histogram("pimentograde_call_seconds")
        .observe(base::count_seconds(took));
    metrics_
        .get_counter("pimentograde_calls_total",
                     metrics::label("status", std::to_string(response.status)))
        .add();
    // Successful reads change nothing and are not logged.
    if (method == "GET" && response.status == ok)
        return;
    log::write(event_request, {{"job", current.job},
                               {"method", method},
                               {"path", current.path},
                               {"status", response.status},
                               {"reason", current.reason},
                               {"config_version",
                                configuration_ ? configuration_->version : 0},
                               {"took_ms", base::count_millis(took)}});
}

} // namespace pimentograde::node
