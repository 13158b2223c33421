#ifndef PIMENTOGRADE_NODE_FORWARDED_JOBS_HPP
#define PIMENTOGRADE_NODE_FORWARDED_JOBS_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace pimentograde::node
{

/// Submissions that this instance has forwarded to owners of pools within the
/// retention time. Tells a first submission from a repeated one while neither
/// the owner nor the store can be asked. Queues are named by host and path
/// prefix, since the queue's pool may change between the two.
class forwarded_jobs
{
public:
    /// Without `has_predecessor`, no earlier process of this instance can have
    /// forwarded anything.
    forwarded_jobs(bool has_predecessor, base::time_point now);

    /// A submission is about to be forwarded.
    void note_forwarded(std::string_view queue, std::string_view job,
                        base::time_point now);
    /// It had no effect. To be called once for each `note_forwarded`.
    void note_refused(std::string_view queue, std::string_view job);
    /// `tenant` is the caller's; empty where none applies.
    void note_accepted(std::string_view queue, std::string_view job,
                       std::string_view tenant);
    /// Another instance has left, with what it remembered.
    void note_member_left(const std::string& name, std::uint64_t incarnation,
                          base::time_point now);
    /// The process of an instance that seemed to have left is back, for example
    /// after an outage of the store.
    void note_member_present(const std::string& name,
                             std::uint64_t incarnation);

    [[nodiscard]] bool contains(std::string_view queue, std::string_view job,
                                base::time_point now) const;
    /// Whether a submission by a caller of the tenant was accepted.
    [[nodiscard]] bool is_accepted(std::string_view queue, std::string_view job,
                                   std::string_view tenant,
                                   base::time_point now) const;
    /// Whether nothing has been forgotten that instances which have ended, or
    /// this one, have forwarded.
    [[nodiscard]] bool is_complete(base::time_point now) const;

    /// A caller waits for at most 10 s before it repeats a submission.
    static constexpr std::chrono::seconds retention{15};
    static constexpr std::size_t max_jobs = 20'000;

private:
    struct entry
    {
        /// Submissions that have been forwarded and may have had an effect.
        int forwarded = 0;
        std::set<std::string, std::less<>> accepted_for;
        base::time_point latest{};
    };

    [[nodiscard]] const entry* find(std::string_view queue,
                                    std::string_view job,
                                    base::time_point now) const;
    void drop_expired(base::time_point now);

    std::map<std::string, entry, std::less<>> jobs_;
    struct departure
    {
        std::uint64_t incarnation = 0;
        base::time_point at{};
    };

    std::map<std::string, departure> left_;
    base::time_point incomplete_until_;
    base::time_point next_drop_{};
};

} // namespace pimentograde::node

#endif
