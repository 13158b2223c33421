#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>

namespace fs = std::filesystem;

namespace
{

std::string read_file(const fs::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::multiset<std::string> numbers_in(const std::string& text,
                                      const std::regex& pattern)
{
    std::multiset<std::string> numbers;
    const std::sregex_iterator end;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern);
         match != end; ++match)
        numbers.insert((*match)[1]);
    return numbers;
}

} // namespace

// Guards against an event that operators cannot look up, a number that is
// used twice, and a catalogue entry whose event no longer exists.
TEST_CASE("docs/events.md lists exactly the events of the code")
{
    const fs::path root = PIMENTOGRADE_SOURCE_DIR;
    const std::regex declaration(R"(log::event\s+\w+\s*\{\s*(\d{4}))");
    std::multiset<std::string> declared;
    for (const auto& file : fs::recursive_directory_iterator(root / "src"))
        if (file.path().extension() == ".hpp")
            declared.merge(numbers_in(read_file(file.path()), declaration));
    const auto documented = numbers_in(read_file(root / "docs" / "events.md"),
                                       std::regex(R"(\|\s*PG-(\d{4})\s*\|)"));
    CHECK_FALSE(declared.empty());
    for (const std::string& number : declared)
    {
        CAPTURE(number);
        CHECK(declared.count(number) == 1);
        CHECK(documented.count(number) == 1);
    }
    for (const std::string& number : documented)
    {
        CAPTURE(number);
        CHECK(declared.count(number) == 1);
    }
}
