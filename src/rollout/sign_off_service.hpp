#ifndef PIMENTOGRADE_ROLLOUT_SIGN_OFF_SERVICE_HPP
#define PIMENTOGRADE_ROLLOUT_SIGN_OFF_SERVICE_HPP

#include "base/time.hpp"
#include "config/bundle.hpp"
#include "provider/kv_operations.hpp"
#include "rollout/draft_store.hpp"
#include "rollout/pacing.hpp"
#include "rollout/sign_off.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::rollout
{

/// A sign-off and what is known about it.
struct sign_off_ticket
{
    std::string id;
    sign_off_result result;
};

/// What operators do with bundles: draft, review, and sign off by somebody
/// else than the author. Goes on asking about a sign-off whose outcome is
/// unknown until it knows.
class sign_off_service
{
public:
    /// Called with version and text of the store's value after an acceptance.
    using accepted_hook =
        std::function<void(std::uint64_t version, const std::string& text)>;

    sign_off_service(provider::kv_operations store, pacing pace,
                     base::random_source random, accepted_hook accepted);
    ~sign_off_service();
    sign_off_service(const sign_off_service&) = delete;
    sign_off_service& operator=(const sign_off_service&) = delete;

    // All throw `base::error`: `unauthorized` for a wrong role, `invalid` for
    // a bundle that cannot be accepted, `not_found` for an unknown draft,
    // `conflict` for a wrong base version, `unavailable` when the store cannot
    // be reached and nothing was done.

    /// Needs the role `author`.
    draft propose(const config::operator_entry& by, std::string_view bundle,
                  std::uint64_t base_version, base::wall_time now,
                  base::time_point deadline);
    /// Needs the role `reviewer`.
    void review(const config::operator_entry& by, std::string_view draft_id,
                std::string_view comment, base::wall_time now,
                base::time_point deadline);
    /// Needs the role `reviewer` and another name than the author's.
    /// `base_version` has to be the draft's: a draft of an older version would
    /// undo what was accepted since. The id follows from draft, reviewer and
    /// base version, so that asking again, also through another instance, is
    /// the same sign-off.
    sign_off_ticket sign_off(const config::operator_entry& by,
                             std::string_view draft_id,
                             std::uint64_t base_version, base::wall_time now,
                             base::time_point deadline);
    /// What is known about a sign-off made through this instance.
    [[nodiscard]] std::optional<sign_off_result>
    result(std::string_view id) const;
    [[nodiscard]] draft_store& drafts();

    /// Ends the questions about unknown outcomes.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::rollout

#endif
