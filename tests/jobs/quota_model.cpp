#include "jobs/quota_model.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr auto step_length = 50ms;
constexpr std::size_t pool_count = 3;
constexpr int workers_per_pool = 2;
constexpr int tasks_per_worker = 6;
constexpr std::int64_t millis_per_task = 1000;
constexpr auto longest_run = 1500ms;
constexpr auto late_call_time = 12s;
constexpr auto late_order_time = 13600ms;
constexpr auto max_orders_after_takeover = 3500ms;
constexpr auto config_apply_time = 3s;
// An owner learns of an increase under an older cap when it next reads the
// grants, so the last second is not used here: see docs/design/quotas.md.
constexpr auto longest_adoption = 2s;
constexpr const char* tenant = "tenant";

const jobs::resource_amount need{millis_per_task, 0, 0};

jobs::tenant_table tenants_with(std::int64_t cap)
{
    return {{tenant, {tenant, 1.0, {cap * millis_per_task, 0, 0}}}};
}

} // namespace

quota_model::quota_model(std::uint64_t seed, quota_odds odds,
                         quota_mechanisms kept)
    : random_(seed), odds_(odds), kept_(kept), pools_(pool_count)
{
    for (std::size_t index = 0; index < pool_count; ++index)
    {
        pool& target = pools_[index];
        target.name = "p" + std::to_string(index);
        for (int number = 0; number < workers_per_pool; ++number)
            target.workers.push_back(
                {target.name + "-w" + std::to_string(number), 0, {}});
        begin_owner(target);
    }
}

bool quota_model::chance(int odds)
{
    return static_cast<int>(random_() % 100) < odds;
}

base::duration quota_model::up_to(base::duration longest)
{
    return base::duration(static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(longest.count() + 1)));
}

void quota_model::begin_owner(pool& target)
{
    const bool is_first = target.owners.empty();
    if (!is_first)
        target.owners.back().orders_until =
            now_ + up_to(max_orders_after_takeover);
    target.role = next_revision_++;
    owner next;
    next.fence = target.role;
    next.share = std::make_unique<jobs::quota_share>(target.name);
    next.usage = std::make_unique<jobs::tenant_usage>();
    // An owner starts with a configuration.
    next.cap = cap_;
    next.share->set_tenants(tenants_with(cap_));
    for (const worker& entry : target.workers)
    {
        next.hears_at[entry.id] = is_first ? now_ : now_ + up_to(4s);
        if (!is_first && kept_.counts_unheard_workers)
            next.usage->hide(entry.id,
                             {tasks_per_worker * millis_per_task, 0, 0},
                             now_ + late_order_time);
    }
    target.owners.push_back(std::move(next));
}

void quota_model::step()
{
    now_ += step_length;
    for (pool& target : pools_)
        for (worker& entry : target.workers)
            std::erase_if(entry.running, [this](const live_run& run)
                          { return now_ >= run.ends_at; });
    std::vector<order> due;
    std::erase_if(orders_,
                  [&](const order& entry)
                  {
                      if (entry.at > now_)
                          return false;
                      due.push_back(entry);
                      return true;
                  });
    for (const order& entry : due)
        begin_run(entry);
    std::vector<write> arrived;
    std::erase_if(pending_,
                  [&](const write& entry)
                  {
                      if (entry.at > now_)
                          return false;
                      arrived.push_back(entry);
                      return true;
                  });
    for (const write& entry : arrived)
        carry_out(entry);
    change_cap();
    for (std::size_t index = 0; index < pools_.size(); ++index)
    {
        pool& target = pools_[index];
        if (busy_pool_ >= 0)
            target.waiting = index == static_cast<std::size_t>(busy_pool_)
                                 ? tasks_per_worker
                                 : 0;
        else if (chance(odds_.demand_change))
            target.waiting = static_cast<int>(random_() % 12);
        if (chance(odds_.takeover) && target.owners.size() == 1)
            begin_owner(target);
        std::erase_if(target.owners, [this](const owner& entry)
                      { return now_ >= entry.orders_until; });
        for (owner& acting : target.owners)
            act(index, acting);
    }
}

void quota_model::calm(std::size_t index)
{
    odds_ = {.answer_time = odds_.answer_time};
    busy_pool_ = static_cast<int>(index);
}

void quota_model::change_cap()
{
    if (!chance(odds_.cap_change) || now_ < earlier_cap_until_ + 5s)
        return;
    earlier_cap_ = cap_;
    earlier_cap_until_ = now_ + config_apply_time;
    cap_ = 4 + static_cast<std::int64_t>(random_() % 9);
    for (pool& target : pools_)
        for (owner& entry : target.owners)
            entry.adopts_at = now_ + up_to(longest_adoption);
}

std::int64_t quota_model::highest_cap() const
{
    return now_ < earlier_cap_until_ ? std::max(cap_, earlier_cap_) : cap_;
}

int quota_model::total() const
{
    int count = 0;
    for (std::size_t index = 0; index < pools_.size(); ++index)
        count += running_in(index);
    return count;
}

int quota_model::running_in(std::size_t index) const
{
    std::size_t count = 0;
    for (const worker& entry : pools_[index].workers)
        count += entry.running.size();
    return static_cast<int>(count);
}

quota_model::owner* quota_model::find_owner(std::size_t index,
                                            std::int64_t fence)
{
    for (owner& entry : pools_[index].owners)
        if (entry.fence == fence)
            return &entry;
    return nullptr;
}

