#ifndef PIMENTOGRADE_JOBS_JOB_RECORD_HPP
#define PIMENTOGRADE_JOBS_JOB_RECORD_HPP

#include "jobs/job.hpp"

#include <string>
#include <string_view>

namespace pimentograde::jobs
{

/// Serializes a job for the store: the specification and the progress of an
/// open job, only the status of an ended one.
std::string encode_record(const job& subject);

/// Throws `base::error` with `invalid` when the text is not a valid record. The
/// caller has to set the revision and the times on the steady clock.
job decode_record(std::string_view id, std::string_view text);

} // namespace pimentograde::jobs

#endif
