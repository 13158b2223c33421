#include "node/session.hpp"

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "platform/events.hpp"
#include "pools/ownership_times.hpp"

#include <boost/json.hpp>

#include <utility>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

constexpr std::string_view key_prefix = "pimentograde/";
constexpr std::string_view member_prefix = "pimentograde/member/";
constexpr std::string_view role_prefix = "pimentograde/role/";
constexpr std::string_view secret_key = "pimentograde/peer-secret";
constexpr std::chrono::milliseconds renewal_interval{800};
// Time for an order to arrive before the lease expires.
constexpr std::chrono::milliseconds lease_safety_margin{400};
constexpr std::chrono::milliseconds retry_delay{150};
// JSON numbers are exact up to 2^53.
constexpr std::uint64_t incarnation_mask = (std::uint64_t{1} << 53) - 1;

} // namespace

session::session(identity own, platform::store_client& store, hooks functions)
    : own_(std::move(own)), store_(store), hooks_(std::move(functions))
{
    own_.incarnation &= incarnation_mask;
}

session::~session()
{
    stop_.set();
    fibers_.join();
}

void session::start()
{
    fibers_.spawn_restarting("renew lease", [this] { lease_loop(); });
}

void session::stop()
{
    stop_.set();
    fibers_.join();
    if (lease_ == 0)
        return;
    try
    {
        store_.end_lease(std::exchange(lease_, 0));
    }
    catch (const base::error& failure)
    {
        log::write(event_store_lost, {{"reason", failure.what()}});
    }
}

std::string_view session::prefix()
{
    return key_prefix;
}

std::string session::role_key(std::string_view role)
{
    return std::string(role_prefix).append(role);
}

const holder* session::holder_of(std::string_view role) const
{
    const auto found = holders_.find(role);
    return found == holders_.end() ? nullptr : &found->second;
}

bool session::is_own(const holder& candidate) const
{
    return candidate.node == own_.name &&
           candidate.incarnation == own_.incarnation;
}

bool session::is_own_previous_process(const holder& candidate) const
{
    return candidate.node == own_.name &&
           candidate.incarnation != own_.incarnation;
}

// A renewal may belong to a later lease than the one that the role ended with.
bool session::may_order(std::string_view role, std::int64_t revision,
                        base::time_point now) const
{
    const holder* current = holder_of(role);
    return is_renewed(now) && current != nullptr &&
           current->revision == revision;
}

bool session::is_renewed(base::time_point now) const
{
    return lease_ != 0 && now - renewed_at_ < pools::max_ordering_time;
}

bool session::holds_lease(base::time_point now) const
{
    return lease_ != 0 &&
           now - renewed_at_ < pools::role_lease - lease_safety_margin;
}

void session::lease_loop()
{
    while (!stop_.is_set())
    {
        base::duration pause = renewal_interval;
        try
        {
            if (lease_ == 0)
                register_self();
            else
                renew();
            // A process that lost its lease can take part again soon.
            if (lease_ == 0)
                pause = retry_delay;
        }
        catch (const std::exception& failure)
        {
            if (!stop_.is_set())
                log::write(event_store_lost,
                           {{"step", "lease"}, {"reason", failure.what()}});
            pause = retry_delay;
        }
        stop_.wait_for(pause);
    }
}

void session::ensure_secret()
{
    if (!secret_.empty())
        return;
    base::random_source random;
    const std::string fresh = random.hex_id() + random.hex_id();
    store_.commit({{{std::string(secret_key), 0}},
                   {{std::string(secret_key), fresh, 0}},
                   {}});
    if (const auto stored = store_.get(secret_key))
        secret_ = stored->value;
}

void session::register_self()
{
    ensure_secret();
    const base::time_point sent_at = base::suspend_aware_now();
    const std::int64_t lease = store_.grant_lease(pools::role_lease);
    const json::object value{{"zone", own_.zone},
                             {"address", net::to_string(own_.address)},
                             {"cores", own_.cores},
                             {"incarnation", own_.incarnation}};
    const std::string key = std::string(member_prefix) + own_.name;
    const auto write = [&]
    {
        return store_.commit_repeatedly({{{key, stored_revision_}},
                                         {{key, json::serialize(value), lease}},
                                         {}});
    };
    auto result = write();
    if (result.outcome == platform::commit_result::kind::conflict)
    {
        // The key holds an earlier registration, of this process or of the
        // previous one.
        stored_revision_ =
            result.actual.empty() ? 0 : result.actual.front().revision;
        result = write();
    }
    if (result.outcome != platform::commit_result::kind::committed)
        return;
    stored_revision_ = result.revision;
    lease_ = lease;
    registered_revision_ = result.revision;
    renewed_at_ = sent_at;
    registered_at_ = base::steady_now();
    log::write(event_registered, {{"lease", lease}});
    hooks_.changed();
}

void session::renew()
{
    const base::time_point sent_at = base::suspend_aware_now();
    if (store_.renew_lease(lease_))
    {
        renewed_at_ = sent_at;
        return;
    }
    handle_lease_lost();
}

// The roles end with the lease. The watch may tell this much later, for example
// after the machine was suspended, and other instances may hold them already.
void session::handle_lease_lost()
{
    log::write(event_lease_lost, {{"lease", lease_}});
    lease_ = 0;
    std::erase_if(holders_,
                  [this](const auto& entry) { return is_own(entry.second); });
    hooks_.lease_lost();
}

bool session::has_ended(const holder& candidate) const
{
    return is_own(candidate) &&
           (lease_ == 0 || candidate.revision < registered_revision_);
}

