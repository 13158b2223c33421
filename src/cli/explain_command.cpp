#include "cli/explain_command.hpp"

#include "base/error.hpp"
#include "cli/log_timeline.hpp"
#include "cli/plain_printer.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <span>
#include <string>

namespace pimentograde::cli
{

namespace json = boost::json;

namespace
{

constexpr std::string_view standard_input = "-";

json::value fields_of(const log_line& line, bool as_json)
{
    if (as_json)
    {
        json::object members;
        for (const auto& [name, value] : line.fields)
            members[name] = value;
        return members;
    }
    std::string text;
    for (const auto& [name, value] : line.fields)
        if (!value.empty())
            text.append(text.empty() ? "" : " ")
                .append(name)
                .append("=")
                .append(value);
    return json::string(text);
}

json::object to_json(const explanation& found, bool as_json)
{
    json::array lines;
    for (const log_line& line : found.lines)
        lines.push_back(json::object{{"time", line.time},
                                     {"process", line.process},
                                     {"event", line.event},
                                     {"text", line.text},
                                     {"fields", fields_of(line, as_json)}});
    json::array starts;
    for (const logged_start& start : found.starts)
        starts.push_back(json::object{{"task", start.task},
                                      {"run", start.run},
                                      {"worker", start.worker},
                                      {"process", start.process},
                                      {"fence", start.fence},
                                      {"time", start.time},
                                      {"end", start.end},
                                      {"end_time", start.end_time}});
    json::array warnings;
    for (const std::string& warning : found.warnings)
        warnings.push_back(json::object{{"warning", warning}});
    return {{"lines", std::move(lines)},
            {"starts", std::move(starts)},
            {"warnings", std::move(warnings)}};
}

// Plain logs, for example, cannot be read at all.
std::string describe_nothing(const std::string& id,
                             std::span<const std::string> warnings)
{
    std::string text = "no line names " + id;
    for (const std::string& warning : warnings)
        text.append("; ").append(warning);
    return text;
}

exit_code run_explain(command_input& input)
{
    const std::string& id = input.arguments[0];
    const std::string& path = input.arguments[1];
    if (id.empty())
        throw base::error(base::error_code::invalid, "explain", "",
                          "the id is empty");
    log_timeline timeline(id);
    if (path == standard_input)
        timeline.read(std::cin);
    else
    {
        std::ifstream file(path);
        if (!file)
            throw base::error(base::error_code::not_found, "read logs", path,
                              "cannot be opened");
        timeline.read(file);
    }
    const explanation found = timeline.explain();
    if (found.lines.empty())
        throw base::error(base::error_code::not_found, "read logs", path,
                          describe_nothing(id, found.warnings));
    const json::value value = to_json(found, input.json);
    if (input.json)
        input.out << json::serialize(value) << '\n';
    else
        print_plain(input.out, value);
    return exit_code::ok;
}

} // namespace

command explain_command()
{
    return {"explain",
            {"ID", "FILE"},
            "Print the timeline of a job, worker, machine, pool or wave",
            "cat logs/* | pimentograde explain 454ca1fa523d8d90 -",
            {},
            {},
            run_explain};
}

} // namespace pimentograde::cli
