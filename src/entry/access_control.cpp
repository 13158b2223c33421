#include "entry/access_control.hpp"

#include <algorithm>

namespace pimentograde::entry
{

namespace
{

config::operator_role parse_role(std::string_view word)
{
    if (word == "author")
        return config::operator_role::author;
    if (word == "reviewer")
        return config::operator_role::reviewer;
    return config::operator_role::viewer;
}

} // namespace

access_control::access_control(
    std::span<const config::operator_entry> bootstrap)
{
    for (const auto& entry : bootstrap)
        operators_.add(entry.token_sha256, {entry.name, entry.role});
}

void access_control::use(const config::bundle& in_force)
{
    callers_.clear();
    operators_.clear();
    for (const auto& department : in_force.departments)
        for (const auto& caller : department.callers)
            callers_.add(caller.token_sha256, {department.name, caller.name});
    for (const auto& entry : in_force.operators)
        operators_.add(entry.token_sha256, {entry.name, entry.role});
}

std::optional<caller_identity>
access_control::find_caller(std::string_view token) const
{
    const caller_identity* found = callers_.find(token);
    return found == nullptr ? std::nullopt : std::optional(*found);
}

std::optional<operator_identity>
access_control::find_operator(std::string_view token) const
{
    const operator_identity* found = operators_.find(token);
    return found == nullptr ? std::nullopt : std::optional(*found);
}

std::vector<config::operator_entry>
parse_bootstrap_operators(std::string_view text)
{
    std::vector<config::operator_entry> entries;
    while (!text.empty())
    {
        const auto end = std::min(text.find(','), text.size());
        const std::string_view part = text.substr(0, end);
        const auto first = part.find(':');
        const auto second = part.find(':', first + 1);
        entries.push_back(
            {std::string(part.substr(0, first)),
             parse_role(part.substr(first + 1, second - first - 1)),
             std::string(part.substr(second + 1))});
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return entries;
}

} // namespace pimentograde::entry
