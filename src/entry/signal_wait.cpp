#include "entry/signal_wait.hpp"

#include "net/await.hpp"
#include "net/io_scheduler.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace pimentograde::entry
{

namespace
{

// Kept, so that no signal meets the default action between two waits.
boost::asio::signal_set& caught_signals()
{
    static thread_local boost::asio::signal_set signals(
        net::this_thread_io(), SIGTERM, SIGINT, SIGHUP);
    return signals;
}

} // namespace

void catch_signals()
{
    caught_signals();
}

int wait_for_signal()
{
    return net::await_io<int>([](auto done)
                              { caught_signals().async_wait(std::move(done)); })
        .value;
}

} // namespace pimentograde::entry
