#ifndef PIMENTOGRADE_LOG_BOUNDED_OUTPUT_HPP
#define PIMENTOGRADE_LOG_BOUNDED_OUTPUT_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string_view>

namespace pimentograde::log
{

/// Writes lines to a descriptor without ever waiting for its reader, and at a
/// bounded rate. Lines beyond that are dropped and counted.
class bounded_output
{
public:
    /// `lines_per_second` is also the largest number of lines at once.
    bounded_output(int descriptor, double lines_per_second);

    /// Longer lines are cut. A dropped line is reported before the next one
    /// that is written.
    void write(std::string_view line, base::time_point now);
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    [[nodiscard]] bool take_token(base::time_point now);
    [[nodiscard]] bool put(std::string_view line) const;

    int descriptor_;
    double rate_;
    double tokens_;
    base::time_point filled_at_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

/// Sends the log to standard output, bounded. Call after `configure`.
void use_bounded_standard_output();

} // namespace pimentograde::log

#endif
