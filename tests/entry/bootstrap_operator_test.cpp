// Operators of the settings, who are to act only before the first bundle.

#include "base/digest.hpp"
#include "base/error.hpp"
#include "entry/services.hpp"
#include "net/io_scheduler.hpp"
#include "provider/kv_client.hpp"
#include "standin/platform_standin.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

std::unique_ptr<standin::platform_standin> make_platform()
{
    net::this_thread_io();
    return standin::platform_standin::builder{}.seed(20261204).build();
}

entry::entry_settings settings_of(const net::endpoint& store)
{
    entry::entry_settings settings;
    settings.id = base::member_id("e1");
    settings.zone = base::zone_name("z");
    settings.peer_listen = {"127.0.0.1", 0};
    settings.store = store;
    settings.instance_list = {"127.0.0.1", 1};
    settings.peer_secret = "a secret";
    settings.bootstrap_operators = {
        {"ana", config::operator_role::author, base::sha256_hex("ana-token")}};
    return settings;
}

} // namespace

// Guards against a withdrawn key that is in use again after a restart, until
// the instance has read the bundle that withdraws it.
TEST_CASE("bootstrap operators are refused once the store holds a bundle")
{
    const auto platform = make_platform();
    entry::services all(settings_of(platform->store_endpoint()));
    CHECK(all.find_operator("ana-token").has_value());
    CHECK_FALSE(all.find_operator("other-token").has_value());
    const auto store = provider::kv_client::builder{}
                           .store(platform->store_endpoint())
                           .build();
    store->operations().compare_and_swap(rollout::bundle_key, 0, "a bundle",
                                         base::steady_now() + 2s);
    entry::services restarted(settings_of(platform->store_endpoint()));
    CHECK_FALSE(restarted.find_operator("ana-token").has_value());
}

// Guards against the same while the store cannot tell.
TEST_CASE("bootstrap operators are refused while the store does not answer")
{
    net::this_thread_io();
    entry::services all(settings_of({"127.0.0.1", 1}));
    CHECK_THROWS_AS(all.find_operator("ana-token"), base::error);
}
