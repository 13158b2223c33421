#ifndef PIMENTOGRADE_PEER_MESSAGE_FIELDS_HPP
#define PIMENTOGRADE_PEER_MESSAGE_FIELDS_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "net/endpoint.hpp"

#include <jsoncpp/json/json.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::peer
{

/// Reads typed fields of a message. Each getter throws `base::error` with
/// `invalid` that names the field when it is missing or has the wrong type or
/// range. Unknown fields are ignored, so that members of neighbouring versions
/// understand each other during a replacement.
class message_fields
{
public:
    explicit message_fields(const Json::Value& source);

    [[nodiscard]] std::string text(const char* field) const;
    template <class Id>
    [[nodiscard]] Id id(const char* field) const
    {
        return Id(text(field));
    }
    [[nodiscard]] std::uint64_t number(const char* field) const;
    [[nodiscard]] std::uint32_t small_number(const char* field) const;
    [[nodiscard]] std::int64_t signed_number(const char* field) const;
    [[nodiscard]] double real(const char* field) const;
    [[nodiscard]] bool flag(const char* field) const;
    /// Non-negative, in microseconds; at most a year.
    [[nodiscard]] base::duration length(const char* field) const;
    [[nodiscard]] net::endpoint endpoint(const char* field) const;
    [[nodiscard]] const Json::Value& object(const char* field) const;
    [[nodiscard]] const Json::Value& array(const char* field) const;
    /// Index of the field's text in `words`.
    template <class Enum, std::size_t Count>
    [[nodiscard]] Enum word(const char* field,
                            const std::array<const char*, Count>& words) const
    {
        const std::string value = text(field);
        for (std::size_t i = 0; i < Count; ++i)
            if (value == words[i])
                return static_cast<Enum>(i);
        fail(field, "an unknown word");
    }

private:
    [[nodiscard]] const Json::Value& require(const char* field) const;
    [[noreturn]] static void fail(const char* field, std::string_view text);

    const Json::Value* source_;
};

/// Text as a message field. Throws `base::error` with `invalid` unless it is
/// UTF-8, which JSON cannot carry otherwise.
Json::Value text_value(const std::string& text);
/// Microseconds.
Json::Value length_value(base::duration length);

template <class Message>
Json::Value list_value(const std::vector<Message>& items)
{
    Json::Value list(Json::arrayValue);
    for (const Message& item : items)
        list.append(item.to_json());
    return list;
}

template <class Message>
std::vector<Message> read_list(const Json::Value& list)
{
    std::vector<Message> items;
    items.reserve(list.size());
    for (const Json::Value& item : list)
        items.push_back(Message::from_json(item));
    return items;
}

} // namespace pimentograde::peer

#endif
