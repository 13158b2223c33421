#include "base/key_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <ctime>
#include <string>

using namespace pimentograde;

namespace
{

std::string key_of(int tenant, int number)
{
    return "key-" + std::to_string(tenant) + "-" + std::to_string(number) +
           "-0123456789abcdef";
}

base::key_table<std::string> table_of(int tenants)
{
    base::key_table<std::string> table;
    for (int tenant = 0; tenant < tenants; ++tenant)
        for (int number = 0; number < 2; ++number)
            table.add(base::sha256_hex(key_of(tenant, number)),
                      "tenant-" + std::to_string(tenant));
    return table;
}

} // namespace

// Guards against a key that is found by a part of it or by its digest, and
// against the empty key, whose digest an operator may have configured.
TEST_CASE("a key is found only as a whole and only while it is in the table")
{
    base::key_table<std::string> table = table_of(3);
    table.add(base::sha256_hex(""), "empty");
    CHECK(table.size() == 7);
    REQUIRE(table.find(key_of(1, 0)) != nullptr);
    CHECK(*table.find(key_of(1, 0)) == "tenant-1");
    CHECK(*table.find(key_of(1, 1)) == "tenant-1");
    CHECK(table.find(key_of(3, 0)) == nullptr);
    CHECK(table.find(key_of(1, 0) + "x") == nullptr);
    CHECK(table.find(key_of(1, 0).substr(1)) == nullptr);
    CHECK(table.find(base::sha256_hex(key_of(1, 0))) == nullptr);
    CHECK(table.find("") == nullptr);
    table.add(base::sha256_hex(key_of(1, 0)), "other");
    CHECK(*table.find(key_of(1, 0)) == "other");
    table.clear();
    CHECK(table.find(key_of(1, 0)) == nullptr);
}

// Guards against a key check that takes a part of a small instance's processor
// time, or more of it with each tenant.
TEST_CASE("a key check takes less than 2 us of processor time")
{
    constexpr int batches = 5;
    constexpr int checks = 20'000;
    constexpr double max_us = 2.0;
    for (const int tenants : {20, 210})
    {
        const auto table = table_of(tenants);
        const std::string known = key_of(tenants / 2, 1);
        const std::string unknown = key_of(tenants, 0);
        int found = 0;
        // Of the fastest batch, since other processes disturb the caches.
        double least_us = 1e9;
        for (int batch = 0; batch < batches; ++batch)
        {
            const std::clock_t begin = std::clock();
            for (int check = 0; check < checks; ++check)
                found +=
                    table.find(check % 2 == 0 ? known : unknown) != nullptr;
            least_us =
                std::min(least_us, static_cast<double>(std::clock() - begin) *
                                       1e6 / CLOCKS_PER_SEC / checks);
        }
        CHECK(found == batches * checks / 2);
        MESSAGE("key check at " << tenants << " tenants: " << least_us
                                << " us of processor time");
        CHECK(least_us < max_us);
    }
}
