#ifndef PIMENTOGRADE_PLATFORM_WORKER_ENTRY_HPP
#define PIMENTOGRADE_PLATFORM_WORKER_ENTRY_HPP

#include "jobs/worker_view.hpp"

#include <boost/json/object.hpp>

#include <string_view>

namespace pimentograde::platform
{

/// Reads what a worker tells of itself under `id`. Throws `base::error` with
/// `invalid` for an entry that names no worker to use.
jobs::worker_description read_worker_entry(std::string_view id,
                                           std::string_view text);

/// Throws `base::error` with `invalid` for an amount out of range.
jobs::resource_amount read_capacity(const boost::json::object& source);

} // namespace pimentograde::platform

#endif
