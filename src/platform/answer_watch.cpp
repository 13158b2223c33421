#include "platform/answer_watch.hpp"

#include <algorithm>

namespace pimentograde::platform
{

namespace
{

// Many times the usual 4 ms of the store.
constexpr std::chrono::milliseconds probe_timeout{300};
constexpr int calls_per_full_timeout = 3;

} // namespace

base::duration answer_watch::timeout() const
{
    if (unanswered_ % calls_per_full_timeout == 0)
        return full_;
    return std::min<base::duration>(full_, probe_timeout);
}

} // namespace pimentograde::platform
