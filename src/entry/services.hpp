#ifndef PIMENTOGRADE_ENTRY_SERVICES_HPP
#define PIMENTOGRADE_ENTRY_SERVICES_HPP

#include "capacity/fleet_state.hpp"
#include "config/bundle.hpp"
#include "dispatch/fleet_service.hpp"
#include "dispatch/slot_service.hpp"
#include "dispatch/work_dispatcher.hpp"
#include "entry/access_control.hpp"
#include "entry/entry_settings.hpp"
#include "entry/peer_views.hpp"
#include "entry/work_router.hpp"
#include "entry/worker_watch.hpp"
#include "membership/member_service.hpp"
#include "metrics/registry.hpp"
#include "peer/peer_server.hpp"
#include "provider/instance_list_client.hpp"
#include "provider/kv_client.hpp"
#include "provider/worker_client.hpp"
#include "records/record_table.hpp"
#include "rollout/bundle_envelope.hpp"
#include "rollout/document_service.hpp"
#include "rollout/sign_off_service.hpp"
#include "rollout/versioned_document.hpp"

#include <memory>
#include <optional>
#include <string_view>

namespace pimentograde::entry
{

/// The services of one entry instance, joined by hooks. Members are declared
/// in the order of their dependencies, so that they are destroyed in reverse.
class services
{
public:
    explicit services(entry_settings configured);
    ~services();
    services(const services&) = delete;
    services& operator=(const services&) = delete;

    void start();
    /// Ends the background fibers of all services but the peer server.
    void stop();

    [[nodiscard]] bool takes_work();
    /// Throws `base::error` if an operator of the settings asks and the store
    /// does not tell whether a bundle has replaced those.
    [[nodiscard]] std::optional<operator_identity>
    find_operator(std::string_view token);
    [[nodiscard]] base::member_id broker_of(const base::pool_name& pool);
    [[nodiscard]] base::member_id owner_of_shard(std::size_t shard);
    /// Pool of a worker by the fleet state, else by the bundle.
    [[nodiscard]] base::pool_name pool_of(const base::worker_id& worker) const;
    /// Bundle in force; null while there is none.
    [[nodiscard]] std::shared_ptr<const config::bundle> bundle() const;
    [[nodiscard]] const rollout::bundle_envelope& envelope() const;

    // Public, since the listeners and the routes of the same package use them.
    entry_settings settings;
    std::uint64_t incarnation;
    metrics::registry metrics;
    access_control access;
    peer_views views;
    std::unique_ptr<provider::kv_client> store;
    std::unique_ptr<provider::instance_list_client> instances;
    std::unique_ptr<provider::worker_client> workers;
    rollout::versioned_document bundle_document;
    rollout::versioned_document fleet_document;
    capacity::fleet_state fleet_state;
    std::unique_ptr<membership::member_service> members;
    std::unique_ptr<rollout::document_service> documents;
    std::unique_ptr<rollout::sign_off_service> sign_offs;
    std::unique_ptr<dispatch::slot_service> slots;
    std::shared_ptr<records::record_table> records;
    std::unique_ptr<dispatch::work_dispatcher> dispatcher;
    std::unique_ptr<dispatch::fleet_service> fleet;
    std::unique_ptr<work_router> router;
    std::unique_ptr<worker_watch> watch;
    std::unique_ptr<peer::peer_server> peers;
    bool stopping = false;

private:
    void build_members();
    void build_documents();
    void build_slots();
    void build_work();
    void build_fleet();
    void build_peer_server();
    void connect_events();
    void add_metrics();
    void adopt_bundle(const rollout::document_revision& revision);
    void adopt_fleet(std::string_view text);
    void apply_placements();
    void heard(const peer::heartbeat& beat, base::time_point now);
    void member_changed(const membership::member_change& change);
    std::shared_ptr<peer::peer_client> require_client(const base::member_id& id,
                                                      std::string_view step);
    peer::slot_answer answer_acquire(const peer::call_context& context,
                                     const peer::acquire_slot& message);
    peer::slot_answer answer_borrow(const peer::call_context& context,
                                    const peer::borrow_slot& message);

    std::shared_ptr<const config::bundle> bundle_;
    rollout::bundle_envelope envelope_;
};

} // namespace pimentograde::entry

#endif
