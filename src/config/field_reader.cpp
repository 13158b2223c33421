#include "config/field_reader.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::config
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t sha256_digits = 64;

bool is_hex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// Shortens text from the document for messages.
std::string quote(std::string_view text)
{
    constexpr std::size_t max_quoted = 40;
    return json::serialize(json::value(
        json::string(json::string_view(text.substr(0, max_quoted)))));
}

} // namespace

bool is_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_bytes)
        return false;
    return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789._-") ==
           std::string_view::npos;
}

field_reader::field_reader(const json::value& source, std::string path,
                           fault_list& faults)
    : source_(source.if_object()), path_(std::move(path)), faults_(&faults)
{
    if (source_ == nullptr)
        faults_->push_back({path_, "must be an object"});
}

field_reader::field_reader(std::string path, fault_list& faults)
    : path_(std::move(path)), faults_(&faults)
{
}

std::string field_reader::path_of(std::string_view field) const
{
    if (path_.empty())
        return std::string(field);
    return path_ + "." + std::string(field);
}

void field_reader::fault(std::string_view field, std::string_view text)
{
    faults_->push_back({path_of(field), std::string(text)});
}

const json::value* field_reader::find(std::string_view field)
{
    known_.emplace(field);
    if (source_ == nullptr)
        return nullptr;
    return source_->if_contains(field);
}

const json::value* field_reader::require(std::string_view field)
{
    const json::value* found = find(field);
    // An object of the wrong type has been reported once already.
    if (found == nullptr && source_ != nullptr)
        fault(field, "is missing");
    return found;
}

std::optional<std::string> field_reader::read_text(std::string_view field,
                                                   std::size_t max_bytes)
{
    const json::value* found = require(field);
    if (found == nullptr)
        return std::nullopt;
    const json::string* value = found->if_string();
    if (value == nullptr)
    {
        fault(field, "must be a string");
        return std::nullopt;
    }
    if (value->size() > max_bytes)
    {
        fault(field, "is longer than " + std::to_string(max_bytes) + " bytes");
        return std::nullopt;
    }
    return std::string(*value);
}

std::string field_reader::text(std::string_view field, std::size_t max_bytes)
{
    return read_text(field, max_bytes).value_or(std::string{});
}

std::string field_reader::name(std::string_view field)
{
    const auto value = read_text(field, max_name_bytes);
    if (value && !is_name(*value))
        fault(field, "must be a name of a-z, 0-9, '.', '_', '-'");
    return value.value_or(std::string{});
}

net::endpoint field_reader::address(std::string_view field)
{
    const auto value = read_text(field, max_name_bytes);
    if (!value)
        return {};
    const auto parsed = net::parse_endpoint(*value);
    if (parsed && parsed->port != 0)
        return *parsed;
    fault(field, "must be an IP address and a port");
    return {};
}

std::string field_reader::sha256(std::string_view field)
{
    const auto value = read_text(field, sha256_digits);
    if (value && (value->size() != sha256_digits || !is_hex(*value)))
        fault(field, "must be 64 lower-case hexadecimal digits");
    return value.value_or(std::string{});
}

std::uint64_t field_reader::integer(std::string_view field, std::uint64_t low,
                                    std::uint64_t high,
                                    std::optional<std::uint64_t> otherwise)
{
    const json::value* found = otherwise ? find(field) : require(field);
    if (found == nullptr)
        return otherwise.value_or(low);
    const bool negative = found->is_int64() && found->get_int64() < 0;
    if (!found->is_int64() && !found->is_uint64())
    {
        fault(field, "must be an integer");
        return low;
    }
    const std::uint64_t value =
        found->is_uint64() ? found->get_uint64()
                           : static_cast<std::uint64_t>(found->get_int64());
    if (!negative && value >= low && value <= high)
        return value;
    fault(field, "must be from " + std::to_string(low) + " to " +
                     std::to_string(high));
    return low;
}

double field_reader::number(std::string_view field, double low, double high,
                            std::optional<double> otherwise)
{
    const json::value* found = otherwise ? find(field) : require(field);
    if (found == nullptr)
        return otherwise.value_or(low);
    if (!found->is_number())
    {
        fault(field, "must be a number");
        return low;
    }
    const auto value = found->to_number<double>();
    if (value >= low && value <= high)
        return value;
    fault(field, "must be from " + std::to_string(low) + " to " +
                     std::to_string(high));
    return low;
}

bool field_reader::boolean(std::string_view field, bool otherwise)
{
    const json::value* found = find(field);
    if (found == nullptr)
        return otherwise;
    if (found->is_bool())
        return found->get_bool();
    fault(field, "must be true or false");
    return otherwise;
}

std::size_t field_reader::choice(std::string_view field,
                                 std::span<const std::string_view> words)
{
    const auto value = read_text(field, max_name_bytes);
    if (!value)
        return 0;
    const auto found = std::find(words.begin(), words.end(), *value);
    if (found != words.end())
        return static_cast<std::size_t>(found - words.begin());
    std::string message = "must be one of";
    for (const std::string_view word : words)
        message.append(" ").append(word);
    fault(field, message + ", not " + quote(*value));
    return 0;
}

void field_reader::each(
    std::string_view field,
    const std::function<void(const json::value&, std::string)>& read)
{
    const json::value* found = require(field);
    if (found == nullptr)
        return;
    const json::array* elements = found->if_array();
    if (elements == nullptr)
    {
        fault(field, "must be an array");
        return;
    }
    for (std::size_t index = 0; index < elements->size(); ++index)
        read((*elements)[index],
             path_of(field) + "[" + std::to_string(index) + "]");
}

std::vector<std::string> field_reader::names(std::string_view field)
{
    std::vector<std::string> result;
    each(field,
         [&](const json::value& element, std::string path)
         {
             const json::string* value = element.if_string();
             if (value != nullptr && is_name(std::string_view(*value)))
                 result.emplace_back(*value);
             else
                 faults_->push_back(
                     {std::move(path),
                      "must be a name of a-z, 0-9, '.', '_', '-'"});
         });
    return result;
}

field_reader field_reader::object(std::string_view field)
{
    const json::value* found = require(field);
    if (found != nullptr)
        return {*found, path_of(field), *faults_};
    // Its getters report nothing more: the field itself is the fault.
    field_reader empty(path_of(field), *faults_);
    return empty;
}

void field_reader::report_unknown()
{
    if (source_ == nullptr)
        return;
    for (const auto& member : *source_)
        if (!known_.contains(std::string_view(member.key())))
            faults_->push_back({path_, "unknown field " + quote(member.key())});
}

} // namespace pimentograde::config
