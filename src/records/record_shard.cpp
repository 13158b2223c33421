#include "records/record_shard.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "net/task_group.hpp"
#include "records/events.hpp"
#include "records/shard_state.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <deque>
#include <mutex>
#include <utility>

namespace pimentograde::records
{

using namespace std::chrono_literals;

namespace
{

constexpr base::duration new_work_deadline = 1s;
// Conflicts are progress of another member; a commit that loses for this long
// past its deadline is given up.
constexpr base::duration conflict_patience = 5s;

struct pending_commit
{
    base::work_identity identity;
    record_change change;
    base::time_point deadline;
    base::time_point enqueued_at;
    /// Set once a write with this change had no response.
    bool in_doubt = false;
    /// What the write in doubt would have stored.
    std::optional<record> attempted;
    bool finished = false;
    commit_result result;
};

using pending_ptr = std::shared_ptr<pending_commit>;

} // namespace

struct record_shard::impl
{
    impl(std::string shard_key, shard_environment shard_env)
        : key(std::move(shard_key)), env(std::move(shard_env))
    {
    }

    void load(base::time_point deadline);
    void run_writer();
    void write_once();
    bool settle_refusals(std::vector<commit_result>& results);
    void send(std::vector<pending_ptr>& batch, shard_batch& staged,
              std::vector<commit_result>& results);
    void finish(const pending_ptr& commit, commit_result result);
    void expire(base::duration patience);
    void back_off();
    void wait_for(base::duration length);
    void note_failure(const base::error& failure);
    std::vector<commit_result> stage(shard_batch& staged,
                                     std::vector<pending_ptr>& batch);

    std::string key;
    shard_environment env;
    shard_state state;
    std::uint64_t version = 0;
    /// Whether `state` is the value of `version`.
    bool valid = false;
    std::optional<base::time_point> confirmed_at;
    /// Whether the last store call succeeded.
    bool reachable = false;
    std::deque<pending_ptr> queue;
    bool writing = false;
    net::stop_signal abandoned;
    int failures = 0;
    /// Held during store calls: the cache must not change under a write.
    boost::fibers::mutex store_mutex;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    net::task_group fibers;
};

void record_shard::impl::load(base::time_point deadline)
{
    const auto start = env.time.steady();
    reachable = false;
    const auto entry = env.store.get(key, deadline);
    if (entry.version < version)
        throw base::error(base::error_code::unavailable, "read records", key,
                          "the store returned an older version");
    if (!valid || entry.version != version)
    {
        valid = false;
        version = entry.version;
        state = shard_state::parse(entry.value);
        valid = true;
    }
    confirmed_at = start;
    reachable = true;
}

void record_shard::impl::finish(const pending_ptr& commit, commit_result result)
{
    commit->result = std::move(result);
    commit->finished = true;
    std::erase(queue, commit);
    changed.notify_all();
}

void record_shard::impl::expire(base::duration patience)
{
    const auto now = env.time.steady();
    const auto waiting = queue;
    for (const auto& commit : waiting)
    {
        if (!abandoned.is_set() && now - patience < commit->deadline)
            continue;
        finish(commit, {commit->in_doubt ? commit_outcome::unknown
                                         : commit_outcome::unavailable,
                        std::nullopt});
    }
}

void record_shard::impl::wait_for(base::duration length)
{
    if (length > 0ns)
        abandoned.wait_for(length);
}

void record_shard::impl::note_failure(const base::error& failure)
{
    reachable = false;
    if (failures++ > 0)
        return;
    log::write(failure.code() == base::error_code::invalid
                   ? event_malformed_shard
                   : event_store_failed,
               {{"key", key}, {"reason", failure.what()}});
}

void record_shard::impl::back_off()
{
    const auto begin = env.time.steady();
    const auto bound =
        std::min(env.timing.longest_backoff,
                 env.timing.first_backoff * (1 << std::min(failures, 6)));
    const auto end = begin + env.random->jitter(bound);
    const auto end_for_new_work =
        begin + env.random->jitter(
                    std::min(bound, env.timing.longest_backoff_for_new_work));
    for (auto now = begin; !queue.empty() && !abandoned.is_set();
         now = env.time.steady())
    {
        const bool new_work = std::ranges::any_of(
            queue, [&](const auto& commit)
            { return commit->deadline < now + new_work_deadline; });
        const auto until = new_work ? std::min(end, end_for_new_work) : end;
        if (now >= until)
            return;
        // New commits may arrive meanwhile, with an earlier deadline.
        wait_for(std::min<base::duration>(until - now, 20ms));
        expire(0ns);
    }
}

std::vector<commit_result>
record_shard::impl::stage(shard_batch& staged, std::vector<pending_ptr>& batch)
{
    batch.assign(queue.begin(), queue.end());
    std::vector<commit_result> results;
    results.reserve(batch.size());
    for (const auto& commit : batch)
        results.push_back(staged.apply(commit->identity, commit->change));
    return results;
}

/// Finishes the commits of a batch without writes. Returns whether the value
/// has to be read again first: a refusal counts only if the cache was current
/// after the commit began.
bool record_shard::impl::settle_refusals(std::vector<commit_result>& results)
{
    bool read_again = false;
    const auto batch = queue;
    for (std::size_t i = 0; i < batch.size() && i < results.size(); ++i)
    {
        auto& result = results[i];
        const bool final_record =
            result.current && is_ended(result.current->state);
        if (!final_record && confirmed_at < batch[i]->enqueued_at)
        {
            read_again = true;
            continue;
        }
        if (result.outcome == commit_outcome::refused && batch[i]->in_doubt &&
            result.current == batch[i]->attempted)
            result.outcome = commit_outcome::applied;
        finish(batch[i], std::move(result));
    }
    return read_again;
}

void record_shard::impl::write_once()
{
    std::unique_lock lock(store_mutex);
    if (!valid)
        load(env.time.steady() + env.timing.call_timeout);
    std::vector<pending_ptr> batch;
    auto staged = std::make_unique<shard_batch>(state, env.time.wall());
    auto results = stage(*staged, batch);
    if (!staged->has_writes())
    {
        if (settle_refusals(results))
            load(env.time.steady() + env.timing.call_timeout);
        return;
    }
    const auto delay = env.budget->take(env.time.steady());
    if (delay > 0ns)
    {
        wait_for(delay);
        if (abandoned.is_set())
            return;
        staged = std::make_unique<shard_batch>(state, env.time.wall());
        results = stage(*staged, batch);
    }
    send(batch, *staged, results);
}

void record_shard::impl::send(std::vector<pending_ptr>& batch,
                              shard_batch& staged,
                              std::vector<commit_result>& results)
{
    const auto start = env.time.steady();
    const auto value = staged.finish();
    provider::swap_result written;
    try
    {
        written = env.store.compare_and_swap(key, version, value,
                                             start + env.timing.call_timeout);
    }
    catch (const std::exception& failure)
    {
        valid = false;
        const auto* known = dynamic_cast<const base::error*>(&failure);
        const bool is_without_effect =
            known != nullptr && !known->effect_unknown();
        for (std::size_t i = 0; i < batch.size(); ++i)
        {
            if (is_without_effect ||
                results[i].outcome != commit_outcome::applied)
                continue;
            batch[i]->in_doubt = true;
            batch[i]->attempted = results[i].current;
        }
        throw;
    }
    if (written.outcome == provider::swap_outcome::conflict)
    {
        valid = false;
        version = std::max(version, written.version);
        expire(conflict_patience);
        wait_for(env.random->jitter(env.timing.conflict_backoff));
        return;
    }
    staged.merge_into(state);
    version = written.version;
    confirmed_at = start;
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        if (results[i].outcome == commit_outcome::full)
            log::write(event_shard_full, {{"key", key}});
        if (results[i].outcome == commit_outcome::refused &&
            batch[i]->in_doubt && results[i].current == batch[i]->attempted)
            results[i].outcome = commit_outcome::applied;
        finish(batch[i], std::move(results[i]));
    }
}

