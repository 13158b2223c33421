#include "policy/broker_model.hpp"

#include <deque>

namespace pimentograde::tests
{

using namespace std::chrono_literals;

namespace
{

class real_broker : public broker_under_test
{
public:
    real_broker() : broker_(settings())
    {
        policy::broker_terms terms;
        for (const char* department : {"a", "b", "c"})
            for (const char* kind : {"-urgent", "-batch"})
                terms.queues.push_back(
                    {base::queue_name(std::string(department) + kind), 12,
                     1500ms});
        terms.departments = {{base::department_name("a"), 4},
                             {base::department_name("b"), 2},
                             {base::department_name("c"), 1}};
        terms.may_borrow = true;
        broker_.set_terms(terms);
    }
    void set_workers(const std::vector<policy::broker_worker>& all) override
    {
        broker_.set_workers(all);
    }
    void set_accepting(const base::worker_id& id, bool accepting) override
    {
        broker_.set_accepting(id, accepting);
    }
    policy::submit_result submit(const policy::slot_request& request,
                                 const base::member_id& member,
                                 base::time_point now) override
    {
        return broker_.submit(request, member, {}, now);
    }
    void release(const policy::slot_grant& grant, policy::slot_outcome outcome,
                 base::time_point now) override
    {
        broker_.release(grant, outcome, now);
    }
    std::vector<policy::slot_event> advance(base::time_point now) override
    {
        return broker_.advance(now);
    }
    void drop_member(const base::member_id& member,
                     base::time_point now) override
    {
        broker_.drop_member(member, now);
    }

private:
    static policy::broker_settings settings()
    {
        return {base::member_id("m0"), base::pool_name("p"), {}, {}};
    }

    policy::slot_broker broker_;
};

/// Naive broker with one queue and a count of used slots per worker.
class simple_broker : public broker_under_test
{
public:
    explicit simple_broker(bool urgent_first) : urgent_first_(urgent_first) {}

    void set_workers(const std::vector<policy::broker_worker>& all) override
    {
        workers_ = all;
    }
    void set_accepting(const base::worker_id& id, bool accepting) override
    {
        for (auto& worker : workers_)
            if (worker.id == id)
                worker.accepting = accepting;
    }
    policy::submit_result submit(const policy::slot_request& request,
                                 const base::member_id& member,
                                 base::time_point) override
    {
        const entry added{next_ticket_++, request, member};
        const bool to_front =
            urgent_first_ && request.urgency == base::priority::urgent;
        auto position = queue_.end();
        if (to_front)
            position = std::find_if(
                queue_.begin(), queue_.end(),
                [](const entry& other)
                { return other.request.urgency == base::priority::batch; });
        queue_.insert(position, added);
        return {added.ticket, std::nullopt};
    }
    void release(const policy::slot_grant& grant, policy::slot_outcome,
                 base::time_point) override
    {
        held_.erase(grant.id);
        --used_[grant.worker];
    }
    std::vector<policy::slot_event> advance(base::time_point now) override
    {
        std::vector<policy::slot_event> events;
        std::erase_if(queue_, [&](const entry& waiting)
                      { return waiting.request.deadline <= now; });
        while (!queue_.empty() && grant_first(events))
            queue_.pop_front();
        return events;
    }
    void drop_member(const base::member_id& member, base::time_point) override
    {
        std::erase_if(queue_, [&](const entry& waiting)
                      { return waiting.member == member; });
        std::erase_if(held_,
                      [&](const auto& holding)
                      {
                          if (holding.second.first != member)
                              return false;
                          --used_[holding.second.second];
                          return true;
                      });
    }

private:
    struct entry
    {
        std::uint64_t ticket;
        policy::slot_request request;
        base::member_id member;
    };

    bool grant_first(std::vector<policy::slot_event>& events)
    {
        const auto& first = queue_.front();
        for (const auto& worker : workers_)
        {
            const auto& excluded = first.request.excluded;
            if (!worker.accepting || used_[worker.id] >= worker.slots ||
                std::count(excluded.begin(), excluded.end(), worker.id) > 0)
                continue;
            ++used_[worker.id];
            held_[first.request.id] = {first.member, worker.id};
            events.push_back(
                {first.ticket,
                 {policy::slot_grant{first.request.id, worker.id,
                                     first.request.pool, base::member_id("m0")},
                  {}}});
            return true;
        }
        return false;
    }

    bool urgent_first_;
    std::vector<policy::broker_worker> workers_;
    std::deque<entry> queue_;
    std::map<base::worker_id, std::uint32_t> used_;
    std::map<std::string, std::pair<base::member_id, base::worker_id>> held_;
    std::uint64_t next_ticket_ = 1;
};

} // namespace

std::unique_ptr<broker_under_test> make_slot_broker()
{
    return std::make_unique<real_broker>();
}

std::unique_ptr<broker_under_test> make_fifo_broker()
{
    return std::make_unique<simple_broker>(false);
}

std::unique_ptr<broker_under_test> make_strict_priority_broker()
{
    return std::make_unique<simple_broker>(true);
}

} // namespace pimentograde::tests
