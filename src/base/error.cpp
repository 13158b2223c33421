#include "base/error.hpp"

#include <utility>

namespace pimentograde::base
{

std::string_view to_string(error_code code)
{
    switch (code)
    {
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::refused:
        return "refused";
    case error_code::conflict:
        return "conflict";
    case error_code::invalid:
        return "invalid";
    case error_code::not_found:
        return "not_found";
    case error_code::unauthorized:
        return "unauthorized";
    case error_code::too_large:
        return "too_large";
    case error_code::cut_off:
        return "cut_off";
    case error_code::internal:
        break;
    }
    return "internal";
}

namespace
{

std::string compose(error_code code, std::string_view step,
                    std::string_view peer, std::string_view detail)
{
    std::string text{step};
    if (!peer.empty())
        text.append(" (").append(peer).append(")");
    text.append(": ").append(to_string(code));
    if (!detail.empty())
        text.append(": ").append(detail);
    return text;
}

} // namespace

error::error(error_code code, std::string step, std::string peer,
             std::string_view detail)
    : std::runtime_error(compose(code, step, peer, detail)), code_(code),
      step_(std::move(step)), peer_(std::move(peer)), detail_(detail)
{
}

} // namespace pimentograde::base
