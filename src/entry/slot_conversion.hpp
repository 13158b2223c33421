#ifndef PIMENTOGRADE_ENTRY_SLOT_CONVERSION_HPP
#define PIMENTOGRADE_ENTRY_SLOT_CONVERSION_HPP

#include "base/time.hpp"
#include "peer/slot_messages.hpp"
#include "policy/slot.hpp"

#include <string_view>

namespace pimentograde::entry
{

/// Between the types of the policy package, with deadlines on this process's
/// clock, and those of the members' messages, with remaining times.
peer::slot_terms to_terms(const policy::slot_request& request,
                          base::time_point now);
policy::slot_request to_request(const peer::slot_terms& terms,
                                base::time_point now);

peer::slot_answer to_answer(const policy::slot_decision& decision);
/// `broker` issued the grant. Throws `base::error` with `invalid` for an
/// unknown word.
policy::slot_decision to_decision(const peer::slot_answer& answer,
                                  const base::member_id& broker);

peer::release_slot to_release(const policy::slot_request& request,
                              const policy::slot_grant& grant,
                              policy::slot_outcome outcome,
                              base::duration run_time, base::time_point now);

/// Throws `base::error` with `invalid` for an unknown word.
policy::slot_outcome parse_slot_outcome(std::string_view word);

} // namespace pimentograde::entry

#endif
