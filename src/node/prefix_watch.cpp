#include "node/prefix_watch.hpp"

#include "log/event.hpp"
#include "node/events.hpp"

#include <utility>

namespace pimentograde::node
{

namespace
{

// A dead connection is detected after this time, well within the 2 s in which
// a new configuration must be applied.
constexpr std::chrono::milliseconds watch_timeout{1000};
// The jitter spreads the instances' requests after a store outage.
constexpr std::chrono::milliseconds retry_delay{100};
constexpr std::chrono::milliseconds retry_jitter{150};
constexpr std::chrono::seconds suspended_poll_interval{5};

} // namespace

prefix_watch::prefix_watch(std::string prefix, platform::store_client& store,
                           base::duration batching, hooks functions)
    : prefix_(std::move(prefix)), store_(store), batching_(batching),
      hooks_(std::move(functions))
{
}

prefix_watch::~prefix_watch()
{
    stop();
    fibers_.join();
}

void prefix_watch::start()
{
    fibers_.spawn_restarting("watch store", [this] { run(); });
}

void prefix_watch::set_active(bool is_active)
{
    if (is_active_ == is_active)
        return;
    is_active_ = is_active;
    is_listed_ = false;
    resumed_.notify();
}

void prefix_watch::stop()
{
    stop_.set();
    resumed_.notify();
}

void prefix_watch::run()
{
    while (!stop_.is_set())
    {
        if (!is_active_)
        {
            resumed_.wait_until(base::steady_now() + suspended_poll_interval);
            continue;
        }
        try
        {
            step();
            has_failed_ = false;
            hooks_.exchanged(true);
        }
        catch (const std::exception& failure)
        {
            if (stop_.is_set())
                return;
            if (!std::exchange(has_failed_, true))
                log::write(event_watch_failed,
                           {{"prefix", prefix_}, {"reason", failure.what()}});
            hooks_.exchanged(false);
            stop_.wait_for(retry_delay + random_.jitter(retry_jitter));
        }
    }
}

void prefix_watch::step()
{
    if (!is_listed_)
    {
        const auto listing = store_.list(prefix_);
        if (!is_active_)
            return;
        revision_ = listing.revision;
        is_listed_ = true;
        hooks_.listed(listing.items);
        return;
    }
    const auto changes = store_.watch(prefix_, revision_, watch_timeout);
    // If the watch was suspended meanwhile, its response may leave gaps.
    if (!is_listed_)
        return;
    if (changes.is_compacted)
    {
        is_listed_ = false;
        stop_.wait_for(random_.jitter(retry_delay));
        return;
    }
    revision_ = changes.revision;
    // A change that cannot be read may be missing.
    is_listed_ = changes.is_complete;
    if (changes.events.empty())
        return;
    // If applying the changes throws, the next step lists all keys again.
    is_listed_ = false;
    hooks_.changed(changes.events);
    is_listed_ = is_active_ && changes.is_complete;
    stop_.wait_for(batching_);
}

} // namespace pimentograde::node
