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

/// An instance that may take over a role.
struct claim_candidate
{
    std::string name;
    /// Processor time that it gets, in cores.
    double cores = 0.0;
    /// Store revision of its registration: larger for one that started later.
    std::int64_t registered_revision = 0;
};

/// A role and the instance that holds it; the name is empty for a free role.
struct role_holding
{
    std::string role;
    std::string node;
};

/// Place of `own_name` among the instances that may claim the free role
/// `role`; 0 claims at once. Each instance works out the same order. Answers
/// unequal instances, since the owner of a busy pool needs processor time, and
/// rolling restarts: an instance that has just started is not restarted next.
std::size_t claim_position(std::span<const claim_candidate> candidates,
                           std::span<const role_holding> roles,
                           std::string_view role, std::string_view own_name);

/// Whether `own_name` should give one of its roles up: another instance has
/// more than twice the processor time for each role. Answers roles that a
/// weak instance took over while the others could not reach the store.
bool should_hand_over(std::span<const claim_candidate> candidates,
                      std::span<const role_holding> roles,
                      std::string_view own_name);

/// How long `own_name` waits before it claims `role`, by its place.
/// `registered_for` is how long it has been registered: at a common start it
/// waits for the others to register. A role that is still under the lease of
/// its own earlier process is claimed at once, since after a restart of all
/// instances nobody else can go on with it sooner.
base::duration claim_delay(std::span<const claim_candidate> candidates,
                           std::span<const role_holding> roles,
                           std::string_view role, std::string_view own_name,
                           base::duration registered_for);

} // namespace pimentograde::node

#endif
