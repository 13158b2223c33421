#ifndef PIMENTOGRADE_TESTS_DISPATCH_FLAWED_DESIGNS_HPP
#define PIMENTOGRADE_TESTS_DISPATCH_FLAWED_DESIGNS_HPP

#include "dispatch/history.hpp"

namespace pimentograde::tests
{

/// Flawed designs that look correct. They show that the history checker detects
/// faults.

/// Runs without a record and retries after a timeout.
base::work_result retry_on_timeout(instance& through,
                                   const base::submission& work,
                                   dispatch::submission_origin origin);

/// Records each attempt, but takes over a started attempt of another instance
/// without stopping its lease.
base::work_result take_over_without_fence(instance& through,
                                          const base::submission& work,
                                          dispatch::submission_origin origin);

/// Returns `accepted` while the record is still being written.
base::work_result answer_before_recording(instance& through,
                                          const base::submission& work,
                                          dispatch::submission_origin origin);

/// Refuses without a record although the submission may be a retry.
base::work_result refuse_without_record(instance& through,
                                        const base::submission& work,
                                        dispatch::submission_origin origin);

} // namespace pimentograde::tests

#endif
