#ifndef PIMENTOGRADE_STANDIN_BUNDLE_WORKERS_HPP
#define PIMENTOGRADE_STANDIN_BUNDLE_WORKERS_HPP

#include "standin/worker_model.hpp"

#include <string_view>
#include <vector>

namespace pimentograde::standin
{

/// The workers of a bundle: `workers[]` with `id` and `address` and
/// optionally `slots`, `connections` and, there or in an object `size`,
/// `cores`, `memory_mb`, `accelerators`. Everything else in the bundle is
/// ignored. Throws `base::error` with code `invalid`.
std::vector<worker_settings> workers_of_bundle(std::string_view text);

} // namespace pimentograde::standin

#endif
