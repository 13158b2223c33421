#include "jobs/queue_statistics.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

namespace pimentograde::jobs
{

namespace json = boost::json;

namespace
{

// Weight of a new observation in the moving averages.
constexpr double learning_rate = 0.05;

} // namespace

void queue_statistics::note_job(double work)
{
    mean_work_ = mean_work_ <= 0.0
                     ? work
                     : mean_work_ + learning_rate * (work - mean_work_);
}

std::string encode_statistics(const statistics_table& table)
{
    json::object queues;
    for (const auto& [queue, entry] : table)
    {
        const auto sums = entry.run_times.sums();
        queues[queue] =
            json::object{{"mean_work", entry.mean_work()},
                         {"weight", sums.weight},
                         {"mean_estimate", sums.mean_estimate},
                         {"mean_ratio", sums.mean_ratio},
                         {"estimate_squares", sums.estimate_squares},
                         {"products", sums.products},
                         {"ratio_squares", sums.ratio_squares}};
    }
    return json::serialize(queues);
}

statistics_table decode_statistics(std::string_view text)
{
    statistics_table table;
    try
    {
        const json::value parsed = json::parse(text);
        for (const auto& [queue, value] : parsed.as_object())
        {
            const json::object& row = value.as_object();
            const auto number = [&](std::string_view name)
            {
                return row.at(name).to_number<double>();
            };
            run_time_model model({number("weight"), number("mean_estimate"),
                                  number("mean_ratio"),
                                  number("estimate_squares"),
                                  number("products"), number("ratio_squares")});
            table.emplace(queue, queue_statistics(number("mean_work"), model));
        }
    }
    catch (const std::exception& failure)
    {
        throw base::error(base::error_code::invalid, "decode statistics", "",
                          failure.what());
    }
    return table;
}

} // namespace pimentograde::jobs
