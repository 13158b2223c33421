// Replays of loads in which tenants send more than their shares. Each replay is
// compared with the same load without the excess, and with a pool whose owner
// knows no tenants, which must miss the bound.

#include "share_replay.hpp"
#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::tests;

namespace
{

// Weights leave this much room above what a tenant usually sends.
constexpr double weight_room = 1.5;
constexpr double noisy_factor = 7.0;
// What quiet tenants may lose beside noisy ones, as a part of their jobs: runs
// that have begun are not interrupted.
constexpr double largest_loss = 0.02;

// Tenants that share `load`, a part of the pool's capacity; in the burst they
// send `factor` times as much.
std::vector<tenant_load> make_tenants(const std::string& prefix, int count,
                                      double load, double factor = 1.0)
{
    const double rate = load * replay_capacity({}) / count;
    std::vector<tenant_load> tenants;
    for (int index = 0; index < count; ++index)
        tenants.push_back({prefix + std::to_string(index), weight_room * rate,
                           rate, factor * rate});
    return tenants;
}

replay_setup beside(std::vector<tenant_load> quiet,
                    const std::vector<tenant_load>& noisy)
{
    replay_setup setup;
    setup.tenants = std::move(quiet);
    setup.tenants.insert(setup.tenants.end(), noisy.begin(), noisy.end());
    return setup;
}

struct quiet_result
{
    double part = 0.0;
    /// The same for the worst-served tenth of the tenants.
    double worst_tenth = 0.0;
    double refused = 0.0;
    /// In-time part of the jobs that were sent within the weights.
    double within = 0.0;
};

// Of the tenants whose names begin with "q", over three seeds.
quiet_result play_quiet(replay_setup setup, bool has_shares = true)
{
    quiet_result total;
    setup.has_shares = has_shares;
    const std::vector<std::uint64_t> seeds{1, 2, 3};
    for (const std::uint64_t seed : seeds)
    {
        setup.seed = seed;
        const replay_result result = replay(setup);
        const tenant_result all = result.sum("q");
        std::vector<double> parts;
        for (const auto& [name, counts] : result.tenants)
            if (name.starts_with("q"))
                parts.push_back(counts.part());
        std::sort(parts.begin(), parts.end());
        parts.resize(std::max<std::size_t>(1, parts.size() / 10));
        total.part += all.part();
        total.within += all.part_within();
        total.refused += static_cast<double>(all.refused) / all.sent;
        for (const double part : parts)
            total.worst_tenth += part / static_cast<double>(parts.size());
    }
    const auto count = static_cast<double>(seeds.size());
    return {total.part / count, total.worst_tenth / count,
            total.refused / count, total.within / count};
}

// Quiet tenants get nearly the same beside the noisy ones as beside the same
// tenants at their usual rate; without shares they get clearly less.
void check_quiet_tenants(const replay_setup& noisy, const replay_setup& usual)
{
    const quiet_result expected = play_quiet(usual);
    const quiet_result result = play_quiet(noisy);
    const quiet_result without_shares = play_quiet(noisy, false);
    MESSAGE("quiet in time: " << expected.part << " usually, " << result.part
                              << " beside noisy tenants, "
                              << without_shares.part << " without shares");
    MESSAGE("worst tenth: " << expected.worst_tenth << ", "
                            << result.worst_tenth << ", "
                            << without_shares.worst_tenth);
    MESSAGE("refused: " << expected.refused << ", " << result.refused << ", "
                        << without_shares.refused);
    CHECK(result.part > expected.part - largest_loss);
    CHECK(result.worst_tenth > expected.worst_tenth - 3.0 * largest_loss);
    CHECK(result.refused < expected.refused + largest_loss);
    CHECK(without_shares.part < expected.part - 2.0 * largest_loss);
}

} // namespace

// Guards against a tenant that sends seven times its usual load and makes the
// jobs of all others wait.
TEST_CASE("one tenant at seven times its usual load costs the others nothing")
{
    const auto quiet = make_tenants("q", 19, 0.6);
    check_quiet_tenants(beside(quiet, make_tenants("n", 1, 0.2, noisy_factor)),
                        beside(quiet, make_tenants("n", 1, 0.2)));
}

// Guards against the same with jobs of 56 cores, whose room takes longer to
// come free.
TEST_CASE("the excess of a tenant with large jobs costs the others nothing")
{
    replay_setup noisy;
    noisy.workers = 60;
    noisy.has_large_jobs = true;
    noisy.tenants = make_tenants("q", 19, 0.6);
    const auto loud = make_tenants("n", 1, 0.2, noisy_factor);
    noisy.tenants.insert(noisy.tenants.end(), loud.begin(), loud.end());
    // `make_tenants` counts in small jobs on 20 workers.
    const double scale = replay_capacity(noisy) / replay_capacity({});
    for (tenant_load& load : noisy.tenants)
    {
        load.weight *= scale;
        load.rate *= scale;
        load.burst_rate *= scale;
    }
    replay_setup usual = noisy;
    usual.tenants.back().burst_rate = usual.tenants.back().rate;
    check_quiet_tenants(noisy, usual);
}

