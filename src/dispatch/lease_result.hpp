#ifndef PIMENTOGRADE_DISPATCH_LEASE_RESULT_HPP
#define PIMENTOGRADE_DISPATCH_LEASE_RESULT_HPP

#include "dispatch/record_changes.hpp"
#include "policy/slot.hpp"
#include "provider/worker_operations.hpp"

namespace pimentograde::dispatch
{

/// Whether the lease state can no longer change.
bool is_final(provider::lease_state state);

/// Converts a lease status to the result of its attempt. A state that is not
/// final is treated as a lost lease.
attempt_result to_attempt_result(const provider::lease_status& status);

/// Converts the result of an attempt to the outcome reported to the broker.
policy::slot_outcome to_slot_outcome(const attempt_result& result);

/// Converts a record to the caller's result, without calling the worker.
base::work_result to_work_result(const records::record& current);

} // namespace pimentograde::dispatch

#endif
