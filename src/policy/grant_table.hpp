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
    /// Slots' worth charged to the department.
    double charge = 1;
    /// Lent or borrowed, to be back at `due`.
    bool loan = false;
    base::time_point due{};
    /// Id of the request that it serves; differs from the grant's when
    /// borrowed.
    std::string request_id;
};

/// Grants that are in use, by id.
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
    /// Loans that should be back by `now`.
    [[nodiscard]] std::vector<held_grant> overdue(base::time_point now) const;

private:
    std::unordered_map<std::string, held_grant> grants_;
    std::uint32_t loans_ = 0;
};

} // namespace pimentograde::policy

#endif
