#include "peer/rpc_codec.hpp"

#include <jsonrpccpp/client.h>

#include <exception>

namespace pimentograde
{
namespace peer
{

namespace
{

// Start of each request that the library writes.
constexpr char library_id[] = "{\"id\":1,";
constexpr std::size_t library_id_bytes = sizeof library_id - 1;

// The library declares that only its own exception leaves SendRPCMessage;
// others would end the process and are carried past it in `failure`.
class exchange_connector : public jsonrpc::IClientConnector
{
public:
    exchange_connector(const rpc_exchange& exchange, std::uint64_t id)
        : exchange_(exchange), id_(id)
    {
    }

    void SendRPCMessage(const std::string& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override
    {
        try
        {
            if (message.compare(0, library_id_bytes, library_id) != 0)
                throw std::logic_error("unexpected request format");
            result = exchange_("{\"id\":" + std::to_string(id_) + "," +
                               message.substr(library_id_bytes));
            return;
        }
        catch (...)
        {
            failure = std::current_exception();
        }
        throw jsonrpc::JsonRpcException(
            jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }

    std::exception_ptr failure;

private:
    const rpc_exchange& exchange_;
    std::uint64_t id_;
};

} // namespace

rpc_reply call_method(const rpc_exchange& exchange, std::uint64_t id,
                      const std::string& method, const Json::Value& params)
{
    exchange_connector connector(exchange, id);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    rpc_reply reply;
    reply.succeeded = false;
    reply.code = 0;
    try
    {
        client.CallMethod(method, params, reply.result);
        reply.succeeded = true;
    }
    catch (const jsonrpc::JsonRpcException& failure)
    {
        reply.code = failure.GetCode();
        reply.data = failure.GetData();
    }
    if (connector.failure)
        std::rethrow_exception(connector.failure);
    return reply;
}

} // namespace peer
} // namespace pimentograde
