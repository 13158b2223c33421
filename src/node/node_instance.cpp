#include "node/node_instance.hpp"

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "entry/signal_wait.hpp"
#include "log/event.hpp"
#include "metrics/registry.hpp"
#include "net/http_server.hpp"
#include "net/task_group.hpp"
#include "node/caller_api.hpp"
#include "node/events.hpp"
#include "node/fleet_manager.hpp"
#include "node/job_previews.hpp"
#include "node/pause_watch.hpp"
#include "node/pool_claims.hpp"
#include "node/pool_gateway.hpp"
#include "node/prefix_watch.hpp"
#include "node/queue_recorder.hpp"
#include "node/session.hpp"
#include "node/state_dump.hpp"
#include "node/store_relay.hpp"
#include "node/worker_directory.hpp"
#include "platform/keys.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace pimentograde::node
{

namespace
{

// The platform takes an instance out of rotation after two failed readiness
// checks, sent once a second; until then it still gets new connections.
constexpr std::chrono::milliseconds rotation_removal_time{2300};
// Part of the grace period that is left after the deadline for calls in
// progress at a graceful stop.
constexpr std::chrono::milliseconds stop_reserve{700};
constexpr std::chrono::milliseconds secret_poll_interval{50};
// Each worker writes about every 1.5 s; a drain must be known within 2 s.
constexpr std::chrono::milliseconds worker_batching{150};
constexpr std::chrono::milliseconds member_batching{30};
constexpr std::chrono::milliseconds operator_batching{50};
constexpr std::chrono::milliseconds pause_check_interval{200};
constexpr std::chrono::seconds caller_idle_timeout{60};
// Before the queue's own path on the metrics address.
constexpr std::string_view preview_path = "/placement";
constexpr std::size_t max_caller_connections = 3000;

} // namespace

struct node_instance::impl
{
    impl(platform::node_settings own, node_options chosen)
        : settings(std::move(own)), options(chosen), store(make_store_client()),
          worker_http(net::http_client::builder{}.max_idle(2).build()),
          directory(
              [this] {
                  metrics
                      .get_counter("pimentograde_foreign_worker_entries_total")
                      .add();
              }),
          members({settings.name,
                   settings.zone,
                   base::random_source{}.bits(),
                   {settings.address, settings.first_internal_port},
                   settings.cores},
                  *store,
                  {[this] { claims.notify(); }, [this] { claims.notify(); },
                   [this](const member& entry)
                   { gateway.note_member_left(entry, base::steady_now()); },
                   [this](const member& entry)
                   {
                       gateway.note_member_present(entry);
                   }}),
          relay(members, metrics, members.own().incarnation), queues(*store),
          claims(members, directory, queues, *store, *worker_http, metrics,
                 {settings.longest_worker_lease, settings.remote_factor,
                  settings.stop_time, settings.quota_excess, options},
                 [this](bool is_needed) { set_worker_watch(is_needed); }),
          gateway(members, claims, queues, *store, !settings.is_first_start),
          caller_requests(gateway, queues, metrics,
                          [this] { return is_configuration_current(); }),
          previews(members, claims),
          fleet(members, gateway, *store, *worker_http,
                settings.machine_service,
                {settings.move_time, settings.maintenance_time,
                 settings.machine_holder_pause,
                 settings.machine_orders_per_second}),
          member_watch(std::string(session::prefix()), *store, member_batching,
                       member_hooks()),
          operator_watch(std::string(platform::operator_prefix), *store,
                         operator_batching, operator_hooks()),
          worker_watch(std::string(platform::worker_prefix), *store,
                       worker_batching, worker_hooks())
    {
    }
    ~impl() { is_stopping = true; }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    platform::node_settings settings;
    node_options options;
    metrics::registry metrics;
    std::unique_ptr<platform::store_client> store;
    std::unique_ptr<net::http_client> worker_http;
    worker_directory directory;
    session members;
    store_relay relay;
    queue_recorder queues;
    pool_claims claims;
    pool_gateway gateway;
    caller_api caller_requests;
    job_previews previews;
    fleet_manager fleet;
    prefix_watch member_watch;
    prefix_watch operator_watch;
    prefix_watch worker_watch;
    std::unique_ptr<net::http_server> callers;
    std::unique_ptr<net::http_server> readiness;
    std::unique_ptr<net::http_server> metrics_server;
    std::unique_ptr<peer::peer_server> peers;
    pause_watch pauses;
    net::task_group fibers;
    settings_reader read_settings;
    bool is_stopping = false;
    bool store_answers = true;
    std::int64_t version = 0;

    std::unique_ptr<platform::store_client> make_store_client();
    prefix_watch::hooks member_hooks();
    prefix_watch::hooks operator_hooks();
    prefix_watch::hooks worker_hooks();
    void set_worker_watch(bool is_needed);
    void log_store_state(bool is_ok);
    void adopt(const platform::store_item& item);
    void adopt_configuration(const platform::store_item& item);
    bool is_configuration_current();
    void watch_pauses();
    void confirm_configuration();
    void open_listeners();
    void open_peer_listener();
    [[nodiscard]] bool is_ready() const;
    void start();
    void reload();
    void stop();
};

// Calls the relay, which does not exist yet, only after the start.
std::unique_ptr<platform::store_client> node_instance::impl::make_store_client()
{
    platform::store_client::builder builder;
    builder.connect_to(settings.store);
    if (options.relays_store_calls)
        builder.detour({[this](base::time_point now)
                        { return relay.is_active(now); },
                        [this](const platform::raw_store_call& call,
                               base::time_point deadline)
                        { return relay.send(call, deadline); },
                        [this](store_outcome outcome, base::time_point now)
                        {
                            relay.note_direct(outcome, now);
                        }});
    return builder.build();
}

prefix_watch::hooks node_instance::impl::member_hooks()
{
    return {[this](std::span<const platform::store_item> items)
            {
                members.apply_listing(items);
                queues.apply_listing(items);
            },
            [this](std::span<const platform::store_event> events)
            {
                members.apply_changes(events);
                queues.apply_changes(events);
            },
            [this](bool is_ok)
            {
                log_store_state(is_ok);
            }};
}

prefix_watch::hooks node_instance::impl::operator_hooks()
{
    return {[this](std::span<const platform::store_item> items)
            {
                for (const auto& item : items)
                    adopt(item);
            },
            [this](std::span<const platform::store_event> events)
            {
                for (const auto& event : events)
                    if (!event.is_deleted)
                        adopt(event.item);
            },
            [](bool) {
            }};
}

prefix_watch::hooks node_instance::impl::worker_hooks()
{
    return {[this](std::span<const platform::store_item> items)
            {
                directory.apply_listing(items);
                claims.notify();
            },
            [this](std::span<const platform::store_event> events)
            {
                if (directory.apply_changes(events))
                    claims.notify();
            },
            [](bool) {
            }};
}

// Workers write often, so only owners of a pool watch them.
void node_instance::impl::set_worker_watch(bool is_needed)
{
    if (!is_needed)
        directory.clear();
    worker_watch.set_active(is_needed);
}

void node_instance::impl::log_store_state(bool is_ok)
{
    if (std::exchange(store_answers, is_ok) != is_ok)
        log::write(is_ok ? event_store_regained : event_store_lost);
}

void node_instance::impl::adopt(const platform::store_item& item)
{
    try
    {
        if (item.key == platform::configuration_key)
            adopt_configuration(item);
        else if (item.key.starts_with(platform::wave_prefix))
            fleet.set_wave(platform::read_wave(item.value), base::steady_now());
    }
    catch (const std::exception& failure)
    {
        log::write(event_configuration_invalid,
                   {{"revision", item.revision}, {"reason", failure.what()}});
    }
}

void node_instance::impl::adopt_configuration(const platform::store_item& item)
{
    const auto current = platform::read_configuration(item.value);
    // A listing after an outage may return an older version than a watch did.
    if (current.version <= version)
        return;
    version = current.version;
    queues.set_configuration(current);
    caller_requests.set_configuration(current);
    previews.set_configuration(current);
    claims.set_configuration(current);
    fleet.set_configuration(current);
    log::write(event_configuration_adopted, {{"version", version},
                                             {"revision", item.revision},
                                             {"queues", current.queues.size()},
                                             {"pools", current.pools.size()}});
}

bool node_instance::impl::is_configuration_current()
{
    const base::duration paused = pauses.note(base::suspend_aware_now());
    if (paused > base::duration::zero())
        log::write(event_paused, {{"paused_ms", base::count_millis(paused)}});
    return pauses.is_confirmed();
}

// The watch tells of a change in time only while the process runs: a request
// may be handled before it, or its connection may have gone silent.
void node_instance::impl::watch_pauses()
{
    while (!is_stopping)
    {
        if (!is_configuration_current())
            confirm_configuration();
        boost::this_fiber::sleep_for(pause_check_interval);
    }
}

void node_instance::impl::confirm_configuration()
{
    const base::time_point asked_at = base::suspend_aware_now();
    try
    {
        if (const auto item = store->get(platform::configuration_key))
            adopt(*item);
        pauses.note_confirmed(asked_at);
    }
    catch (const base::error& failure)
    {
        log::write(event_store_lost, {{"step", "confirm configuration"},
                                      {"reason", failure.what()}});
    }
}

bool node_instance::impl::is_ready() const
{
    return !is_stopping && caller_requests.is_configured() && peers != nullptr;
}

void node_instance::impl::open_listeners()
{
    callers = net::http_server::builder{}
                  .listen_on(settings.caller_listen)
                  .handle_with([this](const net::http_request& request)
                               { return caller_requests.handle(request); })
                  .idle_timeout(caller_idle_timeout)
                  .max_connections(max_caller_connections)
                  .build();
    readiness = net::http_server::builder{}
                    .listen_on(settings.readiness_listen)
                    .handle_with(
                        [this](const net::http_request&)
                        {
                            constexpr unsigned ok = 200;
                            constexpr unsigned service_unavailable = 503;
                            return net::http_response{
                                is_ready() ? ok : service_unavailable, "{}"};
                        })
                    .build();
    const auto metrics_port =
        static_cast<std::uint16_t>(settings.first_internal_port + 1);
    metrics_server =
        net::http_server::builder{}
            .listen_on({settings.address, metrics_port})
            .handle_with(
                [this](const net::http_request& request)
                {
                    if (request.target == "/state")
                        return net::http_response{
                            200, dump_state(members, claims, version)};
                    if (request.target.starts_with(preview_path))
                        return previews.handle(
                            request, std::string_view(request.target)
                                         .substr(preview_path.size()));
                    return net::http_response{200, metrics.expose(),
                                              "text/plain; version=0.0.4"};
                })
            .build();
}

void node_instance::impl::open_peer_listener()
{
    while (members.peer_secret().empty() && !is_stopping)
        boost::this_fiber::sleep_for(secret_poll_interval);
    if (is_stopping)
        return;
    auto builder = peer::peer_server::builder{};
    builder.listen_on(members.own().address)
        .authenticate_as(
            {{base::member_id(settings.name), members.own().incarnation},
             members.peer_secret()});
    gateway.add_handlers(builder);
    previews.add_handlers(builder);
    if (options.relays_store_calls)
        relay.add_handlers(builder, *store);
    peers = builder.build();
}

void node_instance::impl::start()
{
    open_listeners();
    member_watch.start();
    operator_watch.start();
    worker_watch.set_active(false);
    worker_watch.start();
    members.start();
    queues.start();
    claims.start();
    fleet.start();
    fibers.spawn_restarting("watch pauses", [this] { watch_pauses(); });
    // The port may be in use for a while, for example by a connection.
    fibers.spawn_restarting("listen for peers",
                            [this] { open_peer_listener(); });
    log::write(event_started,
               {{"callers", net::to_string(settings.caller_listen)},
                {"zone", settings.zone},
                {"store", net::to_string(settings.store)}});
}

// Addresses and bounds take effect at the next start, since connections and
// leases depend on them; the reload only checks that the file can be read.
void node_instance::impl::reload()
{
    try
    {
        const auto fresh = read_settings();
        const bool needs_restart =
            fresh.caller_listen != settings.caller_listen ||
            fresh.store != settings.store ||
            fresh.longest_worker_lease != settings.longest_worker_lease;
        log::write(event_reloaded,
                   {{"result", needs_restart ? "takes effect at a restart"
                                             : "nothing to change"}});
    }
    catch (const std::exception& failure)
    {
        log::write(event_reload_failed, {{"reason", failure.what()}});
    }
}

void node_instance::impl::stop()
{
    const base::time_point begin = base::steady_now();
    const base::time_point deadline =
        begin + std::max<base::duration>(settings.grace - stop_reserve,
                                         rotation_removal_time);
    is_stopping = true;
    log::write(event_stopping);
    fleet.stop();
    claims.quiesce();
    members.stop();
    queues.stop();
    callers->close_after_responses();
    boost::this_fiber::sleep_until(begin + rotation_removal_time);
    const bool all_ended = callers->stop_gracefully(deadline);
    if (peers)
        peers->stop_now();
    worker_http->cancel();
    store->cancel();
    log::write(event_stopped, {{"all_answered", all_ended ? 1 : 0}});
}

node_instance::node_instance(platform::node_settings settings,
                             settings_reader reader, node_options options)
    : impl_(std::make_unique<impl>(std::move(settings), options))
{
    impl_->read_settings = std::move(reader);
}

node_instance::~node_instance() = default;

void node_instance::start()
{
    impl_->start();
}

void node_instance::stop()
{
    impl_->stop();
}

bool node_instance::is_ready() const
{
    return impl_->is_ready();
}

void node_instance::run()
{
    impl_->start();
    while (entry::wait_for_signal() == SIGHUP)
        impl_->reload();
    impl_->stop();
}

} // namespace pimentograde::node
