#include "policy/worker_table.hpp"

#include <algorithm>

namespace pimentograde::policy
{

namespace
{

bool is_excluded(const slot_request& request, const base::worker_id& worker)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     worker) != request.excluded.end();
}

} // namespace

worker_table::worker_table(ejection_settings ejection) : ejector_(ejection) {}

worker_table::entry* worker_table::find_entry(const base::worker_id& worker)
{
    const auto known = index_.find(worker);
    return known == index_.end() ? nullptr : &entries_[known->second];
}

const worker_table::entry*
worker_table::find_entry(const base::worker_id& worker) const
{
    const auto known = index_.find(worker);
    return known == index_.end() ? nullptr : &entries_[known->second];
}

void worker_table::set(const broker_worker& worker, std::uint32_t used)
{
    if (auto* known = find_entry(worker.id))
    {
        known->worker = worker;
        return;
    }
    index_.emplace(worker.id, entries_.size());
    entries_.push_back({worker, used, used, used, 0, {}, {}});
    ejector_.add_worker(worker.id);
}

void worker_table::remove(const base::worker_id& worker)
{
    const auto known = index_.find(worker);
    if (known == index_.end())
        return;
    const auto position = known->second;
    index_.erase(known);
    if (position + 1 != entries_.size())
    {
        entries_[position] = std::move(entries_.back());
        index_[entries_[position].worker.id] = position;
    }
    entries_.pop_back();
    ejector_.remove_worker(worker);
}

void worker_table::set_accepting(const base::worker_id& worker, bool accepting)
{
    if (auto* known = find_entry(worker))
        known->worker.accepting = accepting;
}

bool worker_table::is_accepting(const base::worker_id& worker) const
{
    const auto* known = find_entry(worker);
    return known != nullptr && known->worker.accepting;
}

std::vector<base::worker_id> worker_table::ids() const
{
    std::vector<base::worker_id> result;
    result.reserve(entries_.size());
    for (const auto& known : entries_)
        result.push_back(known.worker.id);
    return result;
}

void worker_table::take_slot(const base::worker_id& worker)
{
    auto* known = find_entry(worker);
    if (known == nullptr)
        return;
    ++known->held;
    known->held_peak = std::max(known->held_peak, known->held);
}

void worker_table::return_slot(const base::worker_id& worker)
{
    auto* known = find_entry(worker);
    if (known == nullptr || known->held == 0)
        return;
    --known->held;
    known->full_until = {};
}

void worker_table::record_outcome(const base::worker_id& worker,
                                  slot_outcome outcome, base::time_point now)
{
    auto* known = find_entry(worker);
    if (known == nullptr)
        return;
    switch (outcome)
    {
    case slot_outcome::succeeded:
        return ejector_.record(worker, true, now);
    case slot_outcome::failed:
    case slot_outcome::worker_unreachable:
        return ejector_.record(worker, false, now);
    case slot_outcome::worker_full:
        known->full_until = now + full_pause;
        return;
    case slot_outcome::worker_leaving:
        known->worker.accepting = false;
        return;
    case slot_outcome::unused:
        return;
    }
}

void worker_table::record_report(const base::worker_id& worker,
                                 std::uint32_t slots_used, base::time_point now)
{
    auto* known = find_entry(worker);
    if (known == nullptr)
        return;
    const auto own_peak = std::max(known->held_peak, known->previous_held_peak);
    known->used_by_others = slots_used > own_peak ? slots_used - own_peak : 0;
    known->used_by_others_until = now + report_validity;
    known->previous_held_peak = known->held_peak;
    known->held_peak = known->held;
}

std::uint32_t worker_table::used_slots(const entry& known,
                                       base::time_point now) const
{
    const auto used_by_others =
        now < known.used_by_others_until ? known.used_by_others : 0U;
    return known.held + used_by_others;
}

std::uint32_t worker_table::free_slots(const entry& known,
                                       base::time_point now) const
{
    if (!known.worker.accepting || now < known.full_until)
        return 0;
    const auto limit =
        ejector_.slot_limit(known.worker.id, known.worker.slots, now);
    const auto taken = used_slots(known, now);
    return limit > taken ? limit - taken : 0;
}

std::optional<base::worker_id> worker_table::pick(const slot_request& request,
                                                  base::time_point now) const
{
    const entry* best = nullptr;
    std::uint32_t most = 0;
    for (const auto& known : entries_)
    {
        const auto available = free_slots(known, now);
        if (available <= most || !base::fits(request.size, known.worker.size) ||
            is_excluded(request, known.worker.id))
            continue;
        best = &known;
        most = available;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->worker.id;
}

std::vector<worker_load> worker_table::candidates(const slot_request& request,
                                                  base::time_point now) const
{
    std::vector<worker_load> found;
    for (const auto& known : entries_)
        if (free_slots(known, now) > 0 &&
            base::fits(request.size, known.worker.size) &&
            !is_excluded(request, known.worker.id))
            found.push_back({known.worker.id, used_slots(known, now)});
    return found;
}

bool worker_table::has_free(base::time_point now) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const entry& known)
                       { return free_slots(known, now) > 0; });
}

bool worker_table::fits_any(const base::task_size& size) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const entry& known)
                       { return base::fits(size, known.worker.size); });
}

bool worker_table::has_candidate(const slot_request& request) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const entry& known)
                       {
                           return known.worker.accepting &&
                                  base::fits(request.size, known.worker.size) &&
                                  !is_excluded(request, known.worker.id);
                       });
}

std::uint32_t worker_table::slots(base::time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& known : entries_)
        if (known.worker.accepting)
            sum +=
                ejector_.slot_limit(known.worker.id, known.worker.slots, now);
    return sum;
}

std::uint32_t worker_table::used(base::time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& known : entries_)
        if (known.worker.accepting)
            sum += used_slots(known, now);
    return sum;
}

std::uint32_t worker_table::max_slots() const
{
    std::uint32_t most = 0;
    for (const auto& known : entries_)
        most = std::max(most, known.worker.slots);
    return most;
}

const broker_worker* worker_table::find(const base::worker_id& worker) const
{
    const auto* known = find_entry(worker);
    return known == nullptr ? nullptr : &known->worker;
}

std::optional<base::time_point>
worker_table::next_change(base::time_point now) const
{
    auto next = ejector_.next_change(now);
    const auto consider = [&](base::time_point moment)
    {
        if (moment > now && (!next || moment < *next))
            next = moment;
    };
    for (const auto& known : entries_)
    {
        consider(known.full_until);
        if (known.used_by_others > 0)
            consider(known.used_by_others_until);
    }
    return next;
}

} // namespace pimentograde::policy
