#ifndef PIMENTOGRADE_NODE_STATE_DUMP_HPP
#define PIMENTOGRADE_NODE_STATE_DUMP_HPP

#include "node/pool_claims.hpp"
#include "node/session.hpp"

#include <cstdint>
#include <string>

namespace pimentograde::node
{

/// The instance's view of members, pools and workers as JSON, for operators
/// and tests.
std::string dump_state(const session& members, const pool_claims& claims,
                       std::int64_t configuration_version);

} // namespace pimentograde::node

#endif
