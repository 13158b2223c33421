#ifndef PIMENTOGRADE_TESTS_POLICY_BROKER_MODEL_HPP
#define PIMENTOGRADE_TESTS_POLICY_BROKER_MODEL_HPP

#include "policy/histories.hpp"
#include "policy/slot_broker.hpp"

#include <map>
#include <memory>
#include <set>

namespace pimentograde::tests
{

/// Interface of the brokers that the model checks: slot_broker and simpler
/// ones that are expected to break the rules.
class broker_under_test
{
public:
    virtual ~broker_under_test() = default;
    virtual void set_workers(const std::vector<policy::broker_worker>&) = 0;
    virtual void set_accepting(const base::worker_id&, bool) = 0;
    virtual policy::submit_result submit(const policy::slot_request&,
                                         const base::member_id&,
                                         base::time_point) = 0;
    virtual void release(const policy::slot_grant&, policy::slot_outcome,
                         base::time_point) = 0;
    virtual std::vector<policy::slot_event> advance(base::time_point) = 0;
    virtual void drop_member(const base::member_id&, base::time_point) = 0;
};

using broker_factory = std::function<std::unique_ptr<broker_under_test>()>;

std::unique_ptr<broker_under_test> make_slot_broker();
/// Serves requests in order of arrival.
std::unique_ptr<broker_under_test> make_fifo_broker();
/// Serves batch requests only while no urgent request waits.
std::unique_ptr<broker_under_test> make_strict_priority_broker();

/// Runs a history of arrivals, releases, worker and member changes, and checks
/// each decision against a model of the pool.
class broker_model
{
public:
    /// Reports only violations that contain `wanted`.
    explicit broker_model(const broker_factory& make, std::string wanted = "");
    std::optional<std::string> run(const history& events);

private:
    struct waiting
    {
        policy::slot_request request;
        base::member_id member;
    };
    struct held
    {
        policy::slot_grant grant;
        policy::slot_request request;
        base::member_id member;
    };

    void step(std::uint32_t event);
    void submit(std::uint32_t event);
    void release(std::uint32_t event, policy::slot_outcome outcome);
    void toggle_accepting(std::uint32_t event);
    void toggle_present(std::uint32_t event);
    void drop(std::uint32_t event);
    void pass_time(base::duration length);
    void apply_decisions();
    void apply(const waiting& entry, const policy::slot_decision& decision);
    void check_grant(const waiting& entry, const policy::slot_grant& grant);
    void check_priority(const waiting& entry, const policy::slot_grant& grant);
    void check_share(const waiting& entry, const policy::slot_grant& grant);
    void publish_workers();
    void fail(const std::string& cause);
    [[nodiscard]] bool allows_worker(const waiting& entry,
                                     const base::worker_id& worker) const;
    [[nodiscard]] double share(const base::department_name& department) const;

    std::unique_ptr<broker_under_test> broker_;
    std::string wanted_;
    base::time_point now_{std::chrono::hours{1}};
    std::map<base::worker_id, policy::broker_worker> workers_;
    std::set<base::worker_id> absent_;
    std::map<std::uint64_t, waiting> waiting_;
    std::map<std::string, held> held_;
    std::map<base::worker_id, std::uint32_t> used_;
    std::map<base::worker_id, base::time_point> full_until_;
    std::map<base::department_name, double> department_used_;
    std::uint32_t consecutive_urgent_grants_ = 0;
    std::uint64_t next_id_ = 0;
    std::optional<std::string> violation_;
};

} // namespace pimentograde::tests

#endif
