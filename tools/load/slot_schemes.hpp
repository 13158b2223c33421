#ifndef PIMENTOGRADE_LOAD_SLOT_SCHEMES_HPP
#define PIMENTOGRADE_LOAD_SLOT_SCHEMES_HPP

#include "load/burst_model.hpp"

namespace pimentograde::load
{

/// One broker per pool that borrows when it is full. The last pool is the
/// spare pool.
scheme_factory broker_with_lending();

/// One broker per pool that never borrows.
scheme_factory broker_without_lending();

/// Nine instances choose workers of the request's pool on their own, know
/// others' use from reports every second, and try again with backoff when a
/// worker refuses as full.
scheme_factory two_choices();

/// Each of nine instances owns a fixed ninth of each pool's slots.
scheme_factory fixed_shares();

} // namespace pimentograde::load

#endif
