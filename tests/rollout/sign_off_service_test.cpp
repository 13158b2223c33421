#include "base/error.hpp"
#include "config/bundle_parser.hpp"
#include "config/example_text.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "rollout/sign_off_service.hpp"
#include "rollout/simulated_store.hpp"
#include "rollout/versioned_document.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace pimentograde;
using namespace std::chrono_literals;
using config::operator_role;
using rollout::sign_off_outcome;

namespace
{

const config::operator_entry ana{"ana", operator_role::author, ""};
const config::operator_entry luis{"luis", operator_role::reviewer, ""};
const config::operator_entry eva{"eva", operator_role::reviewer, ""};
const config::operator_entry vera{"vera", operator_role::viewer, ""};

const base::wall_time noon = base::from_millis(1'700'000'000'000);

struct fixture
{
    explicit fixture(std::uint64_t seed = 1) : store(seed)
    {
        net::this_thread_io();
        service = std::make_unique<rollout::sign_off_service>(
            store.operations(), store.pace(), base::random_source(seed),
            [this](std::uint64_t version, const std::string& text)
            { bundle.offer(version, text, noon); });
    }
    base::time_point soon() { return store.pace().now() + 2s; }

    template <class Call>
    static base::error_code code_of(Call call)
    {
        try
        {
            call();
        }
        catch (const base::error& failure)
        {
            return failure.code();
        }
        return base::error_code::internal;
    }

    simulated_store store;
    rollout::versioned_document bundle{"bundle", [](std::string_view text)
                                       {
                                           rollout::load_envelope(text);
                                       }};
    std::unique_ptr<rollout::sign_off_service> service;
    std::string example = example_text("kowhai");
};

} // namespace

TEST_CASE("a bundle is drafted, reviewed, signed off and in force")
{
    fixture f;
    const auto draft = f.service->propose(ana, f.example, 0, noon, f.soon());
    f.service->review(luis, draft.id, "looks right", noon, f.soon());
    const auto stored = f.service->drafts().find(draft.id, f.soon());
    REQUIRE(stored.reviews.size() == 1);
    CHECK(stored.reviews[0].by == "luis");
    const auto ticket = f.service->sign_off(luis, draft.id, 0, noon, f.soon());
    CHECK(ticket.result.outcome == sign_off_outcome::accepted);
    CHECK(ticket.result.version == 1);
    CHECK(f.bundle.version() == 1);
    const auto value = rollout::load_envelope(*f.bundle.current().text);
    CHECK(value.deployment == "kowhai");
    CHECK(f.service->result(ticket.id)->version == 1);
    // Asking again is the same sign-off, not a second one.
    const auto again = f.service->sign_off(luis, draft.id, 0, noon, f.soon());
    CHECK(again.result.outcome == sign_off_outcome::accepted);
    CHECK(again.result.version == 1);
    CHECK(f.store.applied(rollout::bundle_key).size() == 1);
}

// Guards against a bundle in force that nobody but its author has seen.
TEST_CASE("roles are enforced")
{
    fixture f;
    const auto denied = base::error_code::unauthorized;
    for (const auto& by : {luis, vera})
        CHECK(f.code_of(
                  [&] {
                      f.service->propose(by, f.example, 0, noon, f.soon());
                  }) == denied);
    const auto draft = f.service->propose(ana, f.example, 0, noon, f.soon());
    for (const auto& by : {ana, vera})
    {
        CHECK(f.code_of(
                  [&] {
                      f.service->sign_off(by, draft.id, 0, noon, f.soon());
                  }) == denied);
        CHECK(f.code_of(
                  [&] {
                      f.service->review(by, draft.id, "", noon, f.soon());
                  }) == denied);
    }
    // The author's role has changed since.
    const config::operator_entry promoted{"ana", operator_role::reviewer, ""};
    CHECK(f.code_of(
              [&] {
                  f.service->sign_off(promoted, draft.id, 0, noon, f.soon());
              }) == denied);
    CHECK(f.store.applied(rollout::bundle_key).empty());
}

// Guards against a draft that silently undoes what was accepted since.
TEST_CASE("a draft of an older version cannot be signed off on a newer one")
{
    fixture f;
    const auto first = f.service->propose(ana, f.example, 0, noon, f.soon());
    const auto second = f.service->propose(ana, f.example, 0, noon, f.soon());
    f.service->sign_off(luis, first.id, 0, noon, f.soon());
    CHECK(f.code_of(
              [&] {
                  f.service->sign_off(eva, second.id, 1, noon, f.soon());
              }) == base::error_code::conflict);
    const auto lost = f.service->sign_off(eva, second.id, 0, noon, f.soon());
    CHECK(lost.result.outcome == sign_off_outcome::lost);
    CHECK(lost.result.winner == "luis");
    CHECK(lost.result.winner_author == "ana");
    CHECK(lost.result.version == 1);
    // Rolling forward to the old contents is a new version.
    const auto third = f.service->propose(ana, f.example, 1, noon, f.soon());
    CHECK(
        f.service->sign_off(eva, third.id, 1, noon, f.soon()).result.version ==
        2);
    CHECK(f.bundle.version() == 2);
}

TEST_CASE("a bundle with faults cannot be drafted")
{
    fixture f;
    CHECK(
        f.code_of([&] { f.service->propose(ana, "{}", 0, noon, f.soon()); }) ==
        base::error_code::invalid);
    CHECK(
        f.code_of([&] { (void)f.service->drafts().find("none", f.soon()); }) ==
        base::error_code::not_found);
    CHECK(f.service->drafts().list(f.soon()).empty());
}

