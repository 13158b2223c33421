#include "provider/kv_client.hpp"

#include "base/error.hpp"
#include "provider/json_exchange.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::provider
{

namespace json = boost::json;

namespace
{

// JSON may escape one byte as six, and a list holds several values.
constexpr std::size_t max_response_bytes = 8 * max_value_bytes;
// A watch ends this much before the deadline so that the response with the
// unchanged entry arrives in time.
constexpr std::chrono::milliseconds watch_margin{200};

kv_entry read_entry(const response_reader& response)
{
    kv_entry entry{response.text("value"), response.number("version")};
    if (entry.version == 0 && !entry.value.empty())
        response.fail("an absent key has a value");
    return entry;
}

base::duration watch_time(base::time_point deadline)
{
    const base::duration left =
        std::max(deadline - base::steady_now(), base::duration{});
    return left - std::min<base::duration>(watch_margin, left / 4);
}

} // namespace

struct kv_client::impl
{
    net::endpoint where;
    std::unique_ptr<net::http_client> client;
    kv_call_counts counts;

    response_reader call(std::string_view target, std::string_view step,
                         base::time_point deadline, const json::object& body);
    void check_size(std::string_view step, std::string_view value) const;
    kv_entry get(std::string_view key, base::time_point deadline);
    swap_result compare_and_swap(std::string_view key,
                                 std::uint64_t expected_version,
                                 std::string_view value,
                                 base::time_point deadline);
    kv_entry watch(std::string_view key, std::uint64_t seen_version,
                   base::time_point deadline);
    std::vector<kv_item> list(std::string_view prefix,
                              base::time_point deadline);
    lease_grant acquire_lease(std::string_view name, std::string_view holder,
                              base::duration ttl, base::time_point deadline);
    void release_lease(std::string_view name, std::string_view holder,
                       base::time_point deadline);
    void put_leased(std::string_view key, std::string_view value,
                    std::string_view lease, base::time_point deadline);
};

response_reader kv_client::impl::call(std::string_view target,
                                      std::string_view step,
                                      base::time_point deadline,
                                      const json::object& body)
{
    return exchange(*client, {where, target, step, deadline}, body);
}

void kv_client::impl::check_size(std::string_view step,
                                 std::string_view value) const
{
    if (value.size() > max_value_bytes)
        throw base::error(base::error_code::too_large, std::string(step),
                          net::to_string(where),
                          std::to_string(value.size()) + " bytes");
}

kv_entry kv_client::impl::get(std::string_view key, base::time_point deadline)
{
    ++counts.get;
    const auto response =
        call("/v1/kv/get", "store get", deadline, {{"key", key}});
    response.expect_echo("key", key);
    return read_entry(response);
}

swap_result kv_client::impl::compare_and_swap(std::string_view key,
                                              std::uint64_t expected_version,
                                              std::string_view value,
                                              base::time_point deadline)
{
    constexpr std::string_view step = "store compare-and-swap";
    check_size(step, value);
    ++counts.compare_and_swap;
    const auto response = call("/v1/kv/swap", step, deadline,
                               {{"key", key},
                                {"expected_version", expected_version},
                                {"value", value}});
    response.expect_echo("key", key);
    const std::string outcome = response.text("outcome");
    const std::uint64_t version = response.number("version");
    if (outcome == "conflict")
    {
        if (version == expected_version)
            response.fail("conflict with the expected version");
        return {swap_outcome::conflict, version};
    }
    if (outcome != "applied" || version <= expected_version)
        response.fail("outcome and version contradict each other");
    return {swap_outcome::applied, version};
}

kv_entry kv_client::impl::watch(std::string_view key,
                                std::uint64_t seen_version,
                                base::time_point deadline)
{
    ++counts.watch;
    const auto response =
        call("/v1/kv/watch", "store watch", deadline,
             {{"key", key},
              {"seen_version", seen_version},
              {"wait_ms", base::count_millis(watch_time(deadline))}});
    response.expect_echo("key", key);
    return read_entry(response);
}

std::vector<kv_item> kv_client::impl::list(std::string_view prefix,
                                           base::time_point deadline)
{
    ++counts.list;
    const auto response =
        call("/v1/kv/list", "store list", deadline, {{"prefix", prefix}});
    response.expect_echo("prefix", prefix);
    std::vector<kv_item> items;
    for (const response_reader& element : response.elements("items"))
    {
        kv_item item{element.text("key"), read_entry(element)};
        if (!item.key.starts_with(prefix) || item.entry.version == 0)
            element.fail("listed key does not match");
        items.push_back(std::move(item));
    }
    return items;
}

lease_grant kv_client::impl::acquire_lease(std::string_view name,
                                           std::string_view holder,
                                           base::duration ttl,
                                           base::time_point deadline)
{
    ++counts.acquire_lease;
    const auto response =
        call("/v1/leases/acquire", "store acquire lease", deadline,
             {{"name", name},
              {"holder", holder},
              {"ttl_ms", base::count_millis(ttl)}});
    response.expect_echo("name", name);
    lease_grant grant{response.flag("held"), response.text("holder")};
    if (grant.held != (grant.holder == holder))
        response.fail("lease holder contradicts the grant");
    return grant;
}

void kv_client::impl::release_lease(std::string_view name,
                                    std::string_view holder,
                                    base::time_point deadline)
{
    ++counts.release_lease;
    const auto response = call("/v1/leases/release", "store release lease",
                               deadline, {{"name", name}, {"holder", holder}});
    response.expect_echo("name", name);
}

void kv_client::impl::put_leased(std::string_view key, std::string_view value,
                                 std::string_view lease,
                                 base::time_point deadline)
{
    constexpr std::string_view step = "store put under lease";
    check_size(step, value);
    ++counts.put_leased;
    const auto response =
        call("/v1/kv/put_leased", step, deadline,
             {{"key", key}, {"value", value}, {"lease", lease}});
    response.expect_echo("key", key);
    if (response.number("version") == 0)
        response.fail("written key has no version");
}

kv_client::builder& kv_client::builder::store(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

kv_client::builder& kv_client::builder::max_idle(std::size_t count)
{
    max_idle_ = count;
    return *this;
}

std::unique_ptr<kv_client> kv_client::builder::build()
{
    auto state = std::make_unique<impl>();
    state->where = where_;
    net::http_limits limits;
    limits.max_body_bytes = max_response_bytes;
    state->client =
        net::http_client::builder{}.max_idle(max_idle_).limits(limits).build();
    return std::unique_ptr<kv_client>(new kv_client(std::move(state)));
}

kv_client::kv_client(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

kv_client::~kv_client() = default;

void kv_client::cancel()
{
    impl_->client->cancel();
}

const kv_call_counts& kv_client::counts() const
{
    return impl_->counts;
}

namespace
{

// Calls a member function of the implementation and counts a failure.
template <class Impl, class Result, class... Arguments>
std::function<Result(Arguments...)> hook(Impl* self,
                                         Result (Impl::*call)(Arguments...))
{
    return [self, call](Arguments... arguments) -> Result
    {
        try
        {
            return (self->*call)(arguments...);
        }
        catch (const base::error&)
        {
            ++self->counts.failed;
            throw;
        }
    };
}

} // namespace

kv_operations kv_client::operations()
{
    impl* self = impl_.get();
    return {
        hook(self, &impl::get),           hook(self, &impl::compare_and_swap),
        hook(self, &impl::watch),         hook(self, &impl::list),
        hook(self, &impl::acquire_lease), hook(self, &impl::release_lease),
        hook(self, &impl::put_leased)};
}

} // namespace pimentograde::provider
