#include "cli/command.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <memory>
#include <ostream>

namespace pimentograde::cli
{

namespace
{

std::size_t word_count(std::string_view name)
{
    return 1 +
           static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

bool matches(const command& candidate, std::span<const char* const> words)
{
    const std::size_t count = word_count(candidate.name);
    if (words.size() < count)
        return false;
    std::string joined = words[0];
    for (std::size_t i = 1; i < count; ++i)
        joined.append(" ").append(words[i]);
    return joined == candidate.name;
}

const command* select(std::span<const command> commands,
                      std::span<const char* const> words)
{
    const command* best = nullptr;
    for (const command& candidate : commands)
        if (matches(candidate, words) &&
            (best == nullptr || candidate.name.size() > best->name.size()))
            best = &candidate;
    return best;
}

void print_overview(std::span<const command> commands, std::ostream& out)
{
    out << "pimentograde " PIMENTOGRADE_VERSION
           ": fleet capacity and maintenance manager\n\n"
           "Usage: pimentograde COMMAND [ARGUMENTS] [--help]\n\nCommands:\n";
    constexpr std::size_t name_width = 24;
    for (const command& entry : commands)
    {
        std::string line(entry.name);
        line.append(name_width - std::min(name_width, line.size()), ' ');
        out << "  " << line << ' ' << entry.help << '\n';
    }
    out << "\nExit status: 0 done, 1 refused or failed, 2 usage, "
           "3 no answer (effect unknown), 4 not authorized.\n";
}

cxxopts::Options make_options(const command& selected)
{
    cxxopts::Options options("pimentograde " + std::string(selected.name),
                             std::string(selected.help));
    std::string positional;
    for (const auto argument : selected.arguments)
        positional.append(positional.empty() ? "" : " ").append(argument);
    options.custom_help(positional + " [OPTIONS]");
    auto add = options.add_options();
    add("h,help", "Print this help");
    add("j,json", "Print JSON");
    for (const setting& entry : selected.settings)
    {
        if (entry.secret)
            continue;
        std::string help =
            std::string(entry.help) + " [" + std::string(entry.variable) + "]";
        if (!entry.default_value.empty())
            help += " (default: " + std::string(entry.default_value) + ")";
        add(std::string(entry.flag), help, cxxopts::value<std::string>());
    }
    for (const command_option& entry : selected.options)
    {
        auto value = entry.is_switch ? std::static_pointer_cast<cxxopts::Value>(
                                           cxxopts::value<bool>())
                                     : cxxopts::value<std::string>();
        add(std::string(entry.name), std::string(entry.help), value);
    }
    return options;
}

void print_help(const command& selected, const cxxopts::Options& options,
                std::ostream& out)
{
    out << options.help() << "\nExample:\n  " << selected.example << '\n';
    for (const setting& entry : selected.settings)
        if (entry.secret)
            out << "\nFrom the environment only: " << entry.variable << ": "
                << entry.help << '\n';
}

exit_code to_exit_code(base::error_code code)
{
    switch (code)
    {
    case base::error_code::unavailable:
    case base::error_code::timeout:
    case base::error_code::cut_off:
        return exit_code::unreachable;
    case base::error_code::unauthorized:
        return exit_code::unauthorized;
    default:
        return exit_code::refused;
    }
}

void print_error(const base::error& failure, bool json, std::ostream& err)
{
    if (!json)
    {
        err << "pimentograde: " << failure.what() << '\n';
        return;
    }
    boost::json::object body{{"error", base::to_string(failure.code())},
                             {"step", failure.step()},
                             {"peer", failure.peer()},
                             {"detail", failure.detail()}};
    err << boost::json::serialize(body) << '\n';
}

exit_code run_selected(const command& selected,
                       const cxxopts::ParseResult& parsed,
                       const environment& env, std::ostream& out,
                       std::ostream& err)
{
    command_input input{{}, parsed.unmatched(), {}, false, out, err};
    input.json = parsed.count("json") > 0;
    if (input.arguments.size() != selected.arguments.size())
    {
        err << "pimentograde " << selected.name << ": expected "
            << selected.arguments.size() << " argument(s), got "
            << input.arguments.size() << "; see --help\n";
        return exit_code::usage;
    }
    setting_values flags;
    for (const setting& entry : selected.settings)
        if (!entry.secret && parsed.count(std::string(entry.flag)) > 0)
            flags[std::string(entry.flag)] =
                parsed[std::string(entry.flag)].as<std::string>();
    for (const command_option& entry : selected.options)
    {
        const std::string name(entry.name);
        const bool is_given = parsed.count(name) > 0;
        std::string value(entry.default_value);
        if (is_given)
            value = entry.is_switch ? "true" : parsed[name].as<std::string>();
        input.options[name] = value;
    }
    try
    {
        input.settings = resolve(selected.settings, flags, env);
    }
    catch (const base::error& failure)
    {
        err << failure.detail() << '\n';
        return exit_code::usage;
    }
    try
    {
        return selected.run(input);
    }
    catch (const base::error& failure)
    {
        print_error(failure, input.json, err);
        return to_exit_code(failure.code());
    }
}

exit_code parse_and_run(const command& selected,
                        std::span<const char* const> words,
                        const environment& env, std::ostream& out,
                        std::ostream& err)
{
    cxxopts::Options options = make_options(selected);
    options.allow_unrecognised_options();
    std::vector<const char*> arguments{"pimentograde"};
    const auto rest = words.subspan(word_count(selected.name));
    arguments.insert(arguments.end(), rest.begin(), rest.end());
    const auto parsed =
        options.parse(static_cast<int>(arguments.size()), arguments.data());
    if (parsed.count("help") > 0)
    {
        print_help(selected, options, out);
        return exit_code::ok;
    }
    for (const std::string& word : parsed.unmatched())
        if (word.size() > 1 && word.front() == '-')
        {
            err << "pimentograde " << selected.name << ": unknown option "
                << word << "; see --help\n";
            return exit_code::usage;
        }
    return run_selected(selected, parsed, env, out, err);
}

} // namespace

exit_code run_command(std::span<const command> commands,
                      std::span<const char* const> words,
                      const environment& env, std::ostream& out,
                      std::ostream& err)
{
    const std::string_view first = words.empty() ? "--help" : words[0];
    if (first == "--help" || first == "-h" || first == "help")
    {
        print_overview(commands, out);
        return words.empty() ? exit_code::usage : exit_code::ok;
    }
    if (first == "--version")
    {
        out << "pimentograde " PIMENTOGRADE_VERSION "\n";
        return exit_code::ok;
    }
    const command* selected = select(commands, words);
    if (selected == nullptr)
    {
        err << "pimentograde: unknown command '" << first
            << "'; see pimentograde --help\n";
        return exit_code::usage;
    }
    try
    {
        return parse_and_run(*selected, words, env, out, err);
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        err << "pimentograde " << selected->name << ": " << failure.what()
            << "; see --help\n";
        return exit_code::usage;
    }
    catch (const std::exception& failure)
    {
        err << "pimentograde " << selected->name
            << ": internal error: " << failure.what() << '\n';
        return exit_code::refused;
    }
}

} // namespace pimentograde::cli
