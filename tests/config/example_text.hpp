#ifndef PIMENTOGRADE_TESTS_CONFIG_EXAMPLE_TEXT_HPP
#define PIMENTOGRADE_TESTS_CONFIG_EXAMPLE_TEXT_HPP

#include <fstream>
#include <iterator>
#include <string>

inline std::string example_text(const std::string& name)
{
    std::ifstream file(std::string(PIMENTOGRADE_SOURCE_DIR) + "/examples/" +
                       name + ".json");
    return {std::istreambuf_iterator<char>(file), {}};
}

#endif
