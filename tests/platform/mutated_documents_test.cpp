// Documents and lists with random faults.

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "jobs/queue_statistics.hpp"
#include "jobs/roster.hpp"
#include "net/http_server.hpp"
#include "platform/configuration.hpp"
#include "platform/job_document.hpp"
#include "platform/machine_client.hpp"
#include "platform/node_settings.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"
#include "platform/worker_entry.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace
{

constexpr int deep_levels = 100'000;

json::array odd_values()
{
    json::value nested = 1;
    for (int level = 0; level < 20; ++level)
        nested = json::array({nested});
    return {nullptr,
            true,
            0,
            -1,
            1.5,
            1e300,
            -1e300,
            std::numeric_limits<std::int64_t>::max(),
            std::numeric_limits<std::int64_t>::min(),
            std::numeric_limits<std::uint64_t>::max(),
            "",
            "***",
            std::string(3000, 'x'),
            std::string("\0\r\n", 3),
            json::array{},
            json::array{nullptr, 7},
            json::object{},
            json::object{{"x", 1}},
            nested};
}

int pick(std::size_t count)
{
    return *rc::gen::inRange(0, static_cast<int>(count));
}

// Replaces or removes one value of the document, at any depth.
void mutate_value(json::value& root)
{
    json::value* target = &root;
    while (*rc::gen::inRange(0, 4) != 0)
    {
        if (target->is_object() && !target->get_object().empty())
        {
            auto& members = target->get_object();
            auto member = members.begin() + pick(members.size());
            if (*rc::gen::inRange(0, 8) == 0)
            {
                members.erase(member);
                return;
            }
            target = &member->value();
        }
        else if (target->is_array() && !target->get_array().empty())
        {
            auto& rows = target->get_array();
            target = &rows[static_cast<std::size_t>(pick(rows.size()))];
        }
    }
    json::array values = odd_values();
    *target = values[static_cast<std::size_t>(pick(values.size()))];
}

std::string mutated(std::string_view text)
{
    json::value parsed = json::parse(text);
    const int faults = *rc::gen::inRange(1, 4);
    for (int fault = 0; fault < faults; ++fault)
        mutate_value(parsed);
    return json::serialize(parsed);
}

// Changes of the text itself, which need not be JSON afterwards.
std::string garbled(std::string text)
{
    const auto place = static_cast<std::size_t>(pick(text.size()));
    switch (*rc::gen::inRange(0, 4))
    {
    case 0:
        return text.substr(0, place);
    case 1:
        return text.insert(place, std::string(deep_levels, '['));
    case 2:
        text[place] = static_cast<char>(*rc::gen::inRange(0, 256));
        return text;
    default:
        return text.insert(place, "\xff\xfe");
    }
}

std::string faulty(std::string_view text)
{
    return *rc::gen::inRange(0, 4) == 0 ? garbled(std::string(text))
                                        : mutated(text);
}

const std::string valid_entry =
    R"({"Service":"p","Address":"10.0.0.1:80","Zone":"z","Version":"1",
    "Slots":4,"State":"draining","ColdLeftMs":0,"Seq":4,"RemainingMs":1500,
    "born":17,"Capacity":{"Cpu":4000,"MemMb":2,"Gpu":1},"Labels":["a","r1"]})";
const std::string valid_job =
    R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,
    "EstimateMs":900,"Affinity":"r1-3"},{"Count":20,"Cpu":2000,"MemMb":1024,
    "EstimateMs":7000,"After":[0],"Checkpointing":true,"MayMiss":2,
    "Fills":true,"MaxPerServer":3}]})";
const std::string valid_configuration =
    R"({"Version":7,"Routes":[{"Name":"long","Host":"a","Prefix":"/x/",
    "Service":"q","Priority":1,"MaxAttempts":4,"Stretch":1.6,"TimeoutMs":50,
    "TargetDurationMs":600}],"Services":[{"Name":"p"},{"Name":"s",
    "Standby":true,"EnforcesCapacity":true}],"Limits":{"MaxBodyBytes":100}})";
