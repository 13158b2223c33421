#include "node/worker_directory.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;

namespace
{

const std::string valid =
    R"({"Service":"p","Address":"10.0.0.1:80","State":"ready",
    "Capacity":{"Cpu":4000,"MemMb":10,"Gpu":0},"Seq":)";
const std::string invalid =
    R"({"Service":"p","Address":"10.0.0.1:0","State":"ready",
    "Capacity":{"Cpu":4000,"MemMb":10,"Gpu":0},"Seq":)";

platform::store_item item(const std::string& id, const std::string& start,
                          int sequence)
{
    return {"servers/" + id, start + std::to_string(sequence) + "}", sequence,
            1};
}

} // namespace

// Guards against a log that one entry fills: another writer renews it as often
// as the workers do.
TEST_CASE("an entry that names no worker is reported once")
{
    int rejected = 0;
    node::worker_directory directory([&] { ++rejected; });
    int sequence = 1;
    for (int round = 0; round < 5; ++round)
    {
        directory.apply_listing(std::vector{item("a", valid, ++sequence),
                                            item("b", invalid, ++sequence)});
        directory.apply_changes(std::vector{
            platform::store_event{item("b", invalid, ++sequence), false}});
        CHECK(directory.workers_of("p").size() == 1);
    }
    CHECK(rejected == 1);
    directory.apply_changes(
        std::vector{platform::store_event{item("b", "[", ++sequence), false}});
    CHECK(rejected == 2);
    directory.apply_changes(std::vector{
        platform::store_event{item("b", valid, ++sequence), false}});
    CHECK(directory.workers_of("p").size() == 2);
    directory.apply_changes(
        std::vector{platform::store_event{item("b", "[", ++sequence), false}});
    CHECK(rejected == 3);
    CHECK(directory.workers_of("p").size() == 1);
}
