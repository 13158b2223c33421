#include "peer/peer_client.hpp"

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "log/event.hpp"
#include "net/task_group.hpp"
#include "peer/events.hpp"
#include "peer/frame_stream.hpp"
#include "peer/handshake.hpp"
#include "peer/json_text.hpp"
#include "peer/rpc_codec.hpp"
#include "peer/rpc_errors.hpp"

#include <boost/fiber/future.hpp>
#include <boost/fiber/timed_mutex.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace pimentograde::peer
{

namespace
{

constexpr std::chrono::seconds connect_limit{1};
constexpr std::chrono::milliseconds first_backoff{50};
// Below the suspicion time of 1.5 s, so that a restarted member is found
// before the others suspect this one.
constexpr std::chrono::milliseconds max_backoff{500};
constexpr unsigned max_doublings = 4;
// Calls time out and no byte arrives for this long: the connection is taken
// for dead although TCP has not noticed yet.
constexpr std::chrono::seconds silence_limit{3};
constexpr std::chrono::hours never_idle{24};
constexpr std::size_t max_abandoned = 1024;

struct pending_call
{
    std::string method;
    boost::fibers::promise<std::string> response;
};

// Calls belong to the connection on which they were sent.
struct connection
{
    std::shared_ptr<frame_stream> stream;
    peer_identity remote;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    /// Methods of calls that timed out, by id.
    std::map<std::uint64_t, std::string> abandoned;
};

} // namespace

struct peer_client::impl : std::enable_shared_from_this<peer_client::impl>
{
    net::endpoint where;
    credentials own;
    late_result_hook late;
    base::random_source random;
    std::string peer;
    std::shared_ptr<connection> current;
    boost::fibers::timed_mutex connect_mutex;
    unsigned failures = 0;
    base::time_point next_attempt{};
    std::uint64_t next_id = 1;
    bool stopped = false;
    net::task_group readers;

    [[nodiscard]] base::error failure(base::error_code code,
                                      const std::string& method,
                                      std::string_view detail) const
    {
        return {code, method, peer, detail};
    }
    std::shared_ptr<connection> connect(const std::string& method,
                                        base::time_point deadline);
    void back_off(base::time_point now);
    std::string exchange(std::uint64_t id, const std::string& method,
                         const std::string& request, base::time_point deadline);
    [[nodiscard]] std::string checked(std::string response,
                                      const std::string& method) const;
    void give_up(connection& link, std::uint64_t id, const std::string& method);
    void read_responses(const std::shared_ptr<connection>& link);
    void deliver(connection& link, std::string text);
    void report_late(const std::string& method, const std::string& text);
};

std::shared_ptr<connection>
peer_client::impl::connect(const std::string& method, base::time_point deadline)
{
    std::unique_lock lock(connect_mutex, deadline);
    const base::time_point now = base::steady_now();
    if (stopped || !lock.owns_lock() || deadline <= now)
        throw failure(base::error_code::unavailable, method,
                      stopped ? "client stopped"
                              : "deadline passed before sending");
    if (current && current->stream->is_open())
        return current;
    if (now < next_attempt)
        throw failure(base::error_code::unavailable, method,
                      "waiting to connect again");
    try
    {
        auto link = std::make_shared<connection>();
        link->stream = frame_stream::connect(
            where, std::min(deadline, now + connect_limit));
        link->remote = connect_handshake(
            *link->stream, own,
            std::min(deadline, base::steady_now() + handshake_limit));
        if (stopped)
            throw failure(base::error_code::unavailable, method,
                          "client stopped");
        current = link;
        failures = 0;
        next_attempt = {};
        readers.spawn([self = shared_from_this(), link]
                      { self->read_responses(link); });
        log::write(event_peer_connected,
                   {{"peer", peer}, {"member", link->remote.member.str()}});
        return link;
    }
    catch (const base::error& cause)
    {
        back_off(base::steady_now());
        // The handshake carries no call, so nothing was done.
        throw failure(base::error_code::unavailable, method,
                      cause.step() + ": " + cause.detail());
    }
}

void peer_client::impl::back_off(base::time_point now)
{
    const base::duration upper =
        std::min<base::duration>(first_backoff * (1U << failures), max_backoff);
    failures = std::min(failures + 1, max_doublings);
    next_attempt = now + upper / 2 + random.jitter(upper / 2);
}

std::string peer_client::impl::exchange(std::uint64_t id,
                                        const std::string& method,
                                        const std::string& request,
                                        base::time_point deadline)
{
    const auto link = connect(method, deadline);
    const auto call = std::make_shared<pending_call>();
    call->method = method;
    auto response = call->response.get_future();
    link->pending.emplace(id, call);
    try
    {
        link->stream->write(request, deadline);
    }
    catch (const base::error& cause)
    {
        link->pending.erase(id);
        throw failure(cause.code(), method, cause.detail());
    }
    if (response.wait_until(deadline) == boost::fibers::future_status::ready)
        return checked(response.get(), method);
    give_up(*link, id, method);
    throw failure(base::error_code::timeout, method, "no response in time");
}

// The library parses recursively, on the stack of the calling fiber.
std::string peer_client::impl::checked(std::string response,
                                       const std::string& method) const
{
    if (is_bounded_object(response))
        return response;
    log::write(
        event_malformed_message,
        {{"peer", peer}, {"reason", "not one JSON object within bounds"}});
    throw failure(base::error_code::cut_off, method,
                  "the response is not one JSON object within bounds");
}

void peer_client::impl::give_up(connection& link, std::uint64_t id,
                                const std::string& method)
{
    link.pending.erase(id);
    if (link.abandoned.size() >= max_abandoned)
        link.abandoned.erase(link.abandoned.begin());
    link.abandoned.emplace(id, method);
    if (base::steady_now() - link.stream->last_read() > silence_limit)
        link.stream->close();
}

void peer_client::impl::read_responses(const std::shared_ptr<connection>& link)
{
    std::string reason;
    try
    {
        while (true)
            deliver(*link, link->stream->read(never_idle));
    }
    catch (const base::error& cause)
    {
        reason = cause.detail();
    }
    link->stream->close();
    if (current == link)
        current = nullptr;
    if (!stopped)
        log::write(event_peer_disconnected,
                   {{"peer", peer}, {"reason", reason}});
    const auto calls = std::exchange(link->pending, {});
    for (const auto& [id, call] : calls)
        call->response.set_exception(std::make_exception_ptr(
            failure(base::error_code::cut_off, call->method, reason)));
}

void peer_client::impl::deliver(connection& link, std::string text)
{
    const auto id = message_id(text);
    if (!id)
    {
        log::write(event_malformed_message,
                   {{"peer", peer}, {"reason", "response without an id"}});
        throw base::error(base::error_code::invalid, "read", peer,
                          "response without an id");
    }
    const auto call = link.pending.find(*id);
    if (call != link.pending.end())
    {
        const auto found = call->second;
        link.pending.erase(call);
        found->response.set_value(std::move(text));
        return;
    }
    const auto expired = link.abandoned.find(*id);
    if (expired == link.abandoned.end())
        return; // duplicate
    const std::string method = expired->second;
    link.abandoned.erase(expired);
    // The hook may call this peer, which the reader must not wait for.
    if (late)
        readers.spawn(
            [self = shared_from_this(), method, response = std::move(text)]
            { self->report_late(method, response); });
}

void peer_client::impl::report_late(const std::string& method,
                                    const std::string& text)
{
    try
    {
        const Json::Value response = parse_object(text);
        if (response.isMember("result"))
            late(method, response["result"]);
    }
    catch (const base::error& cause)
    {
        log::write(event_malformed_message,
                   {{"peer", peer}, {"reason", cause.detail()}});
    }
}

peer_client::builder& peer_client::builder::connect_to(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

peer_client::builder& peer_client::builder::authenticate_as(credentials own)
{
    own_ = std::move(own);
    return *this;
}

peer_client::builder&
peer_client::builder::on_late_result(late_result_hook hook)
{
    late_ = std::move(hook);
    return *this;
}

peer_client::builder& peer_client::builder::random_seed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

std::unique_ptr<peer_client> peer_client::builder::build()
{
    auto state = std::make_shared<impl>();
    state->where = where_;
    state->own = own_;
    state->late = late_;
    state->peer = net::to_string(where_);
    if (own_.secret.empty())
        throw base::error(base::error_code::invalid, "connect", state->peer,
                          "no shared secret");
    if (seed_)
        state->random = base::random_source(*seed_);
    return std::unique_ptr<peer_client>(new peer_client(std::move(state)));
}

peer_client::peer_client(std::shared_ptr<impl> state) : impl_(std::move(state))
{
}

peer_client::~peer_client()
{
    stop();
}

Json::Value peer_client::call(const std::string& method,
                              const Json::Value& params,
                              base::time_point deadline)
{
    const auto state = impl_;
    const std::uint64_t id = state->next_id++;
    rpc_reply reply =
        call_method([&](const std::string& request)
                    { return state->exchange(id, method, request, deadline); },
                    id, method, params);
    if (!reply.succeeded)
        throw to_error(reply, method, state->peer);
    return std::move(reply.result);
}

// The peer may have acted on the message.
base::error peer_client::unreadable_reply(const std::string& method,
                                          std::string_view reason) const
{
    log::write(event_malformed_message,
               {{"peer", impl_->peer}, {"reason", reason}});
    return impl_->failure(base::error_code::cut_off, method, reason);
}

const net::endpoint& peer_client::address() const
{
    return impl_->where;
}

std::optional<peer_identity> peer_client::remote() const
{
    if (!impl_->current || !impl_->current->stream->is_open())
        return std::nullopt;
    return impl_->current->remote;
}

void peer_client::stop()
{
    impl_->stopped = true;
    if (impl_->current)
        impl_->current->stream->close();
    impl_->readers.join();
}

} // namespace pimentograde::peer
