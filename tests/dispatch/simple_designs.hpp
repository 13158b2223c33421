#ifndef PIMENTOGRADE_TESTS_DISPATCH_SIMPLE_DESIGNS_HPP
#define PIMENTOGRADE_TESTS_DISPATCH_SIMPLE_DESIGNS_HPP

#include "dispatch/history.hpp"

namespace pimentograde::tests
{

/// Designs that look sufficient and are not. Each shows that the checker of
/// histories can fail.

/// Runs without a record and tries again after a timeout.
base::work_result retry_on_timeout(instance& through,
                                   const base::submission& work,
                                   dispatch::submission_origin origin);

/// Records each attempt, but takes a started attempt of another instance over
/// without stopping its lease.
base::work_result take_over_without_fence(instance& through,
                                          const base::submission& work,
                                          dispatch::submission_origin origin);

/// Answers `accepted` while the record is still being written.
base::work_result answer_before_recording(instance& through,
                                          const base::submission& work,
                                          dispatch::submission_origin origin);

/// Refuses without a record although the key may be a retry.
base::work_result refuse_without_record(instance& through,
                                        const base::submission& work,
                                        dispatch::submission_origin origin);

} // namespace pimentograde::tests

#endif
