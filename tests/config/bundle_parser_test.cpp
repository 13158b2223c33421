#include "config/bundle_checker.hpp"
#include "config/bundle_parser.hpp"
#include "config/example_text.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace pimentograde;
namespace json = boost::json;

namespace
{

bool has_fault(const config::fault_list& faults, std::string_view path)
{
    return std::any_of(faults.begin(), faults.end(),
                       [&](const config::bundle_fault& entry)
                       { return entry.path == path; });
}

// All values of the document, innermost last.
void collect(json::value& root, std::vector<json::value*>& found)
{
    found.push_back(&root);
    if (json::object* members = root.if_object())
        for (auto& member : *members)
            collect(member.value(), found);
    if (json::array* elements = root.if_array())
        for (json::value& element : *elements)
            collect(element, found);
}

json::value random_value()
{
    switch (*rc::gen::inRange(0, 7))
    {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::arbitrary<double>();
    case 4:
        return json::string(*rc::gen::arbitrary<std::string>());
    case 5:
        return json::array{1, "two"};
    default:
        return json::object{{"a", 1}};
    }
}

// Whether a document is refused, or accepted and unchanged by writing and
// parsing.
bool is_refused_or_kept(const json::value& document)
{
    const auto parsed = config::parse_bundle(json::serialize(document));
    if (!parsed.ok())
        return true;
    config::check_bundle(parsed.value);
    const std::string text = config::to_json(parsed.value);
    const auto again = config::parse_bundle(text);
    return again.ok() && config::to_json(again.value) == text;
}

} // namespace

TEST_CASE("the example bundles are accepted")
{
    for (const char* name : {"cancha-quetzal", "kowhai"})
    {
        const auto parsed = config::parse_bundle(example_text(name));
        CHECK(config::to_string(parsed.faults) == "");
        CHECK(config::to_string(config::check_bundle(parsed.value)) == "");
        CHECK(parsed.value.workers.size() == 50);
        CHECK(parsed.value.pools.size() == 5);
    }
}

// Guards against a field that is written but not read, or the reverse.
TEST_CASE("writing and parsing are inverse")
{
    for (const char* name : {"cancha-quetzal", "kowhai"})
    {
        const auto parsed = config::parse_bundle(example_text(name));
        const std::string text = config::to_json(parsed.value);
        const bool same = json::parse(text) == json::parse(example_text(name));
        CHECK(same);
        const bool stable =
            config::to_json(config::parse_bundle(text).value) == text;
        CHECK(stable);
    }
}

// Guards against a parser that stops at the first fault.
TEST_CASE("all faults are reported together, each with its path")
{
    json::value document = json::parse(example_text("cancha-quetzal"));
    json::object& root = document.as_object();
    root["workers"].at(3).as_object()["slots"] = "eight";
    root["workers"].at(4).as_object()["slots"] = -1;
    root["workers"].at(5).as_object()["size"].as_object()["cores"] = 1e9;
    root["workers"].at(6).as_object()["address"] = "localhost:1";
    root["pools"].at(0).as_object()["colour"] = "red";
    root["queues"].at(1).as_object()["priority"] = "later";
    root["departments"].at(0).at("callers").at(1).as_object()["token_sha256"] =
        "abc";
    root["format"] = 2;
    root.erase("zones");
    const auto parsed = config::parse_bundle(json::serialize(document));
    for (const char* path :
         {"workers[3].slots", "workers[4].slots", "workers[5].size.cores",
          "workers[6].address", "pools[0]", "queues[1].priority",
          "departments[0].callers[1].token_sha256", "format", "zones"})
    {
        CAPTURE(path);
        CHECK(has_fault(parsed.faults, path));
    }
    CHECK(parsed.faults.size() == 9);
}

// Guards against the last of two equal fields silently winning.
TEST_CASE("a field that occurs twice is a fault")
{
    std::string text = example_text("kowhai");
    const std::string field = "\"min_workers\":";
    const std::size_t where = text.find(field);
    REQUIRE(where != std::string::npos);
    text.insert(where, "\"min_workers\": 0, ");
    const auto parsed = config::parse_bundle(text);
    REQUIRE(parsed.faults.size() == 1);
    CHECK(parsed.faults[0].path == "budgets[0].min_workers");
    CHECK(parsed.faults[0].text == "occurs twice");
}

// Guards against a crash, or acceptance, on malformed input.
TEST_CASE("the parser survives arbitrary text")
{
    CHECK(rc::check("random bytes are refused", [](const std::string& text)
                    { RC_ASSERT(!config::parse_bundle(text).ok()); }));
    const std::string whole = example_text("cancha-quetzal");
    CHECK(rc::check("truncations are refused",
                    [&]
                    {
                        const auto length =
                            *rc::gen::inRange<std::size_t>(0, whole.rfind('}'));
                        RC_ASSERT(
                            !config::parse_bundle(
                                 std::string_view(whole).substr(0, length))
                                 .ok());
                    }));
    CHECK(
        rc::check("changed bytes never crash",
                  [&]
                  {
                      std::string text = whole;
                      const int changes = *rc::gen::inRange(1, 20);
                      for (int i = 0; i < changes; ++i)
                          text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                              *rc::gen::arbitrary<char>();
                      const auto parsed = config::parse_bundle(text);
                      if (parsed.ok())
                          config::check_bundle(parsed.value);
                  }));
    CHECK(rc::check(
        "deep nesting is refused",
        []
        {
            const auto depth = *rc::gen::inRange<std::size_t>(1, 100000);
            RC_ASSERT(!config::parse_bundle(std::string(depth, '[')).ok());
        }));
}

// Guards against an accepted value that differs from what the text says.
TEST_CASE("a changed value is refused or survives a round trip")
{
    const json::value original = json::parse(example_text("kowhai"));
    CHECK(rc::check(
        "mutated documents",
        [&]
        {
            json::value document = original;
            std::vector<json::value*> values;
            collect(document, values);
            *values[*rc::gen::inRange<std::size_t>(0, values.size())] =
                random_value();
            RC_ASSERT(is_refused_or_kept(document));
        }));
}

// As above, for each value of the document in turn: an empty address was once
// accepted, which random values found only after 19 000 cases.
TEST_CASE("each value is checked")
{
    const json::value original = json::parse(example_text("cancha-quetzal"));
    json::value document = original;
    std::vector<json::value*> values;
    collect(document, values);
    const std::size_t count = values.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        for (const json::value& wrong :
             {json::value(nullptr), json::value(""), json::value("x"),
              json::value(-1), json::value(0), json::value(1e300),
              json::value(json::array{}), json::value(json::object{})})
        {
            document = original;
            values.clear();
            collect(document, values);
            *values[i] = wrong;
            if (!is_refused_or_kept(document))
                FAIL_CHECK("value " << i << " replaced by "
                                    << json::serialize(wrong));
        }
    }
}
