#include "node/queue_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using node_tests::queue_world;

namespace
{

/// Returns the first violation, or what does not work after the faults; empty
/// when there is neither.
std::string play(std::uint64_t seed)
{
    constexpr int faulty_steps = 600;
    queue_world world(seed);
    for (int index = 0; index < faulty_steps && world.violation().empty();
         ++index)
        world.step();
    if (!world.violation().empty())
        return world.violation();
    if (world.accepted() == 0)
        return "no job was accepted";
    world.end_faults();
    for (int index = 0; index < 20; ++index)
        world.step();
    for (std::size_t index = 0; index < world.instances(); ++index)
        if (!world.accepts_at(index))
            return "a job is not accepted without faults";
    return world.violation();
}

} // namespace

// Guards against a job that is accepted in two pools, and against one that is
// denied though it was accepted: its queue moves to and fro while instances are
// cut off from the store, owners are replaced and requests are repeated.
TEST_CASE("each job of a queue that moves is accepted in one pool")
{
    CHECK(rc::check("each job of a queue that moves is accepted in one pool",
                    [](std::uint64_t seed)
                    {
                        const std::string found = play(seed);
                        RC_LOG() << found;
                        RC_ASSERT(found.empty());
                    }));
}
