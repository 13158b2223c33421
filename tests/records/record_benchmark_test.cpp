#include "load/record_benchmark.hpp"

#include <doctest/doctest.h>

#include <iostream>

// Run with `test_records --no-skip -tc="record benchmark"`; takes a minute.
TEST_CASE("record benchmark" * doctest::skip())
{
    pimentograde::load::run_record_benchmark(std::cout);
}
