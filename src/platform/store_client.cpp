#include "platform/store_client.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "platform/answer_watch.hpp"
#include "platform/events.hpp"
#include "platform/json_call.hpp"
#include "platform/repeated_call.hpp"

#include <openssl/evp.h>

#include <utility>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned gone = 410;
constexpr unsigned precondition_failed = 412;
// Time beyond its wait that a watch may take before its connection counts as
// silent.
constexpr std::chrono::milliseconds watch_slack{800};
// A renewal costs the tenth of a read. When two answers of five are lost, all
// of these are lost twice in a thousand times.
constexpr int max_renewal_tries = 7;
// A write that gets no answer is known to have failed only after the full time;
// two of five lost: four times in a thousand.
constexpr int max_commit_tries = 6;
// A connection that is closed or reset later than this was not refused: nothing
// has answered.
constexpr std::chrono::milliseconds max_refusal_time{100};
// How often a detoured instance asks the store directly.
constexpr std::chrono::milliseconds probe_interval{500};

store_item to_item(const json::object& source)
{
    store_item item;
    item.key = read_text(source, "Key");
    item.value = decode_base64(read_text(source, "Value"));
    item.revision = read_integer(source, "Rev");
    item.created = read_integer(source, "Created");
    return item;
}

void log_unreadable(std::string_view key, std::string_view reason)
{
    log::write(event_foreign_entry, {{"key", key}, {"reason", reason}});
}

// An item whose value cannot be read has none, so that its key's reader rejects
// it. Empty for a row that names no key or revision.
std::optional<store_item> to_readable_item(const json::value& row,
                                           bool& is_complete)
{
    store_item item;
    try
    {
        if (!row.is_object())
            throw base::error(base::error_code::invalid, "read item", "",
                              "not an object");
        const json::object& source = row.get_object();
        item.key = read_text(source, "Key");
        item.revision = read_integer(source, "Rev");
        item.created = read_integer(source, "Created");
        if (item.key.empty() || item.revision <= 0)
            throw base::error(base::error_code::invalid, "read item", item.key,
                              "no key or revision");
    }
    catch (const base::error& failure)
    {
        is_complete = false;
        log_unreadable(item.key, failure.what());
        return std::nullopt;
    }
    try
    {
        item.value = decode_base64(read_text(row.get_object(), "Value"));
    }
    catch (const base::error& failure)
    {
        is_complete = false;
        log_unreadable(item.key, failure.what());
    }
    return item;
}

std::optional<store_event> to_readable_event(const json::value& row,
                                             bool& is_complete)
{
    auto item = to_readable_item(row, is_complete);
    if (!item)
        return std::nullopt;
    try
    {
        return store_event{std::move(*item),
                           read_flag(row.get_object(), "Deleted")};
    }
    catch (const base::error& failure)
    {
        is_complete = false;
        log_unreadable(item->key, failure.what());
        return std::nullopt;
    }
}

bool is_watch(std::string_view target)
{
    return target.starts_with("/-/kv-watch?");
}

bool is_store_call(std::string_view method, std::string_view target)
{
    return (method == "GET" &&
            (target.starts_with("/-/kv-key?") ||
             target.starts_with("/-/kv-range?") || is_watch(target))) ||
           (method == "POST" &&
            (target == "/-/kv-txn" || target == "/-/kv-lease" ||
             target.starts_with("/-/kv-keep/"))) ||
           (method == "DELETE" && target.starts_with("/-/kv-lease-end/"));
}

json::object to_body(const store_transaction& change)
{
    json::array conditions;
    for (const auto& entry : change.conditions)
        conditions.push_back(
            json::object{{"Key", entry.key}, {"Rev", entry.revision}});
    json::array writes;
    for (const auto& entry : change.writes)
    {
        json::object write{{"Key", entry.key},
                           {"Value", encode_base64(entry.value)}};
        if (entry.lease != 0)
            write["Lease"] = entry.lease;
        writes.push_back(std::move(write));
    }
    return {{"Expected", std::move(conditions)},
            {"Writes", std::move(writes)},
            {"Remove", json::value_from(change.removals)}};
}

} // namespace

