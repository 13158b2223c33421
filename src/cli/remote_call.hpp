#ifndef PIMENTOGRADE_CLI_REMOTE_CALL_HPP
#define PIMENTOGRADE_CLI_REMOTE_CALL_HPP

#include "base/time.hpp"
#include "cli/setting.hpp"
#include "net/endpoint.hpp"
#include "net/http_client.hpp"

#include <boost/json/value.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::cli
{

/// Replaces each `{}` of `path` by the next argument, percent-encoded.
std::string fill_path(std::string_view path,
                      std::span<const std::string> arguments);

/// Calls to one listener of an entry instance, with the token and the time
/// limit of the settings.
class remote_call
{
public:
    /// `endpoint_flag` names the setting that holds the address.
    remote_call(const setting_values& settings, std::string_view endpoint_flag);

    /// Returns the JSON body of a response with status 2xx. Throws
    /// `base::error` with the instance's own error otherwise.
    boost::json::value send(std::string_view method, const std::string& path,
                            std::string body);

    /// Like `send`, but also returns the body of any other status when it
    /// holds a caller's result.
    boost::json::value send_for_result(std::string_view method,
                                       const std::string& path,
                                       std::string body);

    /// Whether the time limit is over.
    [[nodiscard]] bool is_expired() const;

private:
    net::http_response exchange(std::string_view method,
                                const std::string& path, std::string body);

    std::unique_ptr<net::http_client> client_;
    net::endpoint where_;
    std::string authorization_;
    base::time_point deadline_;
};

} // namespace pimentograde::cli

#endif
