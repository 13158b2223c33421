#include "node/queue_world.hpp"

#include <algorithm>

namespace pimentograde::node_tests
{

namespace
{

constexpr std::size_t instance_count = 3;
constexpr std::size_t max_calls = 8;

} // namespace

queue_world::queue_world(std::uint64_t seed)
    : random_(seed), record_(node::queue_pools{}.encode()),
      instances_(instance_count)
{
    for (const char* pool : {"a", "b", "c"})
        owners_[pool] = std::nullopt;
    for (instance& one : instances_)
        synchronize(one);
}

bool queue_world::chance(int percent)
{
    return static_cast<int>(draw(100)) < percent;
}

std::size_t queue_world::draw(std::size_t count)
{
    return static_cast<std::size_t>(random_() % count);
}

platform::queue_route queue_world::route_to(const std::string& pool) const
{
    platform::queue_route route;
    route.host = "h";
    route.path_prefix = "/q/";
    route.policy.name = "queue";
    route.policy.pool = pool;
    return route;
}

platform::configuration
queue_world::configuration(std::int64_t version, const std::string& pool) const
{
    platform::configuration current;
    current.version = version;
    current.queues = {route_to(pool)};
    return current;
}

bool queue_world::has_job(const std::string& pool, const std::string& job) const
{
    const auto found = stored_jobs_.find(pool);
    return found != stored_jobs_.end() && found->second.contains(job);
}

bool queue_world::is_stored(const std::string& job) const
{
    return std::any_of(stored_jobs_.begin(), stored_jobs_.end(),
                       [&](const auto& pool)
                       { return pool.second.contains(job); });
}

std::size_t queue_world::accepted() const
{
    std::size_t count = 0;
    for (const auto& [pool, jobs] : stored_jobs_)
        count += jobs.size();
    return count;
}

void queue_world::step()
{
    if (has_faults_ && chance(5))
        move_queue();
    if (has_faults_)
        disturb();
    for (instance& one : instances_)
        if (!one.is_cut && (!has_faults_ || chance(50)))
            synchronize(one);
    run_owners();
    if (has_faults_ && calls_.size() < max_calls && chance(30))
        begin_call();
    for (call& one : calls_)
        if (!has_faults_ || chance(50))
            advance(one);
    std::erase_if(calls_,
                  [](const call& one) { return one.at == stage::ended; });
    check();
}

void queue_world::end_faults()
{
    has_faults_ = false;
    calls_.clear();
    for (instance& one : instances_)
        one.is_cut = false;
    for (auto& [pool, one] : owners_)
        if (one)
            one->denied.clear();
}

bool queue_world::accepts_at(std::size_t index)
{
    calls_.clear();
    call one;
    one.instance = index;
    one.process = instances_[index].process;
    one.job = "job" + std::to_string(jobs_++);
    calls_.push_back(one);
    for (int steps = 0; steps < 50 && !is_stored(one.job); ++steps)
        step();
    return is_stored(one.job);
}

void queue_world::move_queue()
{
    const char* const pools[] = {"a", "b", "c"};
    version_ += 1 + static_cast<std::int64_t>(draw(3));
    pool_ = pools[draw(3)];
}

void queue_world::disturb()
{
    for (std::size_t index = 0; index < instances_.size(); ++index)
    {
        instance& one = instances_[index];
        if (chance(one.is_cut ? 5 : 3))
            one.is_cut = !one.is_cut;
        if (chance(1))
            restart(index);
    }
    for (auto& [pool, one] : owners_)
        if (chance(3))
            one.reset();
}

void queue_world::restart(std::size_t index)
{
    instance& one = instances_[index];
    const int process = one.process + 1;
    one = {};
    one.process = process;
    for (auto& [pool, held] : owners_)
        if (held && held->instance == index)
            held.reset();
}

// The configuration and the record arrive one after the other.
void queue_world::synchronize(instance& one)
{
    if (!has_faults_ || chance(30))
        one.knowledge.read_record(node::queue_pools::decode(record_));
    if (!has_faults_ || chance(30))
    {
        one.version = version_;
        one.pool = pool_;
        one.knowledge.set_configuration(configuration(version_, pool_));
    }
    // A write reads the record first.
    if (one.version > 0 && (!has_faults_ || chance(30)))
    {
        one.knowledge.read_record(node::queue_pools::decode(record_));
        if (!one.knowledge.is_record_outdated())
            return;
        record_ = one.knowledge.next_record().encode();
        one.knowledge.read_record(node::queue_pools::decode(record_));
    }
}

void queue_world::run_owners()
{
    for (auto& [pool, held] : owners_)
    {
        if (!held)
        {
            const std::size_t index = draw(instances_.size());
            if (instances_[index].is_cut || (has_faults_ && !chance(20)))
                continue;
            held.emplace();
            held->instance = index;
            continue;
        }
        instance& one = instances_[held->instance];
        if (one.is_cut)
            continue;
        if (!held->has_jobs && chance(50))
        {
            held->jobs = stored_jobs_[pool];
            held->has_jobs = true;
        }
        if (!held->has_record && chance(50))
        {
            one.knowledge.read_record(node::queue_pools::decode(record_));
            held->has_record = true;
        }
        if (chance(40))
        {
            stored_jobs_[pool].insert(held->storing.begin(),
                                      held->storing.end());
            held->jobs.insert(held->storing.begin(), held->storing.end());
            held->storing.clear();
        }
    }
}

void queue_world::begin_call()
{
    call one;
    one.instance = draw(instances_.size());
    one.process = instances_[one.instance].process;
    // Most calls repeat an earlier one.
    if (jobs_ == 0 || chance(20))
        ++jobs_;
    const auto recent = static_cast<std::size_t>(std::min(jobs_, 4));
    one.job =
        "job" + std::to_string(jobs_ - 1 - static_cast<int>(draw(recent)));
    one.is_submission = chance(75);
    one.is_accepted = is_stored(one.job);
    calls_.push_back(one);
}

void queue_world::advance(call& one)
{
    // A submission that has left its sender may still arrive.
    if (one.at != stage::submitting &&
        instances_[one.instance].process != one.process)
        one.at = stage::ended;
    switch (one.at)
    {
    case stage::begun:
        begin(one);
        return;
    case stage::asking:
        ask(one);
        return;
    case stage::unowned:
        ask_store(one);
        return;
    case stage::submitting:
        submit(one);
        return;
    case stage::ended:
        return;
    }
}

void queue_world::begin(call& one)
{
    const instance& at = instances_[one.instance];
    if (at.version == 0)
        return;
    const platform::queue_route route = route_to(at.pool);
    one.stated = at.knowledge.newest(route);
    one.left_to_ask = at.knowledge.earlier_pools(route);
    if (!one.is_submission)
        one.left_to_ask.push_back(at.pool);
    else if (one.stated.pool != at.pool)
        return;
    one.at = one.left_to_ask.empty() ? stage::submitting : stage::asking;
}

queue_world::owner* queue_world::loaded_owner(const std::string& pool)
{
    auto& held = owners_[pool];
    return held && held->has_jobs && held->has_record ? &*held : nullptr;
}

queue_world::answer queue_world::owner_answer(owner& one,
                                              const std::string& /*pool*/,
                                              const call& asking)
{
    const bool is_up_to_date =
        instances_[one.instance].knowledge.adopt(asking.stated);
    if (one.jobs.contains(asking.job))
        return answer::found;
    if (one.storing.contains(asking.job))
        return answer::unavailable;
    // Some queries are cancellations.
    if (!asking.is_submission && chance(50))
        one.denied.insert(asking.job);
    return is_up_to_date ? answer::absent : answer::unavailable;
}

void queue_world::ask(call& one)
{
    const std::string pool = one.left_to_ask.back();
    owner* held = loaded_owner(pool);
    // The sender may not have heard of the owner yet.
    if (held != nullptr && !(has_faults_ && chance(15)))
    {
        const answer result = owner_answer(*held, pool, one);
        if (has_faults_ && chance(10))
            one.at = stage::ended;
        else
            note_answer(one, result);
        return;
    }
    if (instances_[one.instance].is_cut)
    {
        one.at = stage::ended;
        return;
    }
    // A submission goes on once the store shows that the pool has no owner.
    if (!owners_[pool] || !one.is_submission)
        one.at = stage::unowned;
}

void queue_world::ask_store(call& one)
{
    instance& at = instances_[one.instance];
    if (at.is_cut)
    {
        one.at = stage::ended;
        return;
    }
    const bool is_found = has_job(one.left_to_ask.back(), one.job);
    at.knowledge.read_record(node::queue_pools::decode(record_));
    if (is_found)
        note_answer(one, answer::found);
    else
        note_answer(one, at.knowledge.adopt(one.stated) ? answer::absent
                                                        : answer::unavailable);
}

void queue_world::note_answer(call& one, answer result)
{
    if (result != answer::absent)
    {
        one.at = stage::ended;
        return;
    }
    one.left_to_ask.pop_back();
    one.at = stage::asking;
    if (!one.left_to_ask.empty())
        return;
    one.at = one.is_submission ? stage::submitting : stage::ended;
    if (!one.is_submission && one.is_accepted)
        violation_ = one.job + " is denied though it was accepted";
}

void queue_world::submit(call& one)
{
    if (has_faults_ && chance(20))
    {
        // Lost, or late.
        if (chance(20))
            one.at = stage::ended;
        return;
    }
    owner* held = loaded_owner(one.stated.pool);
    if (held == nullptr)
    {
        if (has_faults_)
            one.at = stage::ended;
        return;
    }
    one.at = stage::ended;
    const bool is_assigned = instances_[held->instance].knowledge.is_assigned(
        one.stated, "queue", one.stated.pool);
    if (is_assigned && !held->jobs.contains(one.job) &&
        !held->denied.contains(one.job))
        held->storing.insert(one.job);
}

void queue_world::check()
{
    std::map<std::string, std::string> pools;
    for (const auto& [pool, jobs] : stored_jobs_)
        for (const std::string& job : jobs)
            if (const auto [found, is_new] = pools.emplace(job, pool); !is_new)
                violation_ = job + " was accepted in " + found->second +
                             " and in " + pool;
}

} // namespace pimentograde::node_tests