struct store_client::impl
{
    net::endpoint where;
    explicit impl(base::duration timeout) : answers(timeout) {}

    answer_watch answers;
    call_hook called;
    store_detour detour;
    base::time_point next_probe{};
    std::unique_ptr<net::http_client> http;
    /// Calls that another try has made needless.
    net::task_group tries;

    /// `wait` is how long the store may hold its answer back.
    json_response call(const json_request& request, base::duration limit,
                       std::string_view step, base::duration wait = {})
    {
        const base::time_point begin = base::steady_now();
        const base::time_point deadline = begin + limit;
        if (prefers_detour(begin))
        {
            probe(begin);
            return call_by_detour(request, deadline, wait);
        }
        try
        {
            json_response response = call_directly(request, deadline, step);
            if (!is_refusal(response.status) ||
                !prefers_detour(base::steady_now()))
                return response;
        }
        catch (const base::error& failure)
        {
            if (failure.effect_unknown() || !prefers_detour(base::steady_now()))
                throw;
        }
        return call_by_detour(request, deadline, wait);
    }
    [[nodiscard]] bool prefers_detour(base::time_point now) const
    {
        return detour.send && detour.is_preferred(now);
    }
    /// Reads a key directly, beside other calls, to learn whether the store
    /// serves this instance again.
    void probe(base::time_point now)
    {
        if (now < next_probe)
            return;
        next_probe = now + probe_interval;
        tries.spawn(
            [this, deadline = now + probe_interval]
            {
                try
                {
                    call_directly({"GET", "/-/kv-key?Key=probe", nullptr, {}},
                                  deadline, "probe store");
                }
                catch (const base::error&)
                {
                    // The detour has been told of the outcome.
                    return;
                }
            });
    }
    json_response call_by_detour(const json_request& request,
                                 base::time_point deadline, base::duration wait)
    {
        const raw_store_response response =
            detour.send({request.method, request.target,
                         request.body.is_null() ? std::string{}
                                                : json::serialize(request.body),
                         wait},
                        deadline);
        return parse_response(response.status, response.body);
    }
    json_response call_directly(const json_request& request,
                                base::time_point deadline,
                                std::string_view step)
    {
        const base::time_point begin = base::steady_now();
        bool is_ok = false;
        try
        {
            json_response response =
                call_json(*http, where, request, deadline, step);
            is_ok = !is_turned_away(response);
            answers.note_answer(base::steady_now());
            report(step, is_ok, base::steady_now() - begin);
            note_direct(is_ok ? store_outcome::served : store_outcome::refused);
            return response;
        }
        catch (const base::error& failure)
        {
            if (failure.code() == base::error_code::timeout)
                answers.note_timeout(begin);
            report(step, false, base::steady_now() - begin);
            note_failure(request.target, base::steady_now() - begin);
            throw;
        }
    }
    /// A watch that is cut or gets no answer says nothing of the store: it may
    /// have dropped its history.
    void note_failure(std::string_view target, base::duration length) const
    {
        if (!is_watch(target))
            note_direct(length < max_refusal_time ? store_outcome::refused
                                                  : store_outcome::silent);
    }
    void note_direct(store_outcome outcome) const
    {
        if (detour.ended)
            detour.ended(outcome, base::steady_now());
    }
    json_response call_repeatedly(json_request request, int max_tries,
                                  std::string_view step)
    {
        const base::time_point begin = base::steady_now();
        const base::duration limit = answers.timeout();
        // While nothing is answered, more calls would not help.
        return send_repeatedly(
            tries,
            {begin + limit, answers.repeat_delay(),
             answers.is_silent() ? 1 : max_tries},
            [this, request = std::move(request), end = begin + limit,
             name = std::string(step)]
            {
                const base::time_point sent_at = base::steady_now();
                json_response response = call(request, end - sent_at, name);
                answers.note_answer_time(base::steady_now() - sent_at);
                return response;
            });
    }
    void report(std::string_view step, bool is_ok, base::duration length) const
    {
        if (called)
            called(step, is_ok, length);
    }
    [[nodiscard]] commit_result
    read_commit(const json_response& response) const;
    [[nodiscard]] commit_result
    read_answered_commit(const json_response& response) const;
    [[nodiscard]] base::error unexpected(const json_response& response,
                                         std::string_view step) const
    {
        return unexpected_status(response.status, where, step);
    }
};

