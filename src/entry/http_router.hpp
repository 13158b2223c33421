#ifndef PIMENTOGRADE_ENTRY_HTTP_ROUTER_HPP
#define PIMENTOGRADE_ENTRY_HTTP_ROUTER_HPP

#include "net/http_message.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::entry
{

/// Values of the `{}` segments of a route's pattern, in order.
using path_arguments = std::vector<std::string>;

/// Chooses a handler by method and path. A pattern such as `/v1/jobs/{}`
/// matches one non-empty segment for each `{}`.
template <class Handler>
class http_router
{
public:
    void add(std::string_view method, std::string_view pattern,
             Handler handler);

    /// The handler for a request, or null. Fills `arguments`.
    const Handler* find(const net::http_request& request,
                        path_arguments& arguments) const;

private:
    struct route
    {
        std::string method;
        std::vector<std::string> segments;
        Handler handler;
    };

    std::vector<route> routes_;
};

/// Segments of the path of `target`, without the query. Percent-encoding is
/// decoded; a malformed target gives no segments.
std::vector<std::string> path_segments(std::string_view target);

/// The token of a `Bearer` authorization; empty for any other scheme.
std::string_view bearer_token(const net::http_request& request);

template <class Handler>
void http_router<Handler>::add(std::string_view method,
                               std::string_view pattern, Handler handler)
{
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start <= pattern.size())
    {
        const std::size_t end =
            std::min(pattern.find('/', start), pattern.size());
        segments.emplace_back(pattern.substr(start, end - start));
        start = end + 1;
    }
    routes_.push_back(
        {std::string(method), std::move(segments), std::move(handler)});
}

template <class Handler>
const Handler* http_router<Handler>::find(const net::http_request& request,
                                          path_arguments& arguments) const
{
    const auto segments = path_segments(request.target);
    for (const route& candidate : routes_)
    {
        if (candidate.method != request.method ||
            candidate.segments.size() != segments.size())
            continue;
        arguments.clear();
        bool matches = true;
        for (std::size_t i = 0; i < segments.size() && matches; ++i)
        {
            const bool is_argument = candidate.segments[i] == "{}";
            if (is_argument)
                arguments.push_back(segments[i]);
            matches = is_argument ? !segments[i].empty()
                                  : candidate.segments[i] == segments[i];
        }
        if (matches)
            return &candidate.handler;
    }
    return nullptr;
}

} // namespace pimentograde::entry

#endif
