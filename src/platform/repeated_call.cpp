#include "platform/repeated_call.hpp"

#include "base/error.hpp"
#include "net/wakeup.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace pimentograde::platform
{

namespace
{

// Tries end by the deadline and wake the caller; this is for the case that one
// notification serves two of them.
constexpr std::chrono::milliseconds open_try_check{50};

struct call_progress
{
    net::wakeup changed;
    std::optional<json_response> answer;
    std::optional<json_response> refusal;
    std::optional<base::error> failure;
    /// A try has failed that may have taken effect.
    bool is_unknown = false;
    int open = 0;

    void note(json_response response)
    {
        if (is_turned_away(response))
            refusal = std::move(response);
        else if (!answer)
            answer = std::move(response);
    }
    void note(const base::error& reason)
    {
        failure = reason;
        is_unknown = is_unknown || reason.effect_unknown();
    }
    /// No try is open, and none has taken effect.
    [[nodiscard]] bool is_without_effect() const
    {
        return open == 0 && !is_unknown && (refusal || failure);
    }
};

void run_try(call_progress& progress,
             const std::function<json_response()>& send)
{
    try
    {
        progress.note(send());
    }
    catch (const base::error& reason)
    {
        progress.note(reason);
    }
    catch (const std::exception& reason)
    {
        progress.note(base::error(base::error_code::cut_off, "repeat call", "",
                                  reason.what()));
    }
    --progress.open;
    progress.changed.notify();
}

json_response finish(const call_progress& progress)
{
    if (progress.is_without_effect())
    {
        if (progress.refusal)
            return *progress.refusal;
        throw base::error(*progress.failure);
    }
    if (progress.failure && progress.failure->effect_unknown())
        throw base::error(*progress.failure);
    throw base::error(base::error_code::timeout, "repeat call", "",
                      "a try has no answer");
}

} // namespace

bool is_turned_away(const json_response& response)
{
    constexpr unsigned first_server_error = 500;
    constexpr unsigned too_many_requests = 429;
    return response.status >= first_server_error ||
           response.status == too_many_requests;
}

json_response send_repeatedly(net::task_group& tries, const repetition& plan,
                              std::function<json_response()> send)
{
    const auto progress = std::make_shared<call_progress>();
    const auto shared_send =
        std::make_shared<std::function<json_response()>>(std::move(send));
    int sent = 0;
    base::time_point next_try = base::steady_now();
    while (!progress->answer && !progress->is_without_effect())
    {
        const base::time_point now = base::steady_now();
        const bool can_send = sent < plan.max_tries && now < plan.deadline;
        if (!can_send && progress->open == 0)
            break;
        if (can_send && now >= next_try)
        {
            ++sent;
            ++progress->open;
            next_try = now + plan.delay;
            tries.spawn([progress, shared_send]
                        { run_try(*progress, *shared_send); });
        }
        progress->changed.wait_until(sent < plan.max_tries &&
                                             next_try < plan.deadline
                                         ? next_try
                                         : now + open_try_check);
    }
    if (progress->answer)
        return *progress->answer;
    return finish(*progress);
}

} // namespace pimentograde::platform
