#include "node/queue_recorder.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "pools/roster_store.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

namespace
{

// Below the prefix of the instances' own keys, which all of them watch.
constexpr std::string_view queues_key = "pimentograde/queues";
constexpr std::chrono::seconds idle_wait{5};
constexpr std::chrono::milliseconds retry_delay{200};
// A notification wakes one of several waiting submissions.
constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

queue_recorder::queue_recorder(platform::store_client& store) : store_(store) {}

queue_recorder::~queue_recorder()
{
    stop();
    fibers_.join();
}

void queue_recorder::start()
{
    fibers_.spawn_restarting("record queues", [this] { run(); });
}

void queue_recorder::stop()
{
    stop_.set();
    work_.notify();
}

void queue_recorder::set_configuration(const platform::configuration& current)
{
    configuration_ = current;
    known_.add(current);
    work_.notify();
}

void queue_recorder::apply_listing(std::span<const platform::store_item> items)
{
    for (const auto& item : items)
        if (item.key == queues_key)
            adopt(item);
    is_listed_ = true;
    work_.notify();
}

void queue_recorder::apply_changes(
    std::span<const platform::store_event> events)
{
    for (const auto& event : events)
        if (!event.is_deleted && event.item.key == queues_key)
            adopt(event.item);
}

void queue_recorder::adopt(const platform::store_item& item)
{
    if (item.revision <= revision_)
        return;
    revision_ = item.revision;
    is_failing_ = false;
    try
    {
        stored_ = queue_pools::decode(item.value);
        is_unreadable_ = false;
    }
    catch (const base::error& failure)
    {
        stored_ = {};
        is_unreadable_ = true;
        is_recovered_ = false;
        work_.notify();
        log::write(event_queues_invalid,
                   {{"key", item.key}, {"reason", failure.what()}});
    }
    known_.merge(stored_);
    written_.notify();
}

bool queue_recorder::is_outdated() const
{
    return configuration_ &&
           (is_unreadable_ ||
            std::any_of(configuration_->queues.begin(),
                        configuration_->queues.end(),
                        [this](const platform::queue_route& route)
                        { return !stored_.contains(route); }));
}

void queue_recorder::run()
{
    while (!stop_.is_set())
    {
        if (!is_listed_ || !is_outdated())
        {
            work_.wait_until(base::steady_now() + idle_wait);
            continue;
        }
        try
        {
            write();
            is_failing_ = false;
        }
        catch (const std::exception& failure)
        {
            if (stop_.is_set())
                return;
            if (!std::exchange(is_failing_, true))
                log::write(event_queues_not_recorded,
                           {{"reason", failure.what()}});
            stop_.wait_for(retry_delay);
        }
    }
}

void queue_recorder::write()
{
    if (is_unreadable_ && !is_recovered_)
        recover();
    queue_pools wanted = is_unreadable_ ? known_ : stored_;
    wanted.add(*configuration_);
    const std::string key(queues_key);
    const std::string value = wanted.encode();
    const auto result =
        store_.commit_repeatedly({{{key, revision_}}, {{key, value, 0}}, {}});
    if (result.outcome == platform::commit_result::kind::committed)
    {
        adopt({key, value, result.revision, 0});
        return;
    }
    // Another instance has written, or an earlier try has taken effect.
    if (result.actual.empty())
    {
        revision_ = 0;
        stored_ = {};
    }
    for (const platform::store_item& item : result.actual)
        if (item.key == key)
            adopt(item);
}

void queue_recorder::recover()
{
    const auto rosters = store_.list(pools::roster_prefix);
    if (!rosters.is_complete)
        throw base::error(base::error_code::invalid, "read rosters", "",
                          "an item of the listing is unreadable");
    for (const platform::store_item& item : rosters.items)
        known_.add_for_all(item.key.substr(pools::roster_prefix.size()));
    is_recovered_ = true;
}

bool queue_recorder::wait_stored(const platform::queue_route& route,
                                 base::time_point deadline)
{
    while (!stored_.contains(route) && !is_failing_ && !stop_.is_set())
    {
        const base::time_point now = base::steady_now();
        if (now >= deadline)
            break;
        written_.wait_until(
            std::min<base::time_point>(deadline, now + poll_interval));
    }
    return stored_.contains(route);
}

} // namespace pimentograde::node
