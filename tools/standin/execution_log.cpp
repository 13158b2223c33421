#include "standin/execution_log.hpp"

#include <utility>

namespace pimentograde::standin
{

std::string_view to_string(execution_outcome outcome)
{
    switch (outcome)
    {
    case execution_outcome::running:
        return "running";
    case execution_outcome::done:
        return "done";
    case execution_outcome::failed:
        return "failed";
    case execution_outcome::stopped:
        return "stopped";
    case execution_outcome::checkpointed:
        return "checkpointed";
    case execution_outcome::lost:
        break;
    }
    return "lost";
}

execution_log::execution_log()
    : wall_offset_(base::wall_now().time_since_epoch() -
                   base::steady_now().time_since_epoch())
{
}

std::size_t execution_log::begin(execution entry)
{
    entries_.push_back(std::move(entry));
    return entries_.size() - 1;
}

void execution_log::end(std::size_t position, base::time_point now,
                        execution_outcome outcome, std::string_view answer)
{
    execution& entry = entries_.at(position);
    entry.ended_at_ms = to_wall_ms(now);
    entry.outcome = outcome;
    entry.answer = answer;
}

std::int64_t execution_log::to_wall_ms(base::time_point moment) const
{
    return base::count_millis(moment.time_since_epoch() + wall_offset_);
}

} // namespace pimentograde::standin
