#include "records/record_table.hpp"

#include "base/digest.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace pimentograde::records
{

namespace
{

constexpr std::size_t job_id_digits = 16;

std::string two_digits(std::size_t number)
{
    return {static_cast<char>('0' + number / 10),
            static_cast<char>('0' + number % 10)};
}

} // namespace

std::string shard_key(std::size_t shard)
{
    return "records/" + two_digits(shard);
}

std::size_t shard_of(const base::work_identity& identity)
{
    // The lengths keep ("a", "bc") and ("ab", "c") apart.
    const auto& department = identity.department.str();
    const auto& caller = identity.caller.str();
    const std::string joined = std::to_string(department.size()) + ':' +
                               department + std::to_string(caller.size()) +
                               ':' + caller + identity.key;
    return base::stable_hash(joined) % shard_count;
}

base::job_id make_job_id(std::size_t shard, base::random_source& random)
{
    return base::job_id(two_digits(shard) + "-" + random.hex_id());
}

std::optional<std::size_t> shard_of(const base::job_id& job)
{
    const auto& text = job.str();
    if (text.size() != 3 + job_id_digits || text[2] != '-')
        return std::nullopt;
    std::size_t shard = shard_count;
    const auto parsed = std::from_chars(text.data(), text.data() + 2, shard);
    if (parsed.ptr != text.data() + 2 || shard >= shard_count)
        return std::nullopt;
    return shard;
}

struct record_table::impl
{
    clocks time;
    std::array<std::unique_ptr<record_shard>, shard_count> shards;
};

record_table::builder&
record_table::builder::store(provider::kv_operations operations)
{
    environment_.store = std::move(operations);
    return *this;
}

record_table::builder&
record_table::builder::writes_per_second(std::function<double()> rate)
{
    rate_ = std::move(rate);
    return *this;
}

record_table::builder& record_table::builder::time(clocks source)
{
    environment_.time = std::move(source);
    return *this;
}

record_table::builder& record_table::builder::timing(shard_timing value)
{
    environment_.timing = value;
    return *this;
}

record_table::builder& record_table::builder::seed(std::uint64_t value)
{
    environment_.random = std::make_shared<base::random_source>(value);
    return *this;
}

std::unique_ptr<record_table> record_table::builder::build()
{
    if (!rate_)
        rate_ = []
        {
            return total_writes_per_second;
        };
    if (!environment_.random)
        environment_.random = std::make_shared<base::random_source>();
    environment_.budget = std::make_shared<write_budget>(rate_);
    auto state = std::make_unique<impl>();
    state->time = environment_.time;
    for (std::size_t i = 0; i < shard_count; ++i)
        state->shards[i] =
            std::make_unique<record_shard>(shard_key(i), environment_);
    return std::unique_ptr<record_table>(new record_table(std::move(state)));
}

record_table::record_table(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

record_table::~record_table() = default;

commit_result record_table::commit(const base::work_identity& identity,
                                   record_change change,
                                   base::time_point deadline)
{
    return impl_->shards[shard_of(identity)]->commit(
        identity, std::move(change), deadline);
}

void record_table::refresh(std::size_t shard, base::duration max_age,
                           base::time_point deadline)
{
    auto& target = *impl_->shards.at(shard);
    const auto confirmed = target.confirmed_at();
    if (!confirmed || !target.is_reachable() ||
        impl_->time.steady() - *confirmed > max_age)
        target.refresh(deadline);
}

std::optional<record> record_table::read(const base::work_identity& identity,
                                         base::duration max_age,
                                         base::time_point deadline)
{
    const auto index = shard_of(identity);
    refresh(index, max_age, deadline);
    return impl_->shards[index]->find(identity);
}

std::optional<record> record_table::read_job(const base::job_id& job,
                                             base::duration max_age,
                                             base::time_point deadline)
{
    const auto index = shard_of(job);
    if (!index)
        return std::nullopt;
    refresh(*index, max_age, deadline);
    return impl_->shards[*index]->find_job(job);
}

std::optional<record>
record_table::find(const base::work_identity& identity) const
{
    return impl_->shards[shard_of(identity)]->find(identity);
}

const record_shard& record_table::shard(std::size_t index) const
{
    return *impl_->shards.at(index);
}

bool record_table::drain(base::time_point deadline)
{
    bool complete = true;
    for (const auto& shard : impl_->shards)
        complete = shard->drain(deadline) && complete;
    return complete;
}

void record_table::abandon()
{
    for (const auto& shard : impl_->shards)
        shard->abandon();
}

} // namespace pimentograde::records
