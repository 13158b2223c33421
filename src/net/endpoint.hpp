#ifndef PIMENTOGRADE_NET_ENDPOINT_HPP
#define PIMENTOGRADE_NET_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::net
{

/// IP address and TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// `address:port`, with brackets around an IPv6 address.
std::string to_string(const endpoint& where);

/// Parses `address:port`; empty when the text is not an IP address and port.
std::optional<endpoint> parse_endpoint(std::string_view text);
/// The same; also empty when no peer can be reached there: port 0, or an
/// unspecified or multicast address.
std::optional<endpoint> parse_peer_endpoint(std::string_view text);

} // namespace pimentograde::net

#endif
