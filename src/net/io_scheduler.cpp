#include "net/io_scheduler.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/type.hpp>

#include <utility>

namespace pimentograde::net
{

io_scheduler::io_scheduler(std::shared_ptr<boost::asio::io_context> io)
    : io_(std::move(io)), work_(io_->get_executor())
{
}

void io_scheduler::awakened(boost::fibers::context* ready) noexcept
{
    ready->ready_link(ready_);
}

boost::fibers::context* io_scheduler::pick_next() noexcept
{
    const bool is_dispatcher = boost::fibers::context::active()->is_context(
        boost::fibers::type::dispatcher_context);
    if (is_dispatcher && !polled_)
        return nullptr; // makes the dispatcher call suspend_until
    if (is_dispatcher)
        polled_ = false;
    if (ready_.empty())
        return nullptr;
    boost::fibers::context* next = &ready_.front();
    ready_.pop_front();
    return next;
}

bool io_scheduler::has_ready_fibers() const noexcept
{
    return !ready_.empty();
}

void io_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point& deadline) noexcept
{
    if (ready_.empty())
    {
        if (deadline == (std::chrono::steady_clock::time_point::max)())
            io_->run_one();
        else
            io_->run_one_until(deadline);
    }
    io_->poll();
    polled_ = !ready_.empty();
}

void io_scheduler::notify() noexcept
{
    boost::asio::post(*io_, [] {});
}

boost::asio::io_context& this_thread_io()
{
    static thread_local std::shared_ptr<boost::asio::io_context> io;
    if (!io)
    {
        io = std::make_shared<boost::asio::io_context>(1);
        boost::fibers::use_scheduling_algorithm<io_scheduler>(io);
    }
    return *io;
}

} // namespace pimentograde::net
