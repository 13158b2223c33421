#include "node/job_previews.hpp"

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "platform/caller_protocol.hpp"
#include "platform/job_document.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds answer_limit{2};
constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned service_unavailable = 503;
constexpr std::string_view tenant_field = "X-Tenant";

std::string tenant_of(const net::http_request& request)
{
    const auto found =
        std::find_if(request.headers.begin(), request.headers.end(),
                     [](const net::http_field& field)
                     { return field.first == tenant_field; });
    return found == request.headers.end() ? std::string{} : found->second;
}

json::object to_json(const jobs::step_preview& step)
{
    json::object obstacles;
    for (const auto& [obstacle, count] : step.obstacles)
        obstacles[obstacle] = count;
    return {{"step", step.step},
            {"tasks", step.tasks},
            {"starting", step.starting},
            {"worker", step.worker},
            {"rack", step.rack},
            {"reason", step.reason},
            {"workers_that_do_not_fit", std::move(obstacles)}};
}

std::string admission_text(const jobs::admission_decision& admission)
{
    if (admission.is_accepted)
        return "accepted";
    return admission.exceeds_share ? "refused: the tenant exceeds its share"
                                   : "refused: the backlog is too long";
}

std::string write_preview(const pools::pool_owner& owner,
                          const jobs::job_preview& preview,
                          const std::string& instance)
{
    json::array steps;
    for (const jobs::step_preview& step : preview.steps)
        steps.push_back(to_json(step));
    return json::serialize(json::object{
        {"pool", owner.pool()},
        {"owner", instance},
        {"admission", admission_text(preview.admission)},
        {"retry_after_ms", base::count_millis(preview.admission.retry_after)},
        {"expected_wait_s", preview.admission.expected_wait},
        {"backlog_core_seconds", preview.backlog_core_seconds},
        {"cores", preview.cores},
        {"jobs_ahead", preview.jobs_ahead},
        {"steps", std::move(steps)}});
}

} // namespace

job_previews::job_previews(const session& members, pool_claims& claims)
    : session_(members), claims_(claims), clients_(members)
{
}

void job_previews::set_configuration(const platform::configuration& current)
{
    configuration_ = current;
}

net::http_response job_previews::handle(const net::http_request& request,
                                        std::string_view path)
{
    if (!configuration_)
        return {service_unavailable,
                platform::write_reason("no configuration yet")};
    std::string_view host = request.host;
    host = host.substr(0, host.find(':'));
    const platform::queue_route* route = configuration_->match(host, path);
    if (route == nullptr)
        return {not_found, platform::write_reason("no such queue")};
    jobs::job subject;
    subject.queue = route->policy.name;
    subject.policy = route->policy;
    try
    {
        subject.spec = platform::read_job(request.body);
    }
    catch (const base::error& failure)
    {
        return {bad_request, platform::write_reason(failure.detail())};
    }
    const peer::preview_reply reply =
        ask_owner({route->policy.pool, route->policy.name,
                   jobs::encode_record(subject), tenant_of(request)});
    if (!reply.is_known)
        return {service_unavailable,
                platform::write_reason("no instance that answers owns pool " +
                                       route->policy.pool)};
    return {ok, reply.text};
}

peer::preview_reply job_previews::ask_owner(const peer::preview_job& message)
{
    if (claims_.find(message.pool) != nullptr)
        return answer(message);
    const holder* current = session_.holder_of(pool_role(message.pool));
    if (current == nullptr)
        return {};
    try
    {
        return clients_.at(current->address)
            .send(message, base::steady_now() + answer_limit);
    }
    catch (const base::error&)
    {
        // The operator sees that the owner does not answer.
        return {};
    }
}

peer::preview_reply job_previews::answer(const peer::preview_job& message)
{
    const auto owner = claims_.find(message.pool);
    if (owner == nullptr || !owner->is_loaded())
        return {};
    const jobs::job subject = jobs::decode_record({}, message.record);
    const jobs::job_preview preview =
        owner->state().preview(subject.spec, message.queue, message.tenant,
                               base::steady_now(), base::wall_now());
    return {true, write_preview(*owner, preview, session_.own().name)};
}

void job_previews::add_handlers(peer::peer_server::builder& server)
{
    server.handle<peer::preview_job>(
        [this](const peer::call_context&, const peer::preview_job& message)
        { return answer(message); });
}

} // namespace pimentograde::node
