#ifndef PIMENTOGRADE_PLATFORM_JOB_DOCUMENT_HPP
#define PIMENTOGRADE_PLATFORM_JOB_DOCUMENT_HPP

#include "jobs/job_spec.hpp"

#include <string_view>

namespace pimentograde::platform
{

/// Reads a submission. Throws `base::error` with `invalid` when the text is
/// not a job that can run.
jobs::job_spec read_job(std::string_view text);

/// Whether the text is a job id: 16 hexadecimal digits.
bool is_job_id(std::string_view text);

} // namespace pimentograde::platform

#endif
