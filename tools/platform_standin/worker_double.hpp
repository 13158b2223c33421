#ifndef PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_WORKER_DOUBLE_HPP
#define PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_WORKER_DOUBLE_HPP

#include "base/time.hpp"
#include "net/http_message.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pimentograde::platform_standin
{

/// Calls that a worker leaves without an answer and carries out later, also as
/// its next incarnation.
struct late_calls
{
    /// This many of 100 starts and polls, drawn from `seed`.
    int starts = 0;
    int polls = 0;
    /// The connections of this many of 100 late calls are cut on arrival.
    int cut = 0;
    /// The next calls of the kind are late, whatever is drawn.
    int next_starts = 0;
    int next_polls = 0;
    /// Polls that acknowledge ends.
    int next_acknowledgements = 0;
    /// Polls that extend the lease.
    int next_extensions = 0;
    base::duration from = std::chrono::seconds(2);
    base::duration to = std::chrono::seconds(12);
    /// The time given by `UntilMs` is counted anew when the call is carried
    /// out; otherwise it stays a time on the worker's clock.
    bool is_time_counted_anew = false;
    std::uint64_t seed = 1;
};

/// A run that has begun at a worker.
struct run_record
{
    std::string task;
    int run = 0;
    std::string worker;
    std::int64_t born_ms = 0;
    std::int64_t fence = 0;
    base::time_point began;
    /// Unset while it runs.
    std::optional<base::time_point> ended;
    /// As listed; `lost` when the worker has started again.
    std::string how;
    /// When `LastSeen` reached its end, unless the lease lapsed between.
    std::optional<base::time_point> acknowledged;
    bool has_lapsed_since = false;
    /// The start order was left without an answer.
    bool was_late = false;
};

/// A test double of a worker, by the platform's published protocol. Tasks run
/// for a fixed time and then end as `outcome` says.
class worker_double
{
public:
    worker_double(std::string id, base::duration task_time);

    net::http_response handle(const net::http_request& request);
    /// Forgets all it knows, as after a crash.
    void restart();
    /// Makes it older, as if it had started before; call before its first use.
    void age(base::duration length) { began_ -= length; }
    /// Brings runs and lease up to the present time.
    void refresh() { advance(base::steady_now()); }
    /// Carries out no more late calls, so that its server can end.
    void end();

    /// Sends no answers while set.
    bool is_silent = false;
    /// Sends no answers to callers with a higher fence than this, as if they
    /// were cut off; 0 answers all.
    std::int64_t highest_reachable_fence = 0;
    /// Calls that acknowledge ends and arrive while this is set get no answer.
    /// They are carried out once it is no longer set.
    bool delays_acknowledgements = false;
    /// Acknowledging calls that wait for that.
    int delayed = 0;
    /// Answers carry bytes that are not the protocol's; nothing is done.
    bool is_garbled = false;
    std::string outcome = "done";
    late_calls late;
    /// Cuts the connections to it, if it can be done.
    std::function<void()> cut_connections;
    /// Longer leases are shortened to this; zero for no limit.
    base::duration longest_lease{};
    /// Runs in the order of their begin, over all lives.
    std::vector<run_record> records;
    /// Calls that were left without an answer.
    int late_count = 0;
    /// Those of them that are not carried out yet.
    int late_pending = 0;
    /// Starts seen for each task, over all lives.
    std::map<std::string, int> starts;
    /// Runs of each task that ended as done, over all lives.
    std::map<std::string, int> completions;
    /// Stop orders that were carried out.
    int stops = 0;
    /// Polls that have extended the lease.
    int extensions = 0;
    /// Calls that reached it.
    int calls = 0;
    /// Tasks of which two runs were told to run at once here.
    int fenced_off = 0;
    [[nodiscard]] std::size_t running_count() const { return running_.size(); }
    [[nodiscard]] std::int64_t born_ms() const { return born_ms_; }
    [[nodiscard]] const std::string& id() const { return id_; }

private:
    struct run
    {
        int number = 0;
        base::time_point began;
        bool lasts = false;
        std::size_t record = 0;
    };
    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t record = 0;
    };

    void advance(base::time_point now);
    void finish(const std::string& task, const std::string& how,
                base::time_point at);
    [[nodiscard]] base::time_point lease_end() const;
    void extend_lease(std::int64_t until_ms, base::time_point now);
    [[nodiscard]] bool draw(int share);
    [[nodiscard]] bool is_late(const std::string& target,
                               const boost::json::object& body);
    /// Waits, and moves the call's time if it is counted anew. Returns whether
    /// the call is still to be carried out.
    bool delay(boost::json::object& body);
    net::http_response carry_out(const std::string& target,
                                 const boost::json::object& body,
                                 bool was_late);
    void delay_acknowledgement(const boost::json::object& body);
    net::http_response start(const boost::json::object& body,
                             base::time_point now, bool was_late);
    net::http_response stop(const boost::json::object& body,
                            base::time_point now);
    net::http_response list(const boost::json::object& body,
                            base::time_point now);
    [[nodiscard]] std::int64_t clock(base::time_point now) const;
    [[nodiscard]] net::http_response conflict(const char* reason,
                                              base::time_point now) const;

    std::string id_;
    base::duration task_time_;
    std::int64_t born_ms_ = 1'000;
    base::time_point began_;
    std::int64_t fence_ = 0;
    std::int64_t lease_until_ms_ = 0;
    std::map<std::string, run> running_;
    std::map<std::string, int> refused_up_to_;
    std::vector<ended_run> ended_;
    std::int64_t last_end_ = 0;
    int garbled_ = 0;
    std::mt19937_64 random_;
    std::uint64_t random_seed_ = 0;
    bool is_ending_ = false;
};

} // namespace pimentograde::platform_standin

#endif
