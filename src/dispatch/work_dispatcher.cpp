#include "dispatch/work_dispatcher.hpp"

#include <utility>

namespace pimentograde::dispatch
{

struct work_dispatcher::impl
{
    std::shared_ptr<records::record_table> table;
    std::shared_ptr<attempt_runner> attempts;
    std::shared_ptr<in_flight_table> in_flight;
    std::unique_ptr<request_runner> requests;
    std::unique_ptr<job_runner> jobs;
};

work_dispatcher::builder& work_dispatcher::builder::hooks(runner_hooks value)
{
    hooks_ = std::move(value);
    return *this;
}

work_dispatcher::builder&
work_dispatcher::builder::settings(runner_settings value)
{
    settings_ = value;
    return *this;
}

work_dispatcher::builder&
work_dispatcher::builder::table(std::shared_ptr<records::record_table> value)
{
    table_ = std::move(value);
    return *this;
}

work_dispatcher::builder& work_dispatcher::builder::seed(std::uint64_t value)
{
    random_ = std::make_shared<base::random_source>(value);
    return *this;
}

std::unique_ptr<work_dispatcher> work_dispatcher::builder::build()
{
    if (!random_)
        random_ = std::make_shared<base::random_source>();
    auto state = std::make_unique<impl>();
    state->table = table_;
    state->attempts =
        std::make_shared<attempt_runner>(hooks_, settings_, table_, random_);
    state->in_flight = std::make_shared<in_flight_table>();
    state->requests =
        std::make_unique<request_runner>(state->attempts, state->in_flight);
    state->jobs =
        std::make_unique<job_runner>(state->attempts, state->in_flight);
    state->jobs->start();
    return std::unique_ptr<work_dispatcher>(
        new work_dispatcher(std::move(state)));
}

work_dispatcher::work_dispatcher(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

work_dispatcher::~work_dispatcher()
{
    drain(base::steady_now());
}

request_runner& work_dispatcher::requests()
{
    return *impl_->requests;
}

job_runner& work_dispatcher::jobs()
{
    return *impl_->jobs;
}

bool work_dispatcher::drain(base::time_point deadline)
{
    const bool jobs_ended = impl_->jobs->drain(deadline);
    const bool requests_ended = impl_->requests->drain(deadline);
    const bool written = impl_->table->drain(deadline);
    const bool complete = jobs_ended && requests_ended && written;
    if (!complete)
    {
        impl_->attempts->halt();
        impl_->table->abandon();
    }
    return complete;
}

} // namespace pimentograde::dispatch
