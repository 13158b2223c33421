#ifndef PIMENTOGRADE_ENTRY_SUBMISSION_CODEC_HPP
#define PIMENTOGRADE_ENTRY_SUBMISSION_CODEC_HPP

#include "base/work.hpp"
#include "net/http_message.hpp"

#include <string_view>

namespace pimentograde::entry
{

/// Longest idempotency key, in bytes.
inline constexpr std::size_t max_key_bytes = 128;
/// Longest payload of a request, in bytes.
inline constexpr std::size_t max_payload_bytes = std::size_t{256} * 1024;
inline constexpr std::chrono::minutes max_time_limit{10};

/// Parses the body of `POST /v1/requests` or `POST /v1/jobs`: a JSON object
/// with `queue`, `priority`, `size`, `idempotent`, `key`, `issued_at_ms`,
/// `deadline_ms`, `payload` and `first`. `size`, `priority`, `deadline_ms` and
/// `first` have defaults. Department and caller are left empty. Throws
/// `base::error` with `invalid` and the name of the field.
base::submission parse_submission(std::string_view body, base::work_kind kind,
                                  base::wall_time now);

/// The caller's response: status code and JSON body.
net::http_response to_response(const base::work_result& result);

/// The stable word for a status, as it stands in responses.
std::string_view to_string(base::work_status status);

} // namespace pimentograde::entry

#endif
