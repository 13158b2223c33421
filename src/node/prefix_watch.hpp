#ifndef PIMENTOGRADE_NODE_PREFIX_WATCH_HPP
#define PIMENTOGRADE_NODE_PREFIX_WATCH_HPP

#include "base/random_source.hpp"
#include "net/task_group.hpp"
#include "net/wakeup.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <span>
#include <string>

namespace pimentograde::node
{

/// Follows all store keys under a prefix: lists them once, then watches for
/// changes. Lists again when the store has compacted its history.
class prefix_watch
{
public:
    struct hooks
    {
        /// Called with all current items, which replace earlier ones.
        std::function<void(std::span<const platform::store_item>)> listed;
        std::function<void(std::span<const platform::store_event>)> changed;
        /// Called after each request with whether it succeeded.
        std::function<void(bool is_ok)> exchanged;
    };

    /// After each response with changes the watch pauses for `batching`, so
    /// that frequent changes arrive together: the store charges per call.
    prefix_watch(std::string prefix, platform::store_client& store,
                 base::duration batching, hooks functions);
    ~prefix_watch();
    prefix_watch(const prefix_watch&) = delete;
    prefix_watch& operator=(const prefix_watch&) = delete;

    void start();
    /// Suspends or resumes the watch, which is initially active. A resumed
    /// watch starts with a listing.
    void set_active(bool is_active);
    /// Ends the loop; a watch in progress must be cancelled at the client.
    void stop();

private:
    void run();
    void step();

    std::string prefix_;
    platform::store_client& store_;
    base::duration batching_;
    hooks hooks_;
    bool is_active_ = true;
    bool is_listed_ = false;
    /// Whether the last request failed; only the first failure is logged.
    bool has_failed_ = false;
    std::int64_t revision_ = 0;
    base::random_source random_;
    net::wakeup resumed_;
    net::stop_signal stop_;
    net::task_group fibers_;
};

} // namespace pimentograde::node

#endif
