#include "platform_standin/worker_double.hpp"

#include <boost/fiber/operations.hpp>

#include "platform_standin/store_double.hpp"

#include <algorithm>

namespace pimentograde::platform_standin
{

namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

// What the clock of a worker says at its start.
constexpr std::int64_t first_clock_ms = 1'000;

} // namespace

worker_double::worker_double(std::string id, base::duration task_time)
    : id_(std::move(id)), task_time_(task_time), began_(base::steady_now())
{
}

void worker_double::restart()
{
    const base::time_point now = base::steady_now();
    advance(now);
    for (const auto& [task, entry] : running_)
    {
        records[entry.record].ended = now;
        records[entry.record].how = "lost";
    }
    ++born_ms_;
    began_ = now;
    fence_ = 0;
    lease_until_ms_ = 0;
    running_.clear();
    refused_up_to_.clear();
    ended_.clear();
    last_end_ = 0;
}

void worker_double::end()
{
    is_silent = false;
    is_ending_ = true;
}

std::int64_t worker_double::clock(base::time_point now) const
{
    return first_clock_ms + base::count_millis(now - began_);
}

base::time_point worker_double::lease_end() const
{
    return began_ + std::chrono::milliseconds(lease_until_ms_ - first_clock_ms);
}

void worker_double::extend_lease(std::int64_t until_ms, base::time_point now)
{
    if (longest_lease > base::duration::zero())
        until_ms =
            std::min(until_ms, clock(now) + base::count_millis(longest_lease));
    lease_until_ms_ = std::max(lease_until_ms_, until_ms);
}

void worker_double::finish(const std::string& task, const std::string& how,
                           base::time_point at)
{
    const auto found = running_.find(task);
    const run entry = found->second;
    running_.erase(found);
    if (how == "done")
        ++completions[task];
    refused_up_to_[task] = std::max(refused_up_to_[task], entry.number);
    records[entry.record].ended = at;
    records[entry.record].how = how;
    ended_.push_back({++last_end_, task, entry.number, how, entry.record});
}

void worker_double::advance(base::time_point now)
{
    const base::time_point lapses = lease_end();
    std::vector<std::pair<std::string, base::time_point>> due;
    std::vector<std::string> lapsed;
    for (const auto& [task, entry] : running_)
    {
        const base::time_point done = entry.began + task_time_;
        if (!entry.lasts && done <= std::min(now, lapses))
            due.emplace_back(task, done);
        else if (now >= lapses)
            lapsed.push_back(task);
    }
    for (const auto& [task, at] : due)
        finish(task, outcome, at);
    for (const std::string& task : lapsed)
        finish(task, "lapsed", lapses);
    if (now >= lapses)
        for (const ended_run& row : ended_)
            records[row.record].has_lapsed_since = true;
}

bool worker_double::draw(int share)
{
    constexpr std::uint64_t percents = 100;
    if (share == 0)
        return false;
    if (random_seed_ != late.seed)
    {
        random_seed_ = late.seed;
        random_.seed(late.seed);
    }
    return random_() % percents < static_cast<std::uint64_t>(share);
}

bool worker_double::is_late(const std::string& target, const json::object& body)
{
    const bool is_start = target == "/-/run-start";
    if (!is_start && target != "/-/hold")
        return false;
    const json::value* seen = body.if_contains("LastSeen");
    const bool acknowledges =
        seen != nullptr && seen->to_number<std::int64_t>() > 0;
    if (acknowledges && late.next_acknowledgements > 0)
    {
        --late.next_acknowledgements;
        return true;
    }
    if (!is_start && body.contains("UntilMs") && late.next_extensions > 0)
    {
        --late.next_extensions;
        return true;
    }
    int& next = is_start ? late.next_starts : late.next_polls;
    if (next > 0)
    {
        --next;
        return true;
    }
    return draw(is_start ? late.starts : late.polls);
}

bool worker_double::delay(json::object& body)
{
    ++late_count;
    ++late_pending;
    base::duration length = late.from;
    if (late.to > late.from)
        length += base::duration(static_cast<base::duration::rep>(
            random_() %
            static_cast<std::uint64_t>((late.to - late.from).count())));
    const base::time_point arrived = base::steady_now();
    const std::int64_t clock_then = clock(arrived);
    if (draw(late.cut) && cut_connections)
        cut_connections();
    while (!is_ending_ && base::steady_now() < arrived + length)
        boost::this_fiber::sleep_for(10ms);
    --late_pending;
    json::value* until = body.if_contains("UntilMs");
    if (until != nullptr && late.is_time_counted_anew)
        *until = until->to_number<std::int64_t>() - clock_then +
                 clock(base::steady_now());
    // The caller has given up; a poll must not wait for ends.
    body.erase("WaitMs");
    return !is_ending_;
}

net::http_response worker_double::conflict(const char* reason,
                                           base::time_point now) const
{
    return json_answer(409, {{"ClockMs", clock(now)}, {"Reason", reason}});
}

