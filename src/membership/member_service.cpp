#include "membership/member_service.hpp"

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "log/event.hpp"
#include "membership/events.hpp"
#include "net/task_group.hpp"
#include "peer/json_text.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace pimentograde::membership
{

namespace
{

constexpr std::chrono::milliseconds tick{200};
// Listing the known members makes up most of the cost of a heartbeat. The list
// is sent for a while after a change, and in one of ten intervals otherwise.
constexpr std::chrono::seconds change_time{2};
constexpr int list_every = 10;
// Below the suspicion time, so that one slow peer delays only its own link.
constexpr std::chrono::seconds heartbeat_limit{1};
constexpr std::chrono::seconds lease_time{30};
// Three attempts fit into the lease time.
constexpr std::chrono::seconds store_interval{10};
constexpr std::chrono::seconds store_retry{2};
constexpr std::chrono::seconds store_limit{1};
constexpr const char* key_prefix = "members/";

constexpr unsigned random_width = 20;

} // namespace

std::uint64_t new_incarnation(base::wall_time now, std::uint64_t random_bits)
{
    constexpr std::uint64_t mask = (std::uint64_t{1} << random_width) - 1;
    return (static_cast<std::uint64_t>(base::to_millis(now)) << random_width) |
           (random_bits & mask);
}

struct member_service::impl
{
    impl(builder settings, base::time_point now)
        : given(std::move(settings)), table(given.self_, now), last_change(now),
          random(given.seed_ ? base::random_source(*given.seed_)
                             : base::random_source())
    {
    }

    builder given;
    member_table table;
    base::time_point last_change;
    base::random_source random;
    std::map<net::endpoint, std::shared_ptr<peer::peer_client>> links;
    /// When a heartbeat, not a reply, last came from this address.
    std::map<net::endpoint, base::time_point> received_at;
    std::vector<change_listener> change_listeners;
    std::vector<heartbeat_listener> heartbeat_listeners;
    bool registered = true;
    net::stop_signal stopping;
    net::task_group fibers;

    [[nodiscard]] peer::heartbeat own_heartbeat() const;
    void accept(const peer::heartbeat& beat);
    void publish(const change_list& changes);
    void tick_loop();
    [[nodiscard]] std::set<net::endpoint> wanted_addresses() const;
    void open_links();
    [[nodiscard]] bool hears_from(const net::endpoint& where,
                                  base::time_point now) const;
    void heartbeat_loop(const net::endpoint& where,
                        const std::shared_ptr<peer::peer_client>& client);
    void store_loop();
    void register_self();
    void discover();
    void report_registration(bool succeeded, std::string_view reason);
};

namespace
{

const log::event& event_of(change_kind kind)
{
    switch (kind)
    {
    case change_kind::joined:
        return event_member_joined;
    case change_kind::suspected:
        return event_member_suspected;
    case change_kind::recovered:
        return event_member_recovered;
    case change_kind::dropped:
        return event_member_dropped;
    case change_kind::left:
        return event_member_left;
    case change_kind::paused:
        break;
    }
    return event_process_paused;
}

void require_sender(const peer::call_context& context,
                    const peer::member_entry& sender)
{
    if (context.from.member == sender.id &&
        context.from.incarnation == sender.incarnation)
        return;
    throw base::error(base::error_code::unauthorized, "heartbeat",
                      context.from.member.str(),
                      "the message names another sender");
}

} // namespace

peer::heartbeat member_service::impl::own_heartbeat() const
{
    peer::heartbeat beat;
    beat.sender = table.self();
    beat.leaving = table.is_leaving();
    const base::time_point now = given.clock_();
    const auto interval = now.time_since_epoch() / heartbeat_interval;
    if (now - last_change < change_time || interval % list_every == 0)
        beat.known = table.live();
    beat.leaving_workers = table.own_hints();
    if (given.fill_)
        given.fill_(beat);
    return beat;
}

void member_service::impl::accept(const peer::heartbeat& beat)
{
    const base::time_point now = given.clock_();
    const change_list changes = table.heard(beat, now);
    // Before the listeners: they may call the member that joined.
    open_links();
    publish(changes);
    for (const auto& listener : heartbeat_listeners)
        listener(beat, now);
}

void member_service::impl::publish(const change_list& changes)
{
    if (!changes.empty())
        last_change = given.clock_();
    for (const member_change& change : changes)
    {
        log::write(event_of(change.kind),
                   {{"member", change.member.id.str()},
                    {"address", net::to_string(change.member.address)},
                    {"zone", change.member.zone.str()},
                    {"silence_ms", base::count_millis(change.silence)}});
        for (const auto& listener : change_listeners)
            listener(change);
    }
}

void member_service::impl::tick_loop()
{
    do
    {
        publish(table.advance(given.clock_()));
        open_links();
    } while (!stopping.wait_for(tick));
}

std::set<net::endpoint> member_service::impl::wanted_addresses() const
{
    std::set<net::endpoint> wanted(given.first_contacts_.begin(),
                                   given.first_contacts_.end());
    for (const peer::member_entry& entry : table.contacts())
        wanted.insert(entry.address);
    wanted.erase(table.self().address);
    return wanted;
}

void member_service::impl::open_links()
{
    if (stopping.is_set())
        return;
    for (const net::endpoint& where : wanted_addresses())
    {
        if (links.contains(where))
            continue;
        const std::shared_ptr<peer::peer_client> client =
            peer::peer_client::builder{}
                .connect_to(where)
                .authenticate_as({{table.self().id, table.self().incarnation},
                                  given.secret_})
                .on_late_result(given.late_)
                .random_seed(random.bits())
                .build();
        links.emplace(where, client);
        fibers.spawn_restarting("send heartbeats", [this, where, client]
                                { heartbeat_loop(where, client); });
    }
}

// A heartbeat and its reply inform both sides, so one direction is enough: the
// member with the higher address stays quiet while the other one sends. This
// halves the traffic, which grows with the square of the members.
bool member_service::impl::hears_from(const net::endpoint& where,
                                      base::time_point now) const
{
    const auto found = received_at.find(where);
    return where < table.self().address && found != received_at.end() &&
           now - found->second < heartbeat_interval + heartbeat_interval / 4;
}

void member_service::impl::heartbeat_loop(
    const net::endpoint& where,
    const std::shared_ptr<peer::peer_client>& client)
{
    while (!stopping.is_set() && wanted_addresses().contains(where))
    {
        const base::time_point start = base::steady_now();
        if (hears_from(where, given.clock_()))
        {
            stopping.wait_for(heartbeat_interval);
            continue;
        }
        try
        {
            const auto reply =
                client->send(own_heartbeat(), start + heartbeat_limit);
            if (!stopping.is_set())
                accept(reply);
        }
        catch (const base::error&)
        {
            // Silence is judged by the table; the client has logged the cause.
        }
        const base::duration spent = base::steady_now() - start;
        stopping.wait_for(std::max<base::duration>(
            heartbeat_interval - spent, std::chrono::milliseconds{1}));
    }
    links.erase(where);
    client->stop();
}

void member_service::impl::store_loop()
{
    // Spreads the members that start together over one second.
    base::duration wait = random.jitter(std::chrono::seconds{1}) / 2;
    while (!stopping.is_set())
    {
        try
        {
            register_self();
            discover();
            report_registration(true, "");
            wait = store_interval + random.jitter(store_interval) / 4;
        }
        catch (const base::error& failure)
        {
            report_registration(false, failure.what());
            wait = store_retry + random.jitter(store_retry);
        }
        if (stopping.wait_for(wait))
            return;
    }
}

void member_service::impl::register_self()
{
    const std::string key = key_prefix + table.self().id.str();
    const base::time_point deadline = base::steady_now() + store_limit;
    // Holder is the id without the incarnation: after a restart the member
    // takes over its own lease without waiting for it to expire.
    const auto grant = given.store_.acquire_lease(key, table.self().id.str(),
                                                  lease_time, deadline);
    if (!grant.held)
        throw base::error(base::error_code::refused, "register", grant.holder,
                          "lease held by another");
    given.store_.put_leased(key, peer::write_text(table.self().to_json()), key,
                            deadline);
}

void member_service::impl::discover()
{
    const auto items =
        given.store_.list(key_prefix, base::steady_now() + store_limit);
    for (const provider::kv_item& item : items)
    {
        try
        {
            table.learned(peer::member_entry::from_json(
                              peer::parse_object(item.entry.value)),
                          given.clock_());
        }
        catch (const base::error&)
        {
            continue; // written by another version; heartbeats find it
        }
    }
}

void member_service::impl::report_registration(bool succeeded,
                                               std::string_view reason)
{
    if (succeeded == registered)
        return;
    registered = succeeded;
    log::write(succeeded ? event_registration_restored
                         : event_registration_failed,
               {{"member", table.self().id.str()}, {"reason", reason}});
}

member_service::builder& member_service::builder::self(peer::member_entry entry)
{
    self_ = std::move(entry);
    return *this;
}

member_service::builder& member_service::builder::secret(std::string shared)
{
    secret_ = std::move(shared);
    return *this;
}

member_service::builder&
member_service::builder::store(provider::kv_operations operations)
{
    store_ = std::move(operations);
    return *this;
}

member_service::builder&
member_service::builder::first_contacts(std::vector<net::endpoint> addresses)
{
    first_contacts_ = std::move(addresses);
    return *this;
}

member_service::builder& member_service::builder::fill_heartbeat(
    std::function<void(peer::heartbeat&)> hook)
{
    fill_ = std::move(hook);
    return *this;
}

member_service::builder& member_service::builder::on_late_result(
    peer::peer_client::late_result_hook hook)
{
    late_ = std::move(hook);
    return *this;
}

member_service::builder&
member_service::builder::random_seed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

member_service::builder&
member_service::builder::clock(std::function<base::time_point()> now)
{
    clock_ = std::move(now);
    return *this;
}

std::unique_ptr<member_service> member_service::builder::build()
{
    return std::unique_ptr<member_service>(
        new member_service(std::make_shared<impl>(*this, clock_())));
}

member_service::member_service(std::shared_ptr<impl> state)
    : impl_(std::move(state))
{
}

member_service::~member_service()
{
    stop();
}

member_table& member_service::table()
{
    return impl_->table;
}

std::shared_ptr<peer::peer_client>
member_service::client_of(const base::member_id& id) const
{
    const auto entry = impl_->table.find(id);
    if (!entry || id == impl_->table.self().id)
        return nullptr;
    const auto link = impl_->links.find(entry->address);
    return link == impl_->links.end() ? nullptr : link->second;
}

std::vector<std::shared_ptr<peer::peer_client>>
member_service::live_clients() const
{
    std::vector<std::shared_ptr<peer::peer_client>> clients;
    for (const peer::member_entry& entry : impl_->table.live())
        if (auto client = client_of(entry.id))
            clients.push_back(std::move(client));
    return clients;
}

peer::heartbeat member_service::own_heartbeat() const
{
    return impl_->own_heartbeat();
}

peer::heartbeat member_service::receive(const peer::call_context& context,
                                        const peer::heartbeat& beat)
{
    require_sender(context, beat.sender);
    impl_->received_at[beat.sender.address] = impl_->given.clock_();
    impl_->accept(beat);
    return impl_->own_heartbeat();
}

peer::acknowledgement member_service::receive(const peer::call_context& context,
                                              const peer::leaving& message)
{
    require_sender(context, message.sender);
    impl_->publish(impl_->table.left(message.sender));
    return {};
}

void member_service::on_change(change_listener listener)
{
    impl_->change_listeners.push_back(std::move(listener));
}

void member_service::on_heartbeat(heartbeat_listener listener)
{
    impl_->heartbeat_listeners.push_back(std::move(listener));
}

void member_service::start()
{
    impl_->fibers.spawn_restarting("check members",
                                   [self = impl_.get()] { self->tick_loop(); });
    if (impl_->given.store_.acquire_lease)
        impl_->fibers.spawn_restarting("register member", [self = impl_.get()]
                                       { self->store_loop(); });
}

void member_service::announce_leaving(base::time_point deadline)
{
    impl_->table.set_leaving();
    net::task_group calls;
    for (const auto& client : live_clients())
        calls.spawn(
            [this, client, deadline]
            {
                try
                {
                    client->send(peer::leaving{impl_->table.self()}, deadline);
                }
                catch (const base::error&)
                {
                    // The heartbeats carry the same announcement.
                }
            });
    calls.join();
}

void member_service::stop()
{
    if (impl_->stopping.is_set())
        return;
    impl_->stopping.set();
    for (const auto& [where, client] : std::map(impl_->links))
        client->stop();
    impl_->fibers.join();
    if (!impl_->given.store_.release_lease)
        return;
    try
    {
        impl_->given.store_.release_lease(
            key_prefix + impl_->table.self().id.str(),
            impl_->table.self().id.str(), base::steady_now() + store_limit);
    }
    catch (const base::error&)
    {
        // The lease expires by itself.
    }
}

} // namespace pimentograde::membership
