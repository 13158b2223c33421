#ifndef PIMENTOGRADE_ENTRY_OPERATOR_LISTENER_HPP
#define PIMENTOGRADE_ENTRY_OPERATOR_LISTENER_HPP

#include "entry/access_control.hpp"
#include "entry/http_router.hpp"
#include "net/endpoint.hpp"
#include "net/http_server.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::entry
{

/// One operator request, after the token and the role were checked.
struct operator_call
{
    operator_identity who;
    path_arguments arguments;
    std::string body;
};

/// HTTP listener for operators. Routes are added by the entry instance; each
/// states the role that it needs.
class operator_listener
{
public:
    using handler = std::function<boost::json::value(const operator_call&)>;

    class builder
    {
    public:
        builder& listen_on(net::endpoint where);
        builder& find_operator_with(
            std::function<std::optional<operator_identity>(std::string_view)>
                function);
        /// Text of `GET /metrics`, which needs no token: scrapers have none.
        builder& metrics_from(std::function<std::string()> function);
        /// Any of the roles of the operators may call a route with role
        /// `viewer`; other routes need exactly their role.
        builder& route(std::string_view method, std::string_view pattern,
                       config::operator_role role, handler function);
        /// Throws `base::error` when the address cannot be bound.
        std::unique_ptr<operator_listener> build();

    private:
        friend class operator_listener;

        struct route_entry
        {
            config::operator_role role;
            handler function;
        };

        net::endpoint where_;
        std::function<std::optional<operator_identity>(std::string_view)>
            find_operator_;
        std::function<std::string()> metrics_;
        http_router<route_entry> router_;
    };

    ~operator_listener();
    operator_listener(const operator_listener&) = delete;
    operator_listener& operator=(const operator_listener&) = delete;

    [[nodiscard]] const net::endpoint& local_endpoint() const;
    bool stop_gracefully(base::time_point deadline);

private:
    struct impl;
    explicit operator_listener(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::entry

#endif
