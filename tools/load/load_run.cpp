#include "load/load_run.hpp"

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "net/http_client.hpp"
#include "net/task_group.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <utility>

namespace pimentograde::load
{

namespace json = boost::json;

namespace
{

// A caller that got no response or `unknown` asks again with the same key.
constexpr unsigned max_resent = 8;
constexpr std::chrono::milliseconds first_resend{100};
constexpr std::chrono::milliseconds longest_resend{2000};
constexpr std::chrono::milliseconds first_poll{50};
constexpr std::chrono::milliseconds longest_poll{2000};
// Beyond the deadline in the submission, for the way of the response.
constexpr std::chrono::seconds response_margin{2};
constexpr std::size_t idle_connections = 32;
// Followed jobs wait most of the time, so more of them are allowed.
constexpr std::size_t jobs_per_submission = 5;

std::optional<base::work_status> parse_status(std::string_view word)
{
    if (word == "done")
        return base::work_status::done;
    if (word == "accepted")
        return base::work_status::accepted;
    if (word == "not_run")
        return base::work_status::not_run;
    if (word == "failed")
        return base::work_status::failed;
    if (word == "unknown")
        return base::work_status::unknown;
    return std::nullopt;
}

std::string text_of(const json::object& body, std::string_view name)
{
    const json::value* found = body.if_contains(name);
    if (found == nullptr || !found->is_string())
        return {};
    return std::string(found->get_string());
}

// Notes a response; returns whether it tells a status.
bool note(call& target, const net::http_response& response)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(response.body, failure);
    if (failure || !parsed.is_object())
        return false;
    const json::object& body = parsed.get_object();
    const auto status = parse_status(text_of(body, "status"));
    if (!status)
    {
        // Refused by the listener, for example as malformed: not submitted.
        target.reason = "status_" + std::to_string(response.status) + " " +
                        text_of(body, "error");
        return false;
    }
    target.view.status = *status;
    target.reason = text_of(body, "reason");
    if (const std::string job = text_of(body, "job"); !job.empty())
        target.job = job;
    if (*status == base::work_status::not_run)
        target.view.told_not_run = true;
    if (*status == base::work_status::done)
    {
        target.view.answer = text_of(body, "answer");
        if (const auto started = started_at_ms(target.view.answer))
            target.start_wait_ms = *started - target.issued_at_ms;
    }
    return true;
}

} // namespace

struct load_run::impl
{
    explicit impl(run_settings all)
        : settings(std::move(all)), random(settings.seed),
          client(net::http_client::builder{}.max_idle(idle_connections).build())
    {
    }

    run_settings settings;
    base::random_source random;
    std::unique_ptr<net::http_client> client;
    call_table calls;
    base::time_point start;
    std::uint64_t skipped = 0;
    /// Why callers asked again: the code of the error, or the reason of
    /// `unknown`.
    std::map<std::string, std::uint64_t> resend_reasons;
    std::size_t submitting = 0;
    net::stop_signal stop;
    net::task_group callers;

    void generate(const queue_traffic& traffic);
    void launch(const queue_traffic& traffic);
    [[nodiscard]] base::duration deadline_of(const call& target) const
    {
        return target.urgent ? settings.urgent_deadline
                             : settings.batch_deadline;
    }
    [[nodiscard]] std::string body_of(const call& target,
                                      base::duration work) const;
    void submit(call& target, const std::string& body);
    void follow_job(call& target);
    bool send(call& target, const std::string& method, const std::string& path,
              const std::string& body, base::duration limit);
    void print(std::string_view kind) const;
};

std::string load_run::impl::body_of(const call& target,
                                    base::duration work) const
{
    const json::object payload{
        {"sleep_ms", static_cast<double>(work.count()) / 1e6},
        {"answer", target.view.token}};
    const json::object body{
        {"queue", target.queue},
        {"priority", target.urgent ? "urgent" : "batch"},
        {"idempotent", target.view.idempotent},
        {"key", target.view.token},
        {"issued_at_ms", target.issued_at_ms},
        {"deadline_ms", base::count_millis(deadline_of(target))},
        {"payload", json::serialize(payload)}};
    return json::serialize(body);
}

bool load_run::impl::send(call& target, const std::string& method,
                          const std::string& path, const std::string& body,
                          base::duration limit)
{
    const auto& where = settings.entries[random.below(settings.entries.size())];
    const net::http_request request{method,
                                    path,
                                    body,
                                    "Bearer " + target.caller +
                                        settings.token_suffix,
                                    {}};
    try
    {
        return note(target, client->send(where, request,
                                         base::steady_now() + limit, "submit"));
    }
    catch (const base::error& failure)
    {
        // The status of an earlier response stays; the reason is the latest.
        target.reason = base::to_string(failure.code());
        return false;
    }
}

