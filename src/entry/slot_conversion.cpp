#include "entry/slot_conversion.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace pimentograde::entry
{

namespace
{

constexpr std::array all_refusals{
    policy::slot_refusal::queue_full,   policy::slot_refusal::wait_too_long,
    policy::slot_refusal::too_large,    policy::slot_refusal::no_worker,
    policy::slot_refusal::retry_budget, policy::slot_refusal::stopping};
constexpr std::array all_outcomes{policy::slot_outcome::succeeded,
                                  policy::slot_outcome::failed,
                                  policy::slot_outcome::worker_full,
                                  policy::slot_outcome::worker_leaving,
                                  policy::slot_outcome::worker_unreachable,
                                  policy::slot_outcome::unused};

template <class Enum, std::size_t Count>
Enum parse_word(std::string_view word, const std::array<Enum, Count>& all)
{
    const auto found =
        std::find_if(all.begin(), all.end(),
                     [&](Enum value) { return to_string(value) == word; });
    if (found == all.end())
        throw base::error(base::error_code::invalid, "read slot message", "",
                          "unknown word '" + std::string(word) + "'");
    return *found;
}

} // namespace

peer::slot_terms to_terms(const policy::slot_request& request,
                          base::time_point now)
{
    peer::slot_terms terms;
    terms.queue = request.queue;
    terms.pool = request.pool;
    terms.department = request.department;
    terms.urgency = request.urgency;
    terms.size = request.size;
    terms.time_left = std::max<base::duration>(request.deadline - now, {});
    terms.excluded = request.excluded;
    terms.retry = request.retry;
    terms.id = request.id;
    terms.expected_time = request.expected_time;
    terms.checkpointable = request.checkpointable;
    return terms;
}

policy::slot_request to_request(const peer::slot_terms& terms,
                                base::time_point now)
{
    policy::slot_request request;
    request.queue = terms.queue;
    request.pool = terms.pool;
    request.department = terms.department;
    request.urgency = terms.urgency;
    request.size = terms.size;
    request.deadline = now + terms.time_left;
    request.excluded = terms.excluded;
    request.retry = terms.retry;
    request.id = terms.id;
    request.expected_time = terms.expected_time;
    request.checkpointable = terms.checkpointable;
    return request;
}

peer::slot_answer to_answer(const policy::slot_decision& decision)
{
    peer::slot_answer answer;
    answer.granted = decision.grant.has_value();
    if (!decision.grant)
    {
        answer.refusal = policy::to_string(decision.refusal);
        return answer;
    }
    answer.grant = decision.grant->id;
    answer.worker = decision.grant->worker;
    answer.pool = decision.grant->pool;
    return answer;
}

policy::slot_decision to_decision(const peer::slot_answer& answer,
                                  const base::member_id& broker)
{
    if (!answer.granted)
        return {std::nullopt, parse_word(answer.refusal, all_refusals)};
    return {
        policy::slot_grant{answer.grant, answer.worker, answer.pool, broker},
        {}};
}

peer::release_slot to_release(const policy::slot_request& request,
                              const policy::slot_grant& grant,
                              policy::slot_outcome outcome,
                              base::duration run_time, base::time_point now)
{
    return {to_terms(request, now),
            grant.id,
            grant.worker,
            grant.pool,
            std::string(policy::to_string(outcome)),
            run_time};
}

policy::slot_outcome parse_slot_outcome(std::string_view word)
{
    return parse_word(word, all_outcomes);
}

} // namespace pimentograde::entry
