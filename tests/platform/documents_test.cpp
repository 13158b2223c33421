#include "base/digest.hpp"
#include "base/error.hpp"
#include "platform/caller_protocol.hpp"
#include "platform/configuration.hpp"
#include "platform/job_document.hpp"
#include "platform/node_settings.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_entry.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>

using namespace pimentograde;
using namespace pimentograde::platform;
using namespace std::chrono_literals;

TEST_CASE("a submission is read with all its steps")
{
    const auto spec = read_job(
        R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,
        "EstimateMs":900,"Affinity":"r1-3"},{"Count":20,"Cpu":2000,
        "MemMb":1024,"EstimateMs":7000,"After":[0],"Checkpointing":true,
        "MayMiss":2,"Fills":true,"MaxPerServer":3,"New":1}]})");
    REQUIRE(spec.steps.size() == 2);
    CHECK(spec.payload == "text");
    CHECK(spec.steps[0].need == jobs::resource_amount{500, 256, 0});
    CHECK(spec.steps[0].data_rack == "r1-3");
    CHECK(spec.steps[1].after == std::vector<int>{0});
    CHECK(spec.steps[1].is_checkpointing);
    CHECK(spec.steps[1].max_unavailable == 2);
    CHECK(spec.steps[1].max_per_worker == 3);
    CHECK(spec.steps[1].is_filler);
}

// Guards against bad input that is stored, or that ends the process.
TEST_CASE("a submission that cannot run is refused")
{
    for (const char* text :
         {"", "no json", "[]", R"({"Steps":[]})", R"({"Steps":"x"})",
          R"({"Steps":[1]})", R"({"Steps":[{"Count":0}]})",
          R"({"Steps":[{"Count":-4}]})", R"({"Steps":[{"Count":1e9}]})",
          R"({"Steps":[{"Count":"1"}]})",
          R"({"Steps":[{"Count":1,"After":[0]}]})",
          R"({"Steps":[{"Count":1,"After":["x"]}]})",
          R"({"Steps":[{"Count":1,"Cpu":-1}]})",
          R"({"Spec":7,"Steps":[{"Count":1}]})",
          R"({"RepeatCount":100000,"Steps":[{"Count":1}]})"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(read_job(text), base::error);
    }
    CHECK_THROWS_AS(read_job(R"({"Spec":")" + std::string(4001, 'x') +
                             R"(","Steps":[{"Count":1}]})"),
                    base::error);
}

// Guards against sums over the tasks of a pool, and times, that overflow.
TEST_CASE("numbers of a job that are out of range are refused")
{
    const std::string most =
        std::to_string(std::numeric_limits<std::int64_t>::max());
    for (const char* name : {"Cpu", "MemMb", "Gpu", "EstimateMs", "GoalMs"})
        for (const std::string& value : {most, std::string("9223372036855")})
        {
            CAPTURE(name);
            CAPTURE(value);
            CHECK_THROWS_AS(read_job(R"({"Steps":[{"Count":1,")" +
                                     std::string(name) + "\":" + value + "}]}"),
                            base::error);
        }
    for (const char* name : {"FirstMs", "IntervalMs"})
    {
        CAPTURE(name);
        CHECK_THROWS_AS(read_job(R"({"RepeatCount":2,")" + std::string(name) +
                                 "\":" + most + R"(,"Steps":[{"Count":1}]})"),
                        base::error);
    }
    CHECK(read_job(R"({"RepeatCount":2,"FirstMs":1795000000000,
        "IntervalMs":86400000,"Steps":[{"Count":1,"Cpu":64000,
        "EstimateMs":86400000}]})")
              .steps[0]
              .estimate == 24h);
}

TEST_CASE("any text is read as a job or refused")
{
    CHECK(rc::check("fuzzed submissions",
                    [](const std::string& text)
                    {
                        const std::string wrapped =
                            R"({"Spec":"s","Steps":[)" + text + "]}";
                        for (const std::string& body : {text, wrapped})
                        {
                            try
                            {
                                read_job(body);
                            }
                            catch (const base::error& failure)
                            {
                                RC_ASSERT(failure.code() ==
                                          base::error_code::invalid);
                            }
                        }
                    }));
}

