#ifndef PIMENTOGRADE_NET_IO_SCHEDULER_HPP
#define PIMENTOGRADE_NET_IO_SCHEDULER_HPP

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

#include <memory>

namespace pimentograde::net
{

/// Fiber scheduling algorithm that runs the fibers of a thread and an
/// `io_context` in that same thread, so that completing an operation wakes
/// its fiber without a change of threads.
///
/// The dispatcher fiber takes its turn in the ready queue once per round.
/// At each turn it polls the `io_context` once, before ready fibers continue:
/// busy fibers cannot starve sockets and timers. With no fiber ready it blocks
/// in the `io_context` until the next fiber timer: an idle process does not
/// spin. Completion handlers run on the dispatcher's stack, never inside a
/// suspending fiber, which may hold a lock that the handler needs.
class io_scheduler : public boost::fibers::algo::algorithm
{
public:
    explicit io_scheduler(std::shared_ptr<boost::asio::io_context> io);

    void awakened(boost::fibers::context* ready) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    [[nodiscard]] bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point&
                           deadline) noexcept override;
    void notify() noexcept override;

private:
    std::shared_ptr<boost::asio::io_context> io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    boost::fibers::scheduler::ready_queue_type ready_;
    bool polled_ = false;
};

/// The `io_context` of this thread. The first call installs the scheduler.
boost::asio::io_context& this_thread_io();

} // namespace pimentograde::net

#endif
