#ifndef PIMENTOGRADE_ROLLOUT_DRAFT_STORE_HPP
#define PIMENTOGRADE_ROLLOUT_DRAFT_STORE_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "provider/kv_operations.hpp"
#include "rollout/pacing.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::rollout
{

inline constexpr const char* drafts_key = "config/drafts";
/// Drafts kept; the oldest are dropped.
inline constexpr std::size_t max_drafts = 16;

struct review_entry
{
    std::string by;
    std::string comment;
    base::wall_time at{};

    bool operator==(const review_entry&) const = default;
};

/// A proposed bundle.
struct draft
{
    std::string id;
    std::string author;
    base::wall_time created_at{};
    /// Version that the author changed.
    std::uint64_t base_version = 0;
    /// JSON text.
    std::string bundle;
    std::vector<review_entry> reviews;

    bool operator==(const draft&) const = default;
};

/// Drafts and reviews in the store, shared by all entry instances. All
/// functions throw `base::error` when the store cannot be reached.
class draft_store
{
public:
    draft_store(provider::kv_operations store, pacing pace,
                base::random_source random);

    /// Adds a draft and returns it with its id. Throws `invalid`, listing every
    /// fault, for a bundle that could not be accepted.
    draft add(std::string_view author, std::string_view bundle,
              std::uint64_t base_version, base::wall_time now,
              base::time_point deadline);
    /// Throws `not_found`.
    void review(std::string_view id, std::string_view by,
                std::string_view comment, base::wall_time now,
                base::time_point deadline);
    /// Oldest first.
    [[nodiscard]] std::vector<draft> list(base::time_point deadline) const;
    /// Throws `not_found`.
    [[nodiscard]] draft find(std::string_view id,
                             base::time_point deadline) const;
    /// Does nothing for an unknown id.
    void remove(std::string_view id, base::time_point deadline);

private:
    provider::kv_operations store_;
    pacing pace_;
    base::random_source random_;
};

/// Value of the store key. Throws `base::error` with `invalid`.
std::vector<draft> parse_drafts(std::string_view text);
std::string to_text(const std::vector<draft>& drafts);

} // namespace pimentograde::rollout

#endif
