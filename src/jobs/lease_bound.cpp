#include "jobs/lease_bound.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

std::uint64_t lease_bound::note_sent(base::time_point now,
                                     base::duration length, extension_kind kind)
{
    unanswered_.push_back({++last_number_, now, length, kind});
    return last_number_;
}

void lease_bound::note_answered(std::uint64_t number)
{
    std::erase_if(unanswered_, [number](const extension& entry)
                  { return entry.number == number; });
}

void lease_bound::note_failed(std::uint64_t number)
{
    for (extension& entry : unanswered_)
        entry.has_failed = entry.has_failed || entry.number == number;
}

bool lease_bound::note_reachable(base::time_point sent_at)
{
    bool is_any_new = false;
    for (extension& entry : unanswered_)
    {
        // One that is under way may still be answered.
        if (!entry.has_failed || entry.is_overtaken || entry.sent_at >= sent_at)
            continue;
        entry.is_overtaken = true;
        is_any_new = true;
    }
    return is_any_new;
}

// Each extension arrives once. The latest end results if each arrives as late
// as the lease and its own bound allow, the one with the earliest bound first.
base::time_point lease_bound::ends_by(base::time_point known_end,
                                      bool counts_latest_start) const
{
    std::vector<extension> counted;
    std::copy_if(unanswered_.begin(), unanswered_.end(),
                 std::back_inserter(counted),
                 [=](const extension& entry)
                 {
                     return entry.kind == extension_kind::poll ||
                            entry.is_overtaken || counts_latest_start;
                 });
    std::sort(counted.begin(), counted.end(),
              [](const extension& left, const extension& right)
              { return left.latest_end() < right.latest_end(); });
    base::time_point end = known_end;
    for (const extension& entry : counted)
        end = std::max(end, std::min(end + entry.length, entry.latest_end()));
    return end;
}

void lease_bound::forget_before(base::time_point known_end)
{
    std::erase_if(unanswered_, [known_end](const extension& entry)
                  { return entry.latest_end() <= known_end; });
}

} // namespace pimentograde::jobs
