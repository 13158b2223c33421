#include "base/random_source.hpp"

#include "platform_fixture.hpp"
#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace pimentograde;
using namespace pimentograde::testing;
using provider::lease_state;
using standin::fault_kind;

namespace
{

constexpr int holder_count = 4;
constexpr int steps_of_holder = 12;

/// What any holder was told, and by whom it was asked.
struct shared_knowledge
{
    std::vector<base::lease_id> leases;
    std::set<base::lease_id> told_unstarted;
    std::map<base::lease_id, std::string> told_answer;
};

/// One entry instance that uses leases of all holders, as it does when it
/// resolves the records of another one.
class holder
{
public:
    holder(platform_fixture& fixture, shared_knowledge& knowledge,
           std::uint64_t seed)
        : fixture_(fixture), knowledge_(knowledge), random_(seed)
    {
    }

    void act()
    {
        for (int step = 0; step < steps_of_holder; ++step)
        {
            try
            {
                step_once();
            }
            catch (const base::error&)
            {
                // The effect is unknown; the rules hold all the same.
            }
            boost::this_fiber::sleep_for(random_.jitter(4ms));
        }
    }

private:
    void step_once()
    {
        constexpr std::size_t kinds = 8;
        const std::size_t kind = random_.below(kinds);
        auto& work = fixture_.work;
        const auto& worker = fixture_.first;
        if (kind < 2 || knowledge_.leases.empty())
        {
            const auto ttl = 5ms + random_.jitter(30ms);
            const auto result = work.reserve(worker, {1, 1, 0}, ttl, in(50ms));
            if (result.outcome == provider::reserve_outcome::granted)
                knowledge_.leases.push_back(result.lease);
            return;
        }
        const base::lease_id lease =
            knowledge_.leases[random_.below(knowledge_.leases.size())];
        if (kind < 5)
            note(lease,
                 work.start(worker, lease,
                            platform_fixture::task(lease.str(), 3), in(30ms)));
        else if (kind == 5)
            note(lease, work.stop(worker, lease, in(30ms)));
        else if (kind == 6)
            note(lease, work.query(worker, lease, in(30ms)));
        else
            work.reboot(worker, in(30ms));
    }

    void note(const base::lease_id& lease, const provider::lease_status& status)
    {
        if (status.state == lease_state::stopped_unstarted)
            knowledge_.told_unstarted.insert(lease);
        if (status.state != lease_state::done)
            return;
        const auto [known, added] =
            knowledge_.told_answer.emplace(lease, status.answer);
        CHECK(known->second == status.answer);
        CHECK(status.answer.find('"' + lease.str() + '"') != std::string::npos);
    }

    platform_fixture& fixture_;
    shared_knowledge& knowledge_;
    base::random_source random_;
};

void check_log(const standin::execution_log& log,
               const shared_knowledge& knowledge)
{
    std::map<std::string, const standin::execution*> runs;
    for (const auto& entry : log.entries())
    {
        CHECK(runs.emplace(entry.lease, &entry).second);
        CHECK(!knowledge.told_unstarted.contains(base::lease_id(entry.lease)));
    }
    for (const auto& [lease, answer] : knowledge.told_answer)
    {
        CHECK(runs.contains(lease.str()));
        CHECK(runs.at(lease.str())->answer == answer);
    }
}

} // namespace

// Guards against a lease that starts twice, or after a holder was told that it
// never will, when several holders use it at once and responses are cut, late
// or follow a freeze.
TEST_CASE("several holders start a lease at most once under faults")
{
    const auto run_holders = [](std::uint32_t seed)
    {
        auto workers = platform_fixture::two_workers();
        workers[0].slots = 4;
        workers[0].reboot_time = 5ms;
        platform_fixture fixture(std::move(workers));
        fixture.platform->set_fault(
            {fault_kind::worker_truncate, "w001", 0.1, {}, {}, 1});
        fixture.platform->set_fault(
            {fault_kind::worker_slow, "w001", 0.2, {}, 10ms, 1});
        shared_knowledge knowledge;
        net::task_group fibers;
        for (int number = 0; number < holder_count; ++number)
            fibers.spawn(
                [&, number]
                {
                    holder(fixture, knowledge,
                           std::uint64_t{seed} * holder_count + number)
                        .act();
                });
        boost::this_fiber::sleep_for(20ms);
        fixture.platform->set_fault(
            {fault_kind::worker_freeze, "w001", 1, 40ms, {}, 1});
        fibers.join();
        // Calls that were frozen or slowed take effect by now.
        boost::this_fiber::sleep_for(30ms);
        check_log(fixture.platform->log(), knowledge);
    };
    for (std::uint32_t seed = 1; seed <= 12; ++seed)
    {
        CAPTURE(seed);
        run_holders(seed);
    }
}
