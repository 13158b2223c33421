#include "node/store_relay.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "platform/json_call.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pimentograde::node
{

namespace
{

// A peer that the store does not serve says so at once. One that is served
// answers within the store's time, some 4 ms, or 250 ms while it is slow.
constexpr std::chrono::milliseconds peer_limit{400};
constexpr std::string_view step = "relay store call";

} // namespace

store_relay::store_relay(const session& members, metrics::registry& metrics,
                         std::uint64_t seed)
    : session_(members), metrics_(metrics), choice_(seed), clients_(members)
{
}

void store_relay::note_direct(store_outcome outcome, base::time_point now)
{
    const bool was_refused = choice_.is_refused();
    choice_.note_direct(outcome, now);
    if (choice_.is_refused() != was_refused)
        log::write(was_refused ? event_relay_ended : event_relay_begun);
}

platform::raw_store_response
store_relay::send(const platform::raw_store_call& call,
                  base::time_point deadline)
{
    // A smaller peer would carry an owner's writes in a burst too slowly.
    std::vector<std::string> peers;
    std::vector<std::string> smaller_peers;
    for (const auto& [name, entry] : session_.members())
        if (name != session_.own().name)
            (entry.cores >= session_.own().cores ? peers : smaller_peers)
                .push_back(name);
    while (choice_.prefers_peer(base::steady_now()))
    {
        const base::time_point now = base::steady_now();
        auto peer = choice_.next_peer(peers, now);
        if (!peer)
            peer = choice_.next_peer(smaller_peers, now);
        if (!peer || now >= deadline)
            break;
        if (auto response = send_through(*peer, call, deadline))
            return *std::move(response);
    }
    throw base::error(base::error_code::refused, std::string(step), "",
                      "the store serves neither this instance nor a peer");
}

std::optional<platform::raw_store_response>
store_relay::send_through(const std::string& peer,
                          const platform::raw_store_call& call,
                          base::time_point deadline)
{
    const auto found = session_.members().find(peer);
    if (found == session_.members().end())
        return std::nullopt;
    const base::time_point begin = base::steady_now();
    const base::time_point until =
        std::min<base::time_point>(deadline, begin + peer_limit + call.wait);
    try
    {
        const peer::relayed_response reply =
            clients_.at(found->second.address)
                .send(peer::relay_store_call{call.method, call.target,
                                             call.body, until - begin},
                      until);
        choice_.note_peer(peer,
                          reply.is_sent ? store_outcome::served
                                        : store_outcome::refused,
                          base::steady_now());
        count(reply.is_sent ? "served" : "refused");
        if (!reply.is_sent)
            return std::nullopt;
        return platform::raw_store_response{reply.status, reply.body};
    }
    catch (const base::error& failure)
    {
        count("failed");
        // The store may answer a watch late, or cut it.
        const bool is_watch = call.wait > base::duration::zero();
        if (!is_watch || !failure.effect_unknown())
            choice_.note_peer(peer, store_outcome::silent, base::steady_now());
        if (failure.effect_unknown())
            throw;
        return std::nullopt;
    }
}

void store_relay::count(std::string_view outcome)
{
    metrics_
        .get_counter("pimentograde_relayed_store_calls_total",
                     metrics::label("outcome", outcome))
        .add();
}

void store_relay::add_handlers(peer::peer_server::builder& server,
                               platform::store_client& store)
{
    server.handle<peer::relay_store_call>(
        [this, &store](const peer::call_context&,
                       const peer::relay_store_call& message)
        {
            if (choice_.is_refused())
                return peer::relayed_response{};
            try
            {
                const auto response = store.send_for_peer(
                    {message.verb, message.target, message.body},
                    base::steady_now() + message.time_left);
                if (platform::is_refusal(response.status))
                    return peer::relayed_response{};
                return peer::relayed_response{true, response.status,
                                              response.body};
            }
            catch (const base::error& failure)
            {
                if (failure.effect_unknown() ||
                    failure.code() == base::error_code::invalid)
                    throw;
                // Nothing was done.
                return peer::relayed_response{};
            }
        });
}

} // namespace pimentograde::node
