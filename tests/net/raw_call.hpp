#ifndef PIMENTOGRADE_TESTS_NET_RAW_CALL_HPP
#define PIMENTOGRADE_TESTS_NET_RAW_CALL_HPP

#include "net/await.hpp"
#include "net/endpoint.hpp"
#include "net/io_scheduler.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

namespace pimentograde::net_tests
{

/// A connection for requests that the product's own client does not send.
class raw_connection
{
public:
    explicit raw_connection(const net::endpoint& where)
        : socket_(net::this_thread_io())
    {
        net::await_io<int>(
            [&](auto done)
            {
                socket_.async_connect(
                    {boost::asio::ip::make_address(where.address), where.port},
                    [done](const boost::system::error_code& failure) mutable
                    { done(failure, 0); });
            });
    }
    /// Returns what has arrived once the headers and as many bytes as a
    /// Content-Length names are there, or the connection has closed.
    std::string call(const std::string& bytes)
    {
        net::await_io(
            [&](auto done)
            {
                boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                         std::move(done));
            });
        std::string text;
        while (!is_whole(text) && receive(text))
        {
        }
        return text;
    }
    /// Whether the server closes the connection without sending more.
    bool is_closed()
    {
        std::string text;
        return !receive(text);
    }

private:
    static bool is_whole(const std::string& text)
    {
        const std::string length_field = "Content-Length: ";
        const auto end = text.find("\r\n\r\n");
        const auto field = text.find(length_field);
        if (end == std::string::npos || field == std::string::npos)
            return false;
        const auto length =
            std::stoul(text.substr(field + length_field.size()));
        return text.size() >= end + 4 + length;
    }
    bool receive(std::string& text)
    {
        std::array<char, 4096> part{};
        const auto read = net::await_io(
            [&](auto done)
            {
                socket_.async_read_some(
                    boost::asio::buffer(part.data(), part.size()),
                    std::move(done));
            });
        text.append(part.data(), read.value);
        return !read.failure;
    }

    boost::asio::ip::tcp::socket socket_;
};

} // namespace pimentograde::net_tests

#endif
