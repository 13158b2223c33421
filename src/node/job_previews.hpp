#ifndef PIMENTOGRADE_NODE_JOB_PREVIEWS_HPP
#define PIMENTOGRADE_NODE_JOB_PREVIEWS_HPP

#include "net/http_message.hpp"
#include "node/peer_clients.hpp"
#include "node/pool_claims.hpp"
#include "node/session.hpp"
#include "peer/peer_server.hpp"
#include "peer/preview_messages.hpp"
#include "platform/configuration.hpp"

#include <optional>
#include <string_view>

namespace pimentograde::node
{

/// Tells operators where a job would go now, and why, without submitting it.
/// Asks the pool's owner, here or on another instance.
class job_previews
{
public:
    job_previews(const session& members, pool_claims& claims);

    void set_configuration(const platform::configuration& current);
    /// `path` is the queue's path; the queue's host, a tenant and the job come
    /// in the request: in the fields Host and X-Tenant, and in the body as a
    /// caller would send it.
    net::http_response handle(const net::http_request& request,
                              std::string_view path);
    /// Adds the handler for other instances' requests.
    void add_handlers(peer::peer_server::builder& server);

private:
    peer::preview_reply ask_owner(const peer::preview_job& message);
    peer::preview_reply answer(const peer::preview_job& message);

    const session& session_;
    pool_claims& claims_;
    peer_clients clients_;
    std::optional<platform::configuration> configuration_;
};

} // namespace pimentograde::node

#endif
