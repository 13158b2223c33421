#include "policy/histories.hpp"
#include "policy/lending_policy.hpp"
#include "policy/slot_broker.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;

namespace
{

using lending_rule = std::function<bool(const policy::lender_load&,
                                        const policy::slot_request&)>;

constexpr std::uint32_t pool_slots = 20;
constexpr std::uint32_t guaranteed_slots = 12;
constexpr base::duration bound = 3s;
const base::time_point start{1h};

/// Model of a lender with urgent requests of its own. Loans take their
/// estimated run time.
class lender_model
{
public:
    lender_model(lending_rule rule, std::string wanted)
        : rule_(std::move(rule)), wanted_(std::move(wanted))
    {
    }

    std::optional<std::string> run(const history& events)
    {
        for (const auto event : events)
        {
            step(event);
            if (violation_)
                return violation_;
        }
        return std::nullopt;
    }

private:
    void step(std::uint32_t event)
    {
        const auto detail = event / 16;
        const auto kind = event % 16;
        if (kind < 6)
            ask(detail);
        else if (kind < 10)
            arrive();
        else if (kind < 14 && own_running_ > 0)
            --own_running_;
        else
            now_ += std::chrono::milliseconds{detail % 500};
        end_loans_and_start_waiting();
    }

    void ask(std::uint32_t detail)
    {
        // 0 is unknown; such tasks run for 8 s.
        const std::array<base::duration, 6> times{0s, 500ms, 1s, 3s, 5s, 20s};
        policy::slot_request request;
        request.expected_time = times.at(detail % times.size());
        const policy::lender_load load{
            pool_slots, own_running_ + lent(), lent(), guaranteed_slots,
            static_cast<std::uint32_t>(waiting_.size())};
        if (load.used >= pool_slots || !rule_(load, request))
            return;
        loans_.push_back(
            now_ + (request.expected_time == 0s ? 8s : request.expected_time));
        if (lent() > pool_slots - guaranteed_slots)
            fail("budget: the department's guaranteed slots were lent");
        if (own_running_ + lent() + 2 > pool_slots)
            fail("reserve: nothing held back for urgent arrivals");
    }

    void arrive() { waiting_.push_back(now_); }

    void end_loans_and_start_waiting()
    {
        std::erase_if(loans_,
                      [&](base::time_point end) { return end <= now_; });
        while (!waiting_.empty() && own_running_ + lent() < pool_slots)
        {
            ++own_running_;
            waiting_.erase(waiting_.begin());
        }
        if (!waiting_.empty() && !loans_.empty() &&
            now_ - waiting_.front() > bound)
            fail("bound: own urgent work waited more than 3 s for loans");
    }

    [[nodiscard]] std::uint32_t lent() const
    {
        return static_cast<std::uint32_t>(loans_.size());
    }

    void fail(const std::string& cause)
    {
        if (!violation_ && cause.find(wanted_) != std::string::npos)
            violation_ = cause;
    }

    lending_rule rule_;
    std::string wanted_;
    base::time_point now_ = start;
    std::uint32_t own_running_ = 0;
    std::vector<base::time_point> waiting_;
    std::vector<base::time_point> loans_;
    std::optional<std::string> violation_;
};

lending_rule production_rule()
{
    return
        [](const policy::lender_load& load, const policy::slot_request& request)
    {
        return policy::lending_policy{}.decide(load, request) ==
               policy::lending_verdict::lend;
    };
}

lending_rule lend_any_idle_slot()
{
    return [](const policy::lender_load&, const policy::slot_request&)
    {
        return true;
    };
}

struct lender_fixture
{
    lender_fixture()
        : broker({base::member_id("l"), base::pool_name("spare"), {}, {}})
    {
        policy::broker_terms terms;
        terms.min_workers = 2;
        broker.set_terms(terms);
        std::vector<policy::broker_worker> workers;
        for (const char* name : {"w0", "w1", "w2", "w3", "w4"})
            workers.push_back({base::worker_id(name), {4, 100, 0}, 4, true});
        broker.set_workers(workers);
    }

    policy::slot_decision lend(const std::string& id, base::duration expected,
                               base::time_point now)
    {
        policy::slot_request request;
        request.id = id;
        request.queue = base::queue_name("q");
        request.size = {1, 10, 0};
        request.expected_time = expected;
        request.deadline = now + 10s;
        return broker.lend(request, base::member_id("b"), now);
    }

    policy::slot_broker broker;
};

} // namespace

// Guards against loans that use guaranteed slots or the reserve, or that delay
// the lender's own urgent requests beyond the maximum loan time.
TEST_CASE("loans respect reserve, budgets and maximum loan time")
{
    CHECK(rc::check("lending",
                    []
                    {
                        const auto events = *rc::gen::resize(
                            400, rc::gen::container<history>(
                                     rc::gen::arbitrary<std::uint32_t>()));
                        const auto cause =
                            lender_model(production_rule(), "").run(events);
                        if (cause)
                            RC_FAIL(*cause);
                    }));
    const auto violation = find_violation(
        [](const history& events)
        { return lender_model(production_rule(), "").run(events); },
        1000);
    CHECK_MESSAGE(!violation, (violation ? violation->cause : ""));
}

// Checks that the model detects each kind of violation.
TEST_CASE("the model rejects lending any idle slot")
{
    for (const char* wanted : {"budget:", "reserve:", "bound:"})
    {
        const auto violation = find_violation(
            [&](const history& events)
            { return lender_model(lend_any_idle_slot(), wanted).run(events); },
            1000);
        REQUIRE_MESSAGE(violation, wanted);
        MESSAGE("seed " << violation->seed << ": " << violation->cause);
    }
}

// Guards against a broker that passes a wrong load to the lending policy.
TEST_CASE("a broker lends up to its budget and releases returned loans")
{
    lender_fixture pool;
    int lent = 0;
    while (pool.lend(std::to_string(lent), 1s, start).grant)
        ++lent;
    // 20 slots minus the 2 guaranteed workers with 4 slots each.
    CHECK(lent == 12);
    CHECK(pool.broker.state(start).lent == 12);
    pool.broker.cancel("0", start);
    CHECK(pool.lend("again", 1s, start).grant);
    CHECK(pool.broker.drop_member(base::member_id("b"), start).loans.empty());
    CHECK(pool.broker.state(start).used == 0);
    CHECK(pool.broker.state(start).lent == 0);
}

// Guards against a queue that keeps borrowing although its estimated run time
// is wrong.
TEST_CASE("a queue that exceeded the loan time cannot borrow for a minute")
{
    lender_fixture pool;
    const auto first = pool.lend("1", 1s, start);
    REQUIRE(first.grant);
    CHECK(pool.broker.overdue_loans(start + 2s).empty());
    CHECK(pool.broker.overdue_loans(start + 3s).size() == 1);
    pool.broker.release(*first.grant, policy::slot_outcome::succeeded,
                        start + 5s);
    CHECK_FALSE(pool.lend("2", 1s, start + 6s).grant);
    CHECK(pool.lend("3", 1s, start + 66s).grant);
}

TEST_CASE("lenders are asked in order: spare pools, then most idle slots")
{
    const auto order = policy::lending_policy::order(
        {{base::pool_name("few"), false, 2},
         {base::pool_name("unknown"), false, std::nullopt},
         {base::pool_name("none"), false, 0},
         {base::pool_name("many"), false, 9},
         {base::pool_name("spare"), true, 1}});
    std::string names;
    for (const auto& name : order)
        names += name.str() + " ";
    CHECK(names == "spare many few unknown ");
}
