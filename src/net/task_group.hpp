#ifndef PIMENTOGRADE_NET_TASK_GROUP_HPP
#define PIMENTOGRADE_NET_TASK_GROUP_HPP

#include "base/time.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace pimentograde::net
{

/// Fibers that belong together. The destructor and `join` wait until all have
/// returned; the owner has to make them return first.
class task_group
{
public:
    task_group();
    ~task_group();
    task_group(const task_group&) = delete;
    task_group& operator=(const task_group&) = delete;

    /// Starts a fiber. An exception that leaves `body` ends this fiber only
    /// and is logged.
    void spawn(std::function<void()> body);
    /// Starts a fiber that calls `body` again, after a pause, when an exception
    /// leaves it. For loops that others rely on; `body` returns to end it.
    void spawn_restarting(std::string_view step, std::function<void()> body);

    [[nodiscard]] std::size_t size() const;
    void join();
    /// Waits until all fibers have returned or the deadline passed. Returns
    /// whether all have returned.
    bool join_until(base::time_point deadline);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// A flag on which fibers sleep, set once: the usual way to stop a loop.
class stop_signal
{
public:
    stop_signal();
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;

    void set();
    [[nodiscard]] bool is_set() const;
    /// Sleeps for `length` or until set. Returns whether it is set.
    bool wait_for(base::duration length);
    void wait();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::net

#endif
