#include "entry/caller_listener.hpp"

#include "base/error.hpp"
#include "entry/events.hpp"
#include "entry/http_router.hpp"
#include "entry/submission_codec.hpp"

#include <utility>

namespace pimentograde::entry
{

struct caller_listener::impl
{
    using handler = std::function<net::http_response(const caller_identity&,
                                                     const net::http_request&,
                                                     const path_arguments&)>;

    caller_operations operations;
    std::size_t max_in_progress = 0;
    std::size_t in_progress = 0;
    http_router<handler> router;
    std::unique_ptr<net::http_server> server;

    void add_routes();
    net::http_response handle(const net::http_request& request);
    net::http_response submit(const caller_identity& caller,
                              const net::http_request& request,
                              base::work_kind kind);
};

namespace
{

// Counts a submission as in progress while it exists.
class progress_guard
{
public:
    explicit progress_guard(std::size_t& count) : count_(count) { ++count_; }
    ~progress_guard() { --count_; }
    progress_guard(const progress_guard&) = delete;
    progress_guard& operator=(const progress_guard&) = delete;

private:
    std::size_t& count_;
};

net::http_response found_or_404(const std::optional<base::work_result>& found)
{
    if (!found)
        throw base::error(base::error_code::not_found, "find work", "",
                          "no such request or job of this caller");
    auto response = to_response(*found);
    // The query itself succeeded, whatever the state of the work.
    response.status = 200;
    return response;
}

} // namespace

void caller_listener::impl::add_routes()
{
    router.add("POST", "/v1/requests",
               [this](const caller_identity& caller,
                      const net::http_request& request, const path_arguments&)
               { return submit(caller, request, base::work_kind::request); });
    router.add("POST", "/v1/jobs",
               [this](const caller_identity& caller,
                      const net::http_request& request, const path_arguments&)
               { return submit(caller, request, base::work_kind::job); });
    router.add("GET", "/v1/requests/{}",
               [this](const caller_identity& caller, const net::http_request&,
                      const path_arguments& arguments)
               {
                   return found_or_404(operations.find_request(
                       {caller.department, caller.caller, arguments[0]}));
               });
    router.add("GET", "/v1/jobs/{}",
               [this](const caller_identity& caller, const net::http_request&,
                      const path_arguments& arguments)
               {
                   return found_or_404(
                       operations.find_job(caller, base::job_id(arguments[0])));
               });
    router.add("DELETE", "/v1/jobs/{}",
               [this](const caller_identity& caller, const net::http_request&,
                      const path_arguments& arguments)
               {
                   return found_or_404(operations.cancel_job(
                       caller, base::job_id(arguments[0])));
               });
}

net::http_response
caller_listener::impl::handle(const net::http_request& request)
{
    if (request.target == "/healthz")
        return {200, R"({"status":"alive"})"};
    if (request.target == "/readyz")
        return operations.is_ready()
                   ? net::http_response{200, R"({"status":"ready"})"}
                   : net::http_response{503, R"({"status":"not_ready"})"};
    const auto caller = operations.find_caller(bearer_token(request));
    // Without a bundle no caller is known: that is no fault of the token.
    if (!caller && !operations.takes_work())
        return to_response({base::work_status::not_run, {}, {}, "not_ready"});
    if (!caller)
    {
        log::write(event_caller_refused,
                   {{"peer", request.peer}, {"target", request.target}});
        return {401, R"({"error":"unauthorized","detail":"unknown token"})"};
    }
    path_arguments arguments;
    const handler* found = router.find(request, arguments);
    if (found == nullptr)
        throw base::error(base::error_code::not_found, "route", request.peer,
                          "no such method and path");
    return (*found)(*caller, request, arguments);
}

net::http_response
caller_listener::impl::submit(const caller_identity& caller,
                              const net::http_request& request,
                              base::work_kind kind)
{
    auto work = parse_submission(request.body, kind, base::wall_now());
    work.identity.department = caller.department;
    work.identity.caller = caller.caller;
    if (!operations.takes_work())
        return to_response({base::work_status::not_run, {}, {}, "not_ready"});
    if (in_progress >= max_in_progress)
    {
        log::write(event_overloaded, {{"in_progress", in_progress}});
        return to_response({base::work_status::not_run, {}, {}, "overloaded"});
    }
    const progress_guard guard(in_progress);
    return to_response(operations.submit(work));
}

caller_listener::builder&
caller_listener::builder::listen_on(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

caller_listener::builder&
caller_listener::builder::use(caller_operations operations)
{
    operations_ = std::move(operations);
    return *this;
}

caller_listener::builder&
caller_listener::builder::max_in_progress(std::size_t count)
{
    max_in_progress_ = count;
    return *this;
}

std::unique_ptr<caller_listener> caller_listener::builder::build()
{
    auto state = std::make_unique<impl>();
    impl* const self = state.get();
    self->operations = operations_;
    self->max_in_progress = max_in_progress_;
    self->add_routes();
    net::http_limits limits;
    // JSON escapes can make a payload up to six times longer.
    limits.max_body_bytes = 6 * max_payload_bytes;
    self->server = net::http_server::builder{}
                       .listen_on(where_)
                       .limits(limits)
                       .handle_with([self](const net::http_request& request)
                                    { return self->handle(request); })
                       .build();
    return std::unique_ptr<caller_listener>(
        new caller_listener(std::move(state)));
}

caller_listener::caller_listener(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

caller_listener::~caller_listener() = default;

const net::endpoint& caller_listener::local_endpoint() const
{
    return impl_->server->local_endpoint();
}

std::size_t caller_listener::in_progress() const
{
    return impl_->in_progress;
}

bool caller_listener::stop_gracefully(base::time_point deadline)
{
    return impl_->server->stop_gracefully(deadline);
}

} // namespace pimentograde::entry
