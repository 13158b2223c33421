#ifndef PIMENTOGRADE_METRICS_REGISTRY_HPP
#define PIMENTOGRADE_METRICS_REGISTRY_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pimentograde::metrics
{

/// A value that only grows.
class counter
{
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    [[nodiscard]] std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// Distribution of durations in seconds, by Boost.Histogram, with logarithmic
/// bins from 0.1 ms to 100 s.
class histogram
{
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    void observe(double seconds);
    [[nodiscard]] std::uint64_t count() const;
    /// Upper edge of the bin that holds the quantile `share` (0 to 1], in
    /// seconds; 0 without observations.
    [[nodiscard]] double quantile(double share) const;
    /// Lines of the text exposition format for the metric `name`.
    [[nodiscard]] std::string expose(std::string_view name) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Named metrics of one process and their text exposition, in the format that
/// Prometheus and compatible scrapers read.
class registry
{
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// The counter with this name and label, created at the first call.
    /// `label` is empty or one `name="value"` pair.
    counter& get_counter(std::string_view name, std::string_view label = {});
    histogram& get_histogram(std::string_view name);
    /// Registers a value that is read at each exposition.
    void add_gauge(std::string_view name, std::string_view label,
                   std::function<double()> read);
    [[nodiscard]] std::string expose() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// `name="value"` with the value escaped for the exposition format.
std::string label(std::string_view name, std::string_view value);

} // namespace pimentograde::metrics

#endif
