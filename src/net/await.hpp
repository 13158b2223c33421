#ifndef PIMENTOGRADE_NET_AWAIT_HPP
#define PIMENTOGRADE_NET_AWAIT_HPP

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <utility>

namespace pimentograde::net
{

/// Result of an asynchronous operation.
template <class Value>
struct io_result
{
    boost::system::error_code failure;
    Value value{};
};

/// Starts an asynchronous operation and suspends the calling fiber until its
/// completion handler ran. `initiate` receives the handler, which takes an
/// error code and optionally a value.
template <class Value = std::size_t, class Initiate>
io_result<Value> await_io(Initiate&& initiate)
{
    boost::fibers::promise<io_result<Value>> done;
    auto result = done.get_future();
    // The reference stays valid: this frame waits for the handler.
    std::forward<Initiate>(initiate)(
        [&done](const boost::system::error_code& failure, auto&&... value)
        {
            done.set_value(io_result<Value>{
                failure, Value(std::forward<decltype(value)>(value)...)});
        });
    return result.get();
}

} // namespace pimentograde::net

#endif
