#include "metrics/registry.hpp"

#include <boost/histogram.hpp>

#include <cmath>
#include <cstdio>
#include <map>
#include <utility>

namespace pimentograde::metrics
{

namespace bh = boost::histogram;

namespace
{

constexpr unsigned bin_count = 60;
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 100.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_log_histogram()
{
    return bh::make_histogram(
        log_axis(bin_count, lowest_seconds, highest_seconds));
}

std::string format_number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

std::string with_label(std::string_view name, std::string_view label)
{
    std::string text{name};
    if (!label.empty())
        text.append("{").append(label).append("}");
    return text;
}

} // namespace

struct histogram::impl
{
    decltype(make_log_histogram()) bins = make_log_histogram();
    std::uint64_t count = 0;
    double sum = 0;
};

histogram::histogram() : impl_(std::make_unique<impl>()) {}

histogram::~histogram() = default;

void histogram::observe(double seconds)
{
    impl_->bins(seconds);
    ++impl_->count;
    impl_->sum += seconds;
}

std::uint64_t histogram::count() const
{
    return impl_->count;
}

double histogram::quantile(double share) const
{
    if (impl_->count == 0)
        return 0;
    const double wanted = std::ceil(share * static_cast<double>(impl_->count));
    double seen = 0;
    for (auto&& bin : bh::indexed(impl_->bins, bh::coverage::all))
    {
        seen += *bin;
        if (seen >= wanted)
            return std::min(bin.bin().upper(), highest_seconds);
    }
    return highest_seconds;
}

std::string histogram::expose(std::string_view name) const
{
    const std::string base_name{name};
    std::string text = "# TYPE " + base_name + " histogram\n";
    double cumulative = 0;
    for (auto&& bin : bh::indexed(impl_->bins, bh::coverage::all))
    {
        cumulative += *bin;
        const double edge = bin.bin().upper();
        // The overflow bin is the +Inf line below.
        if (!std::isfinite(edge))
            continue;
        text += base_name + "_bucket{le=\"" + format_number(edge) + "\"} " +
                format_number(cumulative) + "\n";
    }
    const std::string total = std::to_string(impl_->count);
    text += base_name + "_bucket{le=\"+Inf\"} " + total + "\n";
    text += base_name + "_sum " + format_number(impl_->sum) + "\n";
    text += base_name + "_count " + total + "\n";
    return text;
}

struct registry::impl
{
    using key = std::pair<std::string, std::string>;

    std::map<key, counter> counters;
    std::map<std::string, histogram> histograms;
    std::map<key, std::function<double()>> gauges;
};

registry::registry() : impl_(std::make_unique<impl>()) {}

registry::~registry() = default;

counter& registry::get_counter(std::string_view name, std::string_view label)
{
    return impl_->counters[{std::string(name), std::string(label)}];
}

histogram& registry::get_histogram(std::string_view name)
{
    return impl_->histograms[std::string(name)];
}

void registry::add_gauge(std::string_view name, std::string_view label,
                         std::function<double()> read)
{
    impl_->gauges[{std::string(name), std::string(label)}] = std::move(read);
}

std::string registry::expose() const
{
    std::string text;
    std::string last;
    for (const auto& [key, value] : impl_->counters)
    {
        if (key.first != last)
            text += "# TYPE " + key.first + " counter\n";
        last = key.first;
        text += with_label(key.first, key.second) + " " +
                std::to_string(value.value()) + "\n";
    }
    for (const auto& [key, read] : impl_->gauges)
    {
        if (key.first != last)
            text += "# TYPE " + key.first + " gauge\n";
        last = key.first;
        text += with_label(key.first, key.second) + " " +
                format_number(read()) + "\n";
    }
    for (const auto& [name, values] : impl_->histograms)
        text += values.expose(name);
    return text;
}

std::string label(std::string_view name, std::string_view value)
{
    std::string text{name};
    text += "=\"";
    for (const char symbol : value)
    {
        if (symbol == '"' || symbol == '\\')
            text += '\\';
        text += symbol == '\n' ? ' ' : symbol;
    }
    text += '"';
    return text;
}

} // namespace pimentograde::metrics