// Guards against an accepted sign-off that nobody pushes because its response
// was lost.
TEST_CASE("an unknown outcome is asked for until it is known")
{
    fixture f;
    const auto draft = f.service->propose(ana, f.example, 0, noon, f.soon());
    f.store.fault.late_write = 100;
    f.store.fault.lost_request = 0;
    // The write is on its way and the store is gone.
    net::task_group fibers;
    auto operations = f.store.operations();
    auto swap = operations.compare_and_swap;
    operations.compare_and_swap =
        [&](std::string_view key, std::uint64_t expected,
            std::string_view value, base::time_point deadline)
    {
        f.store.up = true;
        struct outage
        {
            simulated_store& store;
            ~outage() { store.up = false; }
        } after{f.store};
        return swap(key, expected, value, deadline);
    };
    rollout::sign_off_service service(
        operations, f.store.pace(), base::random_source(5),
        [&](std::uint64_t version, const std::string& text)
        { f.bundle.offer(version, text, noon); });
    const auto ticket = service.sign_off(luis, draft.id, 0, noon, f.soon());
    CHECK(ticket.result.outcome == sign_off_outcome::unknown);
    CHECK(f.bundle.version() == 0);
    f.store.fault = {};
    f.store.up = true;
    f.store.apply_late_writes();
    const auto end = base::steady_now() + 3s;
    while (f.bundle.version() == 0 && base::steady_now() < end)
        boost::this_fiber::sleep_for(5ms);
    CHECK(f.bundle.version() == 1);
    CHECK(service.result(ticket.id)->outcome == sign_off_outcome::accepted);
    CHECK(f.store.applied(rollout::bundle_key).size() == 1);
    service.stop();
}

// Guards against drafts or reviews that get lost or are stored twice when
// several instances write and responses are lost.
TEST_CASE("no draft or review is lost or doubled")
{
    CHECK(rc::check(
        "racing authors",
        []
        {
            fixture f(*rc::gen::arbitrary<std::uint64_t>());
            f.store.fault = {*rc::gen::inRange(0, 20), *rc::gen::inRange(0, 30),
                             *rc::gen::inRange(0, 20),
                             *rc::gen::inRange(0, 30)};
            const int authors = *rc::gen::inRange(1, 6);
            std::vector<std::string> added(authors);
            std::vector<bool> reviewed(authors, false);
            net::task_group fibers;
            for (int i = 0; i < authors; ++i)
                fibers.spawn(
                    [&, i]
                    {
                        try
                        {
                            auto& drafts = f.service->drafts();
                            added[i] = drafts
                                           .add("ana", f.example, 0, noon,
                                                f.store.pace().now() + 60s)
                                           .id;
                            drafts.review(added[i], "luis", "yes", noon,
                                          f.store.pace().now() + 60s);
                            reviewed[i] = true;
                        }
                        catch (const base::error&)
                        {
                            // A stale read may not show the draft yet.
                        }
                    });
            fibers.join();
            f.store.fault = {};
            f.store.apply_late_writes();
            std::set<std::string> ids;
            for (const auto& draft : f.service->drafts().list(f.soon()))
            {
                RC_ASSERT(ids.insert(draft.id).second);
                RC_ASSERT(draft.reviews.size() <= 1U);
                for (int i = 0; i < authors; ++i)
                    if (added[i] == draft.id && reviewed[i])
                        RC_ASSERT(draft.reviews.size() == 1U);
            }
            for (const auto& id : added)
                RC_ASSERT(id.empty() || ids.contains(id));
        }));
}

TEST_CASE("only the newest drafts are kept")
{
    fixture f;
    std::string last;
    for (std::size_t i = 0; i < rollout::max_drafts + 3; ++i)
        last = f.service->propose(ana, f.example, 0, noon, f.soon()).id;
    const auto drafts = f.service->drafts().list(f.soon());
    CHECK(drafts.size() == rollout::max_drafts);
    CHECK(drafts.back().id == last);
    f.service->drafts().remove(last, f.soon());
    CHECK(f.service->drafts().list(f.soon()).size() == rollout::max_drafts - 1);
}

// Guards against two instances that start on an empty store and each install
// its own first bundle.
TEST_CASE("the first bundle is installed once")
{
    fixture f;
    base::random_source random(1);
    CHECK(rollout::install_first_bundle(f.store.operations(), f.example, noon,
                                        f.store.pace(), random, f.soon()));
    CHECK(!rollout::install_first_bundle(f.store.operations(), f.example, noon,
                                         f.store.pace(), random, f.soon()));
    CHECK(f.code_of(
              [&]
              {
                  rollout::install_first_bundle(f.store.operations(), "{}",
                                                noon, f.store.pace(), random,
                                                f.soon());
              }) == base::error_code::invalid);
    CHECK(f.store.applied(rollout::bundle_key).size() == 1);
}

// Guards against a crash on a value that something else wrote.
TEST_CASE("malformed drafts are refused")
{
    const std::string text = rollout::to_text(std::vector<rollout::draft>{
        {"id", "ana", noon, 3, "{}", {{"luis", "yes", noon}}}});
    CHECK(rollout::parse_drafts(text).size() == 1);
    CHECK(rollout::parse_drafts(text)[0].reviews.size() == 1);
    CHECK(rc::check(
        "changed drafts",
        [&]
        {
            std::string changed = text;
            const int changes = *rc::gen::inRange(1, 5);
            for (int i = 0; i < changes; ++i)
                changed[*rc::gen::inRange<std::size_t>(0, changed.size())] =
                    *rc::gen::arbitrary<char>();
            try
            {
                rollout::parse_drafts(changed);
            }
            catch (const base::error& failure)
            {
                RC_ASSERT(failure.code() == base::error_code::invalid);
            }
        }));
}
