#include "rollout/draft_store.hpp"

#include "base/error.hpp"
#include "config/bundle_parser.hpp"
#include "config/field_reader.hpp"
#include "rollout/store_update.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace pimentograde::rollout
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_text_bytes = 4096;
// Below the store's limit of 1 MB.
constexpr std::size_t max_value_bytes = std::size_t{950} * 1000;
constexpr std::uint64_t max_integer = std::numeric_limits<std::int64_t>::max();

base::wall_time read_time(config::field_reader& reader, const char* field)
{
    return base::from_millis(
        static_cast<std::int64_t>(reader.integer(field, 0, max_integer)));
}

review_entry read_review(config::field_reader reader)
{
    review_entry value;
    value.by = reader.text("by", max_text_bytes);
    value.comment = reader.text("comment", max_text_bytes);
    value.at = read_time(reader, "at_ms");
    return value;
}

draft read_draft(config::field_reader reader, config::fault_list& faults)
{
    draft value;
    value.id = reader.text("id", max_text_bytes);
    value.author = reader.text("author", max_text_bytes);
    value.created_at = read_time(reader, "created_at_ms");
    value.base_version = reader.integer("base_version", 0, max_integer);
    value.bundle = reader.text("bundle", max_value_bytes);
    reader.each("reviews",
                [&](const json::value& source, std::string path) {
                    value.reviews.push_back(
                        read_review({source, std::move(path), faults}));
                });
    return value;
}

json::value to_value(const draft& entry)
{
    json::array reviews;
    for (const review_entry& review : entry.reviews)
        reviews.push_back({{"by", review.by},
                           {"comment", review.comment},
                           {"at_ms", base::to_millis(review.at)}});
    return {{"id", entry.id},
            {"author", entry.author},
            {"created_at_ms", base::to_millis(entry.created_at)},
            {"base_version", entry.base_version},
            {"bundle", entry.bundle},
            {"reviews", std::move(reviews)}};
}

std::vector<draft>::iterator find_draft(std::vector<draft>& drafts,
                                        std::string_view id)
{
    return std::find_if(drafts.begin(), drafts.end(),
                        [&](const draft& entry) { return entry.id == id; });
}

[[noreturn]] void fail_not_found(std::string_view id)
{
    throw base::error(base::error_code::not_found, "draft", "",
                      "no draft " + std::string(id.substr(0, 64)));
}

// Drops the oldest drafts until the value fits; never the newest.
std::string fitting_text(std::vector<draft>& drafts)
{
    while (drafts.size() > max_drafts)
        drafts.erase(drafts.begin());
    std::string text = to_text(drafts);
    while (text.size() > max_value_bytes && drafts.size() > 1)
    {
        drafts.erase(drafts.begin());
        text = to_text(drafts);
    }
    if (text.size() > max_value_bytes)
        throw base::error(base::error_code::too_large, "draft", "",
                          std::to_string(text.size()) + " bytes");
    return text;
}

} // namespace

std::vector<draft> parse_drafts(std::string_view text)
{
    std::vector<draft> drafts;
    if (text.empty())
        return drafts;
    boost::system::error_code failure;
    const json::value document = json::parse(text, failure);
    config::fault_list faults;
    if (failure)
        faults.push_back({"", failure.message()});
    else
        config::field_reader(document, "", faults)
            .each("drafts",
                  [&](const json::value& source, std::string path) {
                      drafts.push_back(read_draft(
                          {source, std::move(path), faults}, faults));
                  });
    if (!faults.empty())
        throw base::error(base::error_code::invalid, "drafts", "",
                          config::to_string(faults));
    return drafts;
}

std::string to_text(const std::vector<draft>& drafts)
{
    json::array list;
    for (const draft& entry : drafts)
        list.push_back(to_value(entry));
    return json::serialize(json::object{{"drafts", std::move(list)}});
}

draft_store::draft_store(provider::kv_operations store, pacing pace,
                         base::random_source random)
    : store_(std::move(store)), pace_(std::move(pace)), random_(random)
{
}

draft draft_store::add(std::string_view author, std::string_view bundle,
                       std::uint64_t base_version, base::wall_time now,
                       base::time_point deadline)
{
    draft added{random_.hex_id(),
                std::string(author),
                now,
                base_version,
                config::to_json(config::load_bundle(bundle)),
                {}};
    update_value(
        store_, drafts_key,
        [&](std::string_view current) -> std::optional<std::string>
        {
            std::vector<draft> drafts = parse_drafts(current);
            if (find_draft(drafts, added.id) != drafts.end())
                return std::nullopt;
            drafts.push_back(added);
            return fitting_text(drafts);
        },
        pace_, random_, deadline);
    return added;
}

void draft_store::review(std::string_view id, std::string_view by,
                         std::string_view comment, base::wall_time now,
                         base::time_point deadline)
{
    if (comment.size() > max_text_bytes)
        throw base::error(base::error_code::too_large, "review", "",
                          "comment above 4096 bytes");
    const review_entry added{std::string(by), std::string(comment), now};
    update_value(
        store_, drafts_key,
        [&](std::string_view current) -> std::optional<std::string>
        {
            std::vector<draft> drafts = parse_drafts(current);
            const auto found = find_draft(drafts, id);
            if (found == drafts.end())
                fail_not_found(id);
            if (std::find(found->reviews.begin(), found->reviews.end(),
                          added) != found->reviews.end())
                return std::nullopt;
            found->reviews.push_back(added);
            std::string text = to_text(drafts);
            if (text.size() > max_value_bytes)
                throw base::error(base::error_code::too_large, "review", "",
                                  "too many reviews");
            return text;
        },
        pace_, random_, deadline);
}

std::vector<draft> draft_store::list(base::time_point deadline) const
{
    return parse_drafts(store_.get(drafts_key, deadline).value);
}

draft draft_store::find(std::string_view id, base::time_point deadline) const
{
    std::vector<draft> drafts = list(deadline);
    const auto found = find_draft(drafts, id);
    if (found == drafts.end())
        fail_not_found(id);
    return std::move(*found);
}

void draft_store::remove(std::string_view id, base::time_point deadline)
{
    update_value(
        store_, drafts_key,
        [&](std::string_view current) -> std::optional<std::string>
        {
            std::vector<draft> drafts = parse_drafts(current);
            const auto found = find_draft(drafts, id);
            if (found == drafts.end())
                return std::nullopt;
            drafts.erase(found);
            return to_text(drafts);
        },
        pace_, random_, deadline);
}

} // namespace pimentograde::rollout
