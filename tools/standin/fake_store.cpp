#include "standin/fake_store.hpp"

#include "base/error.hpp"
#include "standin/lossy_server.hpp"
#include "standin/request_reader.hpp"
#include "standin/store_model.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

// How often a hanging call checks whether the fault is over.
constexpr std::chrono::milliseconds hang_poll{10};
constexpr std::chrono::seconds longest_queue{1};

bool is_write(std::string_view target)
{
    return target == "/v1/kv/swap" || target == "/v1/kv/put_leased" ||
           target.starts_with("/v1/leases/");
}

json::object entry_body(std::string_view key, const provider::kv_entry& entry)
{
    return {{"key", key}, {"version", entry.version}, {"value", entry.value}};
}

std::string value_of(const request_reader& request)
{
    std::string value = request.text("value");
    if (value.size() > provider::max_value_bytes)
        throw base::error(base::error_code::too_large, "write", "",
                          "value too large");
    return value;
}

} // namespace

struct fake_store::impl
{
    store_limits limits;
    /// When the next call of each kind gets its turn.
    base::time_point next_read;
    base::time_point next_write;
    fault_board* faults = nullptr;
    store_model model;
    std::map<std::string, std::uint64_t> counts;
    std::unique_ptr<lossy_server> server;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool stopping = false;
    std::uint64_t generation = 0;

    std::optional<fault> draw(fault_kind kind)
    {
        return faults->draw(kind, "", base::steady_now());
    }
    bool hang();
    base::duration queue_up(bool write);
    reply handle(const net::http_request& request);
    json::object act(std::string_view target, const request_reader& request);
    json::object get(const request_reader& request);
    json::object list(const request_reader& request);
    json::object watch(const request_reader& request);
    json::object swap(const request_reader& request);
    json::object put_leased(const request_reader& request);
    json::object acquire(const request_reader& request);
    json::object release(const request_reader& request);
    base::duration read_age();
};

// Returns whether the call still goes on afterwards.
bool fake_store::impl::hang()
{
    const std::uint64_t started_in = generation;
    while (!stopping && started_in == generation &&
           faults->is_on(fault_kind::store_hang, "", base::steady_now()))
        boost::this_fiber::sleep_for(hang_poll);
    return !stopping && started_in == generation;
}

// Returns the time of the call with its wait for a turn.
base::duration fake_store::impl::queue_up(bool write)
{
    const double rate =
        write ? limits.writes_per_second : limits.reads_per_second;
    if (rate <= 0)
        return limits.latency;
    const auto now = base::steady_now();
    base::time_point& next = write ? next_write : next_read;
    const base::time_point turn = std::max(next, now);
    if (turn - now > longest_queue)
        throw base::error(base::error_code::refused, "store", "",
                          "too many calls");
    next = turn + std::chrono::duration_cast<base::duration>(
                      std::chrono::duration<double>(1 / rate));
    return limits.latency + (turn - now);
}

reply fake_store::impl::handle(const net::http_request& request)
{
    if (draw(fault_kind::store_down))
        return {{}, delivery::lost};
    if (draw(fault_kind::store_hang) && !hang())
        return {{}, delivery::lost};
    base::duration delay = queue_up(is_write(request.target));
    if (const auto slow = draw(fault_kind::store_slow))
        delay += slow->delay;
    if (delay > base::duration{})
        boost::this_fiber::sleep_for(delay);
    reply answer;
    const std::uint64_t started_in = generation;
    answer.response.body =
        json::serialize(act(request.target, request_reader(request.body)));
    if (stopping || started_in != generation)
        return {{}, delivery::lost};
    if (is_write(request.target) && draw(fault_kind::store_lose_response))
        return {{}, delivery::lost};
    if (draw(fault_kind::store_truncate))
    {
        answer.how = faults->random().below(2) == 0 ? delivery::truncated
                                                    : delivery::short_body;
        answer.sent_share = faults->random().unit();
    }
    return answer;
}

json::object fake_store::impl::act(std::string_view target,
                                   const request_reader& request)
{
    using action = json::object (impl::*)(const request_reader&);
    static const std::map<std::string_view, std::pair<const char*, action>>
        actions{{"/v1/kv/get", {"get", &impl::get}},
                {"/v1/kv/list", {"list", &impl::list}},
                {"/v1/kv/watch", {"watch", &impl::watch}},
                {"/v1/kv/swap", {"compare_and_swap", &impl::swap}},
                {"/v1/kv/put_leased", {"put_leased", &impl::put_leased}},
                {"/v1/leases/acquire", {"acquire_lease", &impl::acquire}},
                {"/v1/leases/release", {"release_lease", &impl::release}}};
    const auto found = actions.find(target);
    if (found == actions.end())
        throw base::error(base::error_code::not_found, "store", "",
                          "unknown operation");
    ++counts[found->second.first];
    return (this->*found->second.second)(request);
}

