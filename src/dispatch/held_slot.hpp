#ifndef PIMENTOGRADE_DISPATCH_HELD_SLOT_HPP
#define PIMENTOGRADE_DISPATCH_HELD_SLOT_HPP

#include "base/error.hpp"
#include "policy/slot.hpp"

#include <utility>

namespace pimentograde::dispatch
{

/// Owns a granted slot and releases it exactly once. The destructor releases it
/// as unused.
class held_slot
{
public:
    held_slot(const policy::slot_operations& slots,
              const policy::slot_request& request, policy::slot_grant grant)
        : slots_(slots), request_(request), grant_(std::move(grant))
    {
    }
    ~held_slot() { release(policy::slot_outcome::unused, {}); }
    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;

    [[nodiscard]] const base::worker_id& worker() const
    {
        return grant_.worker;
    }

    void release(policy::slot_outcome outcome, base::duration run_time)
    {
        if (std::exchange(released_, true))
            return;
        try
        {
            slots_.release(request_, grant_, outcome, run_time);
        }
        catch (const base::error&)
        {
            // The broker reclaims the slots of a lost connection.
        }
    }

private:
    const policy::slot_operations& slots_;
    const policy::slot_request& request_;
    policy::slot_grant grant_;
    bool released_ = false;
};

} // namespace pimentograde::dispatch

#endif
