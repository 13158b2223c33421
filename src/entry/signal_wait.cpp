#include "entry/signal_wait.hpp"

#include "net/await.hpp"
#include "net/io_scheduler.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace pimentograde::entry
{

int wait_for_stop_signal()
{
    boost::asio::signal_set signals(net::this_thread_io(), SIGTERM, SIGINT);
    return net::await_io<int>([&](auto done)
                              { signals.async_wait(std::move(done)); })
        .value;
}

} // namespace pimentograde::entry
