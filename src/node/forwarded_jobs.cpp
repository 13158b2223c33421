#include "node/forwarded_jobs.hpp"

#include <algorithm>

namespace pimentograde::node
{

namespace
{

constexpr std::chrono::seconds drop_interval{1};

std::string key_of(std::string_view queue, std::string_view job)
{
    return std::string(queue).append("/").append(job);
}

} // namespace

forwarded_jobs::forwarded_jobs(bool has_predecessor, base::time_point now)
    : incomplete_until_(has_predecessor ? now + retention : now)
{
}

void forwarded_jobs::note_forwarded(std::string_view queue,
                                    std::string_view job, base::time_point now)
{
    drop_expired(now);
    std::string key = key_of(queue, job);
    if (jobs_.size() >= max_jobs && !jobs_.contains(key))
    {
        incomplete_until_ = now + retention;
        return;
    }
    entry& known = jobs_[std::move(key)];
    ++known.forwarded;
    known.latest = now;
}

void forwarded_jobs::note_refused(std::string_view queue, std::string_view job)
{
    const auto found = jobs_.find(key_of(queue, job));
    if (found != jobs_.end() && --found->second.forwarded <= 0)
        jobs_.erase(found);
}

void forwarded_jobs::note_accepted(std::string_view queue, std::string_view job,
                                   std::string_view tenant)
{
    const auto found = jobs_.find(key_of(queue, job));
    if (found != jobs_.end())
        found->second.accepted_for.emplace(tenant);
}

void forwarded_jobs::note_member_left(const std::string& name,
                                      std::uint64_t incarnation,
                                      base::time_point now)
{
    std::erase_if(left_, [now](const auto& item)
                  { return now - item.second.at >= retention; });
    left_[name] = {incarnation, now};
}

void forwarded_jobs::note_member_present(const std::string& name,
                                         std::uint64_t incarnation)
{
    const auto found = left_.find(name);
    if (found != left_.end() && incarnation != 0 &&
        found->second.incarnation == incarnation)
        left_.erase(found);
}

const forwarded_jobs::entry* forwarded_jobs::find(std::string_view queue,
                                                  std::string_view job,
                                                  base::time_point now) const
{
    const auto found = jobs_.find(key_of(queue, job));
    return found == jobs_.end() || now - found->second.latest > retention
               ? nullptr
               : &found->second;
}

bool forwarded_jobs::contains(std::string_view queue, std::string_view job,
                              base::time_point now) const
{
    return find(queue, job, now) != nullptr;
}

bool forwarded_jobs::is_accepted(std::string_view queue, std::string_view job,
                                 std::string_view tenant,
                                 base::time_point now) const
{
    const entry* known = find(queue, job, now);
    return known != nullptr && known->accepted_for.contains(tenant);
}

bool forwarded_jobs::is_complete(base::time_point now) const
{
    return now >= incomplete_until_ &&
           std::none_of(left_.begin(), left_.end(),
                        [now](const auto& item)
                        { return now - item.second.at < retention; });
}

void forwarded_jobs::drop_expired(base::time_point now)
{
    if (now < next_drop_)
        return;
    next_drop_ = now + drop_interval;
    std::erase_if(jobs_, [now](const auto& item)
                  { return now - item.second.latest > retention; });
}

} // namespace pimentograde::node
