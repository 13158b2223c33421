#ifndef PIMENTOGRADE_RECORDS_SHARD_STATE_HPP
#define PIMENTOGRADE_RECORDS_SHARD_STATE_HPP

#include "records/record_shard.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace pimentograde::records
{

/// A record with its encoded form, which is computed once for many writes of
/// the shard.
struct encoded_record
{
    record value;
    std::string text;

    /// Bytes that the record takes or may take once it has ended.
    [[nodiscard]] std::size_t reserved_bytes() const;
};

using record_map =
    std::map<base::work_identity, std::shared_ptr<const encoded_record>>;

/// Contents of one shard as last read or written.
struct shard_state
{
    base::wall_time horizon{};
    record_map entries;
    std::size_t reserved_bytes = 0;

    /// Throws `base::error` (`invalid`).
    static shard_state parse(std::string_view text);
};

/// Changes that are written together. The state stays as it is until the
/// write has succeeded, so that readers see only written records.
class shard_batch
{
public:
    shard_batch(const shard_state& base, base::wall_time now);

    /// Applies one change on top of the earlier ones. The outcome is
    /// `applied`, `refused`, `full` or `expired`.
    commit_result apply(const base::work_identity& identity,
                        const record_change& change);
    [[nodiscard]] bool has_writes() const { return !changed_.empty(); }
    /// Drops records past their retention and returns the shard value.
    std::string finish();
    void merge_into(shard_state& base) const;

private:
    [[nodiscard]] const encoded_record*
    current(const base::work_identity& identity) const;
    commit_outcome check_insert(const encoded_record& entry);
    bool make_room(const encoded_record& entry, std::size_t limit);
    void put(const base::work_identity& identity,
             std::shared_ptr<const encoded_record> value);
    void drop_old(std::size_t target_bytes);

    const shard_state& base_;
    base::wall_time now_;
    base::wall_time horizon_;
    std::size_t reserved_bytes_;
    /// A null pointer stands for a dropped record.
    record_map changed_;
};

} // namespace pimentograde::records

#endif
