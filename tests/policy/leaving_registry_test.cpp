#include "policy/histories.hpp"
#include "policy/leaving_registry.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;
using policy::leaving_source;

namespace
{

const base::worker_id worker("w");

class registry_under_test
{
public:
    virtual ~registry_under_test() = default;
    virtual void signal(leaving_source source, std::uint64_t incarnation,
                        base::time_point now) = 0;
    virtual void clear(leaving_source source) = 0;
    virtual void observe(std::uint64_t incarnation, bool leaving,
                         base::time_point now) = 0;
    [[nodiscard]] virtual bool is_leaving() const = 0;
};

class production_registry : public registry_under_test
{
public:
    void signal(leaving_source source, std::uint64_t incarnation,
                base::time_point now) override
    {
        registry_.signal(worker, source, incarnation, now);
    }
    void clear(leaving_source source) override
    {
        registry_.clear(worker, source);
    }
    void observe(std::uint64_t incarnation, bool leaving,
                 base::time_point now) override
    {
        registry_.observe(worker, incarnation, leaving, now);
    }
    [[nodiscard]] bool is_leaving() const override
    {
        return registry_.is_leaving(worker);
    }

private:
    policy::leaving_registry registry_;
};

/// Naive registry: one flag that each message overwrites.
class last_message_registry : public registry_under_test
{
public:
    void signal(leaving_source, std::uint64_t, base::time_point) override
    {
        leaving_ = true;
    }
    void clear(leaving_source) override { leaving_ = false; }
    void observe(std::uint64_t, bool leaving, base::time_point) override
    {
        leaving_ = leaving;
    }
    [[nodiscard]] bool is_leaving() const override { return leaving_; }

private:
    bool leaving_ = false;
};

/// Naive registry: leaving until all signals are cleared; ignores restarts.
class sticky_registry : public registry_under_test
{
public:
    void signal(leaving_source source, std::uint64_t, base::time_point) override
    {
        sources_.insert(source);
    }
    void clear(leaving_source source) override { sources_.erase(source); }
    void observe(std::uint64_t, bool leaving, base::time_point) override
    {
        if (leaving)
            sources_.insert(leaving_source::worker_refusal);
    }
    [[nodiscard]] bool is_leaving() const override { return !sources_.empty(); }

private:
    std::set<leaving_source> sources_;
};

/// Reference model: tracks the sources with a signal in force.
class leaving_model
{
public:
    leaving_model(std::unique_ptr<registry_under_test> registry,
                  std::string wanted)
        : registry_(std::move(registry)), wanted_(std::move(wanted))
    {
        registry_->observe(incarnation_, false, now_);
    }

    std::optional<std::string> run(const history& events)
    {
        for (const auto event : events)
        {
            step(event % 9, event / 9);
            if (violation_)
                return violation_;
        }
        return std::nullopt;
    }

private:
    void step(std::uint32_t kind, std::uint32_t detail)
    {
        switch (kind)
        {
        case 0:
            return signal(leaving_source::instance_list);
        case 1:
            return signal(leaving_source::worker_refusal);
        case 2:
            return signal(leaving_source::fleet_state);
        case 3:
            return signal(leaving_source::peer_hint);
        case 4:
            return clear(detail % 2 == 0 ? leaving_source::instance_list
                                         : leaving_source::fleet_state);
        case 5:
            return restart();
        case 6:
            return late_message();
        case 7:
            return report_not_leaving();
        default:
            now_ += std::chrono::milliseconds{detail % 1000};
        }
    }

    void signal(leaving_source source)
    {
        const bool repeated =
            source == leaving_source::instance_list && listed_;
        listed_ = listed_ || source == leaving_source::instance_list;
        registry_->signal(source, 0, now_);
        if (!repeated)
            in_force_[source] = now_;
        check_state();
    }