TEST_CASE("job ids have 16 hexadecimal digits")
{
    CHECK(is_job_id("5c0e7a21d94b36f8"));
    CHECK_FALSE(is_job_id("5c0e7a21d94b36f"));
    CHECK_FALSE(is_job_id("5c0e7a21d94b36g8"));
}

TEST_CASE("the longest matching prefix selects the queue")
{
    const auto current = read_configuration(
        R"({"Version":7,"Routes":[
        {"Name":"short","Host":"a.example","Prefix":"/x/","Service":"p"},
        {"Name":"long","Host":"a.example","Prefix":"/x/y/","Service":"q",
         "Priority":1,"MaxAttempts":4,"Stretch":1.6,"TargetDurationMs":600}],
        "Services":[{"Name":"p"},{"Name":"s","Standby":true}],
        "Limits":{"MaxBodyBytes":100}})");
    CHECK(current.version == 7);
    CHECK(current.match("a.example", "/x/1")->policy.name == "short");
    CHECK(current.match("a.example", "/x/y/1")->policy.name == "long");
    CHECK(current.match("b.example", "/x/1") == nullptr);
    CHECK(current.match("a.example", "/z/1") == nullptr);
    CHECK(current.queues[1].policy.target == 600ms);
    CHECK(current.pools[1].is_standby);
    CHECK(current.max_body_bytes == 100);
    CHECK_THROWS_AS(read_configuration("[]"), base::error);
}

// Guards against jobs that fail at their first attempt, or are never in time,
// since a number of the configuration does not fit.
TEST_CASE("numbers of a route that are very large count as large")
{
    const auto current = read_configuration(
        R"({"Version":3,"Routes":[{"Name":"a","Host":"h","Prefix":"/a/",)"
        R"("Service":"p","MaxAttempts":4294967296,"Priority":4294967296,)"
        R"("TargetDurationMs":9223372036854775807,)"
        R"("TimeoutMs":9223372036854775807}],"Services":[]})");
    REQUIRE(current.queues.size() == 1);
    const queue_route& route = current.queues[0];
    CHECK(route.policy.max_attempts > 1000);
    CHECK(route.policy.priority > 1000);
    CHECK(route.policy.target > 24h);
    CHECK(base::steady_now() + route.policy.target > base::steady_now());
    CHECK(route.timeout > 24h);
}

// Guards against an entry of another writer that is used, or that ends the
// process.
TEST_CASE("an unusable worker entry is refused")
{
    const std::string good =
        R"({"Service":"p","Address":"10.0.0.1:80","Zone":"z",
        "State":"draining","RemainingMs":1500,"born":17,
        "Capacity":{"Cpu":1,"MemMb":2,"Gpu":0},"Labels":["a","r1-3"]})";
    const auto worker = read_worker_entry("w", good);
    CHECK(worker.is_draining);
    CHECK(worker.remaining == 1500ms);
    CHECK(worker.born_ms == 17);
    CHECK(worker.labels.back() == "r1-3");
    for (
        const char* text :
        {"", "\xff\xfe", "7", "{}", R"({"Service":"p"})",
         R"({"Service":"p","Address":"x","State":"ready","Capacity":{}})",
         R"({"Service":"p","Address":"1.2.3.4:5","State":"odd","Capacity":{}})",
         R"({"Service":7,"Address":"1.2.3.4:5","State":"ready","Capacity":{}})",
         R"({"Service":"p","Address":"1.2.3.4:5","State":"ready"})",
         R"({"Service":"p","Address":"1.2.3.4:5","State":"ready",
              "Capacity":{"Cpu":"x"}})"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(read_worker_entry("w", text), base::error);
    }
}

