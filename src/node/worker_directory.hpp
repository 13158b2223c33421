#ifndef PIMENTOGRADE_NODE_WORKER_DIRECTORY_HPP
#define PIMENTOGRADE_NODE_WORKER_DIRECTORY_HPP

#include "base/time.hpp"
#include "jobs/worker_view.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// The workers that the store lists, and those that left the list lately.
class worker_directory
{
public:
    static std::string_view prefix();

    void apply_listing(std::span<const platform::store_item> items,
                       base::time_point now);
    void apply_changes(std::span<const platform::store_event> events,
                       base::time_point now);

    [[nodiscard]] std::vector<jobs::worker_description>
    workers_of(std::string_view pool) const;
    /// Workers of the pool that left less than `departure_memory` ago.
    [[nodiscard]] std::vector<jobs::worker_description>
    departed_of(std::string_view pool, base::time_point now) const;
    /// Whether the list has been followed for `departure_memory`.
    [[nodiscard]] bool is_complete(base::time_point now) const;

private:
    struct departure
    {
        jobs::worker_description worker;
        base::time_point at;
    };

    void apply_item(const platform::store_item& item, base::time_point now);
    void remove(std::string_view id, base::time_point now);

    std::map<std::string, jobs::worker_description, std::less<>> workers_;
    std::vector<departure> departures_;
    base::time_point followed_since_{};
    bool is_followed_ = false;
};

} // namespace pimentograde::node

#endif
