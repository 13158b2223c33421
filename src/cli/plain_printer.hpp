#ifndef PIMENTOGRADE_CLI_PLAIN_PRINTER_HPP
#define PIMENTOGRADE_CLI_PLAIN_PRINTER_HPP

#include <boost/json/fwd.hpp>

#include <iosfwd>

namespace pimentograde::cli
{

/// Prints a JSON value for people: an object as `name: value` lines, an array
/// of objects as a table with one column for each member name, nested values
/// indented below their name.
void print_plain(std::ostream& out, const boost::json::value& value);

} // namespace pimentograde::cli

#endif