const std::string valid_wave =
    R"({"Wave":3,"Machines":["m1","m2"],"FinishByS":90,"Cap":2})";
const std::string valid_settings =
    R"({"NodeName":"n","Zone":"z","Ip":"10.1.0.9","InternalPorts":[7060,7075],
    "ListenAddrs":{"Front":"10.1.0.9:1","ReadyAddr":"10.1.0.9:2"},
    "platform":{"Address":"10.2.0.1:3","TtlMinMs":1000},
    "CloudApi":{"Address":"10.2.0.2:4"},
    "Bounds":{"HoldMaxMs":5000,"GraceS":6,"MoveS":1.5,"LeaseMs":3000}})";
const std::string valid_roster =
    R"([{"id":"w1","address":"10.0.0.1:80","zone":"z","born_ms":17,
    "labels":["a"],"cpu":4000,"memory":2,"gpus":0,"silent":true,
    "runs":[["5c0e7a21d94b36f8.0.1.17",2,true,false]],"lease_left_ms":900},
    {"id":"w2","address":"10.0.0.2:80","zone":"z","born_ms":18,"labels":[],
    "cpu":4000,"memory":2,"gpus":0}])";
const std::string valid_record =
    R"({"queue":"q","status":0,"accepted_ms":1000,"payload":"s",
    "started":true,"steps":[{"tasks":3,"cpu":1000,"memory":10,
    "estimate_ms":100}],"progress":[[0,1,2,[1],0,"saved",
    [[1,"w1","10.0.0.1:80",1,0,2]]]]})";

// Whatever a document holds, it is read or refused with the project's error.
template <typename Read>
bool survives(const char* name, const std::string& valid, Read read)
{
    CHECK_NOTHROW(read(valid));
    return rc::check(name,
                     [&]
                     {
                         const std::string text = faulty(valid);
                         try
                         {
                             read(text);
                         }
                         catch (const base::error& failure)
                         {
                             RC_ASSERT(failure.code() ==
                                       base::error_code::invalid);
                         }
                     });
}

/// Answers each call with the body that is set.
struct scripted_server
{
    std::string body;
    std::unique_ptr<net::http_server> server =
        net::http_server::builder{}
            .listen_on({"127.0.0.1", 0})
            .handle_with(
                [this](const net::http_request&) {
                    return net::http_response{200, body};
                })
            .build();
    std::unique_ptr<net::http_client> http =
        net::http_client::builder{}.build();
    std::unique_ptr<platform::store_client> store =
        platform::store_client::builder{}
            .connect_to(server->local_endpoint())
            .build();
};

std::string store_row(int number)
{
    const std::string text = std::to_string(number);
    return R"({"Key":"a/)" + text + R"(","Value":"eA==","Rev":)" + text +
           R"(,"Created":1,"Lease":0})";
}

std::string machine_row(int number)
{
    return R"({"Machine":"m)" + std::to_string(number) +
           R"(","Pool":"p","State":"up","Zone":"z","Labels":["a"],"Id":"w",
           "Capacity":{"Cpu":4000,"MemMb":1,"Gpu":0}})";
}

// Three rows, of which the middle one has faults.
std::string list_with(const std::string& name, const std::string& first,
                      const std::string& odd, const std::string& last)
{
    return R"({"AsOf":9,")" + name + "\":[" + first + "," + odd + "," + last +
           "]}";
}

} // namespace

