#include "standin/fault_board.hpp"

#include <array>
#include <utility>

namespace pimentograde::standin
{

namespace
{

constexpr std::array<std::pair<fault_kind, std::string_view>, 15> kind_words{{
    {fault_kind::store_slow, "store_slow"},
    {fault_kind::store_down, "store_down"},
    {fault_kind::store_hang, "store_hang"},
    {fault_kind::store_lose_response, "store_lose_response"},
    {fault_kind::store_truncate, "store_truncate"},
    {fault_kind::store_stale_read, "store_stale_read"},
    {fault_kind::store_expire_leases, "store_expire_leases"},
    {fault_kind::list_lag, "list_lag"},
    {fault_kind::list_down, "list_down"},
    {fault_kind::worker_refuse, "worker_refuse"},
    {fault_kind::worker_fail_tasks, "worker_fail_tasks"},
    {fault_kind::worker_freeze, "worker_freeze"},
    {fault_kind::worker_kill, "worker_kill"},
    {fault_kind::worker_truncate, "worker_truncate"},
    {fault_kind::worker_slow, "worker_slow"},
}};

bool applies(const active_fault& candidate, fault_kind kind,
             std::string_view worker, base::time_point now)
{
    return candidate.what.kind == kind &&
           (!candidate.end || now < *candidate.end) &&
           (candidate.what.worker.empty() || candidate.what.worker == worker);
}

} // namespace

std::string_view to_string(fault_kind kind)
{
    for (const auto& [known, word] : kind_words)
        if (known == kind)
            return word;
    return "unknown";
}

std::optional<fault_kind> parse_fault_kind(std::string_view word)
{
    for (const auto& [known, text] : kind_words)
        if (text == word)
            return known;
    return std::nullopt;
}

fault_board::fault_board(std::uint64_t seed) : random_(seed) {}

std::uint64_t fault_board::set(fault what, base::time_point now)
{
    std::erase_if(faults_, [&](const active_fault& old)
                  { return old.end && *old.end <= now; });
    active_fault added{++last_id_, std::move(what), std::nullopt};
    if (added.what.duration > base::duration{})
        added.end = now + added.what.duration;
    faults_.push_back(std::move(added));
    return last_id_;
}

bool fault_board::clear(std::uint64_t id)
{
    return std::erase_if(faults_, [&](const active_fault& old)
                         { return old.id == id; }) > 0;
}

void fault_board::clear_all()
{
    faults_.clear();
}

std::optional<fault> fault_board::draw(fault_kind kind, std::string_view worker,
                                       base::time_point now)
{
    for (const active_fault& candidate : faults_)
        if (applies(candidate, kind, worker, now) &&
            random_.unit() < candidate.what.probability)
            return candidate.what;
    return std::nullopt;
}

bool fault_board::is_on(fault_kind kind, std::string_view worker,
                        base::time_point now) const
{
    for (const active_fault& candidate : faults_)
        if (applies(candidate, kind, worker, now))
            return true;
    return false;
}

bool fault_board::is_certain(fault_kind kind, std::string_view worker,
                             base::time_point now) const
{
    for (const active_fault& candidate : faults_)
        if (applies(candidate, kind, worker, now) &&
            candidate.what.probability >= 1)
            return true;
    return false;
}

std::vector<active_fault> fault_board::list(base::time_point now) const
{
    std::vector<active_fault> current;
    for (const active_fault& candidate : faults_)
        if (!candidate.end || now < *candidate.end)
            current.push_back(candidate);
    return current;
}

} // namespace pimentograde::standin
