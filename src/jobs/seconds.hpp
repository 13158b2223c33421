#ifndef PIMENTOGRADE_JOBS_SECONDS_HPP
#define PIMENTOGRADE_JOBS_SECONDS_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// Converts a number of seconds to a duration.
inline base::duration from_seconds(double count)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(count));
}

} // namespace pimentograde::jobs

#endif
