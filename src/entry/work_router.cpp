#include "entry/work_router.hpp"

#include "base/error.hpp"
#include "dispatch/reasons.hpp"
#include "dispatch/runner_hooks.hpp"
#include "records/record_table.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::entry
{

namespace
{

// Time that the owner gets beyond the caller's limit to write the outcome and
// answer.
constexpr std::chrono::seconds owner_grace{2};
constexpr std::chrono::seconds query_limit{2};

dispatch::submission_origin origin_of(const base::submission& work)
{
    return work.first ? dispatch::submission_origin::first
                      : dispatch::submission_origin::possible_retry;
}

bool is_missing(const base::work_result& result)
{
    return result.reason == dispatch::reason::no_record;
}

} // namespace

work_router::work_router(hooks calls) : hooks_(std::move(calls)) {}

void work_router::check_queue(const base::submission& work) const
{
    const auto bundle = hooks_.bundle();
    const auto* queue = dispatch::find_queue(*bundle, work.queue);
    if (queue == nullptr || queue->department == work.identity.department)
        return;
    throw base::error(base::error_code::unauthorized, "submit", "",
                      "the queue belongs to another department");
}

base::submission work_router::with_queue_priority(base::submission work) const
{
    const auto bundle = hooks_.bundle();
    const auto* queue = dispatch::find_queue(*bundle, work.queue);
    // A caller may lower its priority, never raise it above the queue's.
    if (queue != nullptr && queue->urgency == base::priority::batch)
        work.urgency = base::priority::batch;
    return work;
}

base::work_result work_router::run_here(const base::submission& work)
{
    if (work.kind == base::work_kind::job)
        return hooks_.dispatcher->jobs().submit(work, origin_of(work));
    return hooks_.dispatcher->requests().run(work, origin_of(work));
}

base::work_result work_router::submit(const base::submission& submitted)
{
    check_queue(submitted);
    base::submission work = with_queue_priority(submitted);
    const bool needs_record =
        work.kind == base::work_kind::job || !work.idempotent;
    if (!needs_record)
        return run_here(work);
    const auto owner = hooks_.owner_of(records::shard_of(work.identity));
    if (!owner)
        return run_here(work);
    const auto start = hooks_.now();
    try
    {
        return owner
            ->send(peer::submit_record{work},
                   start + work.time_limit + owner_grace)
            .result;
    }
    catch (const base::error& failure)
    {
        // The owner may hold the submission; the record decides which one
        // runs.
        if (failure.effect_unknown())
            work.first = false;
    }
    const auto spent = hooks_.now() - start;
    work.time_limit = std::max<base::duration>(work.time_limit - spent, {});
    return run_here(work);
}

std::optional<base::work_result>
work_router::read_here(const peer::read_record& query)
{
    const auto deadline = hooks_.now() + query_limit;
    base::work_result result;
    if (query.job.empty())
        result = hooks_.dispatcher->requests().find(query.identity, deadline);
    else if (query.cancel)
        result = hooks_.dispatcher->jobs().cancel(
            query.job, query.identity.department, query.identity.caller,
            deadline);
    else
        result =
            hooks_.dispatcher->jobs().find(query.job, query.identity.department,
                                           query.identity.caller, deadline);
    if (is_missing(result))
        return std::nullopt;
    return result;
}

std::optional<base::work_result>
work_router::read(const peer::read_record& query,
                  std::optional<std::size_t> shard)
{
    if (!shard)
        return std::nullopt;
    const auto owner = hooks_.owner_of(*shard);
    if (!owner)
        return read_here(query);
    try
    {
        const auto reply = owner->send(query, hooks_.now() + query_limit);
        return reply.found ? std::optional(reply.result) : std::nullopt;
    }
    catch (const base::error&)
    {
        return read_here(query);
    }
}

std::optional<base::work_result>
work_router::find_request(const base::work_identity& identity)
{
    return read({identity, {}, false}, records::shard_of(identity));
}

std::optional<base::work_result>
work_router::find_job(const caller_identity& caller, const base::job_id& job)
{
    return read({{caller.department, caller.caller, {}}, job, false},
                records::shard_of(job));
}

std::optional<base::work_result>
work_router::cancel_job(const caller_identity& caller, const base::job_id& job)
{
    return read({{caller.department, caller.caller, {}}, job, true},
                records::shard_of(job));
}

base::work_result work_router::handle_submit(const base::submission& work)
{
    return run_here(work);
}

peer::record_reply work_router::handle_read(const peer::read_record& message)
{
    const auto found = read_here(message);
    if (!found)
        return {};
    return {true, *found};
}

} // namespace pimentograde::entry
