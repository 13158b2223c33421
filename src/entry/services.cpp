#include "entry/services.hpp"

#include "base/error.hpp"
#include "capacity/fleet_codec.hpp"
#include "config/bundle_parser.hpp"
#include "entry/events.hpp"
#include "entry/slot_conversion.hpp"

#include <utility>

namespace pimentograde::entry
{

namespace
{

// Added to the deadline of a call that waits at the other member, so that its
// answer arrives before the call times out here.
constexpr std::chrono::milliseconds answer_time{250};
constexpr std::chrono::milliseconds release_limit{1000};
constexpr std::chrono::milliseconds push_limit{2000};
constexpr std::chrono::milliseconds bundle_check_limit{2000};

std::shared_ptr<const config::bundle> empty_bundle()
{
    static const auto empty = std::make_shared<const config::bundle>();
    return empty;
}

std::uint64_t fleet_version(const provider::kv_entry& entry)
{
    return entry.value.empty() ? 0 : capacity::decode(entry.value).version;
}

void validate_bundle(std::string_view text)
{
    config::load_bundle(rollout::parse_envelope(text).bundle);
}

void validate_fleet(std::string_view text)
{
    capacity::decode(text);
}

} // namespace

services::services(entry_settings configured)
    : settings(std::move(configured)),
      incarnation(membership::new_incarnation(base::wall_now(),
                                              base::random_source{}.bits())),
      access(settings.bootstrap_operators),
      store(provider::kv_client::builder{}.store(settings.store).build()),
      instances(provider::instance_list_client::builder{}
                    .address(settings.instance_list)
                    .build()),
      workers(provider::worker_client::builder{}.build()),
      bundle_document(rollout::bundle_document, validate_bundle),
      fleet_document(rollout::fleet_document, validate_fleet)
{
    build_members();
    build_documents();
    build_slots();
    build_work();
    build_fleet();
    build_peer_server();
    connect_events();
    add_metrics();
}

services::~services() = default;

void services::build_members()
{
    const peer::member_entry self{settings.id, settings.peer_listen,
                                  settings.zone, incarnation};
    members = membership::member_service::builder{}
                  .self(self)
                  .secret(settings.peer_secret)
                  .store(store->operations())
                  .first_contacts(settings.peers)
                  .fill_heartbeat(
                      [this](peer::heartbeat& beat)
                      {
                          if (documents)
                              documents->fill(beat);
                          if (!slots)
                              return;
                          for (const auto& hint : slots->leaving_hints())
                              beat.leaving_workers.push_back(
                                  {hint.worker, hint.incarnation});
                          for (const auto& pool : slots->idle_slots())
                              beat.idle_slots.push_back(
                                  {pool.pool, pool.idle_slots.value_or(0)});
                      })
                  .build();
}

void services::build_documents()
{
    rollout::document_calls calls;
    calls.members = [this]
    {
        std::vector<base::member_id> others;
        for (const auto& entry : members->table().live())
            if (entry.id != settings.id)
                others.push_back(entry.id);
        return others;
    };
    calls.fetch = [this](const base::member_id& member,
                         const peer::fetch_document& message,
                         base::time_point deadline)
    {
        return require_client(member, "fetch document")
            ->send(message, deadline);
    };
    calls.push = [this](const base::member_id& member,
                        const peer::push_document& message,
                        base::time_point deadline)
    {
        return require_client(member, "push document")->send(message, deadline);
    };
    documents = rollout::document_service::builder{}
                    .store(store->operations())
                    .calls(std::move(calls))
                    .cancel_watch([this] { store->cancel(); })
                    .document(bundle_document, rollout::bundle_key,
                              rollout::envelope_version)
                    .document(fleet_document, rollout::fleet_key, fleet_version)
                    .build();
    bundle_document.on_adopt([this](const rollout::document_revision& revision)
                             { adopt_bundle(revision); });
    fleet_document.on_adopt([this](const rollout::document_revision& revision)
                            { adopt_fleet(*revision.text); });
    sign_offs = std::make_unique<rollout::sign_off_service>(
        store->operations(), rollout::real_pacing(), base::random_source{},
        [this](std::uint64_t version, const std::string& text)
        {
            documents->accepted(rollout::bundle_document, version, text,
                                base::steady_now() + push_limit);
        });
}

void services::build_slots()
{
    dispatch::slot_hooks hooks;
    hooks.remote_acquire = [this](const base::member_id& broker,
                                  const policy::slot_request& request)
    {
        const auto now = base::steady_now();
        const auto answer =
            require_client(broker, "acquire slot")
                ->send(peer::acquire_slot{to_terms(request, now)},
                       request.deadline + answer_time);
        return to_decision(answer, broker);
    };
    hooks.remote_borrow = [this](const base::member_id& lender,
                                 const policy::slot_request& request)
    {
        const auto now = base::steady_now();
        const auto answer =
            require_client(lender, "borrow slot")
                ->send(peer::borrow_slot{to_terms(request, now)},
                       now + release_limit);
        return to_decision(answer, lender);
    };
    hooks.remote_release = [this](const base::member_id& broker,
                                  const policy::slot_request& request,
                                  const policy::slot_grant& grant,
                                  policy::slot_outcome outcome,
                                  base::duration run_time)
    {
        const auto now = base::steady_now();
        require_client(broker, "release slot")
            ->send(to_release(request, grant, outcome, run_time, now),
                   now + release_limit);
    };
    hooks.broker_of = [this](const base::pool_name& pool)
    {
        return broker_of(pool);
    };
    slots = dispatch::slot_service::builder{}
                .self(settings.id)
                .hooks(std::move(hooks))
                .build();
}

void services::build_work()
{
    records =
        records::record_table::builder{}
            .store(store->operations())
            .writes_per_second(
                [this]
                {
                    return static_cast<double>(
                               settings.store_writes_per_second) /
                           static_cast<double>(members->table().live().size());
                })
            .build();
    dispatch::runner_hooks hooks;
    hooks.workers = workers->operations();
    hooks.slots = slots->operations();
    hooks.bundle = [this]
    {
        return bundle_ ? bundle_ : empty_bundle();
    };
    hooks.owns_shard = [this](std::size_t shard)
    {
        return bundle_ && owner_of_shard(shard) == settings.id;
    };
    dispatch::runner_settings limits;
    limits.max_running_jobs =
        static_cast<std::size_t>(settings.job_concurrency);
    dispatcher = dispatch::work_dispatcher::builder{}
                     .hooks(std::move(hooks))
                     .settings(limits)
                     .table(records)
                     .build();
    work_router::hooks routes;
    routes.dispatcher = dispatcher.get();
    routes.bundle = [this]
    {
        return bundle_ ? bundle_ : empty_bundle();
    };
    routes.owner_of = [this](std::size_t shard)
    {
        return members->client_of(owner_of_shard(shard));
    };
    router = std::make_unique<work_router>(std::move(routes));
}

void services::build_fleet()
{
    dispatch::fleet_service::hooks hooks;
    hooks.store = store->operations();
    hooks.workers = workers->operations();
    hooks.instances = instances->operations();
    hooks.bundle = [this]
    {
        return bundle_;
    };
    hooks.on_state = [this](const capacity::fleet_state& state)
    {
        if (state.version <= fleet_document.version())
            return;
        documents->accepted(rollout::fleet_document, state.version,
                            capacity::encode(state),
                            base::steady_now() + push_limit);
    };
    fleet = dispatch::fleet_service::builder{}
                .self(settings.id)
                .use(std::move(hooks))
                .build();
    worker_watch::hooks watched;
    watched.workers = workers->operations();
    watched.instances = instances->operations();
    watched.slots = slots.get();
    watched.bundle = [this]
    {
        return bundle_;
    };
    watched.is_mine = [this](const base::worker_id& worker)
    {
        return broker_of(pool_of(worker)) == settings.id;
    };
    watch = std::make_unique<worker_watch>(std::move(watched));
}

void services::connect_events()
{
    members->on_heartbeat([this](const peer::heartbeat& beat,
                                 base::time_point now) { heard(beat, now); });
    members->on_change([this](const membership::member_change& change)
                       { member_changed(change); });
}

void services::heard(const peer::heartbeat& beat, base::time_point now)
{
    documents->heard(beat, now);
    fleet->note_version(beat.fleet.version);
    const auto changes = views.heard(beat);
    for (const auto& hint : changes.present)
        slots->record_leaving(hint.worker, policy::leaving_source::peer_hint,
                              hint.incarnation);
    for (const auto& worker : changes.ended)
        slots->clear_leaving(worker, policy::leaving_source::peer_hint);
    for (const auto& pool : beat.idle_slots)
        slots->set_idle_slots(pool.pool, pool.slots);
}

void services::member_changed(const membership::member_change& change)
{
    if (change.kind == membership::change_kind::dropped)
    {
        for (const auto& worker : views.drop(change.member.id))
            slots->clear_leaving(worker, policy::leaving_source::peer_hint);
        slots->drop_member(change.member.id);
    }
    slots->update_brokers();
}

void services::adopt_bundle(const rollout::document_revision& revision)
{
    envelope_ = rollout::parse_envelope(*revision.text);
    bundle_ = std::make_shared<const config::bundle>(
        config::load_bundle(envelope_.bundle));
    access.use(*bundle_);
    apply_placements();
    log::write(event_bundle_adopted, {{"version", revision.version}});
}

void services::adopt_fleet(std::string_view text)
{
    fleet_state = capacity::decode(text);
    fleet->note_state(fleet_state);
    apply_placements();
    log::write(event_fleet_adopted, {{"version", fleet_state.version}});
}

void services::apply_placements()
{
    if (!bundle_)
        return;
    std::vector<dispatch::worker_placement> placements;
    for (const auto& [worker, status] : fleet_state.workers)
        placements.push_back({worker, status.pool,
                              status.state == capacity::worker_state::serving});
    slots->set_fleet(*bundle_, placements);
}

std::shared_ptr<peer::peer_client>
services::require_client(const base::member_id& id, std::string_view step)
{
    auto client = members->client_of(id);
    if (!client)
        throw base::error(base::error_code::unavailable, std::string(step),
                          id.str(), "not a known member");
    return client;
}

void services::start()
{
    members->start();
    documents->start();
    fleet->start();
    watch->start();
}

void services::stop()
{
    watch->stop();
    fleet->stop();
    slots->stop();
    sign_offs->stop();
    documents->stop();
    members->stop();
}

std::optional<operator_identity> services::find_operator(std::string_view token)
{
    auto found = access.find_operator(token);
    if (!found || bundle_)
        return found;
    // An operator of the settings; a bundle that has not been read yet may have
    // withdrawn the key.
    const auto stored = store->operations().get(
        rollout::bundle_key, base::steady_now() + bundle_check_limit);
    if (stored.version != 0 && !bundle_)
        return std::nullopt;
    return access.find_operator(token);
}

bool services::takes_work()
{
    return documents->admit() == rollout::admission::ready;
}

base::member_id services::broker_of(const base::pool_name& pool)
{
    return members->table().owner("pool/" + pool.str());
}

base::member_id services::owner_of_shard(std::size_t shard)
{
    return members->table().owner(records::shard_key(shard));
}

base::pool_name services::pool_of(const base::worker_id& worker) const
{
    const auto found = fleet_state.workers.find(worker);
    if (found != fleet_state.workers.end())
        return found->second.pool;
    if (bundle_)
        for (const auto& entry : bundle_->workers)
            if (entry.id == worker)
                return entry.pool;
    return {};
}

std::shared_ptr<const config::bundle> services::bundle() const
{
    return bundle_;
}

const rollout::bundle_envelope& services::envelope() const
{
    return envelope_;
}

} // namespace pimentograde::entry
