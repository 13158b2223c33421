#include "cli/plain_printer.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace pimentograde::cli
{

namespace json = boost::json;

namespace
{

constexpr std::size_t indent_width = 2;

bool is_table(const json::value& value)
{
    if (!value.is_array() || value.get_array().empty())
        return false;
    const json::array& rows = value.get_array();
    return std::all_of(rows.begin(), rows.end(),
                       [](const json::value& row) { return row.is_object(); });
}

std::string cell_text(const json::value& value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (value.is_null())
        return "-";
    return json::serialize(value);
}

void print_row(std::ostream& out, std::size_t indent,
               const std::vector<std::string>& cells,
               const std::vector<std::size_t>& widths)
{
    std::string line(indent, ' ');
    for (std::size_t i = 0; i < cells.size(); ++i)
    {
        line += cells[i];
        line.append(widths[i] - std::min(widths[i], cells[i].size()) +
                        indent_width,
                    ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

void print_table(std::ostream& out, const json::array& rows, std::size_t indent)
{
    std::vector<std::string> columns;
    for (const json::value& row : rows)
        for (const auto& member : row.get_object())
            if (std::find(columns.begin(), columns.end(),
                          std::string(member.key())) == columns.end())
                columns.emplace_back(member.key());
    std::vector<std::vector<std::string>> lines{columns};
    for (const json::value& row : rows)
    {
        std::vector<std::string> cells;
        for (const std::string& column : columns)
        {
            const json::value* cell = row.get_object().if_contains(column);
            cells.push_back(cell == nullptr ? "-" : cell_text(*cell));
        }
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : lines)
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    for (const auto& line : lines)
        print_row(out, indent, line, widths);
}

void print_value(std::ostream& out, const json::value& value,
                 std::size_t indent);

void print_member(std::ostream& out, std::string_view name,
                  const json::value& value, std::size_t indent)
{
    out << std::string(indent, ' ') << name << ':';
    const bool is_nested =
        is_table(value) || (value.is_object() && !value.get_object().empty());
    if (!is_nested)
    {
        out << ' ' << cell_text(value) << '\n';
        return;
    }
    out << '\n';
    print_value(out, value, indent + indent_width);
}

void print_value(std::ostream& out, const json::value& value,
                 std::size_t indent)
{
    if (is_table(value))
        return print_table(out, value.get_array(), indent);
    if (!value.is_object())
    {
        out << std::string(indent, ' ') << cell_text(value) << '\n';
        return;
    }
    for (const auto& member : value.get_object())
        print_member(out, member.key(), member.value(), indent);
}

} // namespace

void print_plain(std::ostream& out, const json::value& value)
{
    print_value(out, value, 0);
}

} // namespace pimentograde::cli
