#include "log/event.hpp"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace pimentograde::log
{

namespace
{

struct state
{
    bool configured = false;
    format line_format = format::plain;
    severity lowest_level = severity::info;
    std::string process_name;
    boost::log::sources::logger logger;
};

state& global_state()
{
    static state instance;
    return instance;
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                            now.time_since_epoch())
                            .count() %
                        1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%03dZ", date,
                  static_cast<int>(millis));
    return text;
}

std::string json_line(const state& settings, const event& kind,
                      std::initializer_list<field> fields)
{
    boost::json::object line;
    line["time"] = timestamp();
    line["level"] = to_string(kind.level);
    line["event"] = "PG-" + std::to_string(kind.number);
    line["text"] = kind.text;
    line["process"] = settings.process_name;
    for (const field& entry : fields)
        line[entry.name] = entry.value;
    return boost::json::serialize(line);
}

std::string plain_line(const state& settings, const event& kind,
                       std::initializer_list<field> fields)
{
    std::string line = timestamp();
    line.append(" ").append(to_string(kind.level));
    line.append(" PG-").append(std::to_string(kind.number));
    line.append(" [").append(settings.process_name).append("] ");
    line.append(kind.text);
    for (const field& entry : fields)
    {
        line.append(" ").append(entry.name).append("=");
        // Quoted as JSON so that a value cannot forge a line or a field.
        if (entry.value.find_first_of(" \"\n\r\t=") == std::string::npos)
            line.append(entry.value);
        else
            line.append(boost::json::serialize(
                boost::json::value(boost::json::string(entry.value))));
    }
    return line;
}

} // namespace

std::string_view to_string(severity level)
{
    switch (level)
    {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        break;
    }
    return "error";
}

void configure(format line_format, severity lowest_level,
               std::string_view process_name)
{
    namespace sinks = boost::log::sinks;
    state& settings = global_state();
    settings.line_format = line_format;
    settings.lowest_level = lowest_level;
    settings.process_name = process_name;
    if (settings.configured)
        return;
    settings.configured = true;
    // The reader of the log may go; that must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream*) {}));
    backend->auto_flush(true);
    using sink = sinks::synchronous_sink<sinks::text_ostream_backend>;
    boost::log::core::get()->add_sink(boost::make_shared<sink>(backend));
}

void write(const event& kind, std::initializer_list<field> fields)
{
    state& settings = global_state();
    if (!settings.configured || kind.level < settings.lowest_level)
        return;
    const std::string line = settings.line_format == format::json
                                 ? json_line(settings, kind, fields)
                                 : plain_line(settings, kind, fields);
    BOOST_LOG(settings.logger) << line;
}

} // namespace pimentograde::log
