#ifndef PIMENTOGRADE_STANDIN_CONTROL_HPP
#define PIMENTOGRADE_STANDIN_CONTROL_HPP

#include "net/http_message.hpp"

namespace pimentograde::standin
{

class platform_standin;

/// The control port's operations, each with a JSON response:
///
/// - `POST /faults` with `kind` and optionally `worker`, `probability`,
///   `duration_ms`, `delay_ms`, `factor`: sets a fault, returns its `id`.
/// - `GET /faults`, `DELETE /faults` (all), `DELETE /faults/ID`.
/// - `GET /counts`: `store` with the store calls by operation, their sums
///   `reads` and `writes`, and `bytes` of all values.
/// - `GET /log?from=N`: executions from position N, at most `log_page`;
///   `next` is the position to continue at, `total` the number of entries.
/// - `GET /workers`: the workers and their states.
net::http_response serve_control(platform_standin& standin,
                                 const net::http_request& request);

/// Entries in one page of `GET /log`: with answers of 2 KiB it stays below
/// the body limit of the HTTP client.
inline constexpr std::size_t log_page = 250;

} // namespace pimentograde::standin

#endif
