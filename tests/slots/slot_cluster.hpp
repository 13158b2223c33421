#ifndef PIMENTOGRADE_TESTS_SLOTS_SLOT_CLUSTER_HPP
#define PIMENTOGRADE_TESTS_SLOTS_SLOT_CLUSTER_HPP

#include "base/error.hpp"
#include "dispatch/slot_service.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::tests
{

/// Entry instances in one process that call each other directly. Calls can be
/// made to fail.
class slot_cluster
{
public:
    explicit slot_cluster(const std::vector<std::string>& members);
    ~slot_cluster();

    dispatch::slot_service& at(const std::string& member);
    /// Makes `member` the broker of `pool` and updates all members.
    void move_broker(const std::string& pool, const std::string& member);
    void set_fleet(const config::bundle& bundle);
    /// Calls to this member fail with `unavailable`.
    void set_down(const std::string& member, bool down);
    /// The next acquisition from another member's broker takes effect, but its
    /// response is lost.
    void lose_next_response() { lose_response_ = true; }
    /// From now on, slots are not returned when the response of their grant was
    /// lost.
    void lose_cancellations() { lose_cancellations_ = true; }
    /// Number of used slots at the brokers of all pools, including borrowed
    /// ones if `with_borrowed`.
    [[nodiscard]] std::int64_t used_slots(bool with_borrowed = true);
    /// State of all members, for messages.
    [[nodiscard]] std::string describe();

private:
    dispatch::slot_hooks hooks(const std::string& member);
    dispatch::slot_service& reach(const base::member_id& member);

    std::map<std::string, std::unique_ptr<dispatch::slot_service>> services_;
    std::map<std::string, std::string> brokers_;
    std::set<std::string> down_;
    bool closing_ = false;
    bool lose_response_ = false;
    bool lose_cancellations_ = false;
};

/// Pools `p`, `q` and the spare pool `s` of `workers` workers with `slots`
/// slots each; departments `a` and `b`; queues like `a-p-urgent`.
config::bundle make_bundle(std::uint32_t workers, std::uint32_t slots);

policy::slot_request
make_request(const std::string& department, const std::string& pool,
             base::duration time_limit,
             base::priority urgency = base::priority::urgent);

} // namespace pimentograde::tests

#endif
