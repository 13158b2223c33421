#include "pools/job_writer.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "pools/collect_delay.hpp"
#include "pools/events.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::pools
{

namespace
{

// A transaction holds at most 32 entries: the condition on the ownership, plus
// a condition and a write for each record.
constexpr std::size_t records_per_transaction = 15;
// With a store that takes 250 ms to answer, sequential transactions would store
// only 60 records a second.
constexpr std::size_t max_concurrent_transactions = 6;
// With a store that answers at once, each write waits for the one before, so
// that many changes share it. Beyond this time the next one goes beside it.
constexpr std::chrono::milliseconds write_patience{30};
// A store that has not answered a write for this long is away.
constexpr std::chrono::seconds away_after{1};
// Time for the last writes when this instance stops.
constexpr std::chrono::seconds max_final_time{2};
// Batches changes that arrive together into one transaction.
constexpr collect_delay batch_delay{std::chrono::milliseconds(4),
                                    std::chrono::milliseconds(12)};
constexpr std::chrono::milliseconds retry_delay{150};
constexpr std::chrono::milliseconds idle_wait{1000};
constexpr std::chrono::milliseconds poll_interval{20};
// Callers can query ended jobs for this long; the users' requirements are 120
// s.
constexpr std::chrono::seconds record_retention{150};

} // namespace

std::string record_prefix(std::string_view pool)
{
    return "pimentograde-jobs/" + std::string(pool) + "/";
}

job_writer::job_writer(std::string pool, std::string owner_key,
                       std::int64_t owner_revision, jobs::pool_state& state,
                       platform::store_client& store, roster_store& roster,
                       hooks functions)
    : pool_(std::move(pool)), owner_key_(std::move(owner_key)),
      owner_revision_(owner_revision), owned_revision_(owner_revision),
      state_(state), store_(store), roster_(roster),
      hooks_(std::move(functions))
{
}

void job_writer::run()
{
    while (!should_end(base::steady_now()))
    {
        if (!hooks_.is_stopping() &&
            (state_.is_roster_outdated(base::steady_now()) ||
             owned_revision_ <= revision_to_pass_))
            write_roster();
        remove_expired(base::steady_now());
        if (!state_.has_unwritten() && !is_failing_)
        {
            idle();
            continue;
        }
        boost::this_fiber::sleep_for(batch_delay.at(state_.workers().size()));
        start_writes();
        wait_for_writes();
        if (is_failing_)
            probe_store();
        if (std::exchange(should_pause_, false))
            boost::this_fiber::sleep_for(retry_delay);
    }
    writes_.join();
}

bool job_writer::should_end(base::time_point now)
{
    if (!hooks_.is_stopping())
        return false;
    end_by_ = std::min<base::time_point>(end_by_, now + max_final_time);
    return state_.stored_change() == state_.change_number() || is_failing_ ||
           has_lost_ownership_ || now >= end_by_;
}

void job_writer::idle()
{
    stored_ = std::max(stored_, state_.stored_change());
    work_.wait_until(base::steady_now() + idle_wait);
}

bool job_writer::write_roster()
{
    const auto roster = state_.roster(base::steady_now());
    try
    {
        const roster_write result = roster_.write(roster, state_.statistics());
        note_answer();
        if (result == roster_write::stored)
        {
            note_owned_at(roster_.revision());
            state_.note_recorded(roster);
        }
        else if (result == roster_write::not_owner)
            hooks_.on_ownership_lost("the store holds another owner");
        return result == roster_write::stored;
    }
    catch (const std::exception& failure)
    {
        log::write(event_write_failed,
                   {{"pool", pool_}, {"reason", failure.what()}});
        boost::this_fiber::sleep_for(retry_delay);
        return false;
    }
}

void job_writer::write_final_roster(base::time_point now)
{
    const auto roster = state_.final_roster(now);
    try
    {
        roster_write result = roster_.write(roster, state_.statistics());
        if (result == roster_write::outdated)
            result = roster_.write(roster, state_.statistics());
        log::write(event_pool_handover,
                   {{"pool", pool_},
                    {"workers", roster.size()},
                    {"is_stored", result == roster_write::stored ? 1 : 0}});
    }
    catch (const std::exception& failure)
    {
        log::write(event_write_failed,
                   {{"pool", pool_}, {"reason", failure.what()}});
    }
}

bool job_writer::wait_stored(std::uint64_t change, base::time_point deadline)
{
    wait_until([&] { return stored_ >= change; }, deadline);
    return stored_ >= change;
}

void job_writer::wait_until(const std::function<bool()>& holds,
                            base::time_point deadline)
{
    while (!holds())
    {
        const base::time_point now = base::steady_now();
        if (now >= deadline || hooks_.is_stopping())
            return;
        // Several fibers wait here. One that misses the notification checks
        // again after the poll interval.
        progress_.wait_until(
            std::min<base::time_point>(deadline, now + poll_interval));
    }
}

void job_writer::note_owned_at(std::int64_t revision)
{
    owned_revision_ = std::max(owned_revision_, revision);
    progress_.notify();
}

void job_writer::wait_owned_after(std::int64_t revision,
                                  base::time_point deadline)
{
    if (owned_revision_ > revision || base::steady_now() >= deadline)
        return;
    revision_to_pass_ = std::max(revision_to_pass_, revision);
    notify();
    wait_until([&] { return owned_revision_ > revision; }, deadline);
}

void job_writer::start_writes()
{
    const std::size_t limit = is_failing_ ? 1 : max_concurrent_transactions;
    while (open_writes_ < limit && !should_pause_)
    {
        auto batch = state_.take_changes(records_per_transaction);
        if (batch.empty())
            return;
        ++open_writes_;
        writes_.spawn(
            [this, changes = std::move(batch)]
            {
                write_batch(changes);
                --open_writes_;
                stored_ = std::max(stored_, state_.stored_change());
                progress_.notify();
                write_ended_.notify();
                work_.notify();
            });
        // A first answer shows whether the store is back.
        if (is_failing_)
            return;
    }
}

// Changes that come while a write without an answer is repeated are written
// beside it.
void job_writer::wait_for_writes()
{
    const base::time_point patience = base::steady_now() + write_patience;
    while (open_writes_ > 0 && (base::steady_now() < patience || is_failing_ ||
                                open_writes_ >= max_concurrent_transactions))
        write_ended_.wait_until(base::steady_now() < patience
                                    ? patience
                                    : base::steady_now() + poll_interval);
}

// Submissions are refused until a write succeeds. When none is left, the roster
// shows whether the store answers.
void job_writer::probe_store()
{
    if (!state_.has_unwritten() && !hooks_.is_stopping())
        write_roster();
    should_pause_ = is_failing_;
}

void job_writer::note_answer()
{
    answered_at_ = base::steady_now();
    if (std::exchange(is_failing_, false))
        log::write(event_write_recovered, {{"pool", pool_}});
}

void job_writer::write_batch(std::span<const jobs::record_change> changes)
{
    platform::store_transaction transaction;
    transaction.conditions.push_back({owner_key_, owner_revision_});
    const std::string prefix = record_prefix(pool_);
    for (const auto& change : changes)
    {
        transaction.conditions.push_back(
            {prefix + change.job, change.expected_revision});
        transaction.writes.push_back({prefix + change.job, change.value, 0});
    }
    try
    {
        const auto result = store_.commit_repeatedly(transaction);
        note_answer();
        if (result.outcome != platform::commit_result::kind::committed)
        {
            apply_conflict(changes, result);
            return;
        }
        note_owned_at(result.revision);
        for (const auto& change : changes)
            state_.note_stored(change.job, result.revision);
    }
    catch (const base::error& failure)
    {
        note_failure(changes, failure.what(), failure.effect_unknown());
    }
    catch (const std::exception& failure)
    {
        note_failure(changes, failure.what(), true);
    }
}

void job_writer::apply_conflict(std::span<const jobs::record_change> changes,
                                const platform::commit_result& result)
{
    const auto find_item = [&](const std::string& key)
    {
        const auto found =
            std::find_if(result.actual.begin(), result.actual.end(),
                         [&](const auto& item) { return item.key == key; });
        return found == result.actual.end() ? nullptr : &*found;
    };
    const platform::store_item* owner = find_item(owner_key_);
    if (owner == nullptr || owner->revision != owner_revision_)
    {
        for (const auto& change : changes)
            state_.note_not_stored(change.job, false);
        has_lost_ownership_ = true;
        hooks_.on_ownership_lost("the store holds another owner");
        return;
    }
    // Only this owner writes, so a record with an unexpected revision comes
    // from one of its own writes that got no answer.
    const std::string prefix = record_prefix(pool_);
    for (const auto& change : changes)
    {
        const platform::store_item* item = find_item(prefix + change.job);
        const std::int64_t revision = item == nullptr ? 0 : item->revision;
        if (item != nullptr && item->value == change.value)
            state_.note_stored(change.job, revision);
        else
            state_.note_store_revision(change.job, revision);
    }
}

void job_writer::note_failure(std::span<const jobs::record_change> changes,
                              std::string_view reason, bool may_be_stored)
{
    for (const auto& change : changes)
        state_.note_not_stored(change.job, may_be_stored);
    should_pause_ = true;
    if (base::steady_now() < answered_at_ + away_after || is_failing_)
        return;
    is_failing_ = true;
    log::write(
        event_write_failed,
        {{"pool", pool_}, {"records", changes.size()}, {"reason", reason}});
}

void job_writer::remove_expired(base::time_point now)
{
    if (is_removing_ || is_failing_ || hooks_.is_stopping() ||
        !removals_.is_due(now))
        return;
    auto expired = state_.expired_jobs(now, record_retention);
    expired.resize(removals_.take(expired.size(), now));
    if (expired.empty())
        return;
    is_removing_ = true;
    writes_.spawn(
        [this, ids = std::move(expired)]
        {
            std::span<const std::string> left = ids;
            while (!left.empty() && !hooks_.is_stopping())
            {
                const auto batch = left.first(std::min(
                    left.size(), removal_schedule::records_per_transaction));
                left = left.subspan(batch.size());
                if (!remove_records(batch))
                    break;
            }
            is_removing_ = false;
        });
}

bool job_writer::remove_records(std::span<const std::string> ids)
{
    platform::store_transaction transaction;
    transaction.conditions.push_back({owner_key_, owner_revision_});
    for (const std::string& id : ids)
        transaction.removals.push_back(record_prefix(pool_) + id);
    try
    {
        if (store_.commit(transaction).outcome !=
            platform::commit_result::kind::committed)
            return false;
        for (const std::string& id : ids)
            state_.remove_job(id);
        return true;
    }
    catch (const std::exception& failure)
    {
        log::write(event_write_failed, {{"pool", pool_},
                                        {"records", ids.size()},
                                        {"reason", failure.what()}});
        return false;
    }
}

} // namespace pimentograde::pools
