#ifndef PIMENTOGRADE_RECORDS_RECORD_TABLE_HPP
#define PIMENTOGRADE_RECORDS_RECORD_TABLE_HPP

#include "records/record_shard.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentograde::records
{

inline constexpr std::size_t shard_count = 32;

/// Store key of a shard, `records/00` to `records/31`.
std::string shard_key(std::size_t shard);

/// Shard of an identity; the same in all processes and releases.
std::size_t shard_of(const base::work_identity& identity);

/// A new job id, which names its shard: `07-` and 16 hexadecimal digits.
base::job_id make_job_id(std::size_t shard, base::random_source& random);

/// Shard that a job id names, or nothing when malformed.
std::optional<std::size_t> shard_of(const base::job_id& job);

/// The durable records of all requests and jobs.
class record_table
{
public:
    class builder
    {
    public:
        builder& store(provider::kv_operations operations);
        /// Writes a second that this member may send; read at each write.
        builder& writes_per_second(std::function<double()> rate);
        builder& time(clocks source);
        builder& timing(shard_timing value);
        builder& seed(std::uint64_t value);
        std::unique_ptr<record_table> build();

    private:
        shard_environment environment_;
        std::function<double()> rate_;
    };

    ~record_table();
    record_table(const record_table&) = delete;
    record_table& operator=(const record_table&) = delete;

    /// See `record_shard::commit`.
    commit_result commit(const base::work_identity& identity,
                         record_change change, base::time_point deadline);

    /// The record of an identity. Reads the store unless the cache was
    /// confirmed within `max_age` and the last call to the store succeeded.
    /// Throws `base::error`.
    std::optional<record> read(const base::work_identity& identity,
                               base::duration max_age,
                               base::time_point deadline);
    /// As `read`; no record for a malformed id.
    std::optional<record> read_job(const base::job_id& job,
                                   base::duration max_age,
                                   base::time_point deadline);
    /// From the cache alone.
    [[nodiscard]] std::optional<record>
    find(const base::work_identity& identity) const;

    /// Reads one shard unless confirmed within `max_age`. Throws
    /// `base::error`.
    void refresh(std::size_t shard, base::duration max_age,
                 base::time_point deadline);
    [[nodiscard]] const record_shard& shard(std::size_t index) const;

    /// Waits until no commit is pending in any shard.
    bool drain(base::time_point deadline);
    /// Ends pending commits and refuses later ones.
    void abandon();

private:
    struct impl;
    explicit record_table(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::records

#endif