// Guards against a document of another writer that ends the process, or raises
// an error that its reader does not expect.
TEST_CASE("documents with random faults are read or refused")
{
    CHECK(survives("worker entries", valid_entry,
                   [](std::string_view text)
                   {
                       const auto worker =
                           platform::read_worker_entry("w", text);
                       const auto& room = worker.capacity;
                       RC_ASSERT(room.cpu_millis >= 0);
                       RC_ASSERT(room.cpu_millis <= 1'000'000'000);
                       RC_ASSERT(room.memory_mb >= 0);
                       RC_ASSERT(worker.remaining >= base::duration::zero());
                       RC_ASSERT(worker.born_ms >= 0);
                   }));
    CHECK(survives("submissions", valid_job, platform::read_job));
    CHECK(survives("configurations", valid_configuration,
                   platform::read_configuration));
    CHECK(survives("waves", valid_wave, platform::read_wave));
    CHECK(survives("settings", valid_settings, platform::read_node_settings));
    CHECK(survives("rosters", valid_roster, jobs::decode_roster));
    CHECK(survives("records", valid_record,
                   [](std::string_view text)
                   { jobs::decode_record("5c0e7a21d94b36f8", text); }));
    CHECK(survives("statistics", jobs::encode_statistics({}),
                   jobs::decode_statistics));
}

// Guards against an item that hides others, or changes what they say.
TEST_CASE("an item of the store with random faults hides no other item")
{
    scripted_server server;
    CHECK(rc::check(
        "items",
        [&]
        {
            const std::string odd = mutated(store_row(2));
            server.body = list_with("items", store_row(1), odd, store_row(3));
            const auto items = server.store->list("a/").items;
            RC_ASSERT(items.size() >= 2);
            RC_ASSERT(items.front().key == "a/1");
            RC_ASSERT(items.front().value == "x");
            RC_ASSERT(items.back().key == "a/3");
            RC_ASSERT(items.back().value == "x");
            server.body = list_with("events", store_row(1), odd, store_row(3));
            const auto events = server.store->watch("a/", 1, 10ms).events;
            RC_ASSERT(events.size() >= 2);
            RC_ASSERT(events.front().item.key == "a/1");
            RC_ASSERT(events.back().item.key == "a/3");
        }));
}

// Guards against a machine that hides others, or changes what they say.
TEST_CASE("a machine with random faults hides no other machine")
{
    scripted_server server;
    platform::machine_client client(*server.http,
                                    server.server->local_endpoint());
    CHECK(rc::check(
        "machines",
        [&]
        {
            server.body = list_with("Machines", machine_row(1),
                                    mutated(machine_row(2)), machine_row(3));
            try
            {
                const auto machines = client.list(base::steady_now() + 5s);
                RC_ASSERT(machines.size() == 3);
                RC_ASSERT(machines[0].id == "m1");
                RC_ASSERT(machines[0].capacity.cpu_millis == 4000);
                RC_ASSERT(machines[2].id == "m3");
                RC_ASSERT(machines[2].status == fleet::machine_status::up);
            }
            catch (const base::error& failure)
            {
                RC_ASSERT(failure.code() == base::error_code::cut_off);
            }
        }));
}

// Guards against runs that are missing from a list that was read.
TEST_CASE("a worker's list with random faults is whole or unreadable")
{
    scripted_server server;
    platform::worker_client client(*server.http);
    const std::string valid =
        R"({"ClockMs":4,"born":17,"Running":[
        ["5c0e7a21d94b36f8.0.1.17",2,"saved",41],
        ["5c0e7a21d94b36f8.0.1.18",1,"",0]],
        "Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    CHECK(rc::check(
        "lists",
        [&]
        {
            server.body = faulty(valid);
            try
            {
                const auto report =
                    client
                        .list({server.server->local_endpoint(), "w", 1}, {},
                              base::steady_now() + 5s)
                        .report;
                const auto answer = json::parse(server.body);
                RC_ASSERT(answer.at("Running").is_array());
                RC_ASSERT(answer.at("Finished").is_array());
                for (const json::value& row : answer.at("Running").as_array())
                {
                    const bool is_ours =
                        jobs::parse_task_id(row.at(0).as_string()).has_value();
                    const bool is_read = std::any_of(
                        report.running.begin(), report.running.end(),
                        [&](const jobs::listed_run& run) {
                            return to_string(run.task) == row.at(0).as_string();
                        });
                    RC_ASSERT(is_ours == is_read);
                }
            }
            catch (const base::error&)
            {
            }
        }));
}
