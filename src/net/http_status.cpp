#include "net/http_status.hpp"

namespace pimentograde::net
{

unsigned status_of(base::error_code code)
{
    switch (code)
    {
    case base::error_code::invalid:
        return 400;
    case base::error_code::unauthorized:
        return 403;
    case base::error_code::not_found:
        return 404;
    case base::error_code::conflict:
        return 409;
    case base::error_code::too_large:
        return 413;
    case base::error_code::refused:
    case base::error_code::unavailable:
        return 503;
    case base::error_code::timeout:
    case base::error_code::cut_off:
        return 504;
    case base::error_code::internal:
        break;
    }
    return 500;
}

std::optional<base::error_code> error_code_of(unsigned status)
{
    switch (status)
    {
    case 400:
        return base::error_code::invalid;
    case 401:
    case 403:
        return base::error_code::unauthorized;
    case 404:
        return base::error_code::not_found;
    case 409:
        return base::error_code::conflict;
    case 413:
    case 431:
        return base::error_code::too_large;
    case 429:
    case 503:
        return base::error_code::refused;
    case 504:
        return base::error_code::timeout;
    default:
        return std::nullopt;
    }
}

} // namespace pimentograde::net
