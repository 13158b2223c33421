#include "net/task_group.hpp"

#include "net/events.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#ifdef PIMENTOGRADE_GUARDED_STACKS
#include <boost/fiber/protected_fixedsize_stack.hpp>
#endif

#include <exception>
#include <mutex>
#include <string>
#include <utility>

namespace pimentograde::net
{

namespace
{

// Boost.JSON and Beast parse on this stack; 128 KiB is their usual need with
// room for logging. Pages that are not touched cost no memory.
constexpr std::size_t stack_bytes = std::size_t{128} * 1024;
// Time between an unexpected error of a loop and its next run.
constexpr std::chrono::milliseconds restart_delay{100};

// A page without access behind each stack turns an overflow into a fault at
// its place. It costs two system calls for each fiber, so only builds with
// tests have it.
#ifdef PIMENTOGRADE_GUARDED_STACKS
using stack_allocator = boost::fibers::protected_fixedsize_stack;
#else
using stack_allocator = boost::fibers::fixedsize_stack;
#endif

// Returns whether `body` ended without an exception.
bool run_logged(std::string_view step, const std::function<void()>& body)
{
    try
    {
        body();
        return true;
    }
    catch (const std::exception& failure)
    {
        log::write(event_task_failed,
                   {{"step", step}, {"reason", failure.what()}});
        return false;
    }
}

} // namespace

struct task_group::impl
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable ended;
    std::size_t running = 0;
};

task_group::task_group() : impl_(std::make_shared<impl>()) {}

task_group::~task_group()
{
    join();
}

void task_group::spawn(std::function<void()> body)
{
    ++impl_->running;
    boost::fibers::fiber(std::allocator_arg, stack_allocator(stack_bytes),
                         [state = impl_, run = std::move(body)]() mutable
                         {
                             run_logged("task", run);
                             run = nullptr;
                             --state->running;
                             state->ended.notify_all();
                         })
        .detach();
}

void task_group::spawn_restarting(std::string_view step,
                                  std::function<void()> body)
{
    spawn(
        [name = std::string(step), run = std::move(body)]
        {
            while (!run_logged(name, run))
                boost::this_fiber::sleep_for(restart_delay);
        });
}

std::size_t task_group::size() const
{
    return impl_->running;
}

void task_group::join()
{
    const auto state = impl_;
    std::unique_lock lock(state->mutex);
    state->ended.wait(lock, [&] { return state->running == 0; });
}

bool task_group::join_until(base::time_point deadline)
{
    const auto state = impl_;
    std::unique_lock lock(state->mutex);
    return state->ended.wait_until(lock, deadline,
                                   [&] { return state->running == 0; });
}

struct stop_signal::impl
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool set = false;
};

stop_signal::stop_signal() : impl_(std::make_unique<impl>()) {}

stop_signal::~stop_signal() = default;

void stop_signal::set()
{
    impl_->set = true;
    impl_->changed.notify_all();
}

bool stop_signal::is_set() const
{
    return impl_->set;
}

bool stop_signal::wait_for(base::duration length)
{
    std::unique_lock lock(impl_->mutex);
    return impl_->changed.wait_for(lock, length, [&] { return impl_->set; });
}

void stop_signal::wait()
{
    std::unique_lock lock(impl_->mutex);
    impl_->changed.wait(lock, [&] { return impl_->set; });
}

} // namespace pimentograde::net
