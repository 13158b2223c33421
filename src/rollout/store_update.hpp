#ifndef PIMENTOGRADE_ROLLOUT_STORE_UPDATE_HPP
#define PIMENTOGRADE_ROLLOUT_STORE_UPDATE_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "provider/kv_operations.hpp"
#include "rollout/pacing.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::rollout
{

/// New value as a function of the current one; empty when the change is in
/// place already, which also ends the loop after a lost response. May throw.
using value_change =
    std::function<std::optional<std::string>(std::string_view current)>;

/// Applies `change` to the value of `key` by compare-and-swap, again after a
/// conflict or a failure. Throws `base::error` at the deadline: `timeout` when
/// the change may have been made, otherwise `unavailable`.
void update_value(const provider::kv_operations& store, std::string_view key,
                  const value_change& change, const pacing& pace,
                  base::random_source& random, base::time_point deadline);

} // namespace pimentograde::rollout

#endif
