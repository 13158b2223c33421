// Rows of lists that cannot be read.

#include "base/error.hpp"
#include "net/http_server.hpp"
#include "platform/machine_client.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::platform;
using namespace std::chrono_literals;

namespace
{

/// Answers each call with one body.
struct fixed_server
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

    explicit fixed_server(std::string answer) : body(std::move(answer)) {}
    [[nodiscard]] std::unique_ptr<store_client> store() const
    {
        return store_client::builder{}
            .connect_to(server->local_endpoint())
            .build();
    }
    std::vector<fleet::machine> machines() const
    {
        return machine_client(*http, server->local_endpoint())
            .list(base::steady_now() + 5s);
    }
    jobs::worker_report report() const
    {
        return worker_client(*http)
            .list({server->local_endpoint(), "w", 1}, {},
                  base::steady_now() + 5s)
            .report;
    }
};

std::string joined(std::initializer_list<std::string> rows)
{
    std::string text;
    for (const std::string& row : rows)
        text += (text.empty() ? "" : ",") + row;
    return text;
}

const std::string first_item = R"({"Key":"a/1","Value":"eA==","Rev":4})";
const std::string last_item = R"({"Key":"a/9","Value":"eQ==","Rev":9})";

} // namespace

// Guards against runs, workers and machines that count as gone since their
// list is null.
TEST_CASE("a list that is null is not an empty one")
{
    CHECK_THROWS_AS(
        fixed_server(R"({"ClockMs":1,"Running":null,"Finished":[]})").report(),
        base::error);
    CHECK_THROWS_AS(
        fixed_server(R"({"ClockMs":1,"Running":[],"Finished":null})").report(),
        base::error);
    CHECK_THROWS_AS(
        fixed_server(R"({"AsOf":7,"items":null})").store()->list("a/"),
        base::error);
    CHECK_THROWS_AS(fixed_server(R"({"AsOf":7,"events":null})")
                        .store()
                        ->watch("a/", 3, 10ms),
                    base::error);
    CHECK_THROWS_AS(fixed_server(R"({"Machines":null})").machines(),
                    base::error);
}

// Guards against runs that count as absent, and are started again, since their
// row is unreadable.
TEST_CASE("an unreadable row of a worker's list makes the list unreadable")
{
    const auto listing = [](const std::string& running, const std::string& ends)
    {
        return fixed_server(R"({"ClockMs":1,"Running":[)" + running +
                            R"(],"Finished":[)" + ends + "]}")
            .report();
    };
    const std::string run = R"(["5c0e7a21d94b36f8.0.1.17",2,"",41])";
    const std::string end = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    CHECK(listing(run, end).running.size() == 1);
    CHECK(listing(run, end).ended.size() == 1);
    for (const char* odd : {"7", "null", "{}", "[]", R"([7,2,"",41])",
                            R"(["5c0e7a21d94b36f8.0.1.18"])",
                            R"(["5c0e7a21d94b36f8.0.1.18",1e300,"",41])"})
    {
        CAPTURE(odd);
        CHECK_THROWS_AS(listing(run + "," + odd, end), base::error);
        CHECK_THROWS_AS(listing(run, end + "," + odd), base::error);
    }
}

// Guards against a poll that counts as one without effect, although it has
// extended the lease of the worker's runs, and against clocks beyond all range.
TEST_CASE("after an unreadable clock of a worker the effect is unknown")
{
    for (const std::string odd :
         {R"("4")", "1.5", "-1", "1e300", "[]", "9223372036854775807",
          "18446744073709551615"})
    {
        CAPTURE(odd);
        const fixed_server worker(R"({"ClockMs":)" + odd +
                                  R"(,"Running":[],"Finished":[]})");
        bool is_unknown = false;
        try
        {
            worker.report();
        }
        catch (const base::error& failure)
        {
            is_unknown = failure.effect_unknown();
        }
        CHECK(is_unknown);
    }
}

// Guards against a listing or watch that fails again and again, since one item
// is unreadable.
TEST_CASE("an unreadable item of the store hides no other item")
{
    const std::string odd_value =
        R"({"Key":"a/2","Value":"***","Rev":5},{"Key":"a/3","Value":7,"Rev":6})";
    const std::string nameless =
        R"(7,null,{"Key":8,"Value":"eA==","Rev":7},{"Key":"a/4","Rev":1e300})";
    const std::string rows =
        joined({first_item, odd_value, nameless, last_item});
    const auto listing = fixed_server(R"({"AsOf":9,"items":[)" + rows + "]}")
                             .store()
                             ->list("a/");
    REQUIRE(listing.items.size() == 4);
    CHECK(listing.items.front().value == "x");
    CHECK(listing.items.back().value == "y");
    CHECK(listing.items[1].key == "a/2");
    CHECK(listing.items[1].value.empty());
    CHECK_FALSE(listing.is_complete);
    const auto changes = fixed_server(R"({"AsOf":9,"events":[)" + rows + "]}")
                             .store()
                             ->watch("a/", 3, 10ms);
    REQUIRE(changes.events.size() == 4);
    CHECK(changes.events.front().item.value == "x");
    CHECK(changes.events.back().item.value == "y");
    CHECK_FALSE(changes.is_complete);
    CHECK(fixed_server(R"({"AsOf":9,"items":[)" + first_item + "]}")
              .store()
              ->list("a/")
              .is_complete);
}

// Guards against a listing that asks for the same page forever.
TEST_CASE("a page that names no later key ends the listing with an error")
{
    for (const std::string& rows : {std::string("7"), first_item})
        CHECK_THROWS_AS(fixed_server(R"({"AsOf":9,"Truncated":true,"items":[)" +
                                     rows + "]}")
                            .store()
                            ->list("a/"),
                        base::error);
}

// Guards against machines that cannot be used, or count as gone from their
// wave, since another machine's row is unreadable.
TEST_CASE("an unreadable row of the machines costs that machine")
{
    const auto row = [](const std::string& id, const std::string& members)
    {
        return R"({"Machine":")" + id +
               R"(","Pool":"p","State":"up","Id":"w")" + members + "}";
    };
    const std::string capacity = R"(,"Capacity":{"Cpu":4000,"MemMb":1})";
    const std::string good = row("m1", capacity);
    const std::string last = row("m9", capacity);
    for (const std::string& odd :
         {row("m2", R"(,"Capacity":{"Cpu":1e300})"),
          row("m2", R"(,"Capacity":{"Cpu":-5})"), row("m2", R"(,"Labels":7)"),
          std::string(R"({"Machine":"m2","Pool":[],"State":"up"})")})
    {
        CAPTURE(odd);
        const auto machines =
            fixed_server(R"({"Machines":[)" + joined({good, odd, last}) + "]}")
                .machines();
        REQUIRE(machines.size() == 3);
        CHECK(machines[0].status == fleet::machine_status::up);
        CHECK(machines[2].status == fleet::machine_status::up);
        CHECK(machines[2].capacity.cpu_millis == 4000);
        CHECK(machines[1].id == "m2");
        CHECK(machines[1].status == fleet::machine_status::down);
        CHECK(machines[1].worker.empty());
    }
    for (const char* nameless : {"7", "{}", R"({"Machine":7})"})
    {
        CAPTURE(nameless);
        CHECK_THROWS_AS(fixed_server(R"({"Machines":[)" +
                                     joined({good, nameless, last}) + "]}")
                            .machines(),
                        base::error);
    }
}
