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

queue_recorder::queue_recorder(platform::store_client& store) : store_(store)
{
    knowledge_.on_move(
        [](const peer::queue_assignment& newest)
        {
            log::write(event_queue_moved, {{"queue", newest.queue},
                                           {"pool", newest.pool},
                                           {"since", newest.since}});
        });
}

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
    knowledge_.set_configuration(current);
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
        knowledge_.read_record(queue_pools::decode(item.value));
        is_unreadable_ = false;
    }
    catch (const base::error& failure)
    {
        knowledge_.read_record({});
        is_unreadable_ = true;
        is_recovered_ = false;
        work_.notify();
        log::write(event_queues_invalid,
                   {{"key", item.key}, {"reason", failure.what()}});
    }
    written_.notify();
}

void queue_recorder::run()
{
    while (!stop_.is_set())
    {
        if (!is_listed_ || !(is_unreadable_ || knowledge_.is_record_outdated()))
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
    const std::string key(queues_key);
    const std::string value = knowledge_.next_record().encode();
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
        knowledge_.read_record({});
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
        knowledge_.add_pool_for_all(
            item.key.substr(pools::roster_prefix.size()));
    is_recovered_ = true;
}

std::optional<peer::queue_assignment>
queue_recorder::wait_stored(const platform::queue_route& route,
                            base::time_point deadline)
{
    const auto is_newest = [&]
    {
        return knowledge_.newest(route).pool == route.policy.pool;
    };
    while (!is_newest() && !knowledge_.is_superseded(route) && !is_failing_ &&
           !stop_.is_set())
    {
        const base::time_point now = base::steady_now();
        if (now >= deadline)
            break;
        written_.wait_until(
            std::min<base::time_point>(deadline, now + poll_interval));
    }
    if (!is_newest())
        return std::nullopt;
    return knowledge_.newest(route);
}

void queue_recorder::refresh()
{
    if (const auto item = store_.get(queues_key))
        adopt(*item);
    if (is_unreadable_ && !is_recovered_)
        throw base::error(base::error_code::invalid, "read queues' pools", "",
                          "the record cannot be read");
}

} // namespace pimentograde::node
