#ifndef PIMENTOGRADE_BASE_ERROR_HPP
#define PIMENTOGRADE_BASE_ERROR_HPP

#include <stdexcept>
#include <string>
#include <string_view>

namespace pimentograde::base
{

enum class error_code
{
    /// The peer could not be reached; nothing was sent.
    unavailable,
    /// No response before the deadline; the effect is unknown.
    timeout,
    /// The peer refused; nothing was done.
    refused,
    /// The state at the peer differs from the expected one; nothing was done.
    conflict,
    /// The message or value is malformed.
    invalid,
    not_found,
    unauthorized,
    too_large,
    /// The connection broke after something was sent; the effect is unknown.
    cut_off,
    /// The peer failed unexpectedly; the effect is unknown.
    internal
};

std::string_view to_string(error_code code);

/// The project's exception: what failed, at which step, with which peer.
class error : public std::runtime_error
{
public:
    error(error_code code, std::string step, std::string peer,
          std::string_view detail);

    [[nodiscard]] error_code code() const { return code_; }
    [[nodiscard]] const std::string& step() const { return step_; }
    [[nodiscard]] const std::string& peer() const { return peer_; }
    [[nodiscard]] const std::string& detail() const { return detail_; }

    /// Whether the peer may have acted on the call although it failed.
    [[nodiscard]] bool effect_unknown() const
    {
        return code_ == error_code::timeout || code_ == error_code::cut_off ||
               code_ == error_code::internal;
    }

private:
    error_code code_;
    std::string step_;
    std::string peer_;
    std::string detail_;
};

} // namespace pimentograde::base

#endif
