#ifndef PIMENTOGRADE_RECORDS_RECORD_CODEC_HPP
#define PIMENTOGRADE_RECORDS_RECORD_CODEC_HPP

#include "records/record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::records
{

/// Decoded value of one shard.
struct shard_contents
{
    /// Highest `issued_at` up to which a record may have been dropped.
    base::wall_time horizon{};
    std::vector<record> entries;
};

/// Compact JSON object of one record. Fields with default values are left out;
/// text that is not UTF-8 is stored as hexadecimal digits.
std::string encode_record(const record& value);

/// Inverse of `encode_record`. Throws `base::error` (`invalid`) on a missing,
/// unknown or malformed field.
record decode_record(std::string_view text);

/// Shard value, format 1, from encoded records.
std::string encode_shard(base::wall_time horizon,
                         const std::vector<std::string_view>& encoded);

/// Inverse of `encode_shard`; an empty value is an empty shard. Throws
/// `base::error` (`invalid`) on another format or a malformed value.
shard_contents decode_shard(std::string_view text);

/// Bytes that `encode_shard` adds to its records, without separators.
inline constexpr std::size_t shard_frame_bytes = 80;

/// Bytes that `text` takes in an encoded record, with quotes.
std::size_t encoded_text_bytes(std::string_view text);

} // namespace pimentograde::records

#endif
