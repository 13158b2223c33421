#ifndef PIMENTOGRADE_ENTRY_ACCESS_CONTROL_HPP
#define PIMENTOGRADE_ENTRY_ACCESS_CONTROL_HPP

#include "base/key_table.hpp"
#include "base/strong_id.hpp"
#include "config/bundle.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::entry
{

struct caller_identity
{
    base::department_name department;
    base::caller_name caller;
};

struct operator_identity
{
    std::string name;
    config::operator_role role = config::operator_role::viewer;
};

/// Finds callers and operators by the SHA-256 of their bearer token.
class access_control
{
public:
    /// Operators that are accepted while no bundle is in force.
    explicit access_control(std::span<const config::operator_entry> bootstrap);

    /// Replaces all callers and operators by those of a bundle in force.
    void use(const config::bundle& in_force);

    [[nodiscard]] std::optional<caller_identity>
    find_caller(std::string_view token) const;
    [[nodiscard]] std::optional<operator_identity>
    find_operator(std::string_view token) const;

private:
    base::key_table<caller_identity> callers_;
    base::key_table<operator_identity> operators_;
};

/// Parses the setting `bootstrap-operators`, which is checked already:
/// `NAME:ROLE:SHA256`, separated by commas.
std::vector<config::operator_entry>
parse_bootstrap_operators(std::string_view text);

} // namespace pimentograde::entry

#endif
