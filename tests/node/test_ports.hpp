#ifndef PIMENTOGRADE_TESTS_NODE_TEST_PORTS_HPP
#define PIMENTOGRADE_TESTS_NODE_TEST_PORTS_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace pimentograde::node_tests
{

/// Loopback ports for servers whose ports have to be known before they start.
/// A process takes whole blocks of ports and holds the first port of each until
/// it ends, so that no two test processes share a block. The others are handed
/// out in turn: one that its server has not bound yet is not handed out again.
class test_ports
{
public:
    test_ports() { take_block(); }

    static test_ports& of_this_process()
    {
        static test_ports ports;
        return ports;
    }

    /// Returns the first of `count` consecutive free ports.
    std::uint16_t reserve(int count)
    {
        while (true)
        {
            for (int tried = 0; tried < block_size; tried += count)
            {
                const int first = advance(count);
                if (are_free(first, count))
                    return static_cast<std::uint16_t>(first);
            }
            take_block();
        }
    }

private:
    using tcp = boost::asio::ip::tcp;

    /// Below the usual ephemeral ranges, and apart from tools/deployment.py.
    static constexpr int first_port = 10'000;
    static constexpr int end_port = 20'000;
    static constexpr int block_size = 200;

    void take_block()
    {
        for (int block = first_port; block < end_port; block += block_size)
            if (auto marker = bind(block))
            {
                markers_.push_back(std::move(*marker));
                block_ = block;
                next_ = block + 1;
                return;
            }
        throw std::runtime_error("no block of loopback ports is free");
    }

    int advance(int count)
    {
        if (next_ + count > block_ + block_size)
            next_ = block_ + 1;
        return std::exchange(next_, next_ + count);
    }

    bool are_free(int first, int count)
    {
        for (int port = first; port < first + count; ++port)
            if (!bind(port))
                return false;
        return true;
    }

    std::optional<tcp::acceptor> bind(int port)
    {
        boost::system::error_code failure;
        tcp::acceptor socket(io_);
        socket.open(tcp::v4());
        socket.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                  static_cast<std::uint16_t>(port)),
                    failure);
        if (failure)
            return std::nullopt;
        return socket;
    }

    boost::asio::io_context io_;
    std::vector<tcp::acceptor> markers_;
    int block_ = 0;
    int next_ = 0;
};

} // namespace pimentograde::node_tests

#endif
