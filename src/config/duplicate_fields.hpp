#ifndef PIMENTOGRADE_CONFIG_DUPLICATE_FIELDS_HPP
#define PIMENTOGRADE_CONFIG_DUPLICATE_FIELDS_HPP

#include "config/field_reader.hpp"

#include <string_view>

namespace pimentograde::config
{

/// Finds fields that occur twice in one object of a JSON text. Boost.JSON
/// keeps the last one silently, so that a reviewer may read a value that is
/// not in force. Malformed text yields what was found before the fault.
fault_list find_duplicate_fields(std::string_view text);

} // namespace pimentograde::config

#endif