store_client::builder& store_client::builder::connect_to(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

store_client::builder&
store_client::builder::call_timeout(base::duration length)
{
    timeout_ = length;
    return *this;
}

store_client::builder& store_client::builder::on_call(call_hook hook)
{
    called_ = std::move(hook);
    return *this;
}

store_client::builder& store_client::builder::detour(store_detour way)
{
    detour_ = std::move(way);
    return *this;
}

std::unique_ptr<store_client> store_client::builder::build()
{
    auto state = std::make_unique<impl>(timeout_);
    state->where = where_;
    state->called = called_;
    state->detour = detour_;
    constexpr std::size_t max_response_bytes = std::size_t{4} << 20;
    net::http_limits limits;
    limits.max_body_bytes = max_response_bytes;
    state->http = net::http_client::builder{}.limits(limits).build();
    return std::unique_ptr<store_client>(new store_client(std::move(state)));
}

store_client::store_client(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

store_client::~store_client()
{
    impl_->http->cancel();
}

std::optional<store_item> store_client::get(std::string_view key)
{
    const json_response response =
        impl_->call({"GET", "/-/kv-key?Key=" + encode_query(key), nullptr, {}},
                    impl_->answers.timeout(), "read key");
    if (response.status == not_found)
        return std::nullopt;
    if (response.status != ok)
        throw impl_->unexpected(response, "read key");
    require_members(response, {"Key", "Value", "Rev"}, impl_->where,
                    "read key");
    return to_item(response.body);
}

store_listing store_client::list(std::string_view prefix)
{
    store_listing listing;
    std::string after;
    while (true)
    {
        std::string target = "/-/kv-range?Prefix=" + encode_query(prefix);
        if (!after.empty())
            target += "&After=" + encode_query(after);
        const json_response response =
            impl_->call({"GET", std::move(target), nullptr, {}},
                        impl_->answers.timeout(), "list");
        if (response.status != ok)
            throw impl_->unexpected(response, "list");
        require_members(response, {"items", "AsOf"}, impl_->where, "list");
        // Changes after the first page are seen again by a watch from there.
        if (after.empty())
            listing.revision = read_integer(response.body, "AsOf");
        for (const json::value& row : read_array(response.body, "items"))
            if (auto item = to_readable_item(row, listing.is_complete))
                listing.items.push_back(std::move(*item));
        if (!read_flag(response.body, "Truncated"))
            return listing;
        if (listing.items.empty() || listing.items.back().key <= after)
            throw base::error(base::error_code::cut_off, "list",
                              net::to_string(impl_->where),
                              "a page names no later key");
        after = listing.items.back().key;
    }
}

store_changes store_client::watch(std::string_view prefix,
                                  std::int64_t revision, base::duration wait)
{
    const std::string target =
        "/-/kv-watch?Prefix=" + encode_query(prefix) +
        "&After=" + std::to_string(revision) +
        "&WaitMs=" + std::to_string(base::count_millis(wait));
    const json_response response = impl_->call(
        {"GET", target, nullptr, {}}, wait + watch_slack, "watch", wait);
    store_changes changes;
    if (response.status == gone)
    {
        changes.is_compacted = true;
        return changes;
    }
    if (response.status != ok)
        throw impl_->unexpected(response, "watch");
    require_members(response, {"events", "AsOf"}, impl_->where, "watch");
    changes.revision = read_integer(response.body, "AsOf", revision);
    for (const json::value& row : read_array(response.body, "events"))
        if (auto event = to_readable_event(row, changes.is_complete))
            changes.events.push_back(std::move(*event));
    return changes;
}

commit_result store_client::commit(const store_transaction& change)
{
    return impl_->read_answered_commit(
        impl_->call({"POST", "/-/kv-txn", to_body(change), {}},
                    impl_->answers.timeout(), "commit"));
}

commit_result store_client::commit_repeatedly(const store_transaction& change)
{
    return impl_->read_answered_commit(
        impl_->call_repeatedly({"POST", "/-/kv-txn", to_body(change), {}},
                               max_commit_tries, "commit"));
}

commit_result
store_client::impl::read_answered_commit(const json_response& response) const
{
    try
    {
        return read_commit(response);
    }
    catch (const base::error& failure)
    {
        if (failure.code() != base::error_code::invalid)
            throw;
        // The store has answered something; whether it wrote is not known.
        throw base::error(base::error_code::cut_off, "commit",
                          net::to_string(where), failure.detail());
    }
}

commit_result
store_client::impl::read_commit(const json_response& response) const
{
    commit_result result;
    if (response.status == ok)
    {
        require_members(response, {"Rev"}, where, "commit");
        result.revision = read_integer(response.body, "Rev");
        if (result.revision <= 0)
            throw base::error(base::error_code::cut_off, "commit",
                              net::to_string(where),
                              "the answer has no valid revision");
        return result;
    }
    if (response.status == not_found)
    {
        result.outcome = commit_result::kind::lease_ended;
        return result;
    }
    if (response.status != precondition_failed)
        throw unexpected(response, "commit");
    require_members(response, {"items"}, where, "commit");
    result.outcome = commit_result::kind::conflict;
    for (const json::value& row : read_array(response.body, "items"))
        if (row.is_object())
            result.actual.push_back(to_item(row.as_object()));
    return result;
}

std::int64_t store_client::grant_lease(base::duration time_to_live)
{
    const json_response response = impl_->call_repeatedly(
        {"POST",
         "/-/kv-lease",
         json::object{{"TtlMs", base::count_millis(time_to_live)}},
         {}},
        max_commit_tries, "grant lease");
    if (response.status != ok)
        throw impl_->unexpected(response, "grant lease");
    const std::int64_t lease = read_integer(response.body, "Lease");
    if (lease <= 0)
        throw base::error(base::error_code::cut_off, "grant lease",
                          net::to_string(impl_->where),
                          "the answer names no lease");
    return lease;
}

bool store_client::renew_lease(std::int64_t lease)
{
    const json_response response = impl_->call_repeatedly(
        {"POST", "/-/kv-keep/" + std::to_string(lease), nullptr, {}},
        max_renewal_tries, "renew lease");
    if (response.status == not_found)
        return false;
    if (response.status != ok)
        throw impl_->unexpected(response, "renew lease");
    return true;
}

void store_client::end_lease(std::int64_t lease)
{
    const json_response response = impl_->call(
        {"DELETE", "/-/kv-lease-end/" + std::to_string(lease), nullptr, {}},
        impl_->answers.timeout(), "end lease");
    if (response.status != ok && response.status != not_found)
        throw impl_->unexpected(response, "end lease");
}

raw_store_response store_client::send_for_peer(const raw_store_call& call,
                                               base::time_point deadline)
{
    const std::string step = "relay store call";
    if (!is_store_call(call.method, call.target))
        throw base::error(base::error_code::invalid, step,
                          net::to_string(impl_->where),
                          "not a call of the store: " + call.target);
    json_request request{call.method, call.target, nullptr, {}};
    boost::system::error_code failure;
    if (!call.body.empty())
        request.body = json::parse(call.body, failure);
    if (failure)
        throw base::error(base::error_code::invalid, step,
                          net::to_string(impl_->where),
                          "the body is no JSON: " + failure.message());
    const json_response response =
        impl_->call_directly(request, deadline, step);
    return {response.status, json::serialize(response.body)};
}

void store_client::cancel()
{
    impl_->http->cancel();
}

bool store_client::is_detoured() const
{
    return impl_->detour.send && impl_->detour.is_preferred(base::steady_now());
}

bool store_client::is_silent() const
{
    return impl_->answers.is_silent() && !is_detoured();
}

std::string encode_base64(std::string_view bytes)
{
    // 4 characters for each 3 bytes, and the terminator that OpenSSL writes.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decode_base64(std::string_view text)
{
    if (text.empty())
        return {};
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
        throw base::error(base::error_code::invalid, "decode base64", "",
                          "not base64 text");
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace pimentograde::platform