void load_run::impl::submit(call& target, const std::string& body)
{
    const std::string path = target.is_job ? "/v1/jobs" : "/v1/requests";
    const base::duration limit = deadline_of(target) + response_margin;
    base::duration pause = first_resend;
    ++submitting;
    while ((!send(target, "POST", path, body, limit) ||
            target.view.status == base::work_status::unknown) &&
           target.resent < max_resent)
    {
        ++target.resent;
        ++resend_reasons[target.reason];
        boost::this_fiber::sleep_for(pause / 2 + random.jitter(pause));
        pause = std::min<base::duration>(pause * 2, longest_resend);
    }
    --submitting;
    if (target.view.status == base::work_status::accepted)
        follow_job(target);
    target.ended = target.view.status != base::work_status::accepted;
}

void load_run::impl::follow_job(call& target)
{
    const std::string path = "/v1/jobs/" + target.job;
    const auto end = start + settings.length + settings.settle;
    base::duration pause = first_poll;
    while (base::steady_now() < end &&
           (target.view.status == base::work_status::accepted ||
            target.view.status == base::work_status::unknown))
    {
        boost::this_fiber::sleep_for(pause / 2 + random.jitter(pause));
        pause = std::min<base::duration>(pause * 2, longest_poll);
        send(target, "GET", path, "", response_margin);
    }
}

void load_run::impl::launch(const queue_traffic& traffic)
{
    if (submitting >= settings.max_in_progress ||
        callers.size() >= settings.max_in_progress * jobs_per_submission)
    {
        ++skipped;
        return;
    }
    call added;
    added.view.token = "load-" + std::to_string(settings.seed) + "-" +
                       std::to_string(calls.size());
    added.queue = traffic.queue;
    added.caller = traffic.callers[random.below(traffic.callers.size())];
    added.urgent = traffic.urgent;
    added.is_job = random.unit() < settings.job_share;
    added.view.idempotent = random.unit() < settings.idempotent_share;
    added.issued_at_ms = base::to_millis(base::wall_now());
    call& target = calls.add(std::move(added));
    // Between half and one and a half times the expected time.
    const base::duration work =
        traffic.task_time / 2 + random.jitter(traffic.task_time);
    callers.spawn([this, &target, body = body_of(target, work)]
                  { submit(target, body); });
}

void load_run::impl::generate(const queue_traffic& traffic)
{
    while (true)
    {
        const base::duration elapsed = base::steady_now() - start;
        if (elapsed >= settings.length || calls.size() >= settings.max_calls)
            return;
        const auto level = level_at(traffic, settings.traffic, elapsed);
        // Exponential gaps; when the level changes first, draw again.
        const double seconds = -std::log(1 - random.unit()) / level.rate;
        const bool arrives = seconds < base::count_seconds(level.left);
        const base::duration gap =
            arrives ? std::chrono::duration_cast<base::duration>(
                          std::chrono::duration<double>(seconds))
                    : level.left;
        if (stop.wait_for(std::min(gap, settings.length - elapsed)))
            return;
        if (arrives && base::steady_now() - start < settings.length)
            launch(traffic);
    }
}

void load_run::impl::print(std::string_view kind) const
{
    json::object line = calls.summary();
    line["kind"] = kind;
    line["seconds"] =
        std::round(base::count_seconds(base::steady_now() - start) * 1000) /
        1000;
    line["skipped"] = skipped;
    json::object reasons;
    for (const auto& [reason, count] : resend_reasons)
        reasons[reason] = count;
    line["resend_reasons"] = std::move(reasons);
    std::cout << json::serialize(line) << std::endl;
}

load_run::load_run(run_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

load_run::~load_run()
{
    impl_->stop.set();
    impl_->callers.join();
}

void load_run::run()
{
    impl& self = *impl_;
    self.start = base::steady_now();
    net::task_group generators;
    for (const queue_traffic& traffic : self.settings.plan)
        generators.spawn([&self, &traffic] { self.generate(traffic); });
    while (!generators.join_until(base::steady_now() +
                                  self.settings.report_interval))
        self.print("interval");
    while (!self.callers.join_until(base::steady_now() +
                                    self.settings.report_interval))
        self.print("settling");
    self.print("summary");
}

const call_table& load_run::calls() const
{
    return impl_->calls;
}

std::uint64_t load_run::skipped() const
{
    return impl_->skipped;
}

} // namespace pimentograde::load