net::http_response worker_double::handle(const net::http_request& request)
{
    while (is_silent)
        boost::this_fiber::sleep_for(20ms);
    ++calls;
    advance(base::steady_now());
    if (is_garbled)
        return {200, garbled_body(++garbled_)};
    for (const auto& [name, value] : request.headers)
        if (name == "X-Pimentograde-Expect-Instance" && value != id_)
            return json_answer(421);
    json::value parsed = json::parse(request.body);
    json::object& body = parsed.as_object();
    const auto fence = body.at("FencingToken").to_number<std::int64_t>();
    while (highest_reachable_fence != 0 && fence > highest_reachable_fence)
        boost::this_fiber::sleep_for(20ms);
    delay_acknowledgement(body);
    const bool was_late = is_late(request.target, body);
    if (was_late && !delay(body))
        return json_answer(503);
    return carry_out(request.target, body, was_late);
}

net::http_response worker_double::carry_out(const std::string& target,
                                            const json::object& body,
                                            bool was_late)
{
    const base::time_point now = base::steady_now();
    advance(now);
    const auto fence = body.at("FencingToken").to_number<std::int64_t>();
    if (fence < fence_)
    {
        ++fenced_off;
        return conflict("fence", now);
    }
    fence_ = fence;
    if (target == "/-/run-start")
        return start(body, now, was_late);
    if (target == "/-/run-stop")
        return stop(body, now);
    if (target == "/-/hold")
        return list(body, now);
    return json_answer(404);
}

void worker_double::delay_acknowledgement(const json::object& body)
{
    const json::value* seen = body.if_contains("LastSeen");
    if (seen == nullptr || seen->to_number<std::int64_t>() == 0 ||
        !delays_acknowledgements)
        return;
    ++delayed;
    while (delays_acknowledgements)
        boost::this_fiber::sleep_for(5ms);
    --delayed;
}

net::http_response worker_double::start(const json::object& body,
                                        base::time_point now, bool was_late)
{
    const std::string task(body.at("Task").as_string());
    const int number = body.at("RunId").to_number<int>();
    const auto until = body.at("UntilMs").to_number<std::int64_t>();
    if (clock(now) >= until)
        return conflict("late", now);
    extend_lease(until, now);
    const auto refused = refused_up_to_.find(task);
    if (refused != refused_up_to_.end() && number <= refused->second)
        return conflict("old", now);
    if (!running_.contains(task))
    {
        running_[task] = {number, now, body.at("Spec").as_string() == "lasts",
                          records.size()};
        run_record record;
        record.task = task;
        record.run = number;
        record.worker = id_;
        record.born_ms = born_ms_;
        record.fence = fence_;
        record.began = now;
        record.was_late = was_late;
        records.push_back(std::move(record));
        ++starts[task];
    }
    return json_answer(200, {{"ClockMs", clock(now)}});
}

net::http_response worker_double::stop(const json::object& body,
                                       base::time_point now)
{
    const std::string task(body.at("Task").as_string());
    const int number = body.at("RunId").to_number<int>();
    ++stops;
    refused_up_to_[task] = std::max(refused_up_to_[task], number);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number == number)
        finish(task, "stopped", now);
    return json_answer(200, {{"ClockMs", clock(now)}});
}

net::http_response worker_double::list(const json::object& body,
                                       base::time_point now)
{
    const auto seen = body.at("LastSeen").to_number<std::int64_t>();
    for (const ended_run& row : ended_)
        if (row.number <= seen && !records[row.record].has_lapsed_since)
            records[row.record].acknowledged = now;
    std::erase_if(ended_,
                  [&](const ended_run& row) { return row.number <= seen; });
    if (const json::value* until = body.if_contains("UntilMs"))
    {
        ++extensions;
        extend_lease(until->to_number<std::int64_t>(), now);
    }
    const json::value* wait = body.if_contains("WaitMs");
    const base::time_point deadline =
        now + std::chrono::milliseconds(
                  wait == nullptr ? 0 : wait->to_number<std::int64_t>());
    while (ended_.empty() && base::steady_now() < deadline && !is_silent)
    {
        boost::this_fiber::sleep_for(5ms);
        advance(base::steady_now());
    }
    json::array running;
    for (const auto& [task, entry] : running_)
    {
        const auto share =
            entry.lasts
                ? 100
                : static_cast<int>(100 * (base::steady_now() - entry.began) /
                                   task_time_);
        running.push_back(
            json::array{task, entry.number, "", std::min(share, 100)});
    }
    json::array ended;
    for (const ended_run& row : ended_)
        ended.push_back(
            json::array{row.number, row.task, row.run, row.how, ""});
    return json_answer(200, {{"ClockMs", clock(base::steady_now())},
                             {"born", born_ms_},
                             {"Running", std::move(running)},
                             {"Finished", std::move(ended)}});
}

} // namespace pimentograde::platform_standin
