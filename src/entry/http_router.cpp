#include "entry/http_router.hpp"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace pimentograde::entry
{

std::vector<std::string> path_segments(std::string_view target)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return {};
    std::vector<std::string> segments;
    for (const auto& segment : parsed->segments())
        segments.emplace_back(segment);
    return segments;
}

std::string_view bearer_token(const net::http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = request.authorization;
    if (!value.starts_with(scheme))
        return {};
    return value.substr(scheme.size());
}

} // namespace pimentograde::entry
