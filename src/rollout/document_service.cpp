#include "rollout/document_service.hpp"

#include "base/error.hpp"
#include "rollout/bundle_envelope.hpp"
#include "rollout/document_service_impl.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::rollout
{

namespace
{

constexpr std::chrono::milliseconds sync_retry{200};

} // namespace

std::string_view to_string(admission state)
{
    switch (state)
    {
    case admission::ready:
        return "ready";
    case admission::no_bundle:
        return "no_bundle";
    case admission::resuming:
        return "resuming";
    case admission::out_of_contact:
        break;
    }
    return "out_of_contact";
}

std::uint64_t envelope_version(const provider::kv_entry& entry)
{
    return parse_envelope(entry.value).version;
}

std::uint64_t stored_version(const provider::kv_entry& entry)
{
    return entry.version;
}

document_service::builder&
document_service::builder::store(provider::kv_operations operations)
{
    store_ = std::move(operations);
    return *this;
}

document_service::builder&
document_service::builder::calls(document_calls hooks)
{
    calls_ = std::move(hooks);
    return *this;
}

document_service::builder& document_service::builder::document(
    versioned_document& document, std::string store_key, version_reader version)
{
    documents_.push_back({&document, std::move(store_key), std::move(version)});
    return *this;
}

document_service::builder&
document_service::builder::random_seed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

document_service::builder&
document_service::builder::cancel_watch(std::function<void()> hook)
{
    cancel_watch_ = std::move(hook);
    return *this;
}

document_service::builder&
document_service::builder::clock(std::function<base::time_point()> now)
{
    clock_ = std::move(now);
    return *this;
}

std::unique_ptr<document_service> document_service::builder::build()
{
    if (documents_.empty())
        throw base::error(base::error_code::invalid, "document service", "",
                          "no document");
    auto state = std::make_shared<impl>();
    state->store = store_;
    state->calls = calls_;
    state->clock = clock_;
    state->cancel_watch = cancel_watch_;
    for (const entry& added : documents_)
        state->documents.push_back(
            {added.document, added.store_key, added.version, 0, false});
    if (seed_)
        state->random = base::random_source(*seed_);
    state->last_observed = clock_();
    state->last_contact = state->last_observed;
    return std::unique_ptr<document_service>(
        new document_service(std::move(state)));
}

document_service::document_service(std::shared_ptr<impl> state)
    : impl_(std::move(state))
{
}

document_service::~document_service()
{
    stop();
}

peer::document_content
document_service::receive(const peer::fetch_document& message)
{
    const auto& current = impl_->find(message.document).document->current();
    if (current.version <= message.above_version)
        return {message.document, 0, {}};
    return {message.document, current.version, *current.text};
}

peer::version_reply
document_service::receive(const peer::push_document& message)
{
    versioned_document& document =
        *impl_->find(message.content.document).document;
    impl_->contacted(impl_->clock());
    document.offer(message.content.version, message.content.text,
                   base::wall_now());
    return {document.version()};
}

void document_service::heard(const peer::heartbeat& beat, base::time_point now)
{
    impl_->contacted(now);
    for (const auto& [name, state] : {std::pair(bundle_document, beat.bundle),
                                      std::pair(fleet_document, beat.fleet)})
        if (state.version != 0)
            impl_->fetch_newer(beat.sender.id, name, state.version);
}

void document_service::fill(peer::heartbeat& beat) const
{
    for (const impl::entry& held : impl_->documents)
    {
        const auto& current = held.document->current();
        const peer::document_state state{current.version, current.adopted_at};
        if (held.document->name() == bundle_document)
            beat.bundle = state;
        if (held.document->name() == fleet_document)
            beat.fleet = state;
    }
}

std::size_t document_service::accepted(std::string_view document,
                                       std::uint64_t version,
                                       const std::string& text,
                                       base::time_point deadline)
{
    impl::entry& target = impl_->find(document);
    target.document->offer(version, text, base::wall_now());
    const peer::push_document message{{std::string(document), version, text}};
    std::size_t reached = 0;
    net::task_group pushes;
    for (const base::member_id& member : impl_->calls.members())
        pushes.spawn(
            [&, member]
            {
                try
                {
                    const auto reply =
                        impl_->calls.push(member, message, deadline);
                    reached += reply.version >= version ? 1 : 0;
                }
                catch (const base::error&)
                {
                    // The member learns of it by the next heartbeat.
                }
            });
    pushes.join();
    return reached;
}

bool document_service::synchronise(base::time_point deadline)
{
    return impl_->synchronise(deadline);
}

bool document_service::wait_until_ready(base::time_point deadline)
{
    while (!impl_->stopping.is_set())
    {
        const base::time_point now = base::steady_now();
        if (now >= deadline)
            break;
        impl_->synchronise(
            std::min(deadline, now + base::duration(document_call_limit)));
        if (impl_->documents.front().document->version() != 0)
            return true;
        impl_->stopping.wait_for(sync_retry);
    }
    return false;
}

void document_service::watch_once(base::time_point deadline)
{
    impl_->watch_once(deadline);
}

void document_service::observe(base::time_point now)
{
    impl_->observe(now);
}

admission document_service::admit(base::time_point now)
{
    // Before the service's own fiber runs again after a pause.
    impl_->observe(now);
    if (impl_->documents.front().document->version() == 0)
        return admission::no_bundle;
    if (impl_->resuming)
        return admission::resuming;
    if (now - impl_->last_contact > contact_limit)
        return admission::out_of_contact;
    return admission::ready;
}

admission document_service::admit()
{
    return admit(impl_->clock());
}

void document_service::start()
{
    impl_->last_observed = impl_->clock();
    // What one member reports first may be outdated.
    impl_->resuming = true;
    impl_->fibers.spawn_restarting("check documents",
                                   [self = impl_.get()] { self->tick_loop(); });
    impl_->fibers.spawn_restarting("watch documents", [self = impl_.get()]
                                   { self->watch_loop(); });
}

void document_service::stop()
{
    impl_->stopping.set();
    if (impl_->cancel_watch)
        impl_->cancel_watch();
    impl_->fibers.join();
    impl_->fetches.join();
}

void document_service::settle()
{
    impl_->fetches.join();
}

} // namespace pimentograde::rollout
