#include "base/error.hpp"
#include "log/event.hpp"
#include "membership/member_table.hpp"
#include "rollout/document_service_impl.hpp"
#include "rollout/events.hpp"
#include "rollout/pacing.hpp"

#include <algorithm>

namespace pimentograde::rollout
{

namespace
{

constexpr std::chrono::seconds watch_time{30};
constexpr std::chrono::seconds watch_start_jitter{2};
constexpr std::chrono::milliseconds watch_retry{500};
constexpr std::chrono::seconds max_watch_retry{5};
constexpr std::chrono::milliseconds tick{200};
// Half the limit: two attempts fit in before new work is refused.
constexpr std::chrono::seconds probe_after{4};

} // namespace

document_service::impl::entry&
document_service::impl::find(std::string_view name)
{
    const auto found =
        std::find_if(documents.begin(), documents.end(),
                     [&](const entry& candidate)
                     { return candidate.document->name() == name; });
    if (found == documents.end())
        throw base::error(base::error_code::not_found, "document", "",
                          "unknown document");
    return *found;
}

void document_service::impl::observe(base::time_point now)
{
    if (now - last_observed > membership::pause_limit)
    {
        ++pauses;
        if (!resuming)
            log::write(event_resuming,
                       {{"pause_ms", base::count_millis(now - last_observed)}});
        resuming = true;
    }
    last_observed = std::max(last_observed, now);
}

void document_service::impl::contacted(base::time_point now)
{
    last_contact = std::max(last_contact, now);
    in_contact = true;
}

void document_service::impl::offer(entry& target,
                                   const provider::kv_entry& stored)
{
    // The documents may be gone when a watch outlives the service.
    if (stopping.is_set())
        return;
    contacted(clock());
    if (stored.version == 0)
        return;
    target.seen_store_version =
        std::max(target.seen_store_version, stored.version);
    try
    {
        target.document->offer(target.version(stored), stored.value,
                               base::wall_now());
    }
    catch (const base::error& failure)
    {
        log::write(event_document_refused,
                   {{"document", target.document->name()},
                    {"version", stored.version},
                    {"reason", failure.detail()}});
    }
}

bool document_service::impl::read_store(base::time_point deadline)
{
    try
    {
        for (entry& target : documents)
            offer(target, store.get(target.store_key, deadline));
        return true;
    }
    catch (const base::error&)
    {
        return false; // the caller goes on with the members
    }
}

bool document_service::impl::fetch(entry& target, const base::member_id& member,
                                   base::time_point deadline)
{
    try
    {
        const std::string& name = target.document->name();
        const auto content =
            calls.fetch(member, {name, target.document->version()}, deadline);
        contacted(clock());
        if (content.document == name)
            target.document->offer(content.version, content.text,
                                   base::wall_now());
        return true;
    }
    catch (const base::error&)
    {
        return false; // the next heartbeat starts another attempt
    }
}

void document_service::impl::fetch_newer(const base::member_id& member,
                                         std::string_view name,
                                         std::uint64_t version)
{
    entry& target = find(name);
    if (version <= target.document->version() || target.fetching ||
        stopping.is_set())
        return;
    target.fetching = true;
    fetches.spawn(
        [this, &target, member]
        {
            fetch(target, member, base::steady_now() + document_call_limit);
            target.fetching = false;
        });
}

bool document_service::impl::synchronise(base::time_point deadline)
{
    observe(clock());
    const std::uint64_t pauses_before = pauses;
    bool answered = false;
    net::task_group asking;
    asking.spawn([&] { answered = read_store(deadline) || answered; });
    for (const base::member_id& member : calls.members())
        asking.spawn(
            [&, member]
            {
                bool all = true;
                for (entry& target : documents)
                    all = all && fetch(target, member, deadline);
                answered = answered || all;
            });
    asking.join();
    observe(clock());
    if (answered && pauses == pauses_before && resuming)
    {
        resuming = false;
        log::write(event_resumed);
    }
    return answered;
}

void document_service::impl::watch_once(base::time_point deadline)
{
    entry& watched = documents.front();
    offer(watched,
          store.watch(watched.store_key, watched.seen_store_version, deadline));
    const base::time_point read_deadline =
        base::steady_now() + store_call_limit;
    for (entry& target : documents)
        if (&target != &watched && !stopping.is_set())
            offer(target, store.get(target.store_key, read_deadline));
}

// Runs detached, on shared state: a long poll cannot be cut short, and `stop`
// does not wait for it.
void document_service::impl::watch_loop()
{
    // Members that start together do not watch in step.
    if (!stopping.wait_for(random.jitter(watch_start_jitter)))
        keep_watching();
}

void document_service::impl::keep_watching()
{
    base::duration retry = watch_retry;
    while (!stopping.is_set())
    {
        try
        {
            const base::time_point start = base::steady_now();
            watch_once(start + watch_time);
            report_watch(true, "");
            retry = watch_retry;
            // A store that answers at once without news must not be asked in
            // a loop.
            if (base::steady_now() - start < watch_retry)
                stopping.wait_for(random.jitter(watch_retry));
        }
        catch (const base::error& failure)
        {
            report_watch(false, failure.what());
            stopping.wait_for(retry / 2 + random.jitter(retry / 2));
            retry = std::min<base::duration>(retry * 2, max_watch_retry);
        }
    }
}

void document_service::impl::report_watch(bool works, std::string_view reason)
{
    if (works == watch_works || stopping.is_set())
        return;
    watch_works = works;
    log::write(
        works ? event_watch_restored : event_watch_failed,
        {{"document", documents.front().document->name()}, {"reason", reason}});
}

void document_service::impl::probe(base::time_point now)
{
    const base::duration silence = now - last_contact;
    if (silence > contact_limit && in_contact)
    {
        in_contact = false;
        log::write(event_out_of_contact,
                   {{"silence_ms", base::count_millis(silence)}});
    }
    // Also the way back to work after a pause.
    if (probing || (silence < probe_after && !resuming))
        return;
    probing = true;
    fetches.spawn(
        [this]
        {
            synchronise(base::steady_now() + document_call_limit);
            probing = false;
        });
}

void document_service::impl::tick_loop()
{
    while (!stopping.wait_for(tick))
    {
        const base::time_point now = clock();
        observe(now);
        probe(now);
    }
}

} // namespace pimentograde::rollout
