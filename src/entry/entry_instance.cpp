#include "entry/entry_instance.hpp"

#include "entry/caller_listener.hpp"
#include "entry/events.hpp"
#include "entry/operator_listener.hpp"
#include "entry/operator_routes.hpp"
#include "entry/services.hpp"
#include "entry/signal_wait.hpp"
#include "entry/submission_codec.hpp"

#include <boost/fiber/operations.hpp>

#include <csignal>
#include <utility>

namespace pimentograde::entry
{

namespace
{

// How long new work is still taken after /readyz turned, so that the load
// balancer can notice.
constexpr std::chrono::milliseconds notice_time{500};

} // namespace

struct entry_instance::impl
{
    explicit impl(entry_settings settings);

    services all;
    std::unique_ptr<caller_listener> callers;
    std::unique_ptr<operator_listener> operators;

    caller_operations make_caller_operations();
    base::work_result submit(const base::submission& work);
    bool stop();
};

entry_instance::impl::impl(entry_settings settings) : all(std::move(settings))
{
    callers = caller_listener::builder{}
                  .listen_on(all.settings.caller_listen)
                  .use(make_caller_operations())
                  .build();
    operator_listener::builder builder;
    builder.listen_on(all.settings.operator_listen)
        .find_operator_with([this](std::string_view token)
                            { return all.find_operator(token); })
        .metrics_from([this] { return all.metrics.expose(); });
    add_operator_routes(builder, all);
    operators = builder.build();
}

base::work_result entry_instance::impl::submit(const base::submission& work)
{
    const auto start = base::steady_now();
    auto result = all.router->submit(work);
    const std::string_view kind =
        work.kind == base::work_kind::job ? "job" : "request";
    all.metrics.get_histogram("pimentograde_" + std::string(kind) + "_seconds")
        .observe(base::count_seconds(base::steady_now() - start));
    all.metrics
        .get_counter("pimentograde_results_total",
                     metrics::label("status", to_string(result.status)))
        .add();
    if (result.status == base::work_status::not_run)
        all.metrics
            .get_counter("pimentograde_refusals_total",
                         metrics::label("reason", result.reason))
            .add();
    return result;
}

caller_operations entry_instance::impl::make_caller_operations()
{
    caller_operations operations;
    operations.find_caller = [this](std::string_view token)
    {
        return all.access.find_caller(token);
    };
    operations.submit = [this](const base::submission& work)
    {
        return submit(work);
    };
    operations.find_request = [this](const base::work_identity& identity)
    {
        return all.router->find_request(identity);
    };
    operations.find_job =
        [this](const caller_identity& caller, const base::job_id& job)
    {
        return all.router->find_job(caller, job);
    };
    operations.cancel_job =
        [this](const caller_identity& caller, const base::job_id& job)
    {
        return all.router->cancel_job(caller, job);
    };
    operations.is_ready = [this]
    {
        return !all.stopping && all.takes_work();
    };
    operations.takes_work = [this]
    {
        return all.takes_work();
    };
    return operations;
}

// Callers first, then the work of other members, then what carries both.
bool entry_instance::impl::stop()
{
    const auto deadline = base::steady_now() + all.settings.stop_time;
    all.stopping = true;
    log::write(event_stopping);
    boost::this_fiber::sleep_for(notice_time);
    all.members->announce_leaving(base::steady_now() + notice_time);
    all.slots->update_brokers();
    bool all_ended = callers->stop_gracefully(deadline);
    all_ended = all.dispatcher->drain(deadline) && all_ended;
    all.watch->stop();
    all.fleet->stop();
    all.slots->stop();
    all_ended = all.peers->stop_gracefully(deadline) && all_ended;
    all.stop();
    operators->stop_gracefully(deadline);
    log::write(all_ended ? event_stopped : event_stop_incomplete);
    return all_ended;
}

entry_instance::entry_instance(entry_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

entry_instance::~entry_instance() = default;

bool entry_instance::run()
{
    impl_->all.start();
    const auto& settings = impl_->all.settings;
    log::write(event_started,
               {{"callers", net::to_string(settings.caller_listen)},
                {"operators", net::to_string(settings.operator_listen)},
                {"members", net::to_string(settings.peer_listen)}});
    while (wait_for_signal() == SIGHUP)
        log::write(event_settings_kept);
    return impl_->stop();
}

} // namespace pimentograde::entry
