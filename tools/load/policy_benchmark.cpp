#include "load/policy_benchmark.hpp"

#include "load/slot_schemes.hpp"
#include "policy/slot_broker.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace pimentograde::load
{

namespace
{

using namespace std::chrono_literals;

class result_writer
{
public:
    result_writer(std::ostream& out, std::string_view deployment)
        : out_(out), deployment_(deployment)
    {
    }

    void write(std::string_view name, double value, std::string_view unit,
               std::string_view baseline)
    {
        const boost::json::object line{{"name", name},
                                       {"value", value},
                                       {"unit", unit},
                                       {"deployment", deployment_},
                                       {"baseline", baseline}};
        out_ << boost::json::serialize(line) << '\n' << std::flush;
    }

private:
    std::ostream& out_;
    std::string deployment_;
};

/// `suffix` of each name tells the order of the bursts.
void write_bursts(result_writer& writer, const burst_results& found,
                  const std::string& suffix, std::string_view baseline)
{
    const auto write =
        [&](std::string_view name, double value, std::string_view unit)
    {
        writer.write(std::string(name) + suffix, value, unit, baseline);
    };
    write("urgent_start_wait_p50_s", found.urgent_start_wait_p50_s, "s");
    write("urgent_start_wait_p99_s", found.urgent_start_wait_p99_s, "s");
    write("batch_start_wait_p99_s", found.batch_start_wait_p99_s, "s");
    write("batch_done_ratio", found.batch_done_ratio, "ratio");
    write("slot_use_at_burst", found.slot_use_at_burst, "ratio");
    write("refusal_ratio_at_burst", found.refusal_ratio_at_burst, "ratio");
    write("retry_amplification", found.retry_amplification, "ratio");
}

policy::slot_request make_request(std::uint64_t number)
{
    policy::slot_request request;
    request.id = "r" + std::to_string(number);
    request.queue = base::queue_name("q");
    request.pool = base::pool_name("p");
    request.department =
        base::department_name("d" + std::to_string(number % 4));
    request.urgency =
        number % 3 == 0 ? base::priority::urgent : base::priority::batch;
    request.size = {1, 1, 0};
    return request;
}

/// Microseconds for one request of a full pool with a queue: it is queued, a
/// slot is released, and another request is granted.
double decision_cost_us(std::size_t workers)
{
    constexpr std::uint64_t rounds = 20000;
    constexpr std::uint32_t queued = 100;
    policy::slot_broker broker(
        {base::member_id("m"), base::pool_name("p"), {}, {}});
    policy::broker_terms terms;
    terms.queues = {{base::queue_name("q"), 2 * queued, 1h}};
    broker.set_terms(terms);
    std::vector<policy::broker_worker> all;
    for (std::size_t index = 0; index < workers; ++index)
        all.push_back({worker_at(0, index), {8, 8, 0}, slots_per_worker, true});
    broker.set_workers(all);
    const base::time_point now{1h};
    const base::member_id member("m");
    std::deque<policy::slot_grant> held;
    std::uint64_t number = 0;
    const auto submit = [&]
    {
        auto request = make_request(number++);
        request.deadline = now + 1h;
        const auto result = broker.submit(request, member, {}, now);
        if (result.decision && result.decision->grant)
            held.push_back(*result.decision->grant);
    };
    for (std::size_t index = 0; index < workers * slots_per_worker + queued;
         ++index)
        submit();
    const auto start = base::steady_now();
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        submit();
        broker.release(held.front(), policy::slot_outcome::succeeded, now);
        held.pop_front();
        for (const auto& event : broker.advance(now))
            held.push_back(*event.decision.grant);
    }
    return base::count_seconds(base::steady_now() - start) * 1e6 /
           static_cast<double>(rounds);
}

} // namespace

void run_policy_benchmark(std::ostream& out, std::string_view deployment,
                          std::uint64_t seed, base::duration length)
{
    result_writer writer(out, deployment);
    const std::vector<std::pair<std::string_view, scheme_factory>> schemes{
        {"broker_with_lending", broker_with_lending()},
        {"broker_without_lending", broker_without_lending()},
        {"two_choices", two_choices()},
        {"fixed_shares", fixed_shares()}};
    for (const auto& [name, make] : schemes)
    {
        write_bursts(writer,
                     run_bursts(make, burst_order::in_turn, seed, length), "",
                     name);
        write_bursts(writer,
                     run_bursts(make, burst_order::independent, seed, length),
                     "_overlapping", name);
    }
    for (const std::size_t workers : {12U, 50U, 400U})
        writer.write("decision_cost_" + std::to_string(workers) + "_workers",
                     decision_cost_us(workers), "us", "broker_with_lending");
}

} // namespace pimentograde::load
