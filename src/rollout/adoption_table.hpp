#ifndef PIMENTOGRADE_ROLLOUT_ADOPTION_TABLE_HPP
#define PIMENTOGRADE_ROLLOUT_ADOPTION_TABLE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "peer/messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace pimentograde::rollout
{

struct adoption
{
    base::member_id member;
    std::uint64_t version = 0;
    /// By the member's own clock.
    base::wall_time adopted_at{};
};

/// Which member has which bundle since when, for `bundle status`.
class adoption_table
{
public:
    void heard(const peer::heartbeat& beat);
    void forget(const base::member_id& member);
    /// In the order of the member ids.
    [[nodiscard]] std::vector<adoption> list() const;
    /// Whether every member of the table has at least `version`.
    [[nodiscard]] bool in_force(std::uint64_t version) const;

private:
    std::map<base::member_id, peer::document_state> states_;
};

} // namespace pimentograde::rollout

#endif
