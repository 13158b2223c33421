#ifndef PIMENTOGRADE_PLATFORM_STORE_CLIENT_HPP
#define PIMENTOGRADE_PLATFORM_STORE_CLIENT_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::platform
{

struct store_item
{
    std::string key;
    std::string value;
    /// Revision of the last change.
    std::int64_t revision = 0;
    /// Revision at which the key came into being.
    std::int64_t created = 0;
};

/// All items under a prefix, and the store's revision at the first page.
struct store_listing
{
    std::vector<store_item> items;
    std::int64_t revision = 0;
    /// False when an item was left out or has lost its value, since it cannot
    /// be read.
    bool is_complete = true;
};

struct store_event
{
    store_item item;
    bool is_deleted = false;
};

struct store_changes
{
    std::vector<store_event> events;
    /// Revision after which the next watch begins.
    std::int64_t revision = 0;
    /// The history is gone: list the prefix again.
    bool is_compacted = false;
    /// See `store_listing`.
    bool is_complete = true;
};

/// Changes that take effect together, if all conditions hold. At most 32
/// entries in all.
struct store_transaction
{
    struct condition
    {
        std::string key;
        /// 0: the key does not exist.
        std::int64_t revision = 0;
    };
    struct write
    {
        std::string key;
        std::string value;
        /// 0: the key stays until it is removed.
        std::int64_t lease = 0;
    };
    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

struct commit_result
{
    enum class kind
    {
        committed,
        /// A condition did not hold; `actual` has the present items.
        conflict,
        lease_ended
    };
    kind outcome = kind::committed;
    std::int64_t revision = 0;
    std::vector<store_item> actual;
};

/// A call to the store and its response, as its protocol has them.
struct raw_store_call
{
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
    /// How long the store may hold its answer back, for a watch.
    base::duration wait{};
};

struct raw_store_response
{
    unsigned status = 0;
    std::string body;
};

/// Outcome of one try to reach the store.
enum class store_outcome
{
    served,
    /// Nothing was done, or the connection broke.
    refused,
    /// No answer in time.
    silent
};

/// Another way to the store for an instance that it does not serve. A hook
/// throws `base::error` as calls to the store do.
struct store_detour
{
    /// Whether the next call goes this way.
    std::function<bool(base::time_point now)> is_preferred;
    std::function<raw_store_response(const raw_store_call& call,
                                     base::time_point deadline)>
        send;
    /// A direct call has ended.
    std::function<void(store_outcome outcome, base::time_point now)> ended;
};

/// Client of the platform's metadata store. Each call throws `base::error`:
/// `refused` or `unavailable` when nothing was done, `timeout` or `cut_off`
/// when the effect is unknown.
class store_client
{
public:
    /// Called with the step, the outcome and the time that a call took.
    using call_hook =
        std::function<void(std::string_view, bool is_ok, base::duration)>;

    class builder
    {
    public:
        builder& connect_to(net::endpoint where);
        builder& call_timeout(base::duration length);
        builder& on_call(call_hook hook);
        /// The way that calls take while it is preferred. Reads beside them
        /// show when the store serves this instance again.
        builder& detour(store_detour way);
        std::unique_ptr<store_client> build();

    private:
        net::endpoint where_;
        base::duration timeout_ = std::chrono::milliseconds(1000);
        call_hook called_;
        store_detour detour_;
    };

    ~store_client();
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    /// Linearizable read; empty when the key does not exist.
    std::optional<store_item> get(std::string_view key);
    /// Linearizable pages; the whole is not a snapshot.
    store_listing list(std::string_view prefix);
    /// Waits up to `wait` for changes after `revision`.
    store_changes watch(std::string_view prefix, std::int64_t revision,
                        base::duration wait);
    commit_result commit(const store_transaction& change);
    /// Sends the transaction again beside the first try when no answer comes.
    /// Its conditions must fail once it has taken effect; the caller then gets
    /// a conflict, with its own values.
    commit_result commit_repeatedly(const store_transaction& change);
    /// Returns the lease's id.
    std::int64_t grant_lease(base::duration time_to_live);
    /// Returns whether the lease still exists. Is sent again beside the first
    /// try when no answer comes, as a renewal may be repeated at will.
    bool renew_lease(std::int64_t lease);
    void end_lease(std::int64_t lease);
    /// Sends a call for another instance, directly. Throws `base::error` with
    /// `invalid` if its body is no JSON, or unless it is a call of the store's
    /// protocol.
    raw_store_response send_for_peer(const raw_store_call& call,
                                     base::time_point deadline);
    /// Ends all calls in progress.
    void cancel();
    /// Whether calls take the detour at present.
    [[nodiscard]] bool is_detoured() const;
    /// Whether calls have been without an answer since the last one that got
    /// one.
    [[nodiscard]] bool is_silent() const;

private:
    struct impl;
    explicit store_client(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// Standard base64 with padding.
std::string encode_base64(std::string_view bytes);
/// Throws `base::error` with `invalid`.
std::string decode_base64(std::string_view text);

} // namespace pimentograde::platform

#endif
