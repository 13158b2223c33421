#include "node/pool_replies.hpp"

#include "base/error.hpp"

#include <array>
#include <utility>

namespace pimentograde::node
{

namespace
{

using submission_kind = pools::submission_answer::kind;
using job_kind = pools::job_answer::kind;

constexpr std::array submission_names{"accepted", "refused", "unknown",
                                      "other_tenant"};
constexpr std::array job_names{"found", "absent", "unavailable",
                               "other_tenant"};
constexpr std::array status_names{"queued", "running", "completed", "failed",
                                  "cancelled"};

template <class Enum, std::size_t Count>
std::string name_of(Enum value, const std::array<const char*, Count>& names)
{
    return names[static_cast<std::size_t>(value)];
}

template <class Enum, std::size_t Count>
Enum value_from_name(std::string_view value_name,
                     const std::array<const char*, Count>& names)
{
    for (std::size_t index = 0; index < Count; ++index)
        if (value_name == names[index])
            return static_cast<Enum>(index);
    // The owner has answered something; whether it acted is not known.
    throw base::error(base::error_code::cut_off, "read peer reply", "",
                      "unknown value: " + std::string(value_name));
}

peer::pool_load load_of(const pools::pool_owner& owner)
{
    constexpr double millis = 1000.0;
    const jobs::pool_state& state = owner.state();
    peer::pool_load load;
    load.is_known = owner.is_loaded();
    const base::time_point now = base::steady_now();
    load.backlog_core_ms = static_cast<std::int64_t>(
        state.waiting_work(now, base::wall_now()) * millis);
    load.usable_millis =
        static_cast<std::int64_t>(state.usable_cores(now) * millis);
    load.active_millis =
        static_cast<std::int64_t>(state.active_cores(now) * millis);
    load.arriving_millis =
        static_cast<std::int64_t>(state.arriving_cores(now) * millis);
    for (const auto& [id, worker] : state.workers())
    {
        peer::worker_load entry{
            id, static_cast<std::int64_t>(worker.runs.size()), 0};
        for (const auto& [task, run] : worker.runs)
        {
            const jobs::job* subject = state.find_job(task.job);
            if (subject != nullptr && subject->spec.is_long_running())
                ++entry.long_running;
        }
        load.workers.push_back(std::move(entry));
    }
    return load;
}

} // namespace

peer::submit_reply to_reply(const pools::submission_answer& answer)
{
    return {name_of(answer.outcome, submission_names), answer.retry_after,
            answer.reason};
}

pools::submission_answer from_reply(const peer::submit_reply& reply)
{
    return {value_from_name<submission_kind>(reply.outcome, submission_names),
            reply.retry_after, reply.reason};
}

peer::job_reply to_reply(const pools::job_answer& answer)
{
    return {name_of(answer.outcome, job_names),
            name_of(answer.status, status_names)};
}

pools::job_answer from_reply(const peer::job_reply& reply)
{
    return {value_from_name<job_kind>(reply.outcome, job_names),
            value_from_name<jobs::reported_status>(reply.status, status_names)};
}

peer::pool_load answer_load(pools::pool_owner& owner,
                            const peer::query_load& message)
{
    owner.set_leaving_soon(message.leaving_soon);
    return load_of(owner);
}

bool apply_release(pools::pool_owner& owner,
                   const peer::release_worker& message)
{
    if (!message.has_ended)
        return owner.release_worker(message.worker, message.hold);
    owner.end_worker(message.worker);
    return true;
}

} // namespace pimentograde::node
