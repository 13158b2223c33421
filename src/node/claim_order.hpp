#ifndef PIMENTOGRADE_NODE_CLAIM_ORDER_HPP
#define PIMENTOGRADE_NODE_CLAIM_ORDER_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::node
{

/// An instance that may claim a role.
struct claim_candidate
{
    std::string name;
    /// Available processor time, in cores.
    double cores = 0.0;
    /// Store revision of its registration; larger for a later start.
    std::int64_t registered_revision = 0;
};

/// A role and its holder; `node` is empty for a free role.
struct role_holding
{
    std::string role;
    std::string node;
};

/// Rank of `own_name` among the instances that may claim the free role `role`;
/// rank 0 claims at once. All instances compute the same order. Instances with
/// more processor time per role come first, since the owner of a busy pool
/// needs it. Among equals, later registered instances come first: in a rolling
/// restart, an instance that has just started is not restarted next.
std::size_t claim_rank(std::span<const claim_candidate> candidates,
                       std::span<const role_holding> roles,
                       std::string_view role, std::string_view own_name);

/// Whether `own_name` should give up one of its roles because another instance
/// has more than twice the processor time per role. This corrects roles that a
/// weak instance took over while the others could not reach the store.
bool should_hand_over(std::span<const claim_candidate> candidates,
                      std::span<const role_holding> roles,
                      std::string_view own_name);

/// How long `own_name` waits before it claims `role`, by its rank.
/// `registered_for` is the time since its registration: when all instances
/// start together, it waits for the others to register. A role still held
/// under the lease of its own previous process is claimed at once, since after
/// a restart of all instances no other instance can resume it sooner.
base::duration claim_delay(std::span<const claim_candidate> candidates,
                           std::span<const role_holding> roles,
                           std::string_view role, std::string_view own_name,
                           base::duration registered_for);

} // namespace pimentograde::node

#endif
