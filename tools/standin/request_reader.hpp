#ifndef PIMENTOGRADE_STANDIN_REQUEST_READER_HPP
#define PIMENTOGRADE_STANDIN_REQUEST_READER_HPP

#include "base/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentograde::standin
{

/// The JSON object of a request. A missing field or one of the wrong type
/// throws `base::error` with code `invalid`, which becomes status 400.
class request_reader
{
public:
    explicit request_reader(std::string_view body);
    explicit request_reader(boost::json::object fields);

    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::uint64_t number(std::string_view name) const;
    [[nodiscard]] double real(std::string_view name) const;
    [[nodiscard]] base::duration millis(std::string_view name) const;
    [[nodiscard]] request_reader nested(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;

private:
    [[nodiscard]] const boost::json::value& field(std::string_view name) const;

    boost::json::object fields_;
};

} // namespace pimentograde::standin

#endif