// Guards against a worker at port 0, and against sums of capacities and times
// that overflow.
TEST_CASE("a worker entry with numbers or texts out of range is refused")
{
    const auto entry = [](const std::string& members)
    {
        return R"({"Service":"p","Zone":"z",)" + members + "}";
    };
    const std::string at = R"("State":"ready","Address":"10.0.0.1:80")";
    const std::string cores = R"("Capacity":{"Cpu":4000,"MemMb":1,"Gpu":0})";
    const std::string long_text(300, 'x');
    const std::string usable = at + "," + cores;
    CHECK_NOTHROW(read_worker_entry("w", entry(usable)));
    for (const char* address : {"10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:70000",
                                "0.0.0.0:80", "239.0.0.1:80", "[::]:80"})
    {
        CAPTURE(address);
        CHECK_THROWS_AS(
            read_worker_entry("w", entry(R"("State":"ready","Address":")" +
                                         std::string(address) + "\"," + cores)),
            base::error);
    }
    for (const char* members :
         {R"("Capacity":{"Cpu":9223372036854775807})",
          R"("Capacity":{"Cpu":1e18})", R"("Capacity":{"Cpu":1e300})",
          R"("Capacity":{"Cpu":-5})", R"("Capacity":{"MemMb":-1})",
          R"("Capacity":{"Gpu":9223372036854775807})"})
    {
        CAPTURE(members);
        CHECK_THROWS_AS(read_worker_entry("w", entry(at + "," + members)),
                        base::error);
    }
    for (const std::string& members :
         {std::string(R"("RemainingMs":9223372036854775807)"),
          std::string(R"("RemainingMs":-1)"),
          std::string(R"("born":-9223372036854775807)"),
          std::string(R"("born":9223372036854775807)"),
          std::string(R"("Labels":[")").append(long_text).append(R"("])"),
          R"("Labels":)" +
              boost::json::serialize(boost::json::array(2000, "a")),
          std::string(R"("Zone":")").append(long_text).append("\"")})
    {
        CAPTURE(members);
        std::string with_members = usable;
        with_members.append(",").append(members);
        CHECK_THROWS_AS(read_worker_entry("w", entry(with_members)),
                        base::error);
    }
    for (const std::string& id :
         {std::string(), long_text, std::string("a\r\nX-Other: b"),
          std::string("\xff\xfe")})
    {
        CAPTURE(id);
        CHECK_THROWS_AS(read_worker_entry(id, entry(usable)), base::error);
    }
}

// Guards against a time limit or bound of a wave that overflows.
TEST_CASE("numbers of a wave that are out of range are refused")
{
    CHECK(read_wave(R"({"Wave":1,"Machines":["m"],"FinishByS":90,"Cap":2})")
              .time_limit == 90s);
    for (const char* text :
         {R"({"Wave":1,"FinishByS":1e300})", R"({"Wave":1,"FinishByS":-1})",
          R"({"Wave":1,"Cap":4294967297})", R"({"Wave":1,"Cap":-1})",
          R"({"Wave":1,"Machines":[7]})"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(read_wave(text), base::error);
    }
}

TEST_CASE("settings are read, unknown members ignored, faults named")
{
    const std::string text =
        R"({"NodeName":"n","Zone":"z","Ip":"10.1.0.9",
        "InternalPorts":[7060,7075],"Future":{},
        "ListenAddrs":{"Front":"10.1.0.9:1","ReadyAddr":"10.1.0.9:2"},
        "platform":{"Address":"10.2.0.1:3","TtlMinMs":1000},
        "CloudApi":{"Address":"10.2.0.2:4"},
        "Bounds":{"HoldMaxMs":5000,"GraceS":6,"MoveS":1.5,"LeaseMs":3000}})";
    const auto settings = read_node_settings(text);
    CHECK(settings.name == "n");
    CHECK(settings.first_internal_port == 7060);
    CHECK(settings.longest_worker_lease == 5s);
    CHECK(settings.move_time == 1500ms);
    CHECK_FALSE(settings.advice_service);
    std::string bad = text;
    bad.replace(bad.find("10.2.0.1:3"), 10, "store:3   ");
    try
    {
        read_node_settings(bad);
        CHECK(false);
    }
    catch (const base::error& failure)
    {
        CHECK(failure.detail().find("Address") != std::string::npos);
    }
}

