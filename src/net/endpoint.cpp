#include "net/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace pimentograde::net
{

std::string to_string(const endpoint& where)
{
    const bool is_v6 = where.address.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + where.address + "]" : where.address;
    return host + ":" + std::to_string(where.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    boost::system::error_code failure;
    const auto address =
        boost::asio::ip::make_address(std::string(host), failure);
    if (failure || address.is_v6() != bracketed)
        return std::nullopt;
    return endpoint{std::string(host), port};
}

std::optional<endpoint> parse_peer_endpoint(std::string_view text)
{
    auto where = parse_endpoint(text);
    if (!where || where->port == 0)
        return std::nullopt;
    const auto address = boost::asio::ip::make_address(where->address);
    if (address.is_unspecified() || address.is_multicast())
        return std::nullopt;
    return where;
}

} // namespace pimentograde::net
