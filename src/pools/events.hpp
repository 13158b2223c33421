#ifndef PIMENTOGRADE_POOLS_EVENTS_HPP
#define PIMENTOGRADE_POOLS_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::pools
{

inline constexpr log::event event_pool_loaded{3201, log::severity::info,
                                              "pool taken over"};
inline constexpr log::event event_pool_lost{3202, log::severity::warning,
                                            "pool ownership lost"};
inline constexpr log::event event_decision{3203, log::severity::info,
                                           "decision"};
inline constexpr log::event event_submission{3204, log::severity::info,
                                             "submission decided"};
inline constexpr log::event event_write_failed{
    3205, log::severity::warning, "writing job records failed; will retry"};
inline constexpr log::event event_write_recovered{
    3206, log::severity::info, "writing job records has recovered"};
inline constexpr log::event event_worker_unreachable{
    3207, log::severity::warning, "worker is unreachable"};
inline constexpr log::event event_worker_reachable{3208, log::severity::info,
                                                   "worker is reachable again"};
inline constexpr log::event event_record_invalid{
    3209, log::severity::error, "job record is invalid; job not loaded"};
inline constexpr log::event event_worker_restarted{3210, log::severity::info,
                                                   "worker restarted"};
inline constexpr log::event event_load_failed{
    3211, log::severity::warning, "loading a pool failed; will retry"};
inline constexpr log::event event_statistics_invalid{
    3213, log::severity::error, "learned statistics are unreadable"};
inline constexpr log::event event_pool_handover{
    3212, log::severity::info, "runs handed over to the pool's next owner"};
inline constexpr log::event event_quota_changed{
    3220, log::severity::info, "grant of a tenant's cap changed"};
inline constexpr log::event event_quota_shortage{
    3221, log::severity::info, "starts of a tenant are held back by its grant"};
inline constexpr log::event event_quota_failed{
    3222, log::severity::warning,
    "reading or writing grants failed; will retry"};
inline constexpr log::event event_quota_invalid{
    3223, log::severity::error,
    "stored grants are unreadable; the tenant's tasks do not start"};
inline constexpr log::event event_quota_recovered{
    3224, log::severity::info, "reading and writing grants has recovered"};

} // namespace pimentograde::pools

#endif
