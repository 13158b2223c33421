#ifndef PIMENTOGRADE_NODE_POOL_REPLIES_HPP
#define PIMENTOGRADE_NODE_POOL_REPLIES_HPP

#include "peer/pool_messages.hpp"
#include "pools/pool_owner.hpp"

namespace pimentograde::node
{

/// Answers of an owner and the replies that carry them between instances.
/// Reading a reply throws `base::error` with `cut_off` when its outcome is not
/// known here: the owner has answered something, and may have acted.
peer::submit_reply to_reply(const pools::submission_answer& answer);
pools::submission_answer from_reply(const peer::submit_reply& reply);
peer::job_reply to_reply(const pools::job_answer& answer);
pools::job_answer from_reply(const peer::job_reply& reply);

/// Carries out a query of the load at the owner.
peer::pool_load answer_load(pools::pool_owner& owner,
                            const peer::query_load& message);
/// Carries out a release at the owner; returns whether the worker is free.
bool apply_release(pools::pool_owner& owner,
                   const peer::release_worker& message);

} // namespace pimentograde::node

#endif
