// Keys of tenants at whole instances.

#include "base/digest.hpp"
#include "jobs/job_record.hpp"
#include "net/raw_call.hpp"
#include "node/cluster.hpp"

#include "platform_standin/relay.hpp"

#include <array>
#include <cstdio>
#include <filesystem>
#include <thread>

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

using tenant_row = platform_double::tenant;

const std::string key_a = "key-of-tenant-a";
const std::string key_b = "key-of-tenant-b";
const std::string new_key = "a-further-key-of-tenant-b";
const std::vector<tenant_row> two_tenants{{"tenant-a", {key_a}},
                                          {"tenant-b", {key_b}}};
const std::string queue_path = "/q/";

struct keyed_caller
{
    caller client;

    net::http_response call(const entry& where, const std::string& method,
                            const std::string& path, const std::string& key,
                            const std::string& body = {}) const
    {
        net::http_request request;
        request.method = method;
        request.target = path;
        request.body = body;
        request.host = "h";
        if (!key.empty())
            request.headers.emplace_back("Authorization", "Token " + key);
        return client.http->send(where.settings.caller_listen, request,
                                 base::steady_now() + 5s, "call");
    }
    [[nodiscard]] unsigned status(const entry& where, const std::string& method,
                                  const std::string& id, const std::string& key,
                                  const std::string& body = {}) const
    {
        return call(where, method, queue_path + id, key, body).status;
    }
    [[nodiscard]] unsigned submit(const entry& where, const std::string& id,
                                  const std::string& key) const
    {
        return status(where, "POST", id, key, one_task);
    }
    [[nodiscard]] unsigned query(const entry& where, const std::string& id,
                                 const std::string& key) const
    {
        return status(where, "GET", id, key);
    }
    [[nodiscard]] unsigned cancel(const entry& where, const std::string& id,
                                  const std::string& key) const
    {
        return status(where, "DELETE", id, key);
    }
};

// Waits until all instances have the configuration.
void configure(cluster& all, std::int64_t version,
               const std::vector<tenant_row>& tenants)
{
    all.platform.configure(version, "pool",
                           std::span<const tenant_row>(tenants));
    const std::string text =
        "\"configuration_version\":" + std::to_string(version);
    for (const auto& one : all.entries)
        REQUIRE(
            eventually([&] { return all.client.state_contains(*one, text); }));
}

std::string raw_get(const std::string& fields)
{
    return "GET /q/ HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

// Text that none of the keys above may leave in.
void check_without_keys(const std::string& text)
{
    for (const std::string& key :
         {key_a, key_b, new_key, base::sha256_hex(key_a)})
        CHECK(text.find(key) == std::string::npos);
}

std::string read_metrics_port(const entry& where, const std::string& path)
{
    net::http_request request;
    request.method = "GET";
    request.target = path;
    const auto port =
        static_cast<std::uint16_t>(where.settings.first_internal_port + 1);
    return net::http_client::builder{}
        .build()
        ->send({"127.0.0.1", port}, request, base::steady_now() + 5s, "read")
        .body;
}

// Standard error of one test case, run with its log in a process of its own.
std::string log_of(const std::string& test_case)
{
    const std::string command =
        "PIMENTOGRADE_TEST_LOG=1 '" +
        std::filesystem::read_symlink("/proc/self/exe").string() + "' -tc='" +
        test_case + "' 2>&1 >/dev/null";
    std::FILE* output = popen(command.c_str(), "r");
    REQUIRE(output != nullptr);
    std::string text;
    std::array<char, 4096> part{};
    while (const auto size = std::fread(part.data(), 1, part.size(), output))
        text.append(part.data(), size);
    CHECK(pclose(output) == 0);
    return text;
}

bool has_field(const net::http_response& response, const std::string& name,
               const std::string& value)
{
    return std::any_of(response.headers.begin(), response.headers.end(),
                       [&](const net::http_field& field) {
                           return field.first == name && field.second == value;
                       });
}

} // namespace

