#include "cli/log_timeline.hpp"

#include "cli/logged_runs.hpp"
#include "log/events.hpp"
#include "node/events.hpp"
#include "pools/events.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <istream>
#include <optional>
#include <set>

namespace pimentograde::cli
{

namespace json = boost::json;

namespace
{

using milliseconds = std::chrono::milliseconds;

// An owner acts on what it has learnt up to about 10 s before: the longest wait
// for an inherited worker that it has not heard.
constexpr milliseconds context_window{10'000};

constexpr std::array pool_events{
    pools::event_pool_loaded.number,  pools::event_pool_lost.number,
    pools::event_write_failed.number, pools::event_write_recovered.number,
    pools::event_load_failed.number,  pools::event_pool_handover.number,
    node::event_pool_claimed.number,  node::event_pool_handed_over.number};
constexpr std::array process_events{
    log::event_lines_dropped.number, node::event_started.number,
    node::event_stopping.number,     node::event_stopped.number,
    node::event_store_lost.number,   node::event_store_regained.number,
    node::event_lease_lost.number,   node::event_registered.number,
    node::event_paused.number};
constexpr std::array worker_events{pools::event_worker_unreachable.number,
                                   pools::event_worker_reachable.number,
                                   pools::event_worker_restarted.number,
                                   node::event_machine_order.number};

bool is_event(const log_line& line, int number)
{
    return line.event == "PG-" + std::to_string(number);
}

template <std::size_t Count>
bool is_one_of(const log_line& line, const std::array<int, Count>& numbers)
{
    return std::any_of(numbers.begin(), numbers.end(),
                       [&](int number) { return is_event(line, number); });
}

bool is_decision(const log_line& line)
{
    return is_event(line, pools::event_decision.number);
}

bool is_word(char letter)
{
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           letter == '-';
}

// `id` occurs in `text` and is not part of a longer name. A task's name begins
// with its job's and a dot.
bool names(std::string_view text, std::string_view id)
{
    for (auto at = text.find(id); at != std::string_view::npos;
         at = text.find(id, at + 1))
    {
        const auto end = at + id.size();
        const bool begins = at == 0 || !is_word(text[at - 1]);
        if (begins && (end == text.size() || !is_word(text[end])))
            return true;
    }
    return false;
}

// Ids of jobs are longer, and may consist of digits too.
constexpr std::size_t max_wave_digits = 10;

bool is_wave_number(std::string_view id)
{
    return id.size() <= max_wave_digits &&
           std::all_of(id.begin(), id.end(),
                       [](unsigned char letter)
                       { return std::isdigit(letter) != 0; });
}

std::optional<log_line> parse_line(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    json::error_code failure;
    const json::value value = json::parse(text.substr(begin), failure);
    if (failure || !value.is_object())
        return std::nullopt;
    log_line line;
    for (const auto& [name, member] : value.get_object())
    {
        const std::string content = member.is_string()
                                        ? std::string(member.get_string())
                                        : json::serialize(member);
        if (name == "time")
            line.time = content;
        else if (name == "process")
            line.process = content;
        else if (name == "event")
            line.event = content;
        else if (name == "text")
            line.text = content;
        else if (name != "level")
            line.fields.emplace_back(name, content);
    }
    if (line.time.empty() || line.process.empty() || line.event.empty())
        return std::nullopt;
    return line;
}

std::optional<int> number_at(std::string_view text, std::size_t at,
                             std::size_t length)
{
    int number = 0;
    if (text.size() < at + length)
        return std::nullopt;
    const char* end = text.data() + at + length;
    const auto parsed = std::from_chars(text.data() + at, end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

// Parses `2026-12-06T01:32:13.314Z`.
std::optional<milliseconds> time_of(std::string_view text)
{
    const auto year = number_at(text, 0, 4);
    const auto month = number_at(text, 5, 2);
    const auto day = number_at(text, 8, 2);
    const auto hour = number_at(text, 11, 2);
    const auto minute = number_at(text, 14, 2);
    const auto second = number_at(text, 17, 2);
    const auto fraction = number_at(text, 20, 3);
    if (!year || !month || !day || !hour || !minute || !second || !fraction)
        return std::nullopt;
    const std::chrono::sys_days date = std::chrono::year{*year} /
                                       std::chrono::month(*month) /
                                       std::chrono::day(*day);
    return date.time_since_epoch() + std::chrono::hours{*hour} +
           std::chrono::minutes{*minute} + std::chrono::seconds{*second} +
           milliseconds{*fraction};
}

} // namespace

std::string_view log_line::value_of(std::string_view name) const
{
    for (const auto& [field, value] : fields)
        if (field == name)
            return value;
    return {};
}

struct log_timeline::impl
{
    /// What the lines that name the id refer to.
    struct relations
    {
        std::set<std::string, std::less<>> processes;
        std::set<std::string, std::less<>> pools;
        std::set<std::string, std::less<>> workers;
        /// Fences are unique among the owners of all pools.
        std::set<std::string, std::less<>> fences;
    };

    bool is_named(const log_line& line) const;
    static bool is_context(const log_line& line);
    relations related() const;
    static bool is_related(const log_line& line, const relations& to);
    void add_context(std::vector<log_line>& lines) const;

    std::string id;
    std::vector<log_line> named;
    std::vector<log_line> context;
    std::size_t unreadable = 0;
};

bool log_timeline::impl::is_named(const log_line& line) const
{
    if (is_wave_number(id))
        return line.value_of("wave") == id;
    return std::any_of(line.fields.begin(), line.fields.end(),
                       [&](const auto& field)
                       { return names(field.second, id); });
}

bool log_timeline::impl::is_context(const log_line& line)
{
    return is_one_of(line, pool_events) || is_one_of(line, process_events) ||
           is_one_of(line, worker_events) ||
           (is_decision(line) && line.value_of("job").empty());
}

log_timeline::impl::relations log_timeline::impl::related() const
{
    relations found;
    for (const log_line& line : named)
    {
        found.processes.insert(line.process);
        if (const auto pool = line.value_of("pool"); !pool.empty())
            found.pools.emplace(pool);
        if (const auto worker = line.value_of("worker"); !worker.empty())
            found.workers.emplace(worker);
        if (is_decision(line))
            found.fences.emplace(line.value_of("fence"));
        for (const logged_start& start : starts_in(line))
            found.workers.insert(start.worker);
    }
    for (const log_line& line : context)
        if (const auto pool = line.value_of("pool");
            !pool.empty() && found.fences.contains(line.value_of("fence")))
            found.pools.emplace(pool);
    for (const log_line& line : context)
        if (is_one_of(line, pool_events) &&
            found.pools.contains(line.value_of("pool")))
        {
            found.processes.insert(line.process);
            if (const auto fence = line.value_of("fence"); !fence.empty())
                found.fences.emplace(fence);
        }
    return found;
}

bool log_timeline::impl::is_related(const log_line& line, const relations& to)
{
    if (is_one_of(line, pool_events))
        return to.pools.contains(line.value_of("pool"));
    if (is_one_of(line, process_events))
        return to.processes.contains(line.process);
    if (const auto worker = line.value_of("worker"); !worker.empty())
        return to.workers.contains(worker);
    return is_decision(line) && to.fences.contains(line.value_of("fence"));
}

void log_timeline::impl::add_context(std::vector<log_line>& lines) const
{
    std::optional<milliseconds> first;
    std::optional<milliseconds> last;
    for (const log_line& line : named)
        if (const auto time = time_of(line.time))
        {
            first = std::min(first.value_or(*time), *time);
            last = std::max(last.value_or(*time), *time);
        }
    if (!first)
        return;
    const relations to = related();
    for (const log_line& line : context)
    {
        const auto time = time_of(line.time);
        if (!time || *time < *first - context_window ||
            *time > *last + context_window)
            continue;
        if (is_related(line, to))
            lines.push_back(line);
    }
}

log_timeline::log_timeline(std::string id) : impl_(std::make_unique<impl>())
{
    impl_->id = std::move(id);
}

log_timeline::~log_timeline() = default;

void log_timeline::read(std::istream& logs)
{
    for (std::string text; std::getline(logs, text);)
    {
        auto line = parse_line(text);
        if (!line)
            impl_->unreadable += text.empty() ? 0 : 1;
        else if (impl_->is_named(*line))
            impl_->named.push_back(std::move(*line));
        else if (impl::is_context(*line))
            impl_->context.push_back(std::move(*line));
    }
}

explanation log_timeline::explain() const
{
    explanation result;
    result.lines = impl_->named;
    impl_->add_context(result.lines);
    std::stable_sort(result.lines.begin(), result.lines.end(),
                     [](const log_line& left, const log_line& right)
                     { return left.time < right.time; });
    result.starts = starts_of(result.lines, impl_->id);
    result.warnings = contradictions_of(result.starts);
    for (const log_line& line : result.lines)
        if (is_event(line, log::event_lines_dropped.number))
            result.warnings.push_back(line.process + " dropped " +
                                      std::string(line.value_of("lines")) +
                                      " lines before " + line.time);
    if (impl_->unreadable > 0)
        result.warnings.push_back(std::to_string(impl_->unreadable) +
                                  " lines could not be read");
    return result;
}

} // namespace pimentograde::cli
