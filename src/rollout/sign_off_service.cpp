#include "rollout/sign_off_service.hpp"

#include "base/error.hpp"
#include "config/bundle_parser.hpp"
#include "log/event.hpp"
#include "net/task_group.hpp"
#include "rollout/events.hpp"

#include <map>
#include <utility>

namespace pimentograde::rollout
{

namespace
{

constexpr std::size_t max_results = 256;
// Each round asks the store until then; rounds follow until it is known.
constexpr std::chrono::seconds round_time{10};
constexpr std::chrono::seconds round_pause{1};

void require_role(const config::operator_entry& by, config::operator_role role,
                  const char* step)
{
    if (by.role != role)
        throw base::error(base::error_code::unauthorized, step, "",
                          by.name + " does not have the needed role");
}

} // namespace

struct sign_off_service::impl
{
    provider::kv_operations store;
    pacing pace;
    base::random_source random;
    accepted_hook accepted;
    draft_store drafts;
    std::map<std::string, sign_off_result, std::less<>> results;
    net::stop_signal stopping;
    net::task_group fibers;

    impl(provider::kv_operations operations, pacing given_pace,
         base::random_source source, accepted_hook hook)
        : store(operations), pace(given_pace), random(source),
          accepted(std::move(hook)),
          drafts(std::move(operations), std::move(given_pace),
                 base::random_source(source.bits()))
    {
    }

    void conclude(const sign_off_request& request,
                  const sign_off_result& result);
    void ask_until_known(sign_off_request request);
};

void sign_off_service::impl::conclude(const sign_off_request& request,
                                      const sign_off_result& result)
{
    if (results.size() >= max_results && !results.contains(request.id))
        results.erase(results.begin());
    results[request.id] = result;
    const char* event_reviewer = request.reviewer.c_str();
    switch (result.outcome)
    {
    case sign_off_outcome::accepted:
        log::write(event_signed_off, {{"version", result.version},
                                      {"author", request.author},
                                      {"reviewer", event_reviewer}});
        if (accepted)
            accepted(result.current_version, result.current_text);
        return;
    case sign_off_outcome::lost:
        log::write(event_sign_off_lost, {{"base", request.base_version},
                                         {"reviewer", event_reviewer},
                                         {"winner", result.winner},
                                         {"version", result.version}});
        return;
    case sign_off_outcome::unknown:
        break;
    }
    log::write(event_sign_off_unknown,
               {{"base", request.base_version}, {"reviewer", event_reviewer}});
}

void sign_off_service::impl::ask_until_known(sign_off_request request)
{
    request.asked_before = true;
    while (!stopping.wait_for(random.jitter(round_pause)))
    {
        try
        {
            const auto result = rollout::sign_off(store, request, pace, random,
                                                  pace.now() + round_time);
            if (result.outcome == sign_off_outcome::unknown &&
                result.version == 0)
                continue;
            conclude(request, result);
            return;
        }
        catch (const base::error&)
        {
            // Nothing was written in this round; an earlier write may still
            // be, so the question stays open.
        }
    }
}

sign_off_service::sign_off_service(provider::kv_operations store, pacing pace,
                                   base::random_source random,
                                   accepted_hook accepted)
    : impl_(std::make_unique<impl>(std::move(store), std::move(pace), random,
                                   std::move(accepted)))
{
}

sign_off_service::~sign_off_service()
{
    stop();
}

draft sign_off_service::propose(const config::operator_entry& by,
                                std::string_view bundle,
                                std::uint64_t base_version, base::wall_time now,
                                base::time_point deadline)
{
    require_role(by, config::operator_role::author, "draft");
    return impl_->drafts.add(by.name, bundle, base_version, now, deadline);
}

void sign_off_service::review(const config::operator_entry& by,
                              std::string_view draft_id,
                              std::string_view comment, base::wall_time now,
                              base::time_point deadline)
{
    require_role(by, config::operator_role::reviewer, "review");
    impl_->drafts.review(draft_id, by.name, comment, now, deadline);
}

sign_off_ticket sign_off_service::sign_off(const config::operator_entry& by,
                                           std::string_view draft_id,
                                           std::uint64_t base_version,
                                           base::wall_time now,
                                           base::time_point deadline)
{
    require_role(by, config::operator_role::reviewer, "sign-off");
    const draft signed_draft = impl_->drafts.find(draft_id, deadline);
    if (signed_draft.author == by.name)
        throw base::error(base::error_code::unauthorized, "sign-off", "",
                          "the author cannot sign off the own draft");
    if (signed_draft.base_version != base_version)
        throw base::error(base::error_code::conflict, "sign-off", "",
                          "the draft changes version " +
                              std::to_string(signed_draft.base_version));
    // The checks may have become stricter since the draft was stored.
    config::load_bundle(signed_draft.bundle);
    const sign_off_request request{signed_draft.id + ":" + by.name + ":" +
                                       std::to_string(base_version),
                                   signed_draft.bundle,
                                   signed_draft.author,
                                   by.name,
                                   base_version,
                                   now};
    const auto result = rollout::sign_off(impl_->store, request, impl_->pace,
                                          impl_->random, deadline);
    impl_->conclude(request, result);
    if (result.outcome == sign_off_outcome::unknown && result.version == 0)
        impl_->fibers.spawn([self = impl_.get(), request]
                            { self->ask_until_known(request); });
    return {request.id, result};
}

std::optional<sign_off_result>
sign_off_service::result(std::string_view id) const
{
    const auto found = impl_->results.find(id);
    if (found == impl_->results.end())
        return std::nullopt;
    return found->second;
}

draft_store& sign_off_service::drafts()
{
    return impl_->drafts;
}

void sign_off_service::stop()
{
    impl_->stopping.set();
    impl_->fibers.join();
}

} // namespace pimentograde::rollout