std::string session::holder_value() const
{
    return json::serialize(
        json::object{{"node", own_.name},
                     {"incarnation", own_.incarnation},
                     {"address", net::to_string(own_.address)}});
}

std::vector<claim_candidate> session::candidates() const
{
    std::vector<claim_candidate> result;
    for (const auto& [name, entry] : members_)
        result.push_back({name, entry.cores, entry.revision});
    return result;
}

std::vector<role_holding>
session::holdings(std::span<const std::string> roles) const
{
    std::vector<role_holding> result;
    for (const std::string& name : roles)
    {
        const holder* current = holder_of(name);
        result.push_back(
            {name, current == nullptr ? std::string{} : current->node});
    }
    return result;
}

base::duration session::delay_before_claim(std::string_view role,
                                           std::span<const std::string> roles,
                                           base::time_point now) const
{
    return claim_delay(candidates(), holdings(roles), role, own_.name,
                       now - registered_at_);
}

bool session::should_hand_over(std::span<const std::string> roles) const
{
    return node::should_hand_over(candidates(), holdings(roles), own_.name);
}

void session::release(std::string_view role, std::int64_t revision)
{
    const std::string key = role_key(role);
    // Either way the store holds the role at this revision no more.
    store_.commit({{{key, revision}}, {}, {key}});
    forget_holder(role, revision);
}

void session::forget_holder(std::string_view role, std::int64_t revision)
{
    const auto found = holders_.find(role);
    if (found != holders_.end() && found->second.revision == revision)
        holders_.erase(found);
}

std::optional<std::int64_t> session::claim(std::string_view role)
{
    if (store_.is_detoured())
        return std::nullopt;
    const std::string key = role_key(role);
    const holder* current = holder_of(role);
    const std::int64_t revision = current == nullptr ? 0 : current->revision;
    const std::int64_t lease = lease_;
    const auto result =
        store_.commit({{{key, revision}}, {{key, holder_value(), lease}}, {}});
    if (result.outcome == platform::commit_result::kind::conflict)
    {
        // The watch may have missed the change, or tell of it later.
        forget_holder(role, revision);
        for (const auto& item : result.actual)
            apply_item(item);
    }
    // The claim ends with its lease, which may have been lost meanwhile.
    if (result.outcome != platform::commit_result::kind::committed ||
        lease != lease_)
        return std::nullopt;
    holders_[std::string(role)] = {own_.name, own_.incarnation, own_.address,
                                   result.revision};
    return result.revision;
}

void session::apply_item(const platform::store_item& item)
{
    try
    {
        read_item(item);
    }
    catch (const std::exception& failure)
    {
        log::write(platform::event_foreign_entry,
                   {{"key", item.key}, {"reason", failure.what()}});
    }
}

void session::read_item(const platform::store_item& item)
{
    const std::string_view key = item.key;
    boost::system::error_code failure;
    const json::value parsed = json::parse(item.value, failure);
    if (failure || !parsed.is_object())
        return;
    const json::object& source = parsed.get_object();
    const auto text = [&](std::string_view name)
    {
        const json::value* found = source.if_contains(name);
        return found != nullptr && found->is_string()
                   ? std::string(found->get_string())
                   : std::string{};
    };
    const auto address = net::parse_endpoint(text("address"));
    if (!address)
        return;
    if (key.starts_with(member_prefix))
    {
        const std::string name(key.substr(member_prefix.size()));
        const json::value* cores = source.if_contains("cores");
        const json::value* process = source.if_contains("incarnation");
        members_[name] = {
            name,
            text("zone"),
            *address,
            cores != nullptr && cores->is_number() ? cores->to_number<double>()
                                                   : 0.0,
            item.revision,
            process == nullptr ? 0 : process->to_number<std::uint64_t>()};
        hooks_.member_present(members_[name]);
        return;
    }
    if (!key.starts_with(role_prefix))
        return;
    const json::value* incarnation = source.if_contains("incarnation");
    const holder* known = holder_of(key.substr(role_prefix.size()));
    if (known != nullptr && known->revision >= item.revision)
        return;
    const holder listed{
        text("node"),
        incarnation == nullptr ? 0 : incarnation->to_number<std::uint64_t>(),
        *address, item.revision};
    // A late change may show a role of this process under an ended lease.
    if (!has_ended(listed))
        holders_[std::string(key.substr(role_prefix.size()))] = listed;
}

void session::remove_key(std::string_view key, std::int64_t revision)
{
    if (key.starts_with(member_prefix))
    {
        const std::string name(key.substr(member_prefix.size()));
        const auto left = members_.extract(name);
        if (!left.empty() && name != own_.name)
            hooks_.member_left(left.mapped());
    }
    else if (key.starts_with(role_prefix))
    {
        const auto found = holders_.find(key.substr(role_prefix.size()));
        // A claim of this instance may be newer than the watched change.
        if (found != holders_.end() && found->second.revision < revision)
            holders_.erase(found);
    }
}

void session::apply_listing(std::span<const platform::store_item> items)
{
    const auto earlier = std::exchange(members_, {});
    holders_.clear();
    for (const auto& item : items)
        apply_item(item);
    for (const auto& [name, entry] : earlier)
        if (name != own_.name && !members_.contains(name))
            hooks_.member_left(entry);
    hooks_.changed();
}

void session::apply_changes(std::span<const platform::store_event> events)
{
    for (const auto& event : events)
    {
        if (event.is_deleted)
            remove_key(event.item.key, event.item.revision);
        else
            apply_item(event.item);
    }
    hooks_.changed();
}

} // namespace pimentograde::node