    void clear(leaving_source source)
    {
        if (source == leaving_source::instance_list)
            listed_ = false;
        registry_->clear(source);
        in_force_.erase(source);
        check_state();
    }

    void restart()
    {
        incarnation_ += 7;
        registry_->observe(incarnation_, false, now_);
        std::erase_if(in_force_, [](const auto& entry)
                      { return entry.first != leaving_source::fleet_state; });
        check_state();
    }

    // A delayed report and hint of the incarnation before the last restart.
    void late_message()
    {
        if (incarnation_ == 100)
            return;
        registry_->observe(incarnation_ - 7, true, now_);
        registry_->signal(leaving_source::peer_hint, incarnation_ - 7, now_);
        check_state();
    }

    // A report arrives with a delay and may be older than the signal.
    void report_not_leaving()
    {
        registry_->observe(incarnation_, false, now_);
        for (const auto source :
             {leaving_source::worker_refusal, leaving_source::peer_hint})
            if (in_force_.contains(source) && now_ - in_force_[source] > 5s)
                in_force_.erase(source);
        check_state();
    }

    void check_state()
    {
        const bool leaving = !in_force_.empty();
        if (leaving && !registry_->is_leaving())
            fail("a leaving worker is taken as live");
        if (!leaving && registry_->is_leaving())
            fail("a live worker is taken as leaving");
    }

    void fail(const std::string& cause)
    {
        if (!violation_ && cause.find(wanted_) != std::string::npos)
            violation_ = cause;
    }

    std::unique_ptr<registry_under_test> registry_;
    std::string wanted_;
    std::map<leaving_source, base::time_point> in_force_;
    bool listed_ = false;
    std::uint64_t incarnation_ = 100;
    base::time_point now_{1h};
    std::optional<std::string> violation_;
};

template <class Registry>
std::optional<found_violation> find_in(const std::string& wanted)
{
    return find_violation(
        [&](const history& events) {
            return leaving_model(std::make_unique<Registry>(), wanted)
                .run(events);
        },
        100);
}

} // namespace

// Guards against sending tasks to a leaving worker, and against a worker that
// is not accepted again after its restart.
TEST_CASE("any signal marks a worker as leaving until it restarts")
{
    CHECK(rc::check(
        "leaving",
        []
        {
            const auto events =
                *rc::gen::resize(200, rc::gen::container<history>(
                                          rc::gen::arbitrary<std::uint32_t>()));
            const auto cause =
                leaving_model(std::make_unique<production_registry>(), "")
                    .run(events);
            if (cause)
                RC_FAIL(*cause);
        }));
    const auto violation = find_in<production_registry>("");
    CHECK_MESSAGE(!violation, (violation ? violation->cause : ""));
}

// Checks that the model detects both kinds of errors.
TEST_CASE("the model rejects naive registries")
{
    const auto last = find_in<last_message_registry>("taken as live");
    REQUIRE(last);
    MESSAGE("last message wins, seed " << last->seed << ": " << last->cause);
    const auto sticky = find_in<sticky_registry>("taken as leaving");
    REQUIRE(sticky);
    MESSAGE("sticky, seed " << sticky->seed << ": " << sticky->cause);
}

// Guards against hints that members forward to each other without end.
TEST_CASE("hints contain only signals received directly")
{
    policy::leaving_registry registry;
    const base::time_point now{1h};
    registry.observe(worker, 5, false, now);
    registry.signal(worker, leaving_source::peer_hint, 5, now);
    CHECK(registry.is_leaving(worker));
    CHECK(registry.hints().empty());
    registry.signal(worker, leaving_source::instance_list, 0, now);
    REQUIRE(registry.hints().size() == 1);
    CHECK(registry.hints().front().incarnation == 5);
    // A hint with an incarnation that is not known here yet.
    registry.signal(worker, leaving_source::peer_hint, 6, now);
    CHECK(registry.is_leaving(worker));
    CHECK(registry.incarnation(worker) == 6);
}
