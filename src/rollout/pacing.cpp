#include "rollout/pacing.hpp"

#include <boost/fiber/operations.hpp>

namespace pimentograde::rollout
{

pacing real_pacing()
{
    return {[] { return base::steady_now(); },
            [](base::duration length)
            {
                boost::this_fiber::sleep_for(length);
            }};
}

} // namespace pimentograde::rollout
