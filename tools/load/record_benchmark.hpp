#ifndef PIMENTOGRADE_TOOLS_LOAD_RECORD_BENCHMARK_HPP
#define PIMENTOGRADE_TOOLS_LOAD_RECORD_BENCHMARK_HPP

#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "records/record_codec.hpp"
#include "records/record_table.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Measures record operations against an in-memory store with the latency of
/// the platform's, with one key for each record as the baseline.
namespace pimentograde::load
{

inline constexpr base::duration benchmark_store_latency =
    std::chrono::milliseconds{2};
inline constexpr base::duration benchmark_time = std::chrono::seconds{4};
inline constexpr std::size_t benchmark_members = 9;
/// Record operations a second of all members together.
inline constexpr std::array<int, 3> benchmark_rates{100, 400, 1600};

/// Store in memory that answers after `benchmark_store_latency`.
struct benchmark_store
{
    std::map<std::string, provider::kv_entry, std::less<>> entries;
    std::size_t writes = 0;

    provider::kv_operations operations()
    {
        provider::kv_operations out;
        out.get = [this](std::string_view key, base::time_point)
        {
            boost::this_fiber::sleep_for(benchmark_store_latency);
            return entries[std::string(key)];
        };
        out.compare_and_swap = [this](std::string_view key,
                                      std::uint64_t expected,
                                      std::string_view value, base::time_point)
        {
            boost::this_fiber::sleep_for(benchmark_store_latency);
            ++writes;
            auto& entry = entries[std::string(key)];
            if (entry.version != expected)
                return provider::swap_result{provider::swap_outcome::conflict,
                                             entry.version};
            entry = {std::string(value), expected + 1};
            return provider::swap_result{provider::swap_outcome::applied,
                                         entry.version};
        };
        return out;
    }
};

/// Result of one run at one rate.
struct record_figures
{
    double operations_per_second = 0;
    double writes_per_operation = 0;
    double median_ms = 0;
    double p99_ms = 0;
};

/// Writes one record; suspends the fiber until it is written.
using write_record = std::function<void(const records::record&)>;

inline records::record benchmark_record(std::size_t number)
{
    records::record out;
    out.identity = {base::department_name("field"), base::caller_name("club"),
                    "key-" + std::to_string(number)};
    out.issued_at = base::wall_now();
    out.queue = base::queue_name("quotes");
    out.size = {1, 512, 0};
    // Ended at once, so that the run measures writes and not the room for
    // answers that are still to come.
    out.state = records::record_state::done;
    out.attempt = 1;
    out.worker = base::worker_id("worker-17");
    out.lease = base::lease_id("lease-" + std::to_string(number));
    out.answer = "accepted by the treasurer";
    return out;
}

/// Sends operations at an even rate for `benchmark_time`, waits for all, and
/// divides by the time until the last one was written.
inline record_figures run_records(int rate, const benchmark_store& store,
                                  const write_record& write)
{
    const auto begin = base::steady_now();
    const auto count =
        static_cast<std::size_t>(rate * base::count_seconds(benchmark_time));
    std::vector<double> waits;
    net::task_group fibers;
    for (std::size_t i = 0; i < count; ++i)
    {
        boost::this_fiber::sleep_until(begin + benchmark_time /
                                                   static_cast<int>(count) *
                                                   static_cast<int>(i));
        fibers.spawn(
            [&, i]
            {
                const auto sent = base::steady_now();
                write(benchmark_record(i));
                waits.push_back(1000 *
                                base::count_seconds(base::steady_now() - sent));
            });
    }
    fibers.join();
    const double seconds = base::count_seconds(base::steady_now() - begin);
    std::ranges::sort(waits);
    const auto operations = static_cast<double>(count);
    return {operations / seconds,
            static_cast<double>(store.writes) / operations,
            waits[waits.size() / 2], waits[waits.size() * 99 / 100]};
}

inline double member_share()
{
    return records::total_writes_per_second /
           static_cast<double>(benchmark_members);
}

/// Sharded records with group commit; each member writes its own shards.
inline record_figures measure_shards(int rate)
{
    benchmark_store store;
    std::vector<std::unique_ptr<records::record_table>> members;
    for (std::size_t i = 0; i < benchmark_members; ++i)
        members.push_back(records::record_table::builder{}
                              .store(store.operations())
                              .writes_per_second(member_share)
                              .seed(i)
                              .build());
    return run_records(rate, store,
                       [&](const records::record& value)
                       {
                           const auto owner =
                               records::shard_of(value.identity) %
                               benchmark_members;
                           members[owner]->commit(
                               value.identity,
                               [&](std::optional<records::record>& current)
                               {
                                   current = value;
                                   return true;
                               },
                               base::time_point::max());
                       });
}

/// One key for each record, under the same write budget.
inline record_figures measure_single_keys(int rate)
{
    benchmark_store store;
    const auto operations = store.operations();
    std::vector<records::write_budget> budgets(
        benchmark_members, records::write_budget(member_share));
    return run_records(
        rate, store,
        [&](const records::record& value)
        {
            const auto member =
                records::shard_of(value.identity) % benchmark_members;
            boost::this_fiber::sleep_for(
                budgets[member].take(base::steady_now()));
            operations.compare_and_swap("record/" + value.identity.key, 0,
                                        records::encode_record(value),
                                        base::time_point::max());
        });
}

/// Prints one JSON object a line: name, value, unit, deployment, and the
/// baseline's value.
inline void run_record_benchmark(std::ostream& out)
{
    net::this_thread_io();
    const auto print = [&](const std::string& name, double value,
                           std::string_view unit, double baseline)
    {
        out << boost::json::serialize(
                   boost::json::object{{"name", name},
                                       {"value", value},
                                       {"unit", unit},
                                       {"deployment", "9 instances, 2 ms"},
                                       {"baseline", baseline}})
            << "\n";
    };
    for (const int rate : benchmark_rates)
    {
        const auto shards = measure_shards(rate);
        const auto keys = measure_single_keys(rate);
        const auto suffix = "_at_" + std::to_string(rate) + "_per_s";
        print("record_operations" + suffix, shards.operations_per_second, "1/s",
              keys.operations_per_second);
        print("record_writes_per_operation" + suffix,
              shards.writes_per_operation, "1", keys.writes_per_operation);
        print("record_wait_median" + suffix, shards.median_ms, "ms",
              keys.median_ms);
        print("record_wait_p99" + suffix, shards.p99_ms, "ms", keys.p99_ms);
    }
}

} // namespace pimentograde::load

#endif
