#include "base/error.hpp"
#include "standin/store_model.hpp"
#include "standin/worker_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace pimentograde;
using namespace std::chrono_literals;
using provider::lease_state;

namespace
{

enum class action
{
    reserve,
    start,
    query,
    stop,
    renew,
    checkpoint,
    wait,
    drain,
    undrain,
    reboot,
    kill
};

struct step
{
    action what = action::wait;
    /// Which of the leases seen so far, modulo their number.
    unsigned lease = 0;
    /// Holders name the task of a lease alike, as they read the same record.
    unsigned millis = 0;
};

rc::Gen<step> any_step()
{
    // Reserve, start, stop and wait are frequent, so that most histories
    // contain starts after stops, ends and expiry.
    const auto what = rc::gen::weightedElement<action>({{6, action::reserve},
                                                        {8, action::start},
                                                        {3, action::query},
                                                        {4, action::stop},
                                                        {2, action::renew},
                                                        {1, action::checkpoint},
                                                        {6, action::wait},
                                                        {1, action::drain},
                                                        {2, action::undrain},
                                                        {1, action::reboot},
                                                        {1, action::kill}});
    return rc::gen::build<step>(
        rc::gen::set(&step::what, what),
        rc::gen::set(&step::lease, rc::gen::inRange(0U, 8U)),
        rc::gen::set(&step::millis, rc::gen::inRange(0U, 120U)));
}

void showValue(const step& shown, std::ostream& out)
{
    out << "{" << static_cast<int>(shown.what) << "," << shown.lease << ","
        << shown.millis << "}";
}

standin::worker_settings rule_settings()
{
    standin::worker_settings settings;
    settings.id = base::worker_id("w");
    settings.slots = 3;
    settings.retention = 200ms;
    settings.leaving_grace = 30ms;
    return settings;
}

bool has_ended(lease_state state)
{
    return state != lease_state::reserved && state != lease_state::running;
}

/// Runs a history on the model and checks the rules after each step.
class history_checker
{
public:
    history_checker() : model_(rule_settings(), 1, log_, checkpoints_), now_(1h)
    {
    }

    void take(const step& next)
    {
        const std::size_t runs_before = log_.entries().size();
        act(next);
        RC_ASSERT(model_.slots_used() <= rule_settings().slots);
        const std::size_t runs = log_.entries().size() - runs_before;
        RC_ASSERT(runs <= (next.what == action::start ? 1U : 0U));
        check_log();
    }

private:
    void act(const step& next)
    {
        const base::duration length = std::chrono::milliseconds{next.millis};
        switch (next.what)
        {
        case action::reserve:
            return reserve(length);
        case action::wait:
            now_ += length;
            return model_.advance(now_);
        case action::drain:
            return model_.drain(now_);
        case action::undrain:
            return model_.undrain();
        case action::kill:
            return model_.kill(now_);
        case action::reboot:
            return reboot();
        default:
            if (!leases_.empty())
                use_lease(next, leases_[next.lease % leases_.size()]);
        }
    }

    void reserve(base::duration ttl)
    {
        const bool leaving = model_.leaving();
        const auto result = model_.reserve({1, 1, 0}, ttl, now_);
        const bool granted =
            result.outcome == provider::reserve_outcome::granted;
        RC_ASSERT(!(leaving && granted));
        if (!granted)
            return;
        RC_ASSERT(known_.insert(result.lease).second);
        leases_.push_back(result.lease);
    }

    void reboot()
    {
        model_.advance(now_);
        const bool idle = model_.slots_used() == 0;
        bool refused = false;
        try
        {
            model_.reboot(now_);
        }
        catch (const base::error& failure)
        {
            refused = failure.code() == base::error_code::refused;
        }
        RC_ASSERT(refused != idle);
    }

