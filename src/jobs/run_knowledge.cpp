#include "jobs/run_knowledge.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

run_knowledge run_knowledge::never_used()
{
    run_knowledge result;
    result.ground_ = ground::unused;
    return result;
}

run_knowledge run_knowledge::stated_by_roster()
{
    run_knowledge result;
    result.ground_ = ground::roster;
    return result;
}

run_knowledge run_knowledge::unknown_until(base::time_point until)
{
    run_knowledge result;
    result.hidden_until_ = until;
    return result;
}

void run_knowledge::note_lease(base::time_point until)
{
    hidden_until_ = std::max(hidden_until_, until);
}

void run_knowledge::note_report()
{
    ground_ = ground::report;
    has_reported_ = true;
}

} // namespace pimentograde::jobs