base::duration fake_store::impl::read_age()
{
    const auto stale = draw(fault_kind::store_stale_read);
    return stale ? stale->delay : base::duration{};
}

json::object fake_store::impl::get(const request_reader& request)
{
    const std::string key = request.text("key");
    return entry_body(key,
                      model.get_stale(key, read_age(), base::steady_now()));
}

json::object fake_store::impl::list(const request_reader& request)
{
    const std::string prefix = request.text("prefix");
    json::array items;
    for (const auto& item : model.list(prefix, read_age(), base::steady_now()))
        items.push_back(entry_body(item.key, item.entry));
    return {{"prefix", prefix}, {"items", std::move(items)}};
}

json::object fake_store::impl::watch(const request_reader& request)
{
    const std::string key = request.text("key");
    const std::uint64_t seen = request.number("seen_version");
    const auto end = base::steady_now() + request.millis("wait_ms");
    const std::uint64_t started_in = generation;
    while (true)
    {
        const auto now = base::steady_now();
        provider::kv_entry entry = model.get(key, now);
        if (entry.version > seen || now >= end || stopping ||
            started_in != generation)
            return entry_body(key, entry);
        std::unique_lock lock(mutex);
        changed.wait_until(lock, end);
    }
}

json::object fake_store::impl::swap(const request_reader& request)
{
    const std::string key = request.text("key");
    const auto result =
        model.compare_and_swap(key, request.number("expected_version"),
                               value_of(request), base::steady_now());
    const bool applied = result.outcome == provider::swap_outcome::applied;
    if (applied)
        changed.notify_all();
    return {{"key", key},
            {"outcome", applied ? "applied" : "conflict"},
            {"version", result.version}};
}

json::object fake_store::impl::put_leased(const request_reader& request)
{
    const std::string key = request.text("key");
    const auto version = model.put_leased(
        key, value_of(request), request.text("lease"), base::steady_now());
    if (version == 0)
        throw base::error(base::error_code::conflict, "put under lease", "",
                          "nobody holds the lease");
    changed.notify_all();
    return {{"key", key}, {"version", version}};
}

json::object fake_store::impl::acquire(const request_reader& request)
{
    const std::string name = request.text("name");
    const auto grant =
        model.acquire_lease(name, request.text("holder"),
                            request.millis("ttl_ms"), base::steady_now());
    return {{"name", name}, {"held", grant.held}, {"holder", grant.holder}};
}

json::object fake_store::impl::release(const request_reader& request)
{
    const std::string name = request.text("name");
    const bool released =
        model.release_lease(name, request.text("holder"), base::steady_now());
    return {{"name", name}, {"released", released}};
}

fake_store::fake_store(net::endpoint where, store_limits limits,
                       fault_board& faults)
    : impl_(std::make_unique<impl>())
{
    impl_->limits = limits;
    impl_->faults = &faults;
    impl_->server = lossy_server::builder{}
                        .listen_on(std::move(where))
                        .handle_with([self = impl_.get()](const auto& request)
                                     { return self->handle(request); })
                        .build();
}

fake_store::~fake_store()
{
    impl_->stopping = true;
    impl_->server->close();
    impl_->changed.notify_all();
    impl_->server->join();
}

const net::endpoint& fake_store::local_endpoint() const
{
    return impl_->server->local_endpoint();
}

const std::map<std::string, std::uint64_t>& fake_store::counts() const
{
    return impl_->counts;
}

store_model& fake_store::model()
{
    return impl_->model;
}

void fake_store::notify()
{
    impl_->changed.notify_all();
}

void fake_store::apply_faults(base::time_point now)
{
    const bool down =
        impl_->faults->is_certain(fault_kind::store_down, "", now);
    if (down == !impl_->server->is_open())
        return;
    if (!down)
    {
        impl_->server->open();
        return;
    }
    ++impl_->generation;
    impl_->server->close();
    impl_->changed.notify_all();
}

} // namespace pimentograde::standin
