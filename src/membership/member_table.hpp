#ifndef PIMENTOGRADE_MEMBERSHIP_MEMBER_TABLE_HPP
#define PIMENTOGRADE_MEMBERSHIP_MEMBER_TABLE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "peer/messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentograde::membership
{

/// Times of section 6 of the design page.
inline constexpr std::chrono::milliseconds heartbeat_interval{500};
inline constexpr std::chrono::milliseconds suspect_after{1500};
inline constexpr std::chrono::seconds drop_after{3};
/// A longer gap between two calls of `advance` means that this process was
/// paused.
inline constexpr std::chrono::seconds pause_limit{1};
/// A member known only by hearsay is forgotten after this time without being
/// named again.
inline constexpr std::chrono::seconds contact_lifetime{30};
/// The incarnation of a dropped member is remembered this long, so that a late
/// message of an earlier one does not bring that back.
inline constexpr std::chrono::seconds former_lifetime{60};
/// A hint about a leaving worker lapses when its source no longer repeats it.
inline constexpr std::chrono::seconds hint_lifetime{3};

enum class member_state
{
    /// Named by others or by the store; not heard from yet.
    contact,
    live,
    suspected
};

enum class change_kind
{
    joined,
    suspected,
    recovered,
    dropped,
    /// Announced its end.
    left,
    /// This process was paused; `silence` is the length.
    paused
};

struct member_change
{
    change_kind kind = change_kind::joined;
    peer::member_entry member;
    /// Time without a message, for `suspected` and `dropped`.
    base::duration silence{};
};

using change_list = std::vector<member_change>;

/// Decides which entry instances are live. Holds no clock: each function takes
/// the time of its decision, which must not decrease.
class member_table
{
public:
    member_table(peer::member_entry self, base::time_point now);

    [[nodiscard]] const peer::member_entry& self() const { return self_; }

    /// A heartbeat, or a reply to one, arrived from its sender. Ignored when a
    /// higher incarnation of the sender, or at its address, is known.
    change_list heard(const peer::heartbeat& beat, base::time_point now);
    /// Somebody else named a member, so that it can be contacted. Never makes
    /// a member live.
    void learned(const peer::member_entry& entry, base::time_point now);
    /// A planned end was announced: the member owns nothing any more, but stays
    /// until it falls silent, as it may still finish work in progress.
    change_list left(const peer::member_entry& entry);
    /// Applies the passing of time; to be called several times a second.
    change_list advance(base::time_point now);

    /// Members to send heartbeats to, in the order of their ids.
    [[nodiscard]] std::vector<peer::member_entry> contacts() const;
    /// Members that are not dropped, with this one, in the order of their ids.
    [[nodiscard]] std::vector<peer::member_entry> live() const;
    [[nodiscard]] std::optional<peer::member_entry>
    find(const base::member_id& id) const;
    [[nodiscard]] std::optional<member_state>
    state_of(const base::member_id& id) const;

    /// The member that owns `name` by rendezvous hashing over the members that
    /// are neither dropped nor leaving. A suspected member keeps what it owns:
    /// a short silence must not move shards back and forth.
    [[nodiscard]] base::member_id owner(std::string_view name) const;
    /// This member announced its end and owns nothing any more, as long as
    /// another member is live.
    void set_leaving() { leaving_ = true; }
    [[nodiscard]] bool is_leaving() const { return leaving_; }

    /// This process saw that a worker takes no new work.
    void note_worker_leaving(const peer::worker_hint& hint);
    void note_worker_serving(const base::worker_id& worker);
    /// What this process saw itself: the hints that its heartbeats carry.
    /// Hints of others are not passed on, so that they lapse with their source.
    [[nodiscard]] std::vector<peer::worker_hint> own_hints() const;
    /// Whether this incarnation of the worker, or a later one, is known to
    /// take no new work.
    [[nodiscard]] bool is_worker_leaving(const base::worker_id& worker,
                                         std::uint64_t incarnation,
                                         base::time_point now) const;

private:
    struct record
    {
        peer::member_entry entry;
        member_state state = member_state::contact;
        bool leaving = false;
        base::time_point last_heard{};
        base::time_point last_named{};
    };
    struct former_member
    {
        std::uint64_t incarnation = 0;
        base::time_point dropped{};
    };
    struct received_hint
    {
        std::uint64_t incarnation = 0;
        base::time_point received{};
    };

    [[nodiscard]] bool is_outdated(const peer::member_entry& entry) const;
    void replace_address(const peer::member_entry& entry, change_list& changes);
    void shift_times(base::duration pause, base::time_point now);
    bool expire(record& known, base::time_point now, change_list& changes);

    peer::member_entry self_;
    bool leaving_ = false;
    std::map<base::member_id, record> members_;
    std::map<base::member_id, former_member> former_;
    std::map<base::worker_id, std::uint64_t> own_hints_;
    std::map<base::worker_id, received_hint> hints_;
    base::time_point last_advance_;
};

} // namespace pimentograde::membership

#endif
