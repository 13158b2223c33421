#ifndef PIMENTOGRADE_TESTS_JOBS_QUOTA_MODEL_HPP
#define PIMENTOGRADE_TESTS_JOBS_QUOTA_MODEL_HPP

#include "jobs/quota_share.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pimentograde::tests
{

/// What keeps the rule. A test leaves one out to show that it is needed.
struct quota_mechanisms
{
    bool counts_unheard_workers = true;
    bool counts_late_starts = true;
    bool lowers_before_sending = true;
    bool raises_when_stored = true;
    bool checks_revision = true;
    bool checks_owner = true;
};

struct quota_odds
{
    int lost_answer = 0;
    int late_write = 0;
    int late_start = 0;
    int takeover = 0;
    int cap_change = 0;
    /// Changes of a pool's waiting tasks in a step.
    int demand_change = 5;
    /// How long a write, and its answer, may take.
    base::duration answer_time = std::chrono::milliseconds(400);
};

/// Several pools that share the cap of one tenant, with a store that carries
/// out writes late or loses answers, workers that carry out orders up to 12 s
/// late, and owners that go on after the next one has taken over.
class quota_model
{
public:
    quota_model(std::uint64_t seed, quota_odds odds, quota_mechanisms kept);

    void step();
    /// From here on nothing goes wrong, and only this pool has work.
    void calm(std::size_t index);
    /// Largest excess of a start over the cap, in tasks.
    [[nodiscard]] int excess() const { return excess_; }
    [[nodiscard]] int started() const { return started_; }
    [[nodiscard]] int writes() const { return writes_; }
    [[nodiscard]] int running_in(std::size_t index) const;

private:
    struct live_run
    {
        jobs::task_id task;
        base::time_point ends_at;
    };
    struct worker
    {
        std::string id;
        std::int64_t fence = 0;
        std::vector<live_run> running;
    };
    struct owner
    {
        std::int64_t fence = 0;
        std::unique_ptr<jobs::quota_share> share;
        std::unique_ptr<jobs::tenant_usage> usage;
        /// Workers that it has heard, and when it hears the others.
        std::map<std::string, base::time_point> hears_at;
        std::map<std::string, std::vector<jobs::tenant_place>> late;
        std::map<std::string, std::vector<jobs::task_id>> known;
        base::time_point orders_until = base::time_point::max();
        std::int64_t cap = 0;
        base::time_point adopts_at{};
    };
    struct pool
    {
        std::string name;
        std::int64_t role = 0;
        std::vector<worker> workers;
        /// The last one is the present owner.
        std::vector<owner> owners;
        int waiting = 0;
    };
    struct order
    {
        std::size_t pool = 0;
        std::size_t worker = 0;
        jobs::task_id task;
        std::int64_t fence = 0;
        base::time_point at;
    };
    struct write
    {
        std::size_t pool = 0;
        std::int64_t fence = 0;
        jobs::quota_write change;
        base::time_point at{};
        /// Its sender still waits for the answer, which may be lost.
        bool is_awaited = true;
        bool is_answered = true;
        bool has_arrived = false;
        /// What the answer shows.
        jobs::quota_record shown{};
        std::int64_t shown_revision = 0;
    };

    bool chance(int odds);
    base::duration up_to(base::duration longest);
    void begin_owner(pool& target);
    void act(std::size_t index, owner& acting);
    void hear(worker& heard, owner& acting);
    void start_tasks(std::size_t index, owner& acting);
    void begin_run(const order& due);
    void use_store(std::size_t index, owner& acting);
    void carry_out(write due);
    void change_cap();
    [[nodiscard]] int total() const;
    [[nodiscard]] std::int64_t highest_cap() const;
    owner* find_owner(std::size_t index, std::int64_t fence);

    std::mt19937_64 random_;
    quota_odds odds_;
    quota_mechanisms kept_;
    base::time_point now_{std::chrono::seconds(100)};
    std::vector<pool> pools_;
    std::vector<order> orders_;
    std::vector<write> pending_;
    jobs::quota_record stored_;
    std::int64_t revision_ = 0;
    std::int64_t next_revision_ = 1;
    std::int64_t cap_ = 10;
    std::int64_t earlier_cap_ = 0;
    base::time_point earlier_cap_until_{};
    int next_task_ = 0;
    int excess_ = 0;
    int started_ = 0;
    int writes_ = 0;
    int busy_pool_ = -1;
};

} // namespace pimentograde::tests

#endif
