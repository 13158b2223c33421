// The store of a simulated pool: writes that take effect late, and answers that
// are late or lost.

#include "jobs/job_record.hpp"
#include "jobs/pool_world.hpp"

#include <utility>

namespace pimentograde::tests
{

namespace
{

constexpr int max_write_steps = 20;

} // namespace

void pool_world::note_stored_ends()
{
    std::erase_if(owner_.unstored_ends,
                  [&](const auto& entry)
                  {
                      const auto& [worker, ends] = entry;
                      if (owner_.state->stored_change() < ends.change)
                          return false;
                      owner_.stored_end[worker] = ends.last_end;
                      return true;
                  });
}

void pool_world::store()
{
    store_roster();
    for (const auto& change : owner_.state->take_changes(1000))
    {
        if (!owner_.has_store())
        {
            owner_.state->note_not_stored(change.job, true);
            continue;
        }
        if (is_record_away_)
        {
            if (chance(33))
                stored_[change.job] = {change.value, ++revision_};
            owner_.state->note_not_stored(change.job, true);
            continue;
        }
        auto entry =
            begin_write(change.job, change.value, change.expected_revision);
        if (now_ >= entry.answered_at)
        {
            arrive(entry);
            note_answer(entry);
        }
        else
            writes_.push_back(std::move(entry));
    }
    note_stored_ends();
}

base::duration pool_world::some_steps(int most)
{
    return step_length * (random_() % static_cast<unsigned>(most));
}

pool_world::pending_write
pool_world::begin_write(std::string job, std::string value,
                        std::int64_t expected_revision)
{
    pending_write entry{
        owner_.fence,     now_, now_, false, std::move(job), std::move(value),
        expected_revision};
    if (odds_.slow_write == 0 || !chance(odds_.slow_write))
        return entry;
    entry.arrives_at += some_steps(max_write_steps);
    entry.answered_at += step_length + some_steps(max_write_steps);
    // No answer is later than the caller waits, and none is earlier than the
    // effect.
    entry.is_answer_lost = entry.answered_at < entry.arrives_at || chance(50);
    return entry;
}

void pool_world::advance_writes()
{
    std::vector<pending_write> answered;
    for (pending_write& entry : writes_)
    {
        if (!entry.has_arrived && now_ >= entry.arrives_at)
            arrive(entry);
        if (now_ >= entry.answered_at && entry.fence == owner_.fence)
        {
            answered.push_back(entry);
            answered.back().is_answer_lost |= !owner_.has_store();
            // It may still arrive.
            entry.answered_at = base::time_point::max();
        }
    }
    std::erase_if(writes_,
                  [&](const pending_write& entry)
                  {
                      return entry.has_arrived &&
                             (entry.fence != owner_.fence ||
                              entry.answered_at == base::time_point::max());
                  });
    for (const pending_write& entry : answered)
        note_answer(entry);
}

// Holds only while its sender owns the pool.
void pool_world::arrive(pending_write& entry)
{
    entry.has_arrived = true;
    stored_item& item = entry.job.empty() ? stored_roster_ : stored_[entry.job];
    if (entry.fence != stored_fence_ ||
        item.revision != entry.expected_revision)
        return;
    entry.revision = ++revision_;
    item = {entry.value, entry.revision};
}

void pool_world::note_answer(const pending_write& entry)
{
    if (!entry.is_answer_lost && entry.revision > 0)
    {
        owner_.written_revision =
            std::max(owner_.written_revision, entry.revision);
        owner_.needs_revision = false;
    }
    if (entry.job.empty())
    {
        note_roster_answer(entry);
        return;
    }
    const stored_item& item = stored_[entry.job];
    if (entry.is_answer_lost || !entry.has_arrived)
        owner_.state->note_not_stored(entry.job, true);
    else if (entry.revision > 0)
        owner_.state->note_stored(entry.job, entry.revision);
    else if (item.value == entry.value)
        owner_.state->note_stored(entry.job, item.revision);
    else
        owner_.state->note_store_revision(entry.job, item.revision);
}

void pool_world::note_roster_answer(const pending_write& entry)
{
    owner_.is_writing_roster = false;
    if (entry.is_answer_lost || !entry.has_arrived)
        return;
    owner_.known_roster_revision = stored_roster_.revision;
    if (stored_roster_.value == entry.value)
        owner_.state->note_recorded(entry.roster);
}

// The write may take effect although its answer is lost.
void pool_world::store_roster()
{
    if (owner_.is_writing_roster ||
        (!owner_.state->is_roster_outdated(now_) && !owner_.needs_revision))
        return;
    const auto roster = owner_.state->roster(now_);
    if (is_roster_away_ || !owner_.has_store())
        return;
    auto entry = begin_write({}, jobs::encode_roster(roster),
                             owner_.known_roster_revision);
    entry.roster = roster;
    if (odds_.slow_write == 0)
        entry.is_answer_lost = chance(odds_.lost_answer);
    if (now_ >= entry.answered_at)
    {
        arrive(entry);
        note_answer(entry);
        return;
    }
    owner_.is_writing_roster = true;
    writes_.push_back(std::move(entry));
}

} // namespace pimentograde::tests
