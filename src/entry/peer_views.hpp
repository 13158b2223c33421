#ifndef PIMENTOGRADE_ENTRY_PEER_VIEWS_HPP
#define PIMENTOGRADE_ENTRY_PEER_VIEWS_HPP

#include "base/strong_id.hpp"
#include "peer/messages.hpp"

#include <map>
#include <set>
#include <vector>

namespace pimentograde::entry
{

/// What each other member last said of itself in a heartbeat.
class peer_views
{
public:
    /// Changes of the leaving-worker hints that a heartbeat caused.
    struct hint_changes
    {
        std::vector<peer::worker_hint> present;
        /// Workers that no member names any more.
        std::vector<base::worker_id> ended;
    };

    hint_changes heard(const peer::heartbeat& beat);
    /// Returns the workers that no member names any more.
    std::vector<base::worker_id> drop(const base::member_id& member);

    [[nodiscard]] const std::map<base::member_id, peer::heartbeat>&
    heartbeats() const
    {
        return heartbeats_;
    }

private:
    [[nodiscard]] bool is_hinted(const base::worker_id& worker) const;

    std::map<base::member_id, peer::heartbeat> heartbeats_;
};

} // namespace pimentograde::entry

#endif
