#ifndef PIMENTOGRADE_ENTRY_ENTRY_SETTINGS_HPP
#define PIMENTOGRADE_ENTRY_ENTRY_SETTINGS_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "config/bundle.hpp"
#include "net/endpoint.hpp"

#include <string>
#include <vector>

namespace pimentograde::entry
{

/// Settings of one entry instance; `docs/settings.md` explains each.
struct entry_settings
{
    base::member_id id;
    base::zone_name zone;
    net::endpoint caller_listen;
    net::endpoint operator_listen;
    net::endpoint peer_listen;
    net::endpoint store;
    net::endpoint instance_list;
    std::vector<net::endpoint> peers;
    std::string peer_secret;
    int store_writes_per_second = 300;
    int job_concurrency = 64;
    base::duration stop_time = std::chrono::seconds{60};
    std::vector<config::operator_entry> bootstrap_operators;
};

} // namespace pimentograde::entry

#endif