TEST_CASE("base64 text gives back the bytes")
{
    CHECK(rc::check("base64",
                    [](const std::string& bytes) {
                        RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
                    }));
    CHECK(encode_base64("node-1") == "bm9kZS0x");
    CHECK_THROWS_AS(decode_base64("***"), base::error);
}

// Guards against a submission that is given up at once, since its time limit is
// large enough to overflow.
TEST_CASE("the caller's time limit is read from its header")
{
    net::http_request call;
    CHECK_FALSE(caller_time_left(call));
    call.headers.emplace_back("x-pimentograde-deadline-ms", "2500");
    CHECK(caller_time_left(call) == 2500ms);
    // Far beyond the range of a duration in nanoseconds.
    for (const char* huge : {"9223372036855", "9223372036854775807"})
    {
        call.headers.back().second = huge;
        const auto time_left = caller_time_left(call);
        REQUIRE(time_left);
        CHECK(*time_left >= 24h);
    }
    call.headers.back().second = "soon";
    CHECK_FALSE(caller_time_left(call));
}

TEST_CASE("a configuration's tenants are read without their keys")
{
    const auto current = read_configuration(
        R"({"Version":3,"Routes":[{"Name":"q","Host":"h","Prefix":"/q/",
        "Service":"p"},{"Name":"r","Host":"h","Prefix":"/r/","Service":"p",
        "Public":true}],"Services":[],"Tenants":[{"Name":"t",
        "ApiKeys":["first","second"],"Priority":1,"Weight":2.5,
        "Cap":{"Cpu":4000,"MemMb":0}}]})");
    CHECK_FALSE(current.queues[0].is_public);
    CHECK(current.queues[1].is_public);
    REQUIRE(current.has_tenants);
    REQUIRE(current.tenants.size() == 1);
    CHECK(current.tenants[0].policy ==
          jobs::tenant_policy{"t", 2.5, {4000, 0, 0}});
    CHECK(current.tenants[0].key_digests ==
          std::vector<std::string>{base::sha256_hex("first"),
                                   base::sha256_hex("second")});
}

// Guards against deployments without tenants whose callers would need a key.
TEST_CASE("only a configuration that names tenants asks for keys")
{
    CHECK_FALSE(read_configuration(R"({"Version":1})").has_tenants);
    CHECK(read_configuration(R"({"Version":1,"Tenants":[]})").has_tenants);
}

TEST_CASE("a deployment states that its callers press for room")
{
    const std::string head =
        R"({"NodeName":"n","Zone":"z","Ip":"10.0.0.1","InternalPorts":[1,9],
        "ListenAddrs":{"Front":"10.0.0.1:2","ReadyAddr":"10.0.0.1:3"},
        "platform":{"Address":"10.0.0.2:4"},"CloudApi":
        {"Address":"10.0.0.2:5"})";
    CHECK_FALSE(read_node_settings(head + "}").expects_pressure);
    CHECK_FALSE(read_node_settings(head + R"(,"Contracts":["base","quota"]})")
                    .expects_pressure);
    CHECK(read_node_settings(head + R"(,"Contracts":["base","pressure"]})")
              .expects_pressure);
}

// Guards against a relay that is on where no tenant has a quota.
TEST_CASE("a deployment without quotas has no excess of them")
{
    const std::string head =
        R"({"NodeName":"n","Zone":"z","Ip":"10.0.0.1","InternalPorts":[1,9],
        "ListenAddrs":{"Front":"10.0.0.1:2","ReadyAddr":"10.0.0.1:3"},
        "platform":{"Address":"10.0.0.2:4"},"CloudApi":
        {"Address":"10.0.0.2:5"},"Bounds":)";
    CHECK(read_node_settings(head + "{}}").quota_excess == 0.0);
    CHECK(read_node_settings(head + R"({"QuotaExcess":0.1}})").quota_excess ==
          0.1);
}
