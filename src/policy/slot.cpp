#include "policy/slot.hpp"

namespace pimentograde::policy
{

std::string_view to_string(slot_refusal refusal)
{
    switch (refusal)
    {
    case slot_refusal::queue_full:
        return "queue_full";
    case slot_refusal::wait_too_long:
        return "wait_too_long";
    case slot_refusal::too_large:
        return "too_large";
    case slot_refusal::no_worker:
        return "no_worker";
    case slot_refusal::retry_budget:
        return "retry_budget";
    case slot_refusal::stopping:
        return "stopping";
    }
    return "unknown";
}

std::string_view to_string(slot_outcome outcome)
{
    switch (outcome)
    {
    case slot_outcome::succeeded:
        return "succeeded";
    case slot_outcome::failed:
        return "failed";
    case slot_outcome::worker_full:
        return "worker_full";
    case slot_outcome::worker_leaving:
        return "worker_leaving";
    case slot_outcome::worker_unreachable:
        return "worker_unreachable";
    case slot_outcome::unused:
        return "unused";
    }
    return "unknown";
}

} // namespace pimentograde::policy
