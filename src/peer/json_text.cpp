#include "peer/json_text.hpp"

#include "base/error.hpp"

#include <charconv>
#include <memory>

namespace pimentograde::peer
{

bool is_bounded_object(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    if (text.empty() || text.front() != '{')
        return false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (in_string)
        {
            if (c == '\\')
                ++i;
            in_string = c != '"';
            continue;
        }
        const bool opens = c == '{' || c == '[';
        const bool closes = c == '}' || c == ']';
        // A slash starts a comment.
        if (c == '/' || (closes && depth == 0) ||
            (opens && depth == max_nesting))
            return false;
        in_string = c == '"';
        depth += opens ? 1 : 0;
        depth -= closes ? 1 : 0;
    }
    return depth == 0 && !in_string;
}

Json::Value parse_object(std::string_view text)
{
    static const Json::CharReaderBuilder builder = []
    {
        Json::CharReaderBuilder strict;
        Json::CharReaderBuilder::strictMode(&strict.settings_);
        return strict;
    }();
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try
    {
        if (is_bounded_object(text) &&
            reader->parse(text.data(), text.data() + text.size(), &value,
                          nullptr) &&
            value.isObject())
            return value;
    }
    catch (const Json::Exception&)
    {
        // Reported below, like any other malformed text.
    }
    throw base::error(base::error_code::invalid, "message", "",
                      "not a JSON object within bounds");
}

std::string write_text(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = []
    {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        return compact;
    }();
    return Json::writeString(builder, value);
}

std::optional<std::uint64_t> message_id(std::string_view text)
{
    // The library writes keys in alphabetical order, so that a request and a
    // successful response start with the id and need not be parsed here.
    constexpr std::string_view prefix = "{\"id\":";
    if (text.substr(0, prefix.size()) == prefix)
    {
        std::uint64_t id = 0;
        const char* begin = text.data() + prefix.size();
        const auto [end, failure] =
            std::from_chars(begin, text.data() + text.size(), id);
        if (failure == std::errc{} && end != text.data() + text.size() &&
            *end == ',')
            return id;
    }
    try
    {
        const Json::Value value = parse_object(text);
        const Json::Value& id = value["id"];
        if (id.isUInt64())
            return id.asUInt64();
    }
    catch (const base::error&)
    {
        // A malformed message has no id.
    }
    return std::nullopt;
}

bool is_utf8(std::string_view text)
{
    const auto byte = [&](std::size_t i)
    {
        return static_cast<unsigned char>(text[i]);
    };
    for (std::size_t i = 0; i < text.size();)
    {
        const unsigned lead = byte(i);
        const std::size_t extra = lead < 0x80                   ? 0
                                  : lead >= 0xc2 && lead < 0xe0 ? 1
                                  : lead >= 0xe0 && lead < 0xf0 ? 2
                                  : lead >= 0xf0 && lead < 0xf5 ? 3
                                                                : 4;
        if (extra == 4 || i + extra >= text.size() + (extra == 0 ? 1 : 0))
            return false;
        for (std::size_t k = 1; k <= extra; ++k)
            if ((byte(i + k) & 0xc0U) != 0x80U)
                return false;
        // Overlong forms, surrogates and values above U+10FFFF.
        if (extra >= 2)
        {
            const unsigned second = byte(i + 1);
            if ((lead == 0xe0 && second < 0xa0) ||
                (lead == 0xed && second > 0x9f) ||
                (lead == 0xf0 && second < 0x90) ||
                (lead == 0xf4 && second > 0x8f))
                return false;
        }
        i += extra + 1;
    }
    return true;
}

} // namespace pimentograde::peer
