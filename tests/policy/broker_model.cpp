#include "policy/broker_model.hpp"

#include <algorithm>

namespace pimentograde::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots_per_worker = 2;
constexpr std::uint32_t worker_count = 4;
// At least one in 8 grants goes to batch (design, section 5).
constexpr std::uint32_t batch_interval = 8;
const std::map<std::string, std::uint32_t> quotas{{"a", 4}, {"b", 2}, {"c", 1}};

std::string department_of(std::uint32_t event)
{
    return std::string(1, static_cast<char>('a' + event % 3));
}

} // namespace

broker_model::broker_model(const broker_factory& make, std::string wanted)
    : broker_(make()), wanted_(std::move(wanted))
{
    for (std::uint32_t index = 0; index < worker_count; ++index)
    {
        const base::worker_id id("w" + std::to_string(index));
        workers_[id] = {id, {4, 100, 0}, slots_per_worker, true};
    }
    publish_workers();
}

void broker_model::publish_workers()
{
    std::vector<policy::broker_worker> present;
    for (const auto& [id, worker] : workers_)
        if (!absent_.contains(id))
            present.push_back(worker);
    broker_->set_workers(present);
}

void broker_model::fail(const std::string& cause)
{
    if (!violation_ && cause.find(wanted_) != std::string::npos)
        violation_ = cause;
}

std::optional<std::string> broker_model::run(const history& events)
{
    for (const auto event : events)
    {
        step(event);
        if (violation_)
            return violation_;
    }
    return std::nullopt;
}

void broker_model::step(std::uint32_t event)
{
    const auto detail = event / 32;
    const auto kind = event % 32;
    if (kind < 16)
        submit(detail);
    else if (kind < 25)
        release(detail, policy::slot_outcome::succeeded);
    else if (kind == 25)
        release(detail, policy::slot_outcome::worker_full);
    else if (kind == 26)
        toggle_accepting(detail);
    else if (kind == 27)
        toggle_present(detail);
    else if (kind == 28)
        drop(detail);
    else
        pass_time(std::chrono::milliseconds{detail % 200});
    apply_decisions();
}

void broker_model::submit(std::uint32_t event)
{
    policy::slot_request request;
    request.department = base::department_name(department_of(event));
    request.urgency =
        (event / 3) % 2 == 0 ? base::priority::urgent : base::priority::batch;
    request.queue = base::queue_name(
        request.department.str() +
        (request.urgency == base::priority::urgent ? "-urgent" : "-batch"));
    request.pool = base::pool_name("p");
    request.size = {1, 10, 0};
    request.deadline = now_ + 2s;
    request.id = "r" + std::to_string(next_id_++);
    if ((event / 6) % 8 == 0)
        request.excluded.emplace_back(
            "w" + std::to_string((event / 48) % worker_count));
    const base::member_id member("m" + std::to_string((event / 192) % 3));
    const waiting entry{request, member};
    const auto result = broker_->submit(request, member, now_);
    if (result.decision)
        apply(entry, *result.decision);
    else
        waiting_[result.ticket] = entry;
}

void broker_model::release(std::uint32_t event, policy::slot_outcome outcome)
{
    if (held_.empty())
        return;
    const auto chosen = std::next(
        held_.begin(), static_cast<std::ptrdiff_t>(event % held_.size()));
    const auto entry = chosen->second;
    held_.erase(chosen);
    --used_[entry.grant.worker];
    department_used_[entry.request.department] -= 1;
    full_until_.erase(entry.grant.worker);
    if (outcome == policy::slot_outcome::worker_full)
        full_until_[entry.grant.worker] =
            now_ + policy::worker_table::full_pause;
    broker_->release(entry.grant, outcome, now_);
}

void broker_model::toggle_accepting(std::uint32_t event)
{
    const base::worker_id id("w" + std::to_string(event % worker_count));
    auto& worker = workers_[id];
    worker.accepting = !worker.accepting;
    broker_->set_accepting(id, worker.accepting);
}

void broker_model::toggle_present(std::uint32_t event)
{
    const base::worker_id id("w" + std::to_string(event % worker_count));
    if (absent_.erase(id) == 0)
        absent_.insert(id);
    full_until_.erase(id);
    publish_workers();
}

