#ifndef PIMENTOGRADE_TESTS_NODE_QUEUE_WORLD_HPP
#define PIMENTOGRADE_TESTS_NODE_QUEUE_WORLD_HPP

#include "node/queue_knowledge.hpp"
#include "peer/pool_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::node_tests
{

/// Instances that take in jobs of one queue while its pool changes, in steps
/// drawn from a seed. Instances are cut off from the store and restarted,
/// owners are replaced, and calls between instances arrive late or never. The
/// decisions are those of `node::queue_knowledge`; the rest follows
/// `pool_gateway`, `owned_pools` and `pools::pool_owner`.
class queue_world
{
public:
    explicit queue_world(std::uint64_t seed);

    void step();
    /// Nothing fails from now on, and the queue stays where it is.
    void end_faults();
    /// Submits a new job at an instance and steps until it is decided on.
    /// Returns whether it was accepted.
    bool accepts_at(std::size_t instance);

    /// Empty if no rule has been broken.
    [[nodiscard]] const std::string& violation() const { return violation_; }
    /// Number of jobs accepted so far.
    [[nodiscard]] std::size_t accepted() const;
    [[nodiscard]] std::size_t instances() const { return instances_.size(); }

private:
    struct instance
    {
        node::queue_knowledge knowledge;
        std::int64_t version = 0;
        std::string pool;
        bool is_cut = false;
        /// Calls of an earlier process have ended.
        int process = 0;
    };
    struct owner
    {
        std::size_t instance = 0;
        int process = 0;
        bool has_jobs = false;
        bool has_record = false;
        std::set<std::string> jobs;
        /// Accepted, and not stored yet.
        std::set<std::string> storing;
        std::set<std::string> denied;
    };
    enum class stage
    {
        begun,
        asking,
        /// The store has shown that the pool has no owner.
        unowned,
        submitting,
        ended
    };
    struct call
    {
        std::size_t instance = 0;
        int process = 0;
        std::string job;
        /// Otherwise a query of the job's state.
        bool is_submission = true;
        /// The job was accepted before the query.
        bool is_accepted = false;
        stage at = stage::begun;
        peer::queue_assignment stated;
        std::vector<std::string> left_to_ask;
    };
    enum class answer
    {
        found,
        absent,
        unavailable
    };

    bool chance(int percent);
    std::size_t draw(std::size_t count);
    [[nodiscard]] platform::queue_route route_to(const std::string& pool) const;
    [[nodiscard]] platform::configuration
    configuration(std::int64_t version, const std::string& pool) const;
    [[nodiscard]] bool has_job(const std::string& pool,
                               const std::string& job) const;
    [[nodiscard]] bool is_stored(const std::string& job) const;

    void move_queue();
    void disturb();
    void restart(std::size_t index);
    void synchronize(instance& one);
    void run_owners();
    void begin_call();
    void advance(call& one);
    void begin(call& one);
    void ask(call& one);
    void ask_store(call& one);
    void note_answer(call& one, answer result);
    void submit(call& one);
    owner* loaded_owner(const std::string& pool);
    answer owner_answer(owner& one, const std::string& pool,
                        const call& asking);
    void check();

    std::mt19937_64 random_;
    bool has_faults_ = true;
    std::int64_t version_ = 1;
    std::string pool_ = "a";
    std::string record_;
    std::int64_t revision_ = 0;
    std::map<std::string, std::set<std::string>> stored_jobs_;
    std::vector<instance> instances_;
    std::map<std::string, std::optional<owner>> owners_;
    std::vector<call> calls_;
    int jobs_ = 0;
    std::string violation_;
};

} // namespace pimentograde::node_tests

#endif
