#ifndef PIMENTOGRADE_NET_HTTP_MESSAGE_HPP
#define PIMENTOGRADE_NET_HTTP_MESSAGE_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace pimentograde::net
{

/// A header field's name and value.
using http_field = std::pair<std::string, std::string>;

struct http_request
{
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
    /// Value of the Authorization field; empty when absent.
    std::string authorization;
    /// Address and port of the client, for errors and logs.
    std::string peer;
    /// Value of the Host field; empty in a client for the server's address.
    std::string host{};
    /// In a client, fields to send besides the usual ones; in a server, all
    /// fields that arrived.
    std::vector<http_field> headers{};
    /// In a client, asked once the connection stands, right before the request
    /// is written; false keeps it back. Empty for no condition.
    std::function<bool()> may_send{};
};

struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Fields to send besides the usual ones.
    std::vector<http_field> headers{};
};

/// Bounds of what a server or client accepts.
struct http_limits
{
    std::size_t max_header_bytes = 8 * 1024;
    std::size_t max_body_bytes = 1536 * 1024;
};

} // namespace pimentograde::net

#endif