// Guards against a deployment without tenants whose callers suddenly need keys.
TEST_CASE("without tenants in the configuration no call needs a key")
{
    cluster all(1);
    const keyed_caller keyed;
    const entry& only = *all.entries[0];
    CHECK(keyed.submit(only, id_a, "") == 200);
    CHECK(keyed.submit(only, id_b, "unknown") == 200);
    CHECK(keyed.query(only, id_a, "") == 200);
    net_tests::raw_connection raw(only.settings.caller_listen);
    CHECK(raw.call(raw_get("Authorization: a\r\nAuthorization: b\r\n"))
              .starts_with("HTTP/1.1 200"));
}

// Guards against calls that succeed without a key of the configuration, on
// open connections too, and against keys that a 401 turns away although they
// are configured.
TEST_CASE("a call needs a key of the newest configuration")
{
    cluster all(1);
    const keyed_caller keyed;
    const entry& only = *all.entries[0];
    configure(all, 2, two_tenants);
    net_tests::raw_connection open_connection(only.settings.caller_listen);
    const std::string with_key_b =
        raw_get("authorization: tOkEn " + key_b + "\r\n");
    CHECK(open_connection.call(with_key_b).starts_with("HTTP/1.1 200"));
    for (const std::string& key : {std::string{}, std::string("unknown")})
    {
        CHECK(keyed.submit(only, id_a, key) == 401);
        CHECK(keyed.query(only, id_a, key) == 401);
        CHECK(keyed.cancel(only, id_a, key) == 401);
        const auto count = keyed.call(only, "GET", queue_path, key);
        CHECK(count.status == 401);
        CHECK(has_field(count, "WWW-Authenticate", "Token"));
        CHECK(keyed.call(only, "GET", "/none/", key).status == 404);
        CHECK(keyed.status(only, "PUT", id_a, key) == 401);
    }
    CHECK(keyed.status(only, "PUT", id_a, key_a) == 405);
    CHECK(keyed.submit(only, id_a, new_key) == 401);
    CHECK(keyed.submit(only, id_a, key_b) == 200);
    configure(all, 3, {{"tenant-a", {key_a}}, {"tenant-b", {new_key}}});
    // The job of the tenant goes on, and another of its keys shows it.
    CHECK(keyed.query(only, id_a, new_key) == 200);
    CHECK(eventually(
        [&]
        {
            return keyed.call(only, "GET", queue_path + id_a, new_key).body ==
                   completed;
        }));
    CHECK(keyed.query(only, id_a, key_b) == 401);
    CHECK(open_connection.call(with_key_b).starts_with("HTTP/1.1 401"));
    CHECK(open_connection
              .call(raw_get("Authorization: Token " + new_key + "\r\n"))
              .starts_with("HTTP/1.1 200"));
    // The member without rows: nobody has a key.
    configure(all, 4, {});
    CHECK(keyed.submit(only, id_b, key_a) == 401);
    CHECK(all.platform.starts_of(id_b + ".0.0.0") == 0);
}

// Guards against public queues that ask for keys, and against tenants of
// long-running jobs.
TEST_CASE("a public queue ignores the header and its jobs have no tenant")
{
    cluster all(1);
    const keyed_caller keyed;
    const entry& only = *all.entries[0];
    configure(all, 2, two_tenants);
    CHECK(keyed.call(only, "POST", "/open/" + id_a, "", lasting).status == 200);
    CHECK(keyed.call(only, "POST", "/open/" + id_b, key_a, lasting).status ==
          200);
    CHECK(keyed.call(only, "GET", "/open/", "unknown").status == 200);
    net_tests::raw_connection raw(only.settings.caller_listen);
    CHECK(raw.call("GET /open/ HTTP/1.1\r\nHost: h\r\nAuthorization: a\r\n"
                   "Authorization: \xff\r\n\r\n")
              .starts_with("HTTP/1.1 200"));
    const auto& store = all.platform.store;
    for (const std::string& id : {id_a, id_b})
        CHECK(jobs::decode_record(
                  id, store.value_of("pimentograde-jobs/pool/" + id))
                  .tenant.empty());
    // Their records name no tenant: every valid key of the other queue is good.
    CHECK(keyed.query(only, id_a, key_b) == 200);
}