void broker_model::drop(std::uint32_t event)
{
    const base::member_id member("m" + std::to_string(event % 3));
    std::erase_if(waiting_, [&](const auto& entry)
                  { return entry.second.member == member; });
    for (auto entry = held_.begin(); entry != held_.end();)
    {
        if (entry->second.member != member)
        {
            ++entry;
            continue;
        }
        --used_[entry->second.grant.worker];
        full_until_.erase(entry->second.grant.worker);
        department_used_[entry->second.request.department] -= 1;
        entry = held_.erase(entry);
    }
    broker_->drop_member(member, now_);
}

void broker_model::pass_time(base::duration length)
{
    now_ += length;
}

void broker_model::apply_decisions()
{
    for (const auto& event : broker_->advance(now_))
    {
        const auto entry = waiting_.find(event.ticket);
        if (entry == waiting_.end())
            return fail("a decision for a request that does not wait");
        const auto decided = entry->second;
        waiting_.erase(entry);
        apply(decided, event.decision);
    }
}

void broker_model::apply(const waiting& entry,
                         const policy::slot_decision& decision)
{
    if (!decision.grant)
        return;
    check_grant(entry, *decision.grant);
    const bool batch_waits = std::any_of(
        waiting_.begin(), waiting_.end(),
        [](const auto& other)
        { return other.second.request.urgency == base::priority::batch; });
    const bool urgent = entry.request.urgency == base::priority::urgent;
    consecutive_urgent_grants_ =
        urgent && batch_waits ? consecutive_urgent_grants_ + 1 : 0;
    ++used_[decision.grant->worker];
    department_used_[entry.request.department] += 1;
    held_[decision.grant->id] = {*decision.grant, entry.request, entry.member};
}

bool broker_model::allows_worker(const waiting& entry,
                                 const base::worker_id& worker) const
{
    const auto& excluded = entry.request.excluded;
    return std::find(excluded.begin(), excluded.end(), worker) ==
           excluded.end();
}

double broker_model::share(const base::department_name& department) const
{
    const auto used = department_used_.find(department);
    const double slots = used == department_used_.end() ? 0 : used->second;
    return slots / quotas.at(department.str());
}

void broker_model::check_grant(const waiting& entry,
                               const policy::slot_grant& grant)
{
    if (used_[grant.worker] >= slots_per_worker)
        fail("more grants than slots on " + grant.worker.str());
    if (absent_.contains(grant.worker) || !workers_[grant.worker].accepting)
        fail("grant on a worker that left");
    if (!allows_worker(entry, grant.worker))
        fail("grant on an excluded worker");
    const auto full = full_until_.find(grant.worker);
    if (full != full_until_.end() && now_ < full->second)
        fail("grant on a worker that just refused as full");
    if (entry.request.deadline <= now_)
        fail("grant after the deadline");
    check_priority(entry, grant);
    check_share(entry, grant);
}

void broker_model::check_priority(const waiting& entry,
                                  const policy::slot_grant& grant)
{
    const auto other = entry.request.urgency == base::priority::urgent
                           ? base::priority::batch
                           : base::priority::urgent;
    const bool other_waits =
        std::any_of(waiting_.begin(), waiting_.end(),
                    [&](const auto& candidate)
                    {
                        return candidate.second.request.urgency == other &&
                               candidate.second.request.deadline > now_ &&
                               allows_worker(candidate.second, grant.worker);
                    });
    const bool batch_due = consecutive_urgent_grants_ + 1 >= batch_interval;
    if (!other_waits)
        return;
    if (other == base::priority::urgent && !batch_due)
        fail("batch granted while urgent work waited");
    if (other == base::priority::batch && batch_due)
        fail("batch got less than one in 8 grants");
}

void broker_model::check_share(const waiting& entry,
                               const policy::slot_grant& grant)
{
    for (const auto& [ticket, other] : waiting_)
        if (other.request.urgency == entry.request.urgency &&
            other.request.deadline > now_ &&
            allows_worker(other, grant.worker) &&
            share(other.request.department) < share(entry.request.department))
            fail("department " + other.request.department.str() +
                 " waited with a smaller share of its quota");
}

} // namespace pimentograde::tests
