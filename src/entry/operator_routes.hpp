#ifndef PIMENTOGRADE_ENTRY_OPERATOR_ROUTES_HPP
#define PIMENTOGRADE_ENTRY_OPERATOR_ROUTES_HPP

#include "entry/operator_listener.hpp"
#include "entry/services.hpp"

namespace pimentograde::entry
{

/// Adds the operators' interface to a listener: status and dump, bundle,
/// fleet, jobs.
void add_operator_routes(operator_listener::builder& listener, services& all);

/// Versions and times of adoption on every member, for `bundle status`.
boost::json::object bundle_status(services& all);

} // namespace pimentograde::entry

#endif
