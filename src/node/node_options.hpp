#ifndef PIMENTOGRADE_NODE_NODE_OPTIONS_HPP
#define PIMENTOGRADE_NODE_NODE_OPTIONS_HPP

namespace pimentograde::node
{

/// Behaviour of an entry instance that its flags switch on.
struct node_options
{
    /// Places tasks by the observed speed of the workers.
    bool uses_worker_speed = false;
    /// Lets a task wait for a worker near its data while that pays.
    bool waits_for_near_workers = false;
    /// Sends store calls through another instance while the store refuses this
    /// one.
    bool relays_store_calls = false;
};

} // namespace pimentograde::node

#endif
