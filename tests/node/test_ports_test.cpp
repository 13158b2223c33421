#include "node/test_ports.hpp"

#include <doctest/doctest.h>

#include <set>

using pimentograde::node_tests::test_ports;

// Guards against a server that cannot listen since another test process, or
// another server of the same entry, has been given its port.
TEST_CASE("reserved ports are not handed out again before they are bound")
{
    constexpr int count = 24;
    test_ports own;
    test_ports other;
    std::set<int> handed_out;
    for (int round = 0; round < count; ++round)
        for (test_ports* ports : {&own, &other})
        {
            const int pair = ports->reserve(2);
            CHECK(handed_out.insert(pair).second);
            CHECK(handed_out.insert(pair + 1).second);
            CHECK(handed_out.insert(ports->reserve(1)).second);
        }
}
