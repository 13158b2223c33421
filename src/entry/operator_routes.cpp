#include "entry/operator_routes.hpp"

#include "base/error.hpp"
#include "capacity/wave_planner.hpp"
#include "dispatch/reasons.hpp"
#include "entry/submission_codec.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace pimentograde::entry
{

namespace json = boost::json;
using role = config::operator_role;

namespace
{

constexpr std::chrono::seconds store_limit{2};
constexpr std::chrono::seconds sign_off_limit{5};
// Age of a cached shard that is good enough for a list of jobs.
constexpr std::chrono::seconds list_age{2};

json::object parse_body(const operator_call& call)
{
    json::error_code failure;
    json::value parsed = json::parse(call.body, failure);
    if (failure || !parsed.is_object())
        throw base::error(base::error_code::invalid, "read body", "",
                          "expected a JSON object");
    return parsed.get_object();
}

std::string text_field(const json::object& body, std::string_view name)
{
    const json::value* value = body.if_contains(name);
    if (value == nullptr || !value->is_string())
        throw base::error(base::error_code::invalid, "read body", "",
                          "field '" + std::string(name) + "': expected text");
    return std::string(value->get_string());
}

std::uint64_t number_field(const json::object& body, std::string_view name)
{
    const json::value* value = body.if_contains(name);
    json::error_code failure;
    if (value != nullptr && value->is_number())
    {
        const auto number = value->to_number<std::uint64_t>(failure);
        if (!failure)
            return number;
    }
    throw base::error(base::error_code::invalid, "read body", "",
                      "field '" + std::string(name) + "': expected a number");
}

json::object to_json(const dispatch::command_result& result)
{
    return {{"fleet_version", result.version}, {"unchanged", result.unchanged}};
}

std::string_view state_word(services& all, const base::member_id& id)
{
    const auto state = all.members->table().state_of(id);
    if (!state)
        return "unknown";
    switch (*state)
    {
    case membership::member_state::live:
        return "live";
    case membership::member_state::suspected:
        return "suspected";
    case membership::member_state::contact:
        break;
    }
    return "contact";
}

json::object member_row(std::string_view id, std::string_view zone,
                        std::string_view state,
                        const peer::document_state& bundle)
{
    return {{"id", id},
            {"zone", zone},
            {"state", state},
            {"version", bundle.version},
            {"adopted_at_ms", base::to_millis(bundle.adopted_at)}};
}

json::array member_rows(services& all)
{
    const auto& own = all.bundle_document.current();
    json::array rows;
    rows.push_back(member_row(all.settings.id.str(), all.settings.zone.str(),
                              all.stopping ? "leaving" : "live",
                              {own.version, own.adopted_at}));
    for (const auto& entry : all.members->table().live())
    {
        if (entry.id == all.settings.id)
            continue;
        const auto found = all.views.heartbeats().find(entry.id);
        const peer::document_state bundle =
            found == all.views.heartbeats().end() ? peer::document_state{}
                                                  : found->second.bundle;
        rows.push_back(member_row(entry.id.str(), entry.zone.str(),
                                  state_word(all, entry.id), bundle));
    }
    return rows;
}

json::object status(services& all)
{
    const auto admission = all.documents->admit();
    return {{"id", all.settings.id.str()},
            {"zone", all.settings.zone.str()},
            {"version", PIMENTOGRADE_VERSION},
            {"admission", rollout::to_string(admission)},
            {"stopping", all.stopping},
            {"bundle_version", all.bundle_document.version()},
            {"fleet_version", all.fleet_document.version()},
            {"planner", all.fleet->snapshot()},
            {"requests_running", all.dispatcher->requests().running()},
            {"jobs_running", all.dispatcher->jobs().running()},
            {"jobs_waiting", all.dispatcher->jobs().waiting()},
            {"members", member_rows(all)}};
}

json::array shard_rows(services& all)
{
    json::array rows;
    for (std::size_t i = 0; i < records::shard_count; ++i)
    {
        const auto& shard = all.records->shard(i);
        rows.push_back(
            json::object{{"key", records::shard_key(i)},
                         {"owner", all.owner_of_shard(i).str()},
                         {"records", shard.size()},
                         {"horizon_ms", base::to_millis(shard.horizon())}});
    }
    return rows;
}

json::object dump(services& all)
{
    json::object state = status(all);
    const auto& counts = all.store->counts();
    state["store_calls"] = json::object{{"reads", counts.reads()},
                                        {"writes", counts.writes()},
                                        {"failed", counts.failed}};
    state["slots"] = all.slots->snapshot();
    state["shards"] = shard_rows(all);
    state["incarnation"] = std::to_string(all.incarnation);
    return state;
}

json::object job_row(const records::record& entry)
{
    return {{"job", entry.job.str()},
            {"kind", entry.kind == base::work_kind::job ? "job" : "request"},
            {"department", entry.identity.department.str()},
            {"caller", entry.identity.caller.str()},
            {"key", entry.identity.key},
            {"queue", entry.queue.str()},
            {"state", records::to_string(entry.state)},
            {"attempt", entry.attempt},
            {"worker", entry.worker.str()},
            {"reason", entry.reason},
            {"changed_at_ms", base::to_millis(entry.changed_at)}};
}

// Reads the shards whose cache is old; with the store down the cache is all
// there is.
json::object list_jobs(services& all)
{
    json::array rows;
    bool is_current = true;
    for (std::size_t i = 0; i < records::shard_count; ++i)
    {
        try
        {
            if (is_current)
                all.records->refresh(i, list_age,
                                     base::steady_now() + store_limit);
        }
        catch (const base::error&)
        {
            is_current = false;
        }
        for (const auto& entry : all.records->shard(i).unended())
            rows.push_back(job_row(entry));
    }
    return {{"current", is_current}, {"jobs", std::move(rows)}};
}

json::value show_job(services& all, const operator_call& call)
{
    const base::job_id job(call.arguments[0]);
    const auto found =
        all.records->read_job(job, list_age, base::steady_now() + store_limit);
    if (!found)
        throw base::error(base::error_code::not_found, "show job", "",
                          "no such job");
    return job_row(*found);
}

json::value settle_job(services& all, const operator_call& call)
{
    const std::string word = text_field(parse_body(call), "as");
    if (word != "done" && word != "failed")
        throw base::error(base::error_code::invalid, "settle job", "",
                          "expected done or failed");
    const auto result = all.dispatcher->jobs().settle(
        base::job_id(call.arguments[0]), word == "done", call.who.name,
        base::steady_now() + store_limit);
    json::object body{{"status", to_string(result.status)}};
    if (!result.reason.empty())
        body["reason"] = result.reason;
    return body;
}

config::operator_entry identity_of(const operator_call& call)
{
    return {call.who.name, call.who.role, {}};
}

json::value sign_off_draft(services& all, const operator_call& call)
{
    const json::object body = parse_body(call);
    const auto ticket = all.sign_offs->sign_off(
        identity_of(call), call.arguments[0],
        number_field(body, "base_version"), base::wall_now(),
        base::steady_now() + sign_off_limit);
    const auto& result = ticket.result;
    if (result.outcome == rollout::sign_off_outcome::lost)
        throw base::error(base::error_code::conflict, "sign off", result.winner,
                          "lost to " + result.winner + " at version " +
                              std::to_string(result.version));
    if (result.outcome == rollout::sign_off_outcome::unknown)
        throw base::error(base::error_code::timeout, "sign off", "store",
                          "outcome unknown; ask again");
    json::object reply{{"outcome", "accepted"}, {"version", result.version}};
    const auto* entry = all.envelope().find_version(result.version);
    if (entry != nullptr)
        reply["signed_off_at_ms"] = base::to_millis(entry->at);
    return reply;
}

json::value add_draft(services& all, const operator_call& call)
{
    const auto draft = all.sign_offs->propose(
        identity_of(call), call.body, all.bundle_document.version(),
        base::wall_now(), base::steady_now() + store_limit);
    return json::object{{"draft", draft.id},
                        {"author", draft.author},
                        {"base_version", draft.base_version}};
}

json::value review_draft(services& all, const operator_call& call)
{
    all.sign_offs->review(identity_of(call), call.arguments[0],
                          text_field(parse_body(call), "comment"),
                          base::wall_now(), base::steady_now() + store_limit);
    return json::object{{"draft", call.arguments[0]}, {"reviewed", true}};
}

json::value list_drafts(services& all)
{
    json::array rows;
    for (const auto& draft :
         all.sign_offs->drafts().list(base::steady_now() + store_limit))
        rows.push_back(
            json::object{{"draft", draft.id},
                         {"author", draft.author},
                         {"base_version", draft.base_version},
                         {"reviews", draft.reviews.size()},
                         {"created_at_ms", base::to_millis(draft.created_at)}});
    return rows;
}

json::value show_bundle(services& all)
{
    if (!all.bundle())
        throw base::error(base::error_code::not_found, "show bundle", "",
                          "no bundle is in force");
    return json::object{{"version", all.bundle_document.version()},
                        {"bundle", json::parse(all.envelope().bundle)}};
}

json::array instance_rows(services& all)
{
    json::array rows;
    if (!all.bundle())
        return rows;
    for (const auto& worker : all.bundle()->workers)
    {
        json::object row{{"id", worker.id.str()},
                         {"pool", all.pool_of(worker.id).str()},
                         {"zone", worker.zone.str()},
                         {"rack", worker.rack.str()},
                         {"slots", worker.slots}};
        const auto found = all.fleet_state.workers.find(worker.id);
        const bool is_known = found != all.fleet_state.workers.end();
        row["state"] = is_known ? capacity::to_string(found->second.state)
                                : std::string_view("serving");
        row["since_ms"] =
            is_known ? base::to_millis(found->second.since) : std::int64_t{0};
        rows.push_back(std::move(row));
    }
    return rows;
}

json::value list_pools(services& all)
{
    json::array rows;
    if (!all.bundle())
        return rows;
    for (const auto& pool : all.bundle()->pools)
    {
        std::size_t workers = 0;
        std::size_t serving = 0;
        for (const auto& worker : all.bundle()->workers)
        {
            if (all.pool_of(worker.id) != pool.name)
                continue;
            ++workers;
            const auto found = all.fleet_state.workers.find(worker.id);
            if (found == all.fleet_state.workers.end() ||
                found->second.state == capacity::worker_state::serving)
                ++serving;
        }
        rows.push_back(
            json::object{{"pool", pool.name.str()},
                         {"spare", pool.spare},
                         {"instances", workers},
                         {"serving", serving},
                         {"broker", all.broker_of(pool.name).str()}});
    }
    return rows;
}

// The progress follows from the fleet state, so that every member can show it
// and not only the planner.
json::value list_waves(services& all)
{
    json::array rows;
    bool is_idle = true;
    if (all.bundle())
    {
        const capacity::wave_planner planner(*all.bundle());
        const auto now = base::wall_now();
        for (const auto& wave : planner.plan(all.fleet_state, now).progress)
        {
            const bool is_finished =
                wave.phase == capacity::wave_phase::finished ||
                wave.phase == capacity::wave_phase::scheduled;
            is_idle = is_idle && is_finished;
            json::object row{{"wave", wave.name},
                             {"phase", capacity::to_string(wave.phase)},
                             {"instances", wave.workers},
                             {"done", wave.done},
                             {"out", wave.out},
                             {"waits_for", wave.waits_for}};
            if (wave.bound)
                row["bound_s"] = base::count_seconds(*wave.bound);
            if (wave.expected_end)
                row["expected_end_s"] =
                    base::count_seconds(*wave.expected_end - now);
            const auto status = all.fleet_state.waves.find(wave.name);
            if (status != all.fleet_state.waves.end())
                row["pause_reason"] = status->second.pause_reason;
            rows.push_back(std::move(row));
        }
    }
    return json::object{{"idle", is_idle}, {"waves", std::move(rows)}};
}

void add_bundle_routes(operator_listener::builder& listener, services& all)
{
    listener
        .route("GET", "/v1/bundle", role::viewer,
               [&all](const operator_call&) { return show_bundle(all); })
        .route("GET", "/v1/bundle/status", role::viewer,
               [&all](const operator_call&) { return bundle_status(all); })
        .route("GET", "/v1/bundle/drafts", role::viewer,
               [&all](const operator_call&) { return list_drafts(all); })
        .route("POST", "/v1/bundle/drafts", role::author,
               [&all](const operator_call& call)
               { return add_draft(all, call); })
        .route("POST", "/v1/bundle/drafts/{}/review", role::reviewer,
               [&all](const operator_call& call)
               { return review_draft(all, call); })
        .route("POST", "/v1/bundle/drafts/{}/sign-off", role::reviewer,
               [&all](const operator_call& call)
               { return sign_off_draft(all, call); });
}

void add_instance_routes(operator_listener::builder& listener, services& all)
{
    listener
        .route("GET", "/v1/pools", role::viewer,
               [&all](const operator_call&) { return list_pools(all); })
        .route("GET", "/v1/instances", role::viewer,
               [&all](const operator_call&) { return instance_rows(all); })
        .route("POST", "/v1/instances/{}/drain", role::author,
               [&all](const operator_call& call)
               {
                   return to_json(all.fleet->drain_worker(
                       base::worker_id(call.arguments[0])));
               })
        .route("POST", "/v1/instances/{}/release", role::author,
               [&all](const operator_call& call)
               {
                   return to_json(all.fleet->release_worker(
                       base::worker_id(call.arguments[0])));
               })
        .route("POST", "/v1/instances/{}/move", role::author,
               [&all](const operator_call& call)
               {
                   return to_json(all.fleet->create_move(
                       base::worker_id(call.arguments[0]),
                       base::pool_name(text_field(parse_body(call), "pool"))));
               });
}

void add_wave_routes(operator_listener::builder& listener, services& all)
{
    listener
        .route("GET", "/v1/waves", role::viewer,
               [&all](const operator_call&) { return list_waves(all); })
        .route("POST", "/v1/waves/{}/start", role::author,
               [&all](const operator_call& call)
               { return to_json(all.fleet->start_wave(call.arguments[0])); })
        .route("POST", "/v1/waves/{}/pause", role::author,
               [&all](const operator_call& call)
               {
                   return to_json(all.fleet->pause_wave(
                       call.arguments[0], "paused by " + call.who.name));
               })
        .route("POST", "/v1/waves/{}/resume", role::author,
               [&all](const operator_call& call)
               { return to_json(all.fleet->resume_wave(call.arguments[0])); });
}

void add_work_routes(operator_listener::builder& listener, services& all)
{
    listener
        .route("GET", "/v1/status", role::viewer,
               [&all](const operator_call&) { return status(all); })
        .route("GET", "/v1/dump", role::viewer,
               [&all](const operator_call&) { return dump(all); })
        .route("GET", "/v1/jobs", role::viewer,
               [&all](const operator_call&) { return list_jobs(all); })
        .route("GET", "/v1/jobs/{}", role::viewer,
               [&all](const operator_call& call)
               { return show_job(all, call); })
        .route("POST", "/v1/jobs/{}/settle", role::reviewer,
               [&all](const operator_call& call)
               { return settle_job(all, call); });
}

} // namespace

json::object bundle_status(services& all)
{
    json::array rows = member_rows(all);
    const std::uint64_t version = all.bundle_document.version();
    bool everywhere = version > 0;
    std::int64_t last_adopted = 0;
    for (const auto& row : rows)
    {
        const auto& fields = row.as_object();
        everywhere = everywhere && fields.at("version") == version;
        last_adopted = std::max(
            last_adopted, fields.at("adopted_at_ms").to_number<std::int64_t>());
    }
    json::object result{{"version", version}, {"everywhere", everywhere}};
    if (const auto* entry = all.envelope().find_version(version))
    {
        result["signed_off_by"] = entry->reviewer;
        result["author"] = entry->author;
        result["signed_off_at_ms"] = base::to_millis(entry->at);
        if (everywhere)
            result["rollout_ms"] = last_adopted - base::to_millis(entry->at);
    }
    result["members"] = std::move(rows);
    return result;
}

void add_operator_routes(operator_listener::builder& listener, services& all)
{
    add_work_routes(listener, all);
    add_bundle_routes(listener, all);
    add_instance_routes(listener, all);
    add_wave_routes(listener, all);
}

} // namespace pimentograde::entry
