#ifndef PIMENTOGRADE_LOG_EVENT_HPP
#define PIMENTOGRADE_LOG_EVENT_HPP

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pimentograde::log
{

enum class severity
{
    debug,
    info,
    warning,
    error
};

std::string_view to_string(severity level);

/// A numbered kind of event, printed as `PG-1001`. Each package declares its
/// own in `<package>/events.hpp`; `docs/events.md` explains each, and a test
/// compares the two.
struct event
{
    int number;
    severity level;
    std::string_view text;
};

/// One named value of an event.
struct field
{
    field(std::string_view field_name, std::string_view field_value)
        : name(field_name), value(field_value)
    {
    }
    field(std::string_view field_name, const char* field_value)
        : name(field_name), value(field_value)
    {
    }
    template <class Number>
    requires std::integral<Number> || std::floating_point<Number>
    field(std::string_view field_name, Number field_value)
        : name(field_name), value(std::to_string(field_value))
    {
    }

    std::string_view name;
    std::string value;
};

enum class format
{
    plain,
    json
};

/// Starts logging to standard error. Call once, before other threads start.
void configure(format line_format, severity lowest_level,
               std::string_view process_name);

/// Writes one line. Does nothing before `configure`.
void write(const event& kind, std::initializer_list<field> fields = {});

} // namespace pimentograde::log

#endif
