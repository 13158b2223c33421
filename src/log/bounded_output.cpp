#include "log/bounded_output.hpp"

#include "log/events.hpp"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace pimentograde::log
{

namespace
{

// A pipe that is ready takes this many bytes at once without blocking
// (PIPE_BUF of Linux).
constexpr std::size_t max_line_bytes = 4096;
// Two lines a submission and three a run at the largest burst of one pool's
// owner, about 650 starts a second, would be 2,000; the rest is dropped.
constexpr double standard_lines_per_second = 1000.0;

std::string drop_report(std::uint64_t lines)
{
    return boost::json::serialize(boost::json::object{
        {"level", to_string(event_lines_dropped.level)},
        {"event", "PG-" + std::to_string(event_lines_dropped.number)},
        {"text", event_lines_dropped.text},
        {"lines", lines}});
}

class bounded_backend : public boost::log::sinks::basic_formatted_sink_backend<
                            char, boost::log::sinks::synchronized_feeding>
{
public:
    void consume(const boost::log::record_view&, const string_type& line)
    {
        output_.write(line, base::steady_now());
    }

private:
    bounded_output output_{STDOUT_FILENO, standard_lines_per_second};
};

} // namespace

bounded_output::bounded_output(int descriptor, double lines_per_second)
    : descriptor_(descriptor), rate_(lines_per_second),
      tokens_(lines_per_second)
{
}

bool bounded_output::take_token(base::time_point now)
{
    if (filled_at_ != base::time_point{})
        tokens_ = std::min(
            rate_, tokens_ + rate_ * base::count_seconds(now - filled_at_));
    filled_at_ = now;
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

bool bounded_output::put(std::string_view line) const
{
    pollfd state{descriptor_, POLLOUT, 0};
    // POLLERR: the reader is gone.
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0 ||
        (state.revents & POLLERR) != 0)
        return false;
    std::string text(line.substr(0, max_line_bytes - 1));
    text += '\n';
    return ::write(descriptor_, text.data(), text.size()) ==
           static_cast<ssize_t>(text.size());
}

void bounded_output::write(std::string_view line, base::time_point now)
{
    if (!take_token(now))
    {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_ && put(drop_report(dropped_ - reported_)))
        reported_ = dropped_;
    if (!put(line))
        ++dropped_;
}

void use_bounded_standard_output()
{
    using sink = boost::log::sinks::synchronous_sink<bounded_backend>;
    const auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_sink(boost::make_shared<sink>());
}

} // namespace pimentograde::log
