#include "platform/answer_watch.hpp"

#include <algorithm>

namespace pimentograde::platform
{

namespace
{

// Many times the usual 4 ms of the store.
constexpr std::chrono::milliseconds probe_timeout{300};
constexpr int calls_per_full_timeout = 3;
// Many times the usual 4 ms; a caller's wait is hardly longer by it.
constexpr std::chrono::milliseconds min_repeat_delay{60};
constexpr int repeat_delay_multiple = 2;
// Answer times weigh nine tenths for each later answer.
constexpr int weight_part = 9;
constexpr int weight_whole = 10;

} // namespace

void answer_watch::note_answer(base::time_point now)
{
    unanswered_ = 0;
    answered_at_ = std::max(answered_at_, now);
}

void answer_watch::note_answer_time(base::duration length)
{
    answer_time_ = std::max<base::duration>(length, answer_time_ * weight_part /
                                                        weight_whole);
}

void answer_watch::note_timeout(base::time_point sent_at)
{
    if (answered_at_ < sent_at)
        ++unanswered_;
}

base::duration answer_watch::repeat_delay() const
{
    return std::clamp<base::duration>(answer_time_ * repeat_delay_multiple,
                                      min_repeat_delay, full_);
}

base::duration answer_watch::timeout() const
{
    if (unanswered_ % calls_per_full_timeout == 0)
        return full_;
    return std::min<base::duration>(full_, probe_timeout);
}

} // namespace pimentograde::platform