    void use_lease(const step& next, const base::lease_id& lease)
    {
        const base::duration length = std::chrono::milliseconds{next.millis};
        const lease_state before = model_.query(lease, now_).state;
        provider::lease_status after;
        if (next.what == action::start)
        {
            provider::task_spec task{"task of " + lease.str(), "q", {}, {}};
            task.payload =
                R"({"sleep_ms":)" + std::to_string(next.millis) + "}";
            after = model_.start(lease, task, next.millis % 5 == 0, now_);
            // Only a reserved lease starts.
            RC_ASSERT(before == lease_state::reserved || after.state == before);
        }
        else if (next.what == action::stop)
            after = model_.stop(lease, now_);
        else if (next.what == action::renew)
            after = model_.renew(lease, length, now_);
        else if (next.what == action::checkpoint)
            after = model_.checkpoint(lease, now_);
        else
            after = model_.query(lease, now_);
        if (next.what == action::stop || next.what == action::checkpoint)
            RC_ASSERT(has_ended(after.state));
        remember(lease, after.state);
    }

    // A final state never changes, other than that the worker forgets it.
    void remember(const base::lease_id& lease, lease_state state)
    {
        const auto found = final_.find(lease);
        if (found != final_.end())
            RC_ASSERT(state == found->second || state == lease_state::unknown);
        if (has_ended(state))
            final_[lease] = state;
    }

    void check_log() const
    {
        std::set<std::string> started;
        for (const auto& entry : log_.entries())
        {
            RC_ASSERT(started.insert(entry.lease).second);
            const auto found = final_.find(base::lease_id(entry.lease));
            RC_ASSERT(found == final_.end() ||
                      found->second != lease_state::stopped_unstarted);
        }
    }

    standin::execution_log log_;
    standin::checkpoint_table checkpoints_;
    standin::worker_model model_;
    base::time_point now_;
    std::vector<base::lease_id> leases_;
    std::set<base::lease_id> known_;
    std::map<base::lease_id, lease_state> final_;
};

} // namespace

// Guards against a lease that runs twice, a start after a stop, expiry, reboot
// or loss, a lease id used again, and an end state that changes later.
TEST_CASE("a lease starts at most once in any history")
{
    CHECK(rc::check("lease rules",
                    []
                    {
                        const auto history = *rc::gen::scale(
                            2.0,
                            rc::gen::container<std::vector<step>>(any_step()));
                        history_checker checker;
                        for (const step& next : history)
                            checker.take(next);
                    }));
}

// Guards against two writers that both believe that they replaced the same
// version, and against a version that comes back after a lease ended.
TEST_CASE("one of several swaps of a version applies")
{
    CHECK(rc::check(
        "swap rules",
        [](const std::vector<std::pair<bool, std::uint8_t>>& writers)
        {
            standin::store_model model;
            const base::time_point now{1h};
            std::uint64_t current = 0;
            std::set<std::uint64_t> seen{0};
            for (const auto& [fresh, wrong] : writers)
            {
                const std::uint64_t expected =
                    fresh ? current : current + wrong + 1;
                const auto result =
                    model.compare_and_swap("k", expected, "v", now);
                const bool applied =
                    result.outcome == provider::swap_outcome::applied;
                RC_ASSERT(applied == fresh);
                RC_ASSERT(!applied || seen.insert(result.version).second);
                RC_ASSERT(applied || result.version == current);
                current = result.version;
            }
        }));
}

// Guards against two holders of a named lease at the same time.
TEST_CASE("a named lease has at most one holder")
{
    CHECK(rc::check(
        "store lease rules",
        [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& calls)
        {
            standin::store_model model;
            base::time_point now{1h};
            std::string holder;
            base::time_point end;
            for (const auto& [who, millis] : calls)
            {
                const std::string name = std::to_string(who % 3);
                const bool held =
                    model.acquire_lease("l", name, 50ms, now).held;
                const bool free = now >= end || holder == name;
                RC_ASSERT(held == free);
                if (held)
                {
                    holder = name;
                    end = now + 50ms;
                }
                now += std::chrono::milliseconds{millis};
            }
        }));
}
