#ifndef PIMENTOGRADE_POLICY_GRANT_TABLE_HPP
#define PIMENTOGRADE_POLICY_GRANT_TABLE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "policy/slot.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentograde::policy
{

struct held_grant
{
    slot_grant grant;
    base::member_id holder;
    base::queue_name queue;
    base::department_name department;
    /// Slots charged to the department's quota.
    double charge = 1;
    /// Whether the slot is lent or borrowed and has to be returned by `due`.
    bool loan = false;
    base::time_point due{};
    /// Id of the request that uses the slot. Differs from the grant's id if the
    /// slot is borrowed.
    std::string request_id;
};

/// Grants in use, indexed by grant id.
class grant_table
{
public:
    void add(held_grant held);
    [[nodiscard]] const held_grant* find(const std::string& id) const;
    [[nodiscard]] const held_grant*
    find_request(const std::string& request_id) const;
    void remove(const std::string& id);

    [[nodiscard]] std::size_t size() const { return grants_.size(); }
    [[nodiscard]] std::uint32_t loan_count() const { return loans_; }
    [[nodiscard]] std::uint32_t count_on(const base::worker_id& worker) const;
    [[nodiscard]] std::vector<slot_grant>
    held_by(const base::member_id& holder) const;
    [[nodiscard]] std::vector<slot_grant>
    on_worker(const base::worker_id& worker) const;
    /// Loans whose due time is at or before `now`.
    [[nodiscard]] std::vector<held_grant> overdue(base::time_point now) const;

private:
    std::unordered_map<std::string, held_grant> grants_;
    std::uint32_t loans_ = 0;
};

} // namespace pimentograde::policy

#endif