void record_shard::impl::run_writer()
{
    while (!queue.empty() && !abandoned.is_set())
    {
        try
        {
            write_once();
            if (failures > 0)
                log::write(event_store_recovered, {{"key", key}});
            failures = 0;
        }
        catch (const base::error& failure)
        {
            note_failure(failure);
            expire(0ns);
            back_off();
        }
        catch (const std::exception& failure)
        {
            valid = false;
            note_failure({base::error_code::internal, "write records", key,
                          failure.what()});
            expire(0ns);
            back_off();
        }
    }
    if (abandoned.is_set())
        expire(0ns);
    writing = false;
    changed.notify_all();
}

record_shard::record_shard(std::string key, shard_environment environment)
    : impl_(std::make_shared<impl>(std::move(key), std::move(environment)))
{
}

record_shard::~record_shard()
{
    abandon();
    impl_->fibers.join();
}

commit_result record_shard::commit(const base::work_identity& identity,
                                   record_change change,
                                   base::time_point deadline)
{
    const auto state = impl_;
    if (state->abandoned.is_set())
        return {};
    auto entry = std::make_shared<pending_commit>();
    entry->identity = identity;
    entry->change = std::move(change);
    entry->deadline = deadline;
    entry->enqueued_at = state->env.time.steady();
    state->queue.push_back(entry);
    if (!std::exchange(state->writing, true))
        state->fibers.spawn([raw = state.get()] { raw->run_writer(); });
    std::unique_lock lock(state->mutex);
    state->changed.wait(lock, [&] { return entry->finished; });
    return std::move(entry->result);
}

void record_shard::refresh(base::time_point deadline)
{
    const auto state = impl_;
    const auto asked_at = state->env.time.steady();
    std::unique_lock lock(state->store_mutex);
    // One read serves all fibers that waited for it.
    if (!state->valid || state->confirmed_at < asked_at)
        state->load(deadline);
}

bool record_shard::is_reachable() const
{
    return impl_->reachable;
}

std::optional<base::time_point> record_shard::confirmed_at() const
{
    return impl_->confirmed_at;
}

std::optional<record>
record_shard::find(const base::work_identity& identity) const
{
    const auto found = impl_->state.entries.find(identity);
    if (found == impl_->state.entries.end())
        return std::nullopt;
    return found->second->value;
}

std::optional<record> record_shard::find_job(const base::job_id& job) const
{
    for (const auto& [identity, entry] : impl_->state.entries)
        if (entry->value.kind == base::work_kind::job &&
            entry->value.job == job)
            return entry->value;
    return std::nullopt;
}

std::vector<record> record_shard::unended() const
{
    std::vector<record> found;
    for (const auto& [identity, entry] : impl_->state.entries)
        if (!is_ended(entry->value.state))
            found.push_back(entry->value);
    return found;
}

base::wall_time record_shard::horizon() const
{
    return impl_->state.horizon;
}

std::size_t record_shard::size() const
{
    return impl_->state.entries.size();
}

bool record_shard::drain(base::time_point deadline)
{
    const auto state = impl_;
    std::unique_lock lock(state->mutex);
    return state->changed.wait_until(
        lock, deadline,
        [&] { return !state->writing && state->queue.empty(); });
}

void record_shard::abandon()
{
    impl_->abandoned.set();
    if (!impl_->writing)
        impl_->expire(std::chrono::nanoseconds{0});
}

} // namespace pimentograde::records
