#ifndef PIMENTOGRADE_CAPACITY_FLEET_CODEC_HPP
#define PIMENTOGRADE_CAPACITY_FLEET_CODEC_HPP

#include "capacity/fleet_state.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace pimentograde::capacity
{

/// The document as JSON. Fields with their default value are left out: 400
/// workers take about 40 KB.
boost::json::object to_json(const fleet_state& state);

std::string encode(const fleet_state& state);

/// Inverse of `encode`. Throws `base::error` with `invalid` and the path of the
/// first fault for anything that `encode` would not have written, such as an
/// unknown or repeated member, or a worker that is listed twice.
fleet_state decode(std::string_view text);

} // namespace pimentograde::capacity

#endif
