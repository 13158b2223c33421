#include "dispatch/fleet_change_log.hpp"

#include "capacity/events.hpp"

namespace pimentograde::dispatch
{

using capacity::change_kind;

void log_change(const capacity::fleet_change& change)
{
    switch (change.kind)
    {
    case change_kind::pause_wave:
        log::write(capacity::event_wave_paused,
                   {{"wave", change.wave}, {"reason", change.reason}});
        break;
    case change_kind::resume_wave:
        log::write(capacity::event_wave_resumed, {{"wave", change.wave}});
        break;
    case change_kind::start_wave:
    case change_kind::begin_pass:
        log::write(capacity::event_wave_started, {{"wave", change.wave}});
        break;
    case change_kind::start_drain:
        if (!change.pool.empty())
            log::write(
                capacity::event_move_started,
                {{"worker", change.worker.str()}, {"pool", change.pool.str()}});
        break;
    case change_kind::mark_down:
        log::write(capacity::event_worker_down,
                   {{"worker", change.worker.str()}});
        break;
    case change_kind::confirm_healthy:
        log::write(capacity::event_worker_serving,
                   {{"worker", change.worker.str()}});
        break;
    default:
        break;
    }
}

} // namespace pimentograde::dispatch
