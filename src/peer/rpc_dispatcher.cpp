#include "peer/rpc_dispatcher.hpp"

#include "log/event.hpp"
#include "peer/events.hpp"
#include "peer/json_text.hpp"
#include "peer/rpc_errors.hpp"

#include <jsonrpccpp/server.h>

#include <utility>

namespace pimentograde::peer
{

namespace
{

// Hands one request to the library and keeps the response.
class memory_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* target) override
    {
        *static_cast<std::string*>(target) = response;
        return true;
    }
};

jsonrpc::JsonRpcException to_rpc_exception(const base::error& failure)
{
    return {application_error, std::string(base::to_string(failure.code())),
            error_data(failure)};
}

} // namespace

struct rpc_dispatcher::impl : jsonrpc::IProcedureInvokationHandler
{
    impl(const method_table& table, call_context circumstances)
        : methods(table), context(std::move(circumstances)),
          protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (const auto& entry : methods)
            protocol->AddProcedure(
                jsonrpc::Procedure(entry.first, jsonrpc::PARAMS_BY_NAME,
                                   jsonrpc::JSON_OBJECT, nullptr));
        connector.SetHandler(protocol.get());
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          const Json::Value& input,
                          Json::Value& output) override;
    void HandleNotificationCall(jsonrpc::Procedure&,
                                const Json::Value&) override
    {
    }

    const method_table& methods;
    call_context context;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    memory_connector connector;
};

void rpc_dispatcher::impl::HandleMethodCall(jsonrpc::Procedure& procedure,
                                            const Json::Value& input,
                                            Json::Value& output)
{
    try
    {
        output = methods.at(procedure.GetProcedureName())(context, input);
    }
    catch (const base::error& failure)
    {
        throw to_rpc_exception(failure);
    }
    catch (const std::exception& failure)
    {
        log::write(event_call_failed, {{"peer", context.from.member.str()},
                                       {"method", procedure.GetProcedureName()},
                                       {"reason", failure.what()}});
        throw to_rpc_exception(base::error(base::error_code::internal,
                                           procedure.GetProcedureName(), "",
                                           "unexpected failure"));
    }
}

rpc_dispatcher::rpc_dispatcher(const method_table& methods,
                               call_context context)
    : impl_(std::make_unique<impl>(methods, std::move(context)))
{
}

rpc_dispatcher::~rpc_dispatcher() = default;

std::string rpc_dispatcher::respond(const std::string& request)
{
    if (!is_bounded_object(request))
    {
        // An array would be a batch: many calls in one, beyond the bound on
        // concurrent calls.
        log::write(event_malformed_message,
                   {{"peer", impl_->context.from.member.str()},
                    {"reason", "not one JSON object within bounds"}});
        return error_response(message_id(request).value_or(0),
                              base::error(base::error_code::invalid, "message",
                                          "", "not one JSON object"));
    }
    std::string response;
    impl_->connector.OnRequest(request, &response);
    return response;
}

} // namespace pimentograde::peer
