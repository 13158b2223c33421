#include "config/duplicate_fields.hpp"

#include <boost/json/basic_parser_impl.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::config
{

namespace json = boost::json;

namespace
{

struct level
{
    bool is_array = false;
    std::size_t index = 0;
    std::string field;
    std::set<std::string> seen;
};

// Handler of Boost.JSON's event parser that only follows keys and nesting.
struct key_handler
{
    static constexpr std::size_t max_object_size = SIZE_MAX;
    static constexpr std::size_t max_array_size = SIZE_MAX;
    static constexpr std::size_t max_key_size = SIZE_MAX;
    static constexpr std::size_t max_string_size = SIZE_MAX;

    using failure = boost::system::error_code;

    std::vector<level> levels;
    std::string partial_key;
    fault_list faults;

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const level& entry : levels)
        {
            if (entry.is_array)
                text += "[" + std::to_string(entry.index) + "]";
            else
                text += (text.empty() ? "" : ".") + entry.field;
        }
        return text;
    }
    bool value_ended()
    {
        if (!levels.empty() && levels.back().is_array)
            ++levels.back().index;
        return true;
    }
    bool on_document_begin(failure&) { return true; }
    bool on_document_end(failure&) { return true; }
    bool on_object_begin(failure&)
    {
        levels.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, failure&)
    {
        levels.pop_back();
        return value_ended();
    }
    bool on_array_begin(failure&)
    {
        levels.push_back({true, 0, {}, {}});
        return true;
    }
    bool on_array_end(std::size_t, failure&)
    {
        levels.pop_back();
        return value_ended();
    }
    bool on_key_part(json::string_view part, std::size_t, failure&)
    {
        partial_key.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, failure&)
    {
        partial_key.append(part.data(), part.size());
        level& current = levels.back();
        current.field = partial_key;
        partial_key.clear();
        if (!current.seen.insert(current.field).second)
            faults.push_back({path(), "occurs twice"});
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, failure&)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, failure&)
    {
        return value_ended();
    }
    bool on_number_part(json::string_view, failure&) { return true; }
    bool on_int64(std::int64_t, json::string_view, failure&)
    {
        return value_ended();
    }
    bool on_uint64(std::uint64_t, json::string_view, failure&)
    {
        return value_ended();
    }
    bool on_double(double, json::string_view, failure&)
    {
        return value_ended();
    }
    bool on_bool(bool, failure&) { return value_ended(); }
    bool on_null(failure&) { return value_ended(); }
    bool on_comment_part(json::string_view, failure&) { return true; }
    bool on_comment(json::string_view, failure&) { return true; }
};

} // namespace

fault_list find_duplicate_fields(std::string_view text)
{
    json::basic_parser<key_handler> parser{json::parse_options{}};
    boost::system::error_code failure;
    parser.write_some(false, text.data(), text.size(), failure);
    return std::move(parser.handler().faults);
}

} // namespace pimentograde::config
