#include "dispatch/lease_result.hpp"

#include "dispatch/reasons.hpp"

namespace pimentograde::dispatch
{

using provider::lease_state;
using provider::lease_status;
using records::record;
using records::record_state;

bool is_final(lease_state state)
{
    return state == lease_state::done || state == lease_state::failed ||
           state == lease_state::stopped_unstarted ||
           state == lease_state::stopped_started;
}

attempt_result to_attempt_result(const lease_status& status)
{
    attempt_result out;
    out.run_time = status.run_time;
    out.reason = status.reason;
    switch (status.state)
    {
    case lease_state::done:
        out.end = lease_end::done;
        out.answer = status.answer;
        break;
    case lease_state::failed:
        out.end = lease_end::failed;
        break;
    case lease_state::stopped_started:
        out.end = lease_end::failed;
        out.reason = reason::stopped;
        break;
    case lease_state::stopped_unstarted:
        out.end = lease_end::unstarted;
        break;
    default:
        out.end = lease_end::lost;
        out.reason = reason::outcome_unknown;
    }
    return out;
}

policy::slot_outcome to_slot_outcome(const attempt_result& result)
{
    switch (result.end)
    {
    case lease_end::done:
        return policy::slot_outcome::succeeded;
    case lease_end::failed:
        return policy::slot_outcome::failed;
    case lease_end::unstarted:
        return policy::slot_outcome::unused;
    case lease_end::lost:
        break;
    }
    return policy::slot_outcome::worker_unreachable;
}

base::work_result to_work_result(const record& current)
{
    base::work_result out;
    out.job = current.job;
    out.reason = current.reason;
    switch (current.state)
    {
    case record_state::accepted:
        out.status = base::work_status::accepted;
        break;
    case record_state::started:
        out.status = current.kind == base::work_kind::job
                         ? base::work_status::accepted
                         : base::work_status::unknown;
        if (out.status == base::work_status::unknown && out.reason.empty())
            out.reason = reason::time_limit;
        break;
    case record_state::done:
        out.status = base::work_status::done;
        out.answer = current.answer;
        break;
    case record_state::not_run:
        out.status = base::work_status::not_run;
        break;
    case record_state::failed:
        out.status = base::work_status::failed;
        break;
    }
    return out;
}

} // namespace pimentograde::dispatch
