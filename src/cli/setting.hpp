#ifndef PIMENTOGRADE_CLI_SETTING_HPP
#define PIMENTOGRADE_CLI_SETTING_HPP

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::cli
{

/// One setting: a flag, its environment variable, its default and its check.
struct setting
{
    std::string_view flag;
    std::string_view variable;
    std::string_view default_value;
    std::string_view help;
    /// What a valid value is, for the error message.
    std::string_view expected;
    std::function<bool(const std::string&)> is_valid;
    /// Secrets are read from the environment only and never printed.
    bool secret = false;
    bool required = false;
};

/// Values by flag name.
using setting_values = std::map<std::string, std::string, std::less<>>;

/// Reads an environment variable; empty when it is not set.
using environment =
    std::function<std::optional<std::string>(std::string_view name)>;

/// The process's environment.
environment process_environment();

/// Combines flags, environment and defaults, in this order of precedence, and
/// checks each value. Throws `base::error` that lists every fault, one line
/// each, with the setting, the value and what was expected.
setting_values resolve(std::span<const setting> settings,
                       const setting_values& flags, const environment& env);

/// Settings of `pimentograde serve`.
std::span<const setting> serve_settings();
/// Settings of `pimentograde node`.
std::span<const setting> node_settings();
/// Settings that all operator commands share.
std::span<const setting> client_settings();

/// The table of all settings in Markdown, as it stands in docs/settings.md.
std::string settings_markdown();

} // namespace pimentograde::cli

#endif
