#ifndef PIMENTOGRADE_ROLLOUT_DOCUMENT_SERVICE_IMPL_HPP
#define PIMENTOGRADE_ROLLOUT_DOCUMENT_SERVICE_IMPL_HPP

// Shared by the two translation units of `document_service` only.

#include "base/random_source.hpp"
#include "net/task_group.hpp"
#include "rollout/document_service.hpp"

namespace pimentograde::rollout
{

/// Time for one call to another member.
inline constexpr std::chrono::seconds document_call_limit{1};

struct document_service::impl
{
    struct entry
    {
        versioned_document* document = nullptr;
        std::string store_key;
        version_reader version;
        std::uint64_t seen_store_version = 0;
        bool fetching = false;
    };

    provider::kv_operations store;
    document_calls calls;
    std::function<base::time_point()> clock;
    std::function<void()> cancel_watch;
    std::vector<entry> documents;
    base::random_source random;
    base::time_point last_observed;
    base::time_point last_contact;
    /// Number of pauses; a synchronisation counts only without one in between.
    std::uint64_t pauses = 0;
    bool resuming = false;
    bool probing = false;
    bool watch_works = true;
    bool in_contact = true;
    net::stop_signal stopping;
    net::task_group fetches;
    net::task_group fibers;

    entry& find(std::string_view name);
    void observe(base::time_point now);
    void contacted(base::time_point now);
    void offer(entry& target, const provider::kv_entry& stored);
    bool read_store(base::time_point deadline);
    bool fetch(entry& target, const base::member_id& member,
               base::time_point deadline);
    void fetch_newer(const base::member_id& member, std::string_view name,
                     std::uint64_t version);
    bool synchronise(base::time_point deadline);
    void watch_once(base::time_point deadline);
    void watch_loop();
    void keep_watching();
    void report_watch(bool works, std::string_view reason);
    void tick_loop();
    void probe(base::time_point now);
};

} // namespace pimentograde::rollout

#endif
