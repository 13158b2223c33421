#include "rollout/bundle_envelope.hpp"

#include "base/error.hpp"
#include "config/bundle_parser.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::rollout
{

namespace json = boost::json;

namespace
{

[[noreturn]] void fail(std::string_view detail)
{
    throw base::error(base::error_code::invalid, "bundle envelope", "", detail);
}

std::string text_of(const json::object& source, std::string_view field)
{
    const json::value* value = source.if_contains(field);
    if (value == nullptr || !value->is_string())
        fail(std::string(field) + " must be a string");
    return std::string(value->get_string());
}

std::uint64_t number_of(const json::object& source, std::string_view field)
{
    const json::value* value = source.if_contains(field);
    if (value == nullptr)
        fail(std::string(field) + " is missing");
    boost::system::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    if (failure)
        fail(std::string(field) + " must be an unsigned integer");
    return number;
}

sign_off_entry read_entry(const json::value& source)
{
    const json::object* fields = source.if_object();
    if (fields == nullptr)
        fail("history must hold objects");
    return {number_of(*fields, "version"), text_of(*fields, "id"),
            text_of(*fields, "author"), text_of(*fields, "reviewer"),
            base::from_millis(
                static_cast<std::int64_t>(number_of(*fields, "at_ms")))};
}

} // namespace

const sign_off_entry* bundle_envelope::find_id(std::string_view id) const
{
    const auto found =
        std::find_if(history.begin(), history.end(),
                     [&](const auto& entry) { return entry.id == id; });
    return found == history.end() ? nullptr : &*found;
}

const sign_off_entry* bundle_envelope::find_version(std::uint64_t wanted) const
{
    const auto found = std::find_if(history.begin(), history.end(),
                                    [&](const auto& entry)
                                    { return entry.version == wanted; });
    return found == history.end() ? nullptr : &*found;
}

bundle_envelope bundle_envelope::with(std::string new_bundle,
                                      sign_off_entry entry) const
{
    bundle_envelope next{version + 1, std::move(new_bundle), history};
    entry.version = next.version;
    next.history.push_back(std::move(entry));
    if (next.history.size() > max_history)
        next.history.erase(next.history.begin());
    return next;
}

bundle_envelope parse_envelope(std::string_view text)
{
    if (text.empty())
        return {};
    boost::system::error_code failure;
    const json::value document = json::parse(text, failure);
    const json::object* root = failure ? nullptr : document.if_object();
    if (root == nullptr)
        fail("not a JSON object");
    bundle_envelope value;
    value.version = number_of(*root, "version");
    const json::value* bundle = root->if_contains("bundle");
    if (bundle == nullptr || !bundle->is_object())
        fail("bundle must be an object");
    value.bundle = json::serialize(*bundle);
    const json::value* history = root->if_contains("history");
    if (history == nullptr || !history->is_array())
        fail("history must be an array");
    for (const json::value& entry : history->get_array())
        value.history.push_back(read_entry(entry));
    return value;
}

std::string to_text(const bundle_envelope& value)
{
    boost::system::error_code failure;
    json::value bundle = json::parse(value.bundle, failure);
    if (failure || !bundle.is_object())
        fail("bundle must be an object");
    json::array history;
    for (const sign_off_entry& entry : value.history)
        history.push_back({{"version", entry.version},
                           {"id", entry.id},
                           {"author", entry.author},
                           {"reviewer", entry.reviewer},
                           {"at_ms", base::to_millis(entry.at)}});
    json::object root;
    root["version"] = value.version;
    root["bundle"] = std::move(bundle);
    root["history"] = std::move(history);
    return json::serialize(root);
}

config::bundle load_envelope(std::string_view text)
{
    return config::load_bundle(parse_envelope(text).bundle);
}

} // namespace pimentograde::rollout
