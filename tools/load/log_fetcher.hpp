#ifndef PIMENTOGRADE_LOAD_LOG_FETCHER_HPP
#define PIMENTOGRADE_LOAD_LOG_FETCHER_HPP

#include "net/endpoint.hpp"
#include "standin/execution_log.hpp"

#include <vector>

namespace pimentograde::load
{

/// Reads the workers' execution log from the test double's control port.
/// Throws `base::error`.
std::vector<standin::execution> fetch_log(const net::endpoint& control);

} // namespace pimentograde::load

#endif
