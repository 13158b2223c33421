#include "jobs/worker_report.hpp"

#include <string_view>

namespace pimentograde::jobs
{

std::string_view to_string(end_kind how)
{
    switch (how)
    {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lapsed:
        return "lapsed";
    case end_kind::broken:
        return "broken";
    case end_kind::alone:
        break;
    }
    return "alone";
}

std::string_view to_string(start_answer answer)
{
    switch (answer)
    {
    case start_answer::started:
        return "started";
    case start_answer::no_room:
        return "no_room";
    case start_answer::outdated_run:
        return "outdated_run";
    case start_answer::too_late:
        return "too_late";
    case start_answer::rejected:
        return "rejected";
    case start_answer::unhealthy:
        return "unhealthy";
    case start_answer::not_sent:
        return "not_sent";
    case start_answer::unreachable:
        return "unreachable";
    case start_answer::unconfirmed:
        return "unconfirmed";
    case start_answer::cut_off:
        return "cut_off";
    case start_answer::unknown:
        break;
    }
    return "unknown";
}

} // namespace pimentograde::jobs
