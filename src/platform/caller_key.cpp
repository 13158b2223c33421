#include "platform/caller_key.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace pimentograde::platform
{

namespace
{

constexpr std::string_view key_field = "Authorization";
constexpr std::string_view key_scheme = "Token";

bool is_visible(char symbol)
{
    return symbol > ' ' && symbol <= '~';
}

} // namespace

caller_key read_key(const net::http_request& call)
{
    using kind = caller_key::kind;
    const net::http_field* field = nullptr;
    for (const net::http_field& entry : call.headers)
    {
        if (!boost::algorithm::iequals(entry.first, key_field))
            continue;
        if (field != nullptr)
            return {kind::repeated, {}};
        field = &entry;
    }
    if (field == nullptr)
        return {kind::missing, {}};
    const std::string_view value = field->second;
    const std::size_t end = std::min(value.find(' '), value.size());
    const std::string_view scheme = value.substr(0, end);
    const std::string_view key = value.substr(std::min(end + 1, value.size()));
    if (!std::all_of(scheme.begin(), scheme.end(), is_visible) ||
        !std::all_of(key.begin(), key.end(), is_visible))
        return {kind::malformed, {}};
    if (!boost::algorithm::iequals(scheme, key_scheme))
        return {kind::other_scheme, {}};
    if (key.empty())
        return {kind::empty, {}};
    return {kind::present, key};
}

std::string_view to_string(caller_key::kind outcome)
{
    switch (outcome)
    {
    case caller_key::kind::present:
        return "present";
    case caller_key::kind::missing:
        return "missing";
    case caller_key::kind::other_scheme:
        return "other_scheme";
    case caller_key::kind::empty:
        return "empty";
    case caller_key::kind::repeated:
        return "repeated";
    case caller_key::kind::malformed:
        break;
    }
    return "malformed";
}

} // namespace pimentograde::platform
