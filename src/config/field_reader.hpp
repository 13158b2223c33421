#ifndef PIMENTOGRADE_CONFIG_FIELD_READER_HPP
#define PIMENTOGRADE_CONFIG_FIELD_READER_HPP

#include "net/endpoint.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::config
{

/// One fault of a bundle.
struct bundle_fault
{
    /// Where, for example `workers[3].slots`; empty for the whole document.
    std::string path;
    std::string text;

    bool operator==(const bundle_fault&) const = default;
};

using fault_list = std::vector<bundle_fault>;

/// Reads the fields of one JSON object and collects every fault instead of
/// stopping at the first. A getter returns a default value after a fault.
class field_reader
{
public:
    /// `source` is reported as a fault unless it is an object.
    field_reader(const boost::json::value& source, std::string path,
                 fault_list& faults);

    /// Lower-case letters, digits, `.`, `_` and `-`; 1 to 64 characters.
    std::string name(std::string_view field);
    std::string text(std::string_view field, std::size_t max_bytes);
    /// IP address and a port above 0.
    net::endpoint address(std::string_view field);
    /// 64 lower-case hexadecimal digits.
    std::string sha256(std::string_view field);
    std::uint64_t integer(std::string_view field, std::uint64_t low,
                          std::uint64_t high,
                          std::optional<std::uint64_t> otherwise = {});
    double number(std::string_view field, double low, double high,
                  std::optional<double> otherwise = {});
    bool boolean(std::string_view field, bool otherwise);
    /// Index of the field's text in `words`.
    std::size_t choice(std::string_view field,
                       std::span<const std::string_view> words);
    /// Calls `read` for each element of an array, with the element's path.
    void each(std::string_view field,
              const std::function<void(const boost::json::value&, std::string)>&
                  read);
    std::vector<std::string> names(std::string_view field);
    /// A nested object.
    field_reader object(std::string_view field);

    /// Reports the fields that no getter has asked for.
    void report_unknown();
    void fault(std::string_view field, std::string_view text);
    [[nodiscard]] std::string path_of(std::string_view field) const;

private:
    field_reader(std::string path, fault_list& faults);

    /// Empty after a fault, so that an empty text is not taken for one.
    std::optional<std::string> read_text(std::string_view field,
                                         std::size_t max_bytes);
    const boost::json::value* find(std::string_view field);
    const boost::json::value* require(std::string_view field);

    const boost::json::object* source_ = nullptr;
    std::string path_;
    fault_list* faults_;
    std::set<std::string, std::less<>> known_;
};

/// Whether `text` may be used as a name.
bool is_name(std::string_view text);

} // namespace pimentograde::config

#endif
