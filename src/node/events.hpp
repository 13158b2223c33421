#ifndef PIMENTOGRADE_NODE_EVENTS_HPP
#define PIMENTOGRADE_NODE_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::node
{

inline constexpr log::event event_started{3301, log::severity::info,
                                          "instance started"};
inline constexpr log::event event_stopping{3302, log::severity::info,
                                           "graceful stop started"};
inline constexpr log::event event_stopped{3303, log::severity::info,
                                          "instance stopped"};
inline constexpr log::event event_store_lost{3304, log::severity::warning,
                                             "store does not answer"};
inline constexpr log::event event_store_regained{3305, log::severity::info,
                                                 "store answers again"};
inline constexpr log::event event_lease_lost{
    3306, log::severity::warning, "instance lease lost; registering again"};
inline constexpr log::event event_registered{
    3307, log::severity::info, "instance registered in the store"};
inline constexpr log::event event_configuration_adopted{
    3308, log::severity::info, "configuration applied"};
inline constexpr log::event event_configuration_invalid{
    3309, log::severity::error,
    "configuration or wave cannot be read; ignored"};
inline constexpr log::event event_pool_claimed{3310, log::severity::info,
                                               "pool claimed"};
inline constexpr log::event event_request{3311, log::severity::info,
                                          "request answered"};
inline constexpr log::event event_claim_failed{
    3312, log::severity::warning, "claiming or releasing a pool failed"};
inline constexpr log::event event_wave{3313, log::severity::info,
                                       "maintenance wave"};
inline constexpr log::event event_machine_order{3314, log::severity::info,
                                                "machine order sent"};
inline constexpr log::event event_machine_service_failed{
    3315, log::severity::warning, "machine service does not answer"};

inline constexpr log::event event_reloaded{3316, log::severity::info,
                                           "settings file reloaded"};
inline constexpr log::event event_reload_failed{
    3317, log::severity::error, "reloading the settings file failed"};
inline constexpr log::event event_fleet_demand{3318, log::severity::info,
                                               "pool demand and capacity"};
inline constexpr log::event event_wave_not_recorded{
    3319, log::severity::warning, "storing a wave's progress failed; retrying"};
inline constexpr log::event event_pool_handed_over{
    3320, log::severity::info,
    "pool released for an instance with more processor time"};
inline constexpr log::event event_watch_failed{
    3321, log::severity::warning, "watching the store failed; retrying"};
inline constexpr log::event event_fleet_record_invalid{
    3322, log::severity::error, "record of the machine role is unreadable"};
inline constexpr log::event event_fleet_takeover{
    3323, log::severity::info, "orders of earlier holders read"};
inline constexpr log::event event_orders_not_recorded{
    3324, log::severity::warning,
    "recording machine orders failed; they are not sent"};
inline constexpr log::event event_queues_not_recorded{
    3325, log::severity::warning, "storing the queues' pools failed; retrying"};
inline constexpr log::event event_queues_invalid{
    3326, log::severity::error,
    "the stored pools of the queues are unreadable"};
inline constexpr log::event event_paused{
    3327, log::severity::warning,
    "the process did not run for a while; confirming the configuration"};
inline constexpr log::event event_queue_moved{
    3328, log::severity::info, "new jobs of the queue go to another pool"};
inline constexpr log::event event_key_refused{3330, log::severity::info,
                                              "a call's key was refused"};
inline constexpr log::event event_other_tenant{
    3331, log::severity::info, "a call named a job of another tenant"};
inline constexpr log::event event_relay_begun{
    3340, log::severity::warning,
    "the store does not serve this instance; calls go through a peer"};
inline constexpr log::event event_relay_ended{
    3341, log::severity::info, "the store serves this instance again"};

} // namespace pimentograde::node

#endif
