#ifndef PIMENTOGRADE_PROVIDER_INSTANCE_LIST_CLIENT_HPP
#define PIMENTOGRADE_PROVIDER_INSTANCE_LIST_CLIENT_HPP

#include "net/endpoint.hpp"
#include "provider/worker_operations.hpp"

#include <memory>

namespace pimentograde::provider
{

/// Client of the platform's list of live and leaving instances.
class instance_list_client
{
public:
    class builder
    {
    public:
        builder& address(net::endpoint where);
        std::unique_ptr<instance_list_client> build();

    private:
        net::endpoint where_;
    };

    ~instance_list_client();
    instance_list_client(const instance_list_client&) = delete;
    instance_list_client& operator=(const instance_list_client&) = delete;

    /// The hooks call this client, which has to outlive them.
    instance_list_operations operations();

private:
    struct impl;
    explicit instance_list_client(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::provider

#endif
