#include "provider/instance_list_client.hpp"

#include "provider/json_exchange.hpp"

#include <utility>

namespace pimentograde::provider
{

struct instance_list_client::impl
{
    net::endpoint where;
    std::unique_ptr<net::http_client> client;

    std::vector<listed_instance> list(base::time_point deadline);
};

std::vector<listed_instance>
instance_list_client::impl::list(base::time_point deadline)
{
    const auto response = exchange(
        *client, {where, "/v1/instances", "instance list", deadline}, {});
    std::vector<listed_instance> instances;
    for (const response_reader& element : response.elements("instances"))
    {
        const std::string state = element.text("state");
        if (state != "live" && state != "leaving")
            element.fail("unknown instance state");
        instances.push_back(
            {base::worker_id(element.text("id")),
             state == "live" ? listed_state::live : listed_state::leaving});
        if (instances.back().id.empty())
            element.fail("instance without an id");
    }
    return instances;
}

instance_list_client::builder&
instance_list_client::builder::address(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

std::unique_ptr<instance_list_client> instance_list_client::builder::build()
{
    auto state = std::make_unique<impl>();
    state->where = where_;
    state->client = net::http_client::builder{}.max_idle(1).build();
    return std::unique_ptr<instance_list_client>(
        new instance_list_client(std::move(state)));
}

instance_list_client::instance_list_client(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

instance_list_client::~instance_list_client() = default;

instance_list_operations instance_list_client::operations()
{
    return {[self = impl_.get()](base::time_point deadline)
            {
                return self->list(deadline);
            }};
}

} // namespace pimentograde::provider