// Guards against a limit that holds for one tenant only: three together send
// more than the pool holds.
TEST_CASE("three tenants at seven times their usual load cost the others "
          "nothing")
{
    const auto quiet = make_tenants("q", 17, 0.55);
    check_quiet_tenants(beside(quiet, make_tenants("n", 3, 0.25, noisy_factor)),
                        beside(quiet, make_tenants("n", 3, 0.25)));
}

// Guards against buckets too shallow for tenants with less than a job in ten
// seconds, whose jobs would count as excess beside a noisy tenant.
TEST_CASE("many small tenants lose nothing beside a noisy one")
{
    const auto quiet = make_tenants("q", 209, 0.6);
    check_quiet_tenants(beside(quiet, make_tenants("n", 1, 0.2, noisy_factor)),
                        beside(quiet, make_tenants("n", 1, 0.2)));
}

// Guards against shares that work as a limit: capacity that nobody else needs
// must not stay idle because a tenant exceeds its weight.
TEST_CASE("a tenant alone may use nearly the whole pool beyond its share")
{
    replay_setup setup;
    setup.tenants = make_tenants("q", 1, 0.5);
    setup.tenants[0].weight = 1.0;
    const quiet_result half = play_quiet(setup);
    CHECK(half.part > 0.99);
    CHECK(half.refused < 0.01);
    setup.tenants[0].rate = setup.tenants[0].burst_rate =
        0.8 * replay_capacity(setup);
    const quiet_result most = play_quiet(setup);
    MESSAGE("alone at 0.8 of the capacity: " << most.part << ", refused "
                                             << most.refused);
    CHECK(most.part > 0.9);
}

// Guards against shares that serve fewer jobs when everybody bursts: what is
// served must not fall, and no tenant may get the whole pool.
TEST_CASE("when all tenants burst together as many jobs end in time")
{
    replay_setup setup;
    setup.tenants = make_tenants("q", 20, 1.0, 5.0);
    for (tenant_load& load : setup.tenants)
        load.rate *= 0.5;
    const quiet_result result = play_quiet(setup);
    const quiet_result without_shares = play_quiet(setup, false);
    MESSAGE("all burst: " << result.part << ", worst tenth "
                          << result.worst_tenth << "; without shares "
                          << without_shares.part << ", worst tenth "
                          << without_shares.worst_tenth);
    CHECK(result.part > without_shares.part - largest_loss);
    CHECK(result.worst_tenth > without_shares.worst_tenth);
}

// Guards against a burst in which jobs that count wait behind those that do
// not: all tenants send five times their mean, as one queue after the other
// does, and their weights cover less than a third of that.
TEST_CASE("in a burst of all tenants jobs within the shares go first")
{
    for (const double mean : {0.3, 0.4})
    {
        replay_setup setup;
        setup.tenants = make_tenants("q", 20, mean, 5.0);
        const quiet_result result = play_quiet(setup);
        const quiet_result without_shares = play_quiet(setup, false);
        MESSAGE("burst of five times "
                << mean << " of the capacity: within " << result.within
                << ", all " << result.part << "; without shares "
                << without_shares.within << ", all " << without_shares.part);
        CHECK(result.within > without_shares.within + 2.0 * largest_loss);
    }
}

// Guards against a change for deployments without tenants, and for jobs without
// one in deployments with tenants.
TEST_CASE("without tenants all decisions are the same as before")
{
    replay_setup setup;
    setup.tenants = make_tenants("q", 20, 1.0, 5.0);
    setup.has_shares = false;
    setup.names_tenants = false;
    const auto expected = replay(setup).decisions;
    std::uint64_t digest = 14695981039346656037ULL;
    for (const std::string& line : expected)
        for (const char byte : line)
            digest =
                (digest ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
    MESSAGE(expected.size() << " decisions, digest " << digest);
    setup.names_tenants = true;
    CHECK(replay(setup).decisions == expected);
    setup.names_tenants = false;
    setup.has_shares = true;
    CHECK(replay(setup).decisions == expected);
    setup.has_weighted_order = true;
    CHECK(replay(setup).decisions == expected);
}

// Guards against a default that serves fewer jobs: prints what the weighted
// order is worth in bursts of tenants of different sizes, see `weighted_use`.
TEST_CASE("the weighted order serves no more jobs than the order without it")
{
    for (const double factor : {2.0, 5.0})
        for (const double room : {1.5, 20.0})
        {
            replay_setup setup;
            setup.tenants = make_tenants("q", 20, 0.5, 2.0 * factor);
            for (std::size_t index = 0; index < setup.tenants.size(); ++index)
            {
                setup.tenants[index].weight *= room / weight_room;
                setup.tenants[index].burst_rate *= index % 4 == 0 ? 2.0 : 0.66;
            }
            const quiet_result off = play_quiet(setup);
            setup.has_weighted_order = true;
            const quiet_result on = play_quiet(setup);
            MESSAGE("burst of "
                    << factor << ", weight " << room << " of the mean: within "
                    << off.within << ", all " << off.part << ", worst tenth "
                    << off.worst_tenth << "; weighted " << on.within << ", "
                    << on.part << ", " << on.worst_tenth);
            CHECK(off.part > on.part - largest_loss);
        }
}
