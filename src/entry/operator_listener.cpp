#include "entry/operator_listener.hpp"

#include "base/error.hpp"
#include "entry/events.hpp"

#include <boost/json/serialize.hpp>

#include <utility>

namespace pimentograde::entry
{

struct operator_listener::impl
{
    builder parts;
    std::unique_ptr<net::http_server> server;

    net::http_response handle(const net::http_request& request);
};

namespace
{

void log_refusal(const net::http_request& request, std::string_view name,
                 std::string_view reason)
{
    log::write(event_operator_refused, {{"peer", request.peer},
                                        {"operator", name},
                                        {"target", request.target},
                                        {"reason", reason}});
}

} // namespace

net::http_response
operator_listener::impl::handle(const net::http_request& request)
{
    if (request.target == "/healthz")
        return {200, R"({"status":"alive"})"};
    if (request.target == "/metrics" && request.method == "GET")
        return {200, parts.metrics_(), "text/plain; version=0.0.4"};
    const auto who = parts.find_operator_(bearer_token(request));
    if (!who)
    {
        log_refusal(request, "", "unknown token");
        throw base::error(base::error_code::unauthorized, "operator request",
                          request.peer, "unknown token");
    }
    operator_call call{*who, {}, request.body};
    const auto* route = parts.router_.find(request, call.arguments);
    if (route == nullptr)
        throw base::error(base::error_code::not_found, "operator request",
                          request.peer, "no such method and path");
    if (route->role != config::operator_role::viewer &&
        route->role != who->role)
    {
        log_refusal(request, who->name, "role");
        throw base::error(base::error_code::unauthorized, "operator request",
                          request.peer, "the role does not allow this");
    }
    return {200, boost::json::serialize(route->function(call))};
}

operator_listener::builder&
operator_listener::builder::listen_on(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

operator_listener::builder& operator_listener::builder::find_operator_with(
    std::function<std::optional<operator_identity>(std::string_view)> function)
{
    find_operator_ = std::move(function);
    return *this;
}

operator_listener::builder&
operator_listener::builder::metrics_from(std::function<std::string()> function)
{
    metrics_ = std::move(function);
    return *this;
}

operator_listener::builder&
operator_listener::builder::route(std::string_view method,
                                  std::string_view pattern,
                                  config::operator_role role, handler function)
{
    router_.add(method, pattern, {role, std::move(function)});
    return *this;
}

std::unique_ptr<operator_listener> operator_listener::builder::build()
{
    auto state = std::make_unique<impl>();
    impl* const self = state.get();
    self->parts = *this;
    self->server = net::http_server::builder{}
                       .listen_on(where_)
                       .handle_with([self](const net::http_request& request)
                                    { return self->handle(request); })
                       .build();
    return std::unique_ptr<operator_listener>(
        new operator_listener(std::move(state)));
}

operator_listener::operator_listener(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

operator_listener::~operator_listener() = default;

const net::endpoint& operator_listener::local_endpoint() const
{
    return impl_->server->local_endpoint();
}

bool operator_listener::stop_gracefully(base::time_point deadline)
{
    return impl_->server->stop_gracefully(deadline);
}

} // namespace pimentograde::entry
