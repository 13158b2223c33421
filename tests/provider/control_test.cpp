#include "net/http_client.hpp"
#include "standin/bundle_workers.hpp"
#include "standin/control.hpp"

#include <boost/json.hpp>

#include "platform_fixture.hpp"
#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::testing;
using base::error_code;

namespace
{

struct control_fixture : platform_fixture
{
    control_fixture() : client(net::http_client::builder{}.build()) {}

    boost::json::value call(const std::string& method,
                            const std::string& target,
                            const std::string& body = "")
    {
        const auto response =
            client->send(platform->control_endpoint(),
                         {method, target, body, {}, {}}, in(1s), "control");
        last_status = response.status;
        return boost::json::parse(response.body);
    }

    std::unique_ptr<net::http_client> client;
    unsigned last_status = 0;
};

} // namespace

TEST_CASE_FIXTURE(control_fixture, "faults are set and cleared by HTTP")
{
    const auto id =
        call("POST", "/faults", R"({"kind":"worker_refuse","worker":"w001"})")
            .at("id")
            .to_number<int>();
    CHECK(code_of([&] { reserve(); }) == error_code::refused);
    CHECK(work.reserve(second, {}, 1s, in(1s)).outcome ==
          provider::reserve_outcome::granted);
    const auto list = call("GET", "/faults").at("faults").as_array();
    REQUIRE(list.size() == 1);
    CHECK(list[0].at("kind").as_string() == "worker_refuse");
    call("DELETE", "/faults/" + std::to_string(id));
    CHECK_FALSE(code_of([&] { reserve(); }));
    call("POST", "/faults", R"({"kind":"store_down"})");
    CHECK(code_of([&] { kv.get("a", in(1s)); }) == error_code::unavailable);
    call("DELETE", "/faults");
    CHECK_FALSE(code_of([&] { kv.get("a", in(1s)); }));
}

// Guards against a misspelt fault that is accepted without any effect.
TEST_CASE_FIXTURE(control_fixture, "an unknown fault is refused")
{
    call("POST", "/faults", R"({"kind":"store_down_"})");
    CHECK(last_status == 400);
    call("POST", "/faults", R"({"worker":"w001"})");
    CHECK(last_status == 400);
    call("GET", "/unknown");
    CHECK(last_status == 404);
}

// Guards against a checker that misses entries between two pages of the log.
TEST_CASE_FIXTURE(control_fixture, "the log is read page by page")
{
    const std::size_t count = standin::log_page + 10;
    for (std::size_t number = 0; number < count; ++number)
        work.run(first, task("t" + std::to_string(number), 0), in(1s));
    const auto page = call("GET", "/log?from=0");
    CHECK(page.at("entries").as_array().size() == standin::log_page);
    CHECK(page.at("total").to_number<std::size_t>() == count);
    const auto next = page.at("next").to_number<std::size_t>();
    CHECK(next == standin::log_page);
    const auto rest = call("GET", "/log?from=" + std::to_string(next));
    REQUIRE(rest.at("entries").as_array().size() == 10);
    const auto& entry = rest.at("entries").as_array()[0];
    CHECK(entry.at("task").as_string() == "t" + std::to_string(next));
    CHECK(entry.at("outcome").as_string() == "done");
}

TEST_CASE_FIXTURE(control_fixture, "counts and workers are shown")
{
    kv.get("a", in(1s));
    kv.compare_and_swap("a", 0, "12345", in(1s));
    const auto counts = call("GET", "/counts");
    CHECK(counts.at("reads").to_number<int>() == 1);
    CHECK(counts.at("writes").to_number<int>() == 1);
    CHECK(counts.at("bytes").to_number<int>() == 5);
    CHECK(counts.at("store").at("get").to_number<int>() == 1);
    work.drain(first, in(1s));
    const auto workers = call("GET", "/workers").at("workers").as_array();
    REQUIRE(workers.size() == 2);
    CHECK(workers[0].at("leaving").as_bool());
    CHECK_FALSE(workers[1].at("leaving").as_bool());
}

// Guards against test doubles that run with other sizes than the bundle says.
TEST_CASE("workers are read from a bundle")
{
    const auto workers = standin::workers_of_bundle(
        R"({"pools":[],"workers":[
            {"id":"a","address":"127.0.0.1:21001","slots":3,"connections":9,
             "size":{"cores":64,"memory_mb":1000,"accelerators":2}},
            {"id":"b","address":"127.0.0.1:21002"}]})");
    REQUIRE(workers.size() == 2);
    CHECK(workers[0].id.str() == "a");
    CHECK(workers[0].address == net::endpoint{"127.0.0.1", 21001});
    CHECK(workers[0].slots == 3);
    CHECK(workers[0].connections == 9);
    CHECK(workers[0].size == base::task_size{64, 1000, 2});
    CHECK(workers[1].slots == 8);
    CHECK(code_of([] { standin::workers_of_bundle("{}"); }) ==
          error_code::invalid);
    CHECK(code_of(
              []
              {
                  standin::workers_of_bundle(
                      R"({"workers":[{"id":"a","address":"host:1"}]})");
              }) == error_code::invalid);
}
