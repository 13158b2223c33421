#include "rollout/store_update.hpp"

#include "base/error.hpp"

#include <algorithm>

namespace pimentograde::rollout
{

namespace
{

constexpr std::chrono::milliseconds first_retry{20};
constexpr std::chrono::seconds max_retry{1};

bool may_be_repeated(const base::error& failure)
{
    return failure.effect_unknown() ||
           failure.code() == base::error_code::unavailable ||
           failure.code() == base::error_code::refused;
}

} // namespace

void update_value(const provider::kv_operations& store, std::string_view key,
                  const value_change& change, const pacing& pace,
                  base::random_source& random, base::time_point deadline)
{
    bool written = false;
    std::string cause = "store not asked before the deadline";
    base::duration retry = first_retry;
    while (pace.now() < deadline)
    {
        bool writing = false;
        try
        {
            const base::time_point call_deadline = std::min(
                deadline, pace.now() + base::duration(store_call_limit));
            const auto entry = store.get(key, call_deadline);
            const auto next = change(entry.value);
            if (!next)
                return;
            writing = true;
            const auto swapped = store.compare_and_swap(key, entry.version,
                                                        *next, call_deadline);
            if (swapped.outcome == provider::swap_outcome::applied)
                return;
            cause = "conflicting writes";
        }
        catch (const base::error& failure)
        {
            if (!may_be_repeated(failure))
                throw;
            written = written || (writing && failure.effect_unknown());
            cause = failure.what();
        }
        pace.sleep(retry / 2 + random.jitter(retry / 2));
        retry = std::min<base::duration>(retry * 2, max_retry);
    }
    throw base::error(written ? base::error_code::timeout
                              : base::error_code::unavailable,
                      "update", std::string(key), cause);
}

} // namespace pimentograde::rollout
