#ifndef PIMENTOGRADE_DISPATCH_LEASE_RESULT_HPP
#define PIMENTOGRADE_DISPATCH_LEASE_RESULT_HPP

#include "dispatch/record_changes.hpp"
#include "policy/slot.hpp"
#include "provider/worker_operations.hpp"

namespace pimentograde::dispatch
{

/// Whether a lease in this state stays in it.
bool is_final(provider::lease_state state);

/// The end of an attempt from the state of its lease. A state that is not
/// final means that the lease is lost.
attempt_result to_result(const provider::lease_status& status);

/// What the broker learns from the end of an attempt.
policy::slot_outcome to_slot_outcome(const attempt_result& result);

/// What a caller learns from a record alone.
base::work_result result_of(const records::record& current);

} // namespace pimentograde::dispatch

#endif
