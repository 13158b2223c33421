#ifndef PIMENTOGRADE_ROLLOUT_DOCUMENT_SERVICE_HPP
#define PIMENTOGRADE_ROLLOUT_DOCUMENT_SERVICE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "peer/messages.hpp"
#include "provider/kv_operations.hpp"
#include "rollout/versioned_document.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::rollout
{

/// Names of the documents.
inline constexpr const char* bundle_document = "bundle";
inline constexpr const char* fleet_document = "fleet";

inline constexpr const char* fleet_key = "fleet/state";

/// Longest time without contact to store and members in which new work is
/// still taken.
inline constexpr std::chrono::seconds contact_limit{8};

/// Whether new work may be taken.
enum class admission
{
    ready,
    /// No bundle known yet.
    no_bundle,
    /// After the start or a pause: the newest versions have not been asked for
    /// yet.
    resuming,
    /// Neither store nor members reached for 8 s.
    out_of_contact
};

std::string_view to_string(admission state);

/// Calls to other members; each throws `base::error`.
struct document_calls
{
    /// Live members other than this one.
    std::function<std::vector<base::member_id>()> members;
    std::function<peer::document_content(const base::member_id&,
                                         const peer::fetch_document&,
                                         base::time_point deadline)>
        fetch;
    std::function<peer::version_reply(const base::member_id&,
                                      const peer::push_document&,
                                      base::time_point deadline)>
        push;
};

/// Brings every member to the newest version of each document: by pushes after
/// an acceptance, by fetching from a member that reports a higher version, and
/// by one watch of the store. Also decides whether new work may be taken.
class document_service
{
public:
    /// Version of a document in the store. Throws `base::error` with `invalid`.
    using version_reader =
        std::function<std::uint64_t(const provider::kv_entry&)>;

    class builder
    {
    public:
        builder& store(provider::kv_operations operations);
        builder& calls(document_calls hooks);
        /// `document` has to outlive the service. The first one added is
        /// watched in the store and has to be present before work is taken.
        builder& document(versioned_document& document, std::string store_key,
                          version_reader version);
        builder& random_seed(std::uint64_t seed);
        /// Clock of pauses and contact, by default the one that also runs
        /// while the machine is suspended.
        builder& clock(std::function<base::time_point()> now);
        /// Called by `stop` to end the pending watch, for which `stop` waits.
        builder& cancel_watch(std::function<void()> hook);
        std::unique_ptr<document_service> build();

    private:
        friend class document_service;
        struct entry
        {
            versioned_document* document;
            std::string store_key;
            version_reader version;
        };
        provider::kv_operations store_;
        document_calls calls_;
        std::vector<entry> documents_;
        std::optional<std::uint64_t> seed_;
        std::function<base::time_point()> clock_ = base::suspend_aware_now;
        std::function<void()> cancel_watch_;
    };

    ~document_service();
    document_service(const document_service&) = delete;
    document_service& operator=(const document_service&) = delete;

    /// Handlers for the peer server. Throw `base::error` with `not_found` for
    /// an unknown document.
    peer::document_content receive(const peer::fetch_document& message);
    peer::version_reply receive(const peer::push_document& message);

    /// A member reported its versions, at `now` of the service's clock. Fetches
    /// what is newer in a fiber of its own, one at a time for each document.
    void heard(const peer::heartbeat& beat, base::time_point now);
    /// Adds this member's versions to a heartbeat.
    void fill(peer::heartbeat& beat) const;

    /// A version was accepted by the store through this process: adopts it and
    /// pushes it to all live members at once. Returns how many have it.
    std::size_t accepted(std::string_view document, std::uint64_t version,
                         const std::string& text, base::time_point deadline);

    /// Asks the store and all live members for newer versions at once. Returns
    /// whether any of them answered; this ends the state after a pause.
    bool synchronise(base::time_point deadline);
    /// Repeats `synchronise` until the first document is present. Returns
    /// whether it is.
    bool wait_until_ready(base::time_point deadline);
    /// One long poll of the first document and one read of the others. Throws
    /// `base::error`.
    void watch_once(base::time_point deadline);

    /// Notices a pause of this process, by the service's clock. Called by
    /// `admit` and several times a second by the service's own fiber.
    void observe(base::time_point now);
    [[nodiscard]] admission admit(base::time_point now);
    /// By the present time of the service's clock.
    [[nodiscard]] admission admit();

    /// Starts the fibers of the watch and the contact check, which ask for the
    /// newest versions first.
    void start();
    /// Does not wait for a pending long poll, which ends at its own deadline
    /// without any effect.
    void stop();
    /// Waits until no fetch is in progress.
    void settle();

private:
    struct impl;
    explicit document_service(std::shared_ptr<impl> state);
    std::shared_ptr<impl> impl_;
};

/// Version inside a stored bundle envelope.
std::uint64_t envelope_version(const provider::kv_entry& entry);
/// The store's own version of the key.
std::uint64_t stored_version(const provider::kv_entry& entry);

} // namespace pimentograde::rollout

#endif
