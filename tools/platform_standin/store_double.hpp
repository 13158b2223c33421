#ifndef PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_STORE_DOUBLE_HPP
#define PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_STORE_DOUBLE_HPP

#include "base/time.hpp"
#include "net/http_message.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentograde::platform_standin
{

/// How the store misbehaves.
struct store_faults
{
    /// Every call is answered with 503.
    bool is_down = false;
    /// No call is answered, nor carried out.
    bool is_silent = false;
    /// Commits take effect, and their answers are lost, this often in 100.
    int lost_commits = 0;
    /// Answers of writes and renewals are lost this often in 100, drawn from
    /// `loss_seed`. The calls take effect after `late_from` to `late_to`.
    int lost_writes = 0;
    std::uint64_t loss_seed = 1;
    base::duration late_from{};
    base::duration late_to{};
    /// Answers carry bytes that are not the protocol's.
    bool is_garbled = false;
    /// Commits that remove this key are answered with 503 and not carried out.
    std::string kept_key;
    /// Commits take effect this long after they arrive.
    base::duration commit_delay{};
    /// Commits are answered this long after they took effect.
    base::duration commit_answer_delay{};
    /// Every call takes this long; watches do not.
    base::duration answer_delay{};
    /// Listings of workers take this long.
    base::duration worker_listing_delay{};
    /// Watches of this prefix are told of no change.
    std::string silent_watch{};
    /// Watches are told that the history is gone.
    bool is_compacted = false;
};

/// A test double of the platform's metadata store, by its published protocol.
class store_double
{
public:
    net::http_response handle(const net::http_request& request);
    /// What the operator or a worker writes.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Ends all leases, as after holders that were suspended too long.
    void end_leases();
    /// Empty when there is no such key.
    [[nodiscard]] std::string value_of(const std::string& key) const;
    /// Revision of the key's last change; 0 when there is no such key.
    [[nodiscard]] std::int64_t revision_of(const std::string& key) const;
    /// How often the key was written or removed.
    [[nodiscard]] std::int64_t changes_of(const std::string& key) const;
    [[nodiscard]] std::vector<std::string>
    keys_under(const std::string& prefix) const;
    store_faults faults;

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change
    {
        std::int64_t revision = 0;
        std::string key;
        bool is_deleted = false;
    };
    struct lease
    {
        base::duration length{};
        base::time_point ends;
    };

    void expire(base::time_point now);
    void write(const std::string& key, const std::string& value,
               std::int64_t lease_id, std::int64_t revision);
    void erase(const std::string& key, std::int64_t revision);
    [[nodiscard]] boost::json::object to_json(const std::string& key) const;
    net::http_response handle_write(const net::http_request& request,
                                    const std::string& path);
    /// Returns whether the answer of the next write is lost.
    bool draw_loss();
    net::http_response read_key(const net::http_request& request);
    net::http_response read_range(const net::http_request& request);
    net::http_response watch(const net::http_request& request);
    net::http_response commit(const boost::json::object& body);
    net::http_response grant(const boost::json::object& body);
    net::http_response keep(std::int64_t id);

    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 100;
    int commits_ = 0;
    std::uint64_t draws_ = 0;
    int garbled_ = 0;
};

/// The value of a query parameter, decoded; empty when missing.
std::string query_value(const net::http_request& request,
                        const std::string& name);
/// A body that is not what the protocol says; cycles through several kinds.
std::string garbled_body(int number);
net::http_response json_answer(unsigned status,
                               const boost::json::object& body = {});

} // namespace pimentograde::platform_standin

#endif
