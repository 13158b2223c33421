#include "dispatch/record_changes.hpp"

#include "base/digest.hpp"
#include "dispatch/reasons.hpp"
#include "records/record_codec.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pimentograde::dispatch
{

using records::record;
using records::record_state;

namespace
{

using slot = std::optional<record>;

void end_record(record& current, record_state state, std::string_view reason)
{
    current.state = state;
    current.reason = reason.substr(0, records::max_reason_bytes);
    // An ended job never runs again, so its payload only takes up space.
    current.payload.clear();
}

void store_answer(record& current, const std::string& answer)
{
    if (records::encoded_text_bytes(answer) <= records::max_inline_answer_bytes)
        current.answer = answer;
    else
        current.answer_sha256 = base::sha256_hex(answer);
}

void note_failure(record& current)
{
    ++current.failures;
    const auto& known = current.failed_on;
    if (std::ranges::find(known, current.worker) == known.end())
        current.failed_on.push_back(current.worker);
}

/// Whether kind, attempt, state and lease are unchanged since `prior`.
bool is_same_attempt(const record& current, const record& prior)
{
    return current.kind == prior.kind && current.attempt == prior.attempt &&
           current.state == prior.state && current.lease == prior.lease;
}

void return_to_accepted(record& current)
{
    current.state = record_state::accepted;
    current.worker = {};
    current.incarnation = 0;
    current.lease = {};
}

/// Ends the record as `failed` if an earlier attempt of an idempotent job ran
/// and failed, otherwise as `not_run`.
void end_unsuccessful(record& current, std::string_view reason)
{
    end_record(current,
               current.failures == 0 ? record_state::not_run
                                     : record_state::failed,
               reason);
}

bool end_unstarted(record& current)
{
    if (current.cancel_requested)
        end_unsuccessful(current, reason::cancelled);
    else if (current.kind == base::work_kind::job)
        return_to_accepted(current);
    else
        end_record(current, record_state::not_run, reason::instance_lost);
    return true;
}

bool end_failed(record& current, const attempt_result& result,
                const failure_limits& limits)
{
    note_failure(current);
    if (current.cancel_requested)
        end_record(current, record_state::failed, reason::cancelled);
    else if (current.kind != base::work_kind::job || !current.idempotent)
        end_record(current, record_state::failed,
                   result.reason.empty() ? reason::task_failed
                                         : std::string_view(result.reason));
    else if (current.failed_on.size() >= limits.workers ||
             current.failures >= limits.failures)
        end_record(current, record_state::failed, reason::failed_on_workers);
    else
        return_to_accepted(current);
    return true;
}

} // namespace

record new_record(const base::submission& work)
{
    record out;
    out.identity = work.identity;
    out.kind = work.kind;
    out.issued_at = work.issued_at;
    out.queue = work.queue;
    out.urgency = work.urgency;
    out.size = work.size;
    out.idempotent = work.idempotent;
    if (work.kind == base::work_kind::job)
        out.payload = work.payload;
    return out;
}

records::record_change accept_change(record fresh)
{
    return [fresh = std::move(fresh)](slot& current)
    {
        if (current)
            return false;
        current = fresh;
        return true;
    };
}

records::record_change begin_change(record prior, reservation reserved)
{
    return [prior = std::move(prior),
            reserved = std::move(reserved)](slot& current)
    {
        if (!current)
        {
            const bool is_new =
                prior.attempt == 0 && prior.kind == base::work_kind::request;
            if (!is_new)
                return false;
            current = prior;
        }
        else if (!is_same_attempt(*current, prior) || current->cancel_requested)
            return false;
        current->state = record_state::started;
        ++current->attempt;
        current->worker = reserved.worker;
        current->incarnation = reserved.incarnation;
        current->lease = reserved.lease;
        return true;
    };
}

bool has_begun(const records::commit_result& result,
               const reservation& reserved)
{
    // If the commit was refused but the record has this lease, an earlier
    // write took effect and only its response was lost.
    return (result.outcome == records::commit_outcome::applied ||
            result.outcome == records::commit_outcome::refused) &&
           result.current && result.current->state == record_state::started &&
           result.current->lease == reserved.lease;
}

records::record_change end_change(base::lease_id lease, attempt_result result,
                                  failure_limits limits)
{
    return [lease = std::move(lease), result = std::move(result),
            limits](slot& current)
    {
        if (!current || current->state != record_state::started ||
            current->lease != lease)
            return false;
        switch (result.end)
        {
        case lease_end::done:
            store_answer(*current, result.answer);
            end_record(*current, record_state::done, {});
            return true;
        case lease_end::failed:
            return end_failed(*current, result, limits);
        case lease_end::unstarted:
            return end_unstarted(*current);
        case lease_end::lost:
            break;
        }
        if (current->kind != base::work_kind::job || !current->idempotent ||
            current->cancel_requested)
            return false;
        return end_failed(*current, result, limits);
    };
}

records::record_change refuse_change(record prior, std::string reason)
{
    return [prior = std::move(prior), reason = std::move(reason)](slot& current)
    {
        if (!current)
        {
            if (prior.attempt != 0)
                return false;
            current = prior;
        }
        else if (!is_same_attempt(*current, prior))
            return false;
        end_record(*current, record_state::not_run, reason);
        return true;
    };
}

records::record_change give_up_change(std::uint32_t attempt, std::string reason)
{
    return [attempt, reason = std::move(reason)](slot& current)
    {
        if (!current || current->state != record_state::accepted ||
            current->attempt != attempt)
            return false;
        end_unsuccessful(*current, reason);
        return true;
    };
}

records::record_change cancel_change(base::job_id job)
{
    return [job = std::move(job)](slot& current)
    {
        if (!current || current->job != job ||
            records::is_ended(current->state) || current->cancel_requested)
            return false;
        if (current->state == record_state::accepted)
            end_unsuccessful(*current, reason::cancelled);
        current->cancel_requested = true;
        return true;
    };
}

records::record_change settle_change(base::lease_id lease, bool succeeded,
                                     std::string reason)
{
    return [lease = std::move(lease), succeeded,
            reason = std::move(reason)](slot& current)
    {
        if (!current || current->state != record_state::started ||
            current->lease != lease)
            return false;
        end_record(*current,
                   succeeded ? record_state::done : record_state::failed,
                   reason);
        return true;
    };
}

} // namespace pimentograde::dispatch
