#include "base/error.hpp"
#include "entry/services.hpp"
#include "entry/slot_conversion.hpp"

namespace pimentograde::entry
{

namespace
{

void refuse_while_stopping(bool stopping, const peer::call_context& context)
{
    // Nothing was done, so the other member may handle the work itself.
    if (stopping)
        throw base::error(base::error_code::refused, "submit record",
                          context.from.member.str(), "stopping");
}

} // namespace

peer::slot_answer services::answer_acquire(const peer::call_context& context,
                                           const peer::acquire_slot& message)
{
    const auto request = to_request(message.terms, base::steady_now());
    const auto decision = slots->handle_acquire(context.from.member, request);
    if (decision.grant && !context.connected())
        slots->handle_release(context.from.member, request, *decision.grant,
                              policy::slot_outcome::unused, {});
    return to_answer(decision);
}

peer::slot_answer services::answer_borrow(const peer::call_context& context,
                                          const peer::borrow_slot& message)
{
    return to_answer(slots->handle_borrow(
        context.from.member, to_request(message.terms, base::steady_now())));
}

void services::build_peer_server()
{
    using peer::call_context;
    peers =
        peer::peer_server::builder{}
            .listen_on(settings.peer_listen)
            .authenticate_as({{settings.id, incarnation}, settings.peer_secret})
            .handle<peer::heartbeat>(
                [this](const call_context& context, const peer::heartbeat& beat)
                { return members->receive(context, beat); })
            .handle<peer::leaving>(
                [this](const call_context& context,
                       const peer::leaving& message)
                { return members->receive(context, message); })
            .handle<peer::fetch_document>(
                [this](const call_context&, const peer::fetch_document& message)
                { return documents->receive(message); })
            .handle<peer::push_document>(
                [this](const call_context&, const peer::push_document& message)
                { return documents->receive(message); })
            .handle<peer::acquire_slot>(
                [this](const call_context& context,
                       const peer::acquire_slot& message)
                { return answer_acquire(context, message); })
            .handle<peer::borrow_slot>(
                [this](const call_context& context,
                       const peer::borrow_slot& message)
                { return answer_borrow(context, message); })
            .handle<peer::release_slot>(
                [this](const call_context& context,
                       const peer::release_slot& message)
                {
                    slots->handle_release(
                        context.from.member,
                        to_request(message.terms, base::steady_now()),
                        {message.grant, message.worker, message.pool,
                         settings.id},
                        parse_slot_outcome(message.outcome), message.run_time);
                    return peer::release_reply{true};
                })
            .handle<peer::submit_record>(
                [this](const call_context& context,
                       const peer::submit_record& message)
                {
                    refuse_while_stopping(stopping || !takes_work(), context);
                    return peer::work_reply{
                        router->handle_submit(message.work)};
                })
            .handle<peer::read_record>(
                [this](const call_context&, const peer::read_record& message)
                { return router->handle_read(message); })
            .build();
}

} // namespace pimentograde::entry
