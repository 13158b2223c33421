#ifndef PIMENTOGRADE_JOBS_JOB_RECORD_HPP
#define PIMENTOGRADE_JOBS_JOB_RECORD_HPP

#include "jobs/job.hpp"

#include <string>
#include <string_view>

namespace pimentograde::jobs
{

/// The stored form of a job: its specification and its progress.
std::string encode_record(const job& subject);

/// Throws `base::error` with `invalid` when the text is not a record. The
/// revision and the times on the steady clock are left for the caller.
job decode_record(std::string_view id, std::string_view text);

} // namespace pimentograde::jobs

#endif