void quota_model::act(std::size_t index, owner& acting)
{
    pool& target = pools_[index];
    if (now_ >= acting.adopts_at && acting.cap != cap_)
    {
        acting.cap = cap_;
        acting.share->set_tenants(tenants_with(cap_));
    }
    for (worker& entry : target.workers)
        if (now_ >= acting.hears_at[entry.id] && chance(60))
            hear(entry, acting);
    acting.usage->expire(now_);
    start_tasks(index, acting);
    use_store(index, acting);
}

// A worker that has heard a later owner refuses this one.
void quota_model::hear(worker& heard, owner& acting)
{
    if (heard.fence > acting.fence)
        return;
    heard.fence = acting.fence;
    acting.usage->note_heard(heard.id);
    for (const jobs::task_id& task : std::exchange(acting.known[heard.id], {}))
        acting.usage->end_run(heard.id, task);
    auto& late = acting.late[heard.id];
    for (const live_run& run : heard.running)
    {
        acting.usage->begin_run(heard.id, {run.task, tenant, need});
        acting.known[heard.id].push_back(run.task);
        std::erase_if(late, [&](const jobs::tenant_place& place)
                      { return place.task == run.task; });
    }
    if (kept_.counts_late_starts)
        acting.usage->set_late_starts(heard.id, late);
}

void quota_model::start_tasks(std::size_t index, owner& acting)
{
    pool& target = pools_[index];
    acting.share->begin_plan(
        {workers_per_pool * tasks_per_worker * millis_per_task, 0, 0});
    // Jobs go to the present owner; some earlier ones have jobs left.
    const bool has_jobs = acting.fence == target.role || acting.fence % 2 == 0;
    for (int count = has_jobs ? target.waiting : 0; count > 0; --count)
    {
        if (!acting.share->may_start(tenant, *acting.usage, need, 1))
        {
            acting.share->note_held_back(tenant, need, count);
            return;
        }
        const std::size_t number = random_() % target.workers.size();
        worker& chosen = target.workers[number];
        if (now_ < acting.hears_at[chosen.id] ||
            acting.known[chosen.id].size() >= tasks_per_worker)
            continue;
        const jobs::task_id task{"j", 0, 0, next_task_++};
        order sent{index, number, task, acting.fence, now_};
        if (chance(odds_.late_start))
        {
            sent.at = now_ + up_to(late_call_time);
            orders_.push_back(sent);
            acting.late[chosen.id].push_back(
                {task, tenant, need, now_ + late_order_time});
            if (kept_.counts_late_starts)
                acting.usage->set_late_starts(chosen.id,
                                              acting.late[chosen.id]);
            continue;
        }
        acting.usage->begin_run(chosen.id, {task, tenant, need});
        acting.known[chosen.id].push_back(task);
        begin_run(sent);
    }
}

void quota_model::begin_run(const order& due)
{
    worker& target = pools_[due.pool].workers[due.worker];
    if (due.fence < target.fence)
        return;
    target.fence = due.fence;
    target.running.push_back(
        {due.task, now_ + 200ms + up_to(longest_run - 200ms)});
    ++started_;
    excess_ = std::max(excess_, total() - static_cast<int>(highest_cap()));
}

void quota_model::use_store(std::size_t index, owner& acting)
{
    const pool& target = pools_[index];
    // An earlier owner may not know yet that it has lost the pool.
    if (acting.fence != target.role && kept_.checks_owner)
        return;
    const jobs::quota_actions actions =
        acting.share->decide(now_, *acting.usage);
    if (!actions.reads.empty())
    {
        if (chance(odds_.lost_answer))
            acting.share->note_unread(tenant, now_);
        else
            acting.share->note_stored(tenant, revision_, stored_, now_);
    }
    for (const jobs::quota_write& change : actions.writes)
    {
        ++writes_;
        write sent{index, acting.fence, change, now_};
        if (!kept_.raises_when_stored)
            acting.share->note_stored(tenant, change.expected_revision,
                                      change.record, now_);
        if (!kept_.lowers_before_sending)
            acting.share->note_not_written(tenant, now_);
        if (chance(odds_.late_write))
        {
            sent.at = now_ + up_to(late_call_time);
            sent.is_awaited = false;
            pending_.push_back(sent);
            acting.share->note_unanswered(tenant, now_);
            continue;
        }
        sent.is_answered = !chance(odds_.lost_answer);
        sent.at = now_ + up_to(odds_.answer_time);
        pending_.push_back(sent);
    }
}

void quota_model::carry_out(write due)
{
    if (!due.has_arrived)
    {
        const bool holds =
            (due.fence == pools_[due.pool].role || !kept_.checks_owner) &&
            (due.change.expected_revision == revision_ ||
             !kept_.checks_revision);
        if (holds)
        {
            stored_ = due.change.record;
            revision_ = next_revision_++;
        }
        due.has_arrived = true;
        due.shown = stored_;
        due.shown_revision = revision_;
        due.at = now_ + up_to(odds_.answer_time);
        if (due.is_awaited)
            pending_.push_back(due);
        return;
    }
    owner* sender = find_owner(due.pool, due.fence);
    if (sender == nullptr)
        return;
    if (due.is_answered)
        sender->share->note_stored(tenant, due.shown_revision, due.shown, now_);
    else
        sender->share->note_unanswered(tenant, now_);
}

} // namespace pimentograde::tests
