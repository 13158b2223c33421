#include "dispatch/flawed_designs.hpp"

#include "dispatch/record_changes.hpp"

namespace pimentograde::tests
{

using base::work_result;
using base::work_status;
using records::record_state;

namespace
{

constexpr int max_tries = 3;

provider::worker_endpoint choose_worker(instance& through,
                                        const base::submission& work)
{
    policy::slot_request request;
    request.queue = work.queue;
    const auto decision = through.hooks.slots.acquire(request);
    return *dispatch::find_worker(*through.hooks.bundle(),
                                  decision.grant->worker);
}

provider::task_spec task_of(const base::submission& work)
{
    return {work.identity.key, work.queue.str(), work.size, work.payload};
}

work_result from_lease(const provider::lease_status& status)
{
    if (status.state == provider::lease_state::done)
        return {work_status::done, status.answer, {}, {}};
    if (status.state == provider::lease_state::stopped_unstarted)
        return {work_status::not_run, {}, {}, "stopped"};
    return {work_status::failed, {}, {}, "failed"};
}

/// Records an attempt without checking for an earlier one.
records::record_change begin_unchecked(const base::submission& work,
                                       const base::lease_id& lease)
{
    return [=](std::optional<records::record>& current)
    {
        if (!current)
            current = dispatch::new_record(work);
        if (records::is_ended(current->state) || current->lease == lease)
            return false;
        current->state = record_state::started;
        ++current->attempt;
        current->lease = lease;
        return true;
    };
}

} // namespace

work_result retry_on_timeout(instance& through, const base::submission& work,
                             dispatch::submission_origin)
{
    for (int i = 0; i < max_tries; ++i)
    {
        try
        {
            const auto ran = through.hooks.workers.run(
                choose_worker(through, work), task_of(work),
                base::steady_now() + 10ms);
            if (ran.outcome == provider::reserve_outcome::granted)
                return from_lease(ran.status);
        }
        catch (const base::error&)
        {
            // Flaw: treated as not run, although the task may have started.
        }
    }
    return {work_status::not_run, {}, {}, "failed"};
}

work_result take_over_without_fence(instance& through,
                                    const base::submission& work,
                                    dispatch::submission_origin)
{
    const work_result unknown{work_status::unknown, {}, {}, "fault"};
    try
    {
        const auto peer = choose_worker(through, work);
        const auto reserved = through.hooks.workers.reserve(
            peer, work.size, 20ms, base::steady_now() + 10ms);
        if (reserved.outcome != provider::reserve_outcome::granted)
            return unknown;
        const auto begun = through.table->commit(
            work.identity, begin_unchecked(work, reserved.lease),
            base::steady_now() + 10ms);
        if (begun.current && records::is_ended(begun.current->state))
            return dispatch::to_work_result(*begun.current);
        if (begun.outcome != records::commit_outcome::applied)
            return unknown;
        const auto status = through.hooks.workers.start(
            peer, reserved.lease, task_of(work), base::steady_now() + 50ms);
        dispatch::attempt_result end;
        end.end = status.state == provider::lease_state::done
                      ? dispatch::lease_end::done
                      : dispatch::lease_end::failed;
        end.answer = status.answer;
        const auto ended = through.table->commit(
            work.identity, dispatch::end_change(reserved.lease, end, {}),
            base::steady_now() + 10ms);
        return ended.current ? dispatch::to_work_result(*ended.current)
                             : unknown;
    }
    catch (const base::error&)
    {
        return unknown;
    }
}

work_result answer_before_recording(instance& through,
                                    const base::submission& work,
                                    dispatch::submission_origin origin)
{
    if (work.kind != base::work_kind::job)
        return submit_to_runners(through, work, origin);
    auto fresh = dispatch::new_record(work);
    base::random_source random;
    fresh.job = records::make_job_id(records::shard_of(work.identity), random);
    through.background.spawn(
        [&through, fresh]
        {
            through.table->commit(fresh.identity,
                                  dispatch::accept_change(fresh),
                                  base::steady_now() + 10ms);
        });
    return {work_status::accepted, {}, fresh.job, {}};
}

work_result refuse_without_record(instance& through,
                                  const base::submission& work,
                                  dispatch::submission_origin)
{
    return submit_to_runners(through, work, dispatch::submission_origin::first);
}

} // namespace pimentograde::tests
