#include "rollout/sign_off.hpp"

#include "base/error.hpp"
#include "config/bundle_parser.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace pimentograde::rollout
{

namespace
{

constexpr std::chrono::milliseconds first_retry{20};
constexpr std::chrono::seconds max_retry{1};

class attempt
{
public:
    attempt(const provider::kv_operations& store,
            const sign_off_request& request, const pacing& pace,
            base::random_source& random, base::time_point deadline)
        : store_(store), request_(request), pace_(pace), random_(random),
          deadline_(deadline), written_(request.asked_before)
    {
    }

    sign_off_result run()
    {
        while (pace_.now() < deadline_)
        {
            if (auto known = step())
                return std::move(*known);
            wait();
        }
        if (written_)
            return {};
        throw base::error(last_code_, "sign-off", "", last_failure_);
    }

private:
    std::optional<sign_off_result> step();
    std::optional<sign_off_result> judge(const bundle_envelope& found,
                                         const provider::kv_entry& entry) const;
    std::optional<sign_off_result> write(const bundle_envelope& found,
                                         const provider::kv_entry& entry);
    void wait();
    [[nodiscard]] base::time_point call_deadline() const
    {
        return std::min(deadline_,
                        pace_.now() + base::duration(store_call_limit));
    }

    const provider::kv_operations& store_;
    const sign_off_request& request_;
    const pacing& pace_;
    base::random_source& random_;
    base::time_point deadline_;
    base::duration retry_ = first_retry;
    /// A write was sent whose effect is not known.
    bool written_;
    base::error_code last_code_ = base::error_code::unavailable;
    std::string last_failure_ = "store not asked before the deadline";
};

// Full jitter keeps racing reviewers apart.
void attempt::wait()
{
    const base::duration left = deadline_ - pace_.now();
    pace_.sleep(std::min(retry_ / 2 + random_.jitter(retry_ / 2), left));
    retry_ = std::min<base::duration>(retry_ * 2, max_retry);
}

std::optional<sign_off_result> attempt::step()
{
    try
    {
        const auto entry = store_.get(bundle_key, call_deadline());
        const bundle_envelope found = parse_envelope(entry.value);
        if (auto known = judge(found, entry))
            return known;
        if (found.version == request_.base_version)
            return write(found, entry);
        // A stale read, or a base version that never was.
        last_code_ = base::error_code::conflict;
        last_failure_ =
            "base version " + std::to_string(request_.base_version) +
            " does not exist; the store holds " + std::to_string(found.version);
    }
    catch (const base::error& failure)
    {
        last_code_ = base::error_code::unavailable;
        last_failure_ = failure.what();
    }
    return std::nullopt;
}

std::optional<sign_off_result>
attempt::judge(const bundle_envelope& found,
               const provider::kv_entry& entry) const
{
    sign_off_result result;
    if (const sign_off_entry* own = found.find_id(request_.id))
    {
        result.outcome = sign_off_outcome::accepted;
        result.version = own->version;
        result.current_version = found.version;
        result.current_text = entry.value;
        return result;
    }
    if (found.version <= request_.base_version)
        return std::nullopt;
    const sign_off_entry* winner =
        found.find_version(request_.base_version + 1);
    // Too many sign-offs later: whether this one won can no longer be seen.
    result.version = request_.base_version + 1;
    if (winner == nullptr && written_)
        return result;
    result.outcome = sign_off_outcome::lost;
    if (winner != nullptr)
    {
        result.winner = winner->reviewer;
        result.winner_author = winner->author;
    }
    return result;
}

std::optional<sign_off_result> attempt::write(const bundle_envelope& found,
                                              const provider::kv_entry& entry)
{
    const bundle_envelope next =
        found.with(request_.bundle, {0, request_.id, request_.author,
                                     request_.reviewer, request_.at});
    const std::string text = to_text(next);
    const base::time_point deadline = call_deadline();
    try
    {
        const auto swapped =
            store_.compare_and_swap(bundle_key, entry.version, text, deadline);
        // After a conflict the next read shows who won, or that it was this
        // one's earlier write.
        if (swapped.outcome == provider::swap_outcome::conflict)
            return std::nullopt;
    }
    catch (const base::error& failure)
    {
        written_ = written_ || failure.effect_unknown();
        throw;
    }
    sign_off_result result;
    result.outcome = sign_off_outcome::accepted;
    result.version = next.version;
    result.current_version = next.version;
    result.current_text = text;
    return result;
}

} // namespace

sign_off_result sign_off(const provider::kv_operations& store,
                         const sign_off_request& request, const pacing& pace,
                         base::random_source& random, base::time_point deadline)
{
    return attempt(store, request, pace, random, deadline).run();
}

bool install_first_bundle(const provider::kv_operations& store,
                          const std::string& bundle, base::wall_time at,
                          const pacing& pace, base::random_source& random,
                          base::time_point deadline)
{
    config::load_bundle(bundle);
    const sign_off_request request{random.hex_id(), bundle, "initial",
                                   "initial",       0,      at};
    const auto result = sign_off(store, request, pace, random, deadline);
    if (result.outcome == sign_off_outcome::unknown)
        throw base::error(base::error_code::timeout, "install bundle", "",
                          "outcome unknown");
    return result.outcome == sign_off_outcome::accepted;
}

} // namespace pimentograde::rollout