// Guards against a 401, or a success by one of two keys, for a header that
// states none or two.
TEST_CASE("malformed, repeated and oversized key headers are told apart")
{
    cluster all(1);
    const keyed_caller keyed;
    const entry& only = *all.entries[0];
    configure(all, 2, two_tenants);
    net_tests::raw_connection raw(only.settings.caller_listen);
    const std::string good = "Authorization: Token " + key_a + "\r\n";
    const auto status_of = [&](const std::string& fields)
    {
        return raw.call(raw_get(fields)).substr(9, 3);
    };
    CHECK(status_of(good) == "200");
    CHECK(status_of(good + good) == "400");
    CHECK(status_of(good + "authorization: Basic x\r\n") == "400");
    CHECK(status_of("Authorization: Token k\xc3\xa9y\r\n") == "400");
    CHECK(status_of("Authorization: Token  " + key_a + "\r\n") == "400");
    CHECK(status_of("Authorization: Token " + key_a + " x\r\n") == "400");
    CHECK(status_of("Authorization: Bearer " + key_a + "\r\n") == "401");
    CHECK(status_of("Authorization: " + key_a + "\r\n") == "401");
    CHECK(status_of("Authorization: Token\r\n") == "401");
    CHECK(status_of("Authorization: Token \r\n") == "401");
    CHECK(status_of("Authorization:\r\n") == "401");
    unsigned beside = 0;
    net::task_group calls;
    calls.spawn([&] { beside = keyed.submit(only, id_a, key_a); });
    net_tests::raw_connection large(only.settings.caller_listen);
    CHECK(large
              .call(raw_get("Authorization: Token " + std::string(65'536, 'k') +
                            "\r\n"))
              .starts_with("HTTP/1.1 431"));
    CHECK(large.is_closed());
    calls.join();
    CHECK(beside == 200);
    CHECK(status_of(good) == "200");
}

// Guards against a job that is shown to, or cancelled by, another tenant, and
// against a submission under its id that is taken for it.
TEST_CASE("another tenant's job is absent, and its id is taken")
{
    cluster all(2);
    const keyed_caller keyed;
    configure(all, 2, two_tenants);
    const std::size_t owner = all.owner();
    REQUIRE(owner < 2);
    const entry& here = *all.entries[owner];
    const entry& elsewhere = *all.entries[1 - owner];
    CHECK(keyed.status(here, "POST", id_a, key_a, lasting) == 200);
    for (const entry* asked : {&here, &elsewhere})
    {
        CHECK(keyed.query(*asked, id_a, key_b) == 410);
        CHECK(keyed.cancel(*asked, id_a, key_b) == 410);
        CHECK(keyed.submit(*asked, id_a, key_b) == 409);
        CHECK(keyed.query(*asked, id_a, key_a) == 200);
        CHECK(keyed.status(*asked, "POST", id_a, key_a, lasting) == 200);
    }
    // The record of an ended job has the tenant, too.
    CHECK(keyed.cancel(elsewhere, id_a, key_a) == 200);
    CHECK(keyed.query(here, id_a, key_b) == 410);
    CHECK(keyed.submit(elsewhere, id_a, key_b) == 409);
}

// Guards against the same while the pool has no owner, so that the store and
// the memory of forwarded jobs answer.
TEST_CASE("without an owner another tenant's job is absent, too")
{
    cluster all(3);
    const keyed_caller keyed;
    configure(all, 2, two_tenants);
    const std::size_t owner = all.owner();
    REQUIRE(owner < 3);
    const entry& forwarder = *all.entries[(owner + 1) % 3];
    const entry& asked = *all.entries[(owner + 2) % 3];
    REQUIRE(keyed.status(forwarder, "POST", id_a, key_a, lasting) == 200);
    jobs::job earlier;
    earlier.queue = "queue";
    earlier.status = jobs::job_status::completed;
    auto& store = all.platform.store;
    store.put("pimentograde-jobs/pool/" + id_b, jobs::encode_record(earlier));
    // The pool has no owner for as long as the last write takes.
    store.faults.commit_delay = 3s;
    net::task_group stopping;
    stopping.spawn([&] { all.entries[owner]->instance->stop(); });
    boost::this_fiber::sleep_for(200ms);
    for (const entry* one : {&forwarder, &asked})
    {
        CHECK(keyed.query(*one, id_a, key_b) == 410);
        CHECK(keyed.submit(*one, id_a, key_b) == 409);
        CHECK(keyed.cancel(*one, id_a, key_b) == 503);
        CHECK(keyed.query(*one, id_a, key_a) == 200);
        CHECK(keyed.submit(*one, id_a, key_a) == 200);
        CHECK(keyed.query(*one, id_b, key_a) == 200);
        CHECK(keyed.query(*one, id_b, key_b) == 200);
    }
    // Neither the owner nor the store can tell.
    store.faults.answer_delay = 600ms;
    CHECK(keyed.submit(forwarder, id_a, key_b) == 504);
    CHECK(keyed.submit(forwarder, id_a, key_a) == 200);
    store.faults.answer_delay = {};
    store.faults.commit_delay = {};
    stopping.join();
    all.entries[owner].reset();
    CHECK(eventually([&] { return keyed.query(asked, id_a, key_a) == 200; }));
    CHECK(keyed.query(asked, id_a, key_b) == 410);
}

// Guards against a second run of a job in the queue's new pool, under another
// tenant, and against the refusal of an id that is in use there.
TEST_CASE("the id of another tenant's job in an earlier pool is taken")
{
    cluster all(1);
    const keyed_caller keyed;
    const entry& only = *all.entries[0];
    configure(all, 2, two_tenants);
    REQUIRE(keyed.status(only, "POST", id_a, key_a, lasting) == 200);
    all.platform.add_worker("x0", "other", 100ms);
    all.platform.configure(3, "other", std::span<const tenant_row>(two_tenants),
                           std::vector<std::string>{"pool"});
    REQUIRE(eventually([&] { return all.client.knows_worker(only, "x0"); }));
    CHECK(keyed.submit(only, id_a, key_b) == 409);
    CHECK(keyed.query(only, id_a, key_b) == 410);
    CHECK(keyed.cancel(only, id_a, key_b) == 410);
    CHECK(keyed.query(only, id_a, key_a) == 200);
    CHECK(keyed.submit(only, id_a, key_a) == 200);
    CHECK(all.platform.store.keys_under("pimentograde-jobs/other/").empty());
}

// Guards against an instance that, before it has read a configuration, turns
// away valid keys or lets all calls pass.
TEST_CASE("before a configuration is known every call gets 503")
{
    cluster all(0);
    const keyed_caller keyed;
    all.platform.store.faults.is_silent = true;
    all.entries.push_back(std::make_unique<entry>(all.platform, "e0"));
    const entry& only = *all.entries[0];
    boost::this_fiber::sleep_for(300ms);
    for (const std::string& key : {std::string{}, key_a, std::string("other")})
    {
        const auto answer =
            keyed.call(only, "POST", queue_path + id_a, key, one_task);
        CHECK(answer.status == 503);
        CHECK(has_field(answer, "Retry-After", "1"));
        CHECK(keyed.query(only, id_a, key) == 503);
    }
    all.platform.store.faults.is_silent = false;
    configure(all, 2, two_tenants);
    CHECK(eventually([&] { return keyed.query(only, id_a, key_a) == 410; }));
    CHECK(keyed.query(only, id_a, "other") == 401);
}

// Guards against a success by a key that has been removed, and a 401 for one
// that has been added, while the process was paused.
TEST_CASE("after a pause no key is accepted or refused by an old configuration")
{
    cluster all(1);
    const keyed_caller keyed;
    platform_standin::relay to_store(all.platform.store_address());
    all.entries.push_back(std::make_unique<entry>(all.platform, "e1", 1.0,
                                                  to_store.local_endpoint()));
    const entry& paused = *all.entries[1];
    configure(all, 2, two_tenants);
    REQUIRE(eventually(
        [&]
        { return keyed.status(paused, "POST", id_a, key_b, lasting) == 200; }));
    REQUIRE(all.owner() == 0);
    to_store.holds_answers = true;
    all.platform.configure(
        3, "pool",
        std::span<const tenant_row>(std::vector<tenant_row>{
            {"tenant-a", {key_a}}, {"tenant-b", {new_key}}}));
    // The whole process stands still.
    std::this_thread::sleep_for(1500ms);
    for (const std::string& key :
         {key_b, new_key, std::string{}, std::string("unknown")})
    {
        CAPTURE(key);
        const auto query = keyed.call(paused, "GET", queue_path + id_a, key);
        CHECK(query.status == 503);
        CHECK(has_field(query, "Retry-After", "1"));
        CHECK(keyed.call(paused, "GET", queue_path, key).status == 503);
        CHECK(keyed.cancel(paused, id_a, key) == 503);
        CHECK(keyed.submit(paused, id_b, key) == 503);
        // It has been accepted, so a 503 would be untrue.
        const auto again =
            keyed.call(paused, "POST", queue_path + id_a, key, lasting);
        CHECK(again.status == 504);
        CHECK(has_field(again, "Retry-After", "1"));
    }
    CHECK(keyed.call(paused, "GET", "/open/" + id_a, "").status == 200);
    to_store.holds_answers = false;
    CHECK(eventually([&] { return keyed.query(paused, id_a, new_key) == 200; },
                     3s));
    CHECK(keyed.query(paused, id_a, key_b) == 401);
    CHECK(keyed.submit(paused, id_b, key_b) == 401);
    CHECK(all.platform.starts_of(id_b + ".0.0.0") == 0);
    CHECK(keyed.query(paused, id_a, key_a) == 410);
}

// Guards against keys in answers, state dumps, metrics and stored data.
TEST_CASE("calls with keys are counted by reason and leave no key behind")
{
    cluster all(1);
    const keyed_caller keyed;
    const entry& only = *all.entries[0];
    configure(all, 2, two_tenants);
    CHECK(keyed.submit(only, id_a, key_a) == 200);
    CHECK(keyed.submit(only, id_a, key_b) == 409);
    check_without_keys(keyed.call(only, "GET", queue_path, new_key).body);
    net_tests::raw_connection raw(only.settings.caller_listen);
    for (const std::string& fields :
         {"Authorization: Bearer " + key_a, "Authorization: Token " + key_a,
          "Authorization: Token  " + key_a,
          "Authorization: Token " + key_a + "\r\nAuthorization: " + key_b,
          "Authorization: " + key_b + "\x01"})
        check_without_keys(raw.call(raw_get(fields + "\r\n")));
    // Each row is unreadable at its key.
    for (const std::string& row :
         {R"("ApiKeys":")" + key_a + '"', R"("ApiKeys":[[")" + key_a + "\"]]",
          R"("ApiKeys":[)" + key_a, R"("Name":{")" + key_a + "\":1}"})
    {
        all.platform.store.put("op/config",
                               R"({"Version":3,"Tenants":[{)" + row + "}]}");
        boost::this_fiber::sleep_for(100ms);
    }
    const std::string metrics = read_metrics_port(only, "/metrics");
    for (const std::string reason :
         {"unknown", "other_scheme", "malformed", "repeated"})
        CHECK(metrics.find("pimentograde_key_refusals_total{reason=\"" +
                           reason + "\"} 1") != std::string::npos);
    check_without_keys(metrics);
    check_without_keys(read_metrics_port(only, "/state"));
    for (const std::string& key : all.platform.store.keys_under("pimentograde"))
        check_without_keys(all.platform.store.value_of(key));
}

// Guards against keys in log lines.
TEST_CASE("no key is logged")
{
    const std::string lines = log_of("calls with keys are counted*");
    CHECK(lines.find("PG-3330") != std::string::npos);
    CHECK(lines.find("PG-3331") != std::string::npos);
    CHECK(lines.find("PG-3309") != std::string::npos);
    check_without_keys(lines);
}
