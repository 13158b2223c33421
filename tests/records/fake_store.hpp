#ifndef PIMENTOGRADE_TESTS_RECORDS_FAKE_STORE_HPP
#define PIMENTOGRADE_TESTS_RECORDS_FAKE_STORE_HPP

#include "base/error.hpp"
#include "provider/kv_operations.hpp"

#include <boost/fiber/operations.hpp>

#include <functional>
#include <map>
#include <string>

namespace pimentograde::tests
{

/// What happens to one store call.
enum class store_fault
{
    none,
    /// Refused before it had an effect.
    unavailable,
    /// Took effect; the response was lost.
    response_lost,
    /// Had no effect, which the caller cannot know.
    request_lost,
    /// A read returns the value before the last write.
    stale
};

/// In-memory store with compare-and-swap, counters and faults.
struct fake_store
{
    std::map<std::string, provider::kv_entry> entries;
    std::map<std::string, provider::kv_entry> previous;
    std::function<store_fault()> next_fault = []
    {
        return store_fault::none;
    };
    base::duration latency{};
    bool down = false;
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t largest_value = 0;

    [[noreturn]] static void fail(base::error_code code)
    {
        throw base::error(code, "store call", "fake store", "fault");
    }

    provider::kv_entry get(std::string_view key)
    {
        ++reads;
        wait();
        const auto fault = next_fault();
        if (down || fault == store_fault::unavailable)
            fail(base::error_code::unavailable);
        if (fault == store_fault::response_lost ||
            fault == store_fault::request_lost)
            fail(base::error_code::timeout);
        if (fault == store_fault::stale && previous.contains(std::string(key)))
            return previous[std::string(key)];
        return entries[std::string(key)];
    }

    provider::swap_result swap(std::string_view key, std::uint64_t expected,
                               std::string_view value)
    {
        ++writes;
        wait();
        const auto fault = next_fault();
        if (down || fault == store_fault::unavailable)
            fail(base::error_code::unavailable);
        if (fault == store_fault::request_lost)
            fail(base::error_code::timeout);
        auto& entry = entries[std::string(key)];
        if (entry.version != expected)
            return {provider::swap_outcome::conflict, entry.version};
        previous[std::string(key)] = entry;
        entry = {std::string(value), expected + 1};
        largest_value = std::max(largest_value, value.size());
        if (fault == store_fault::response_lost)
            fail(base::error_code::cut_off);
        return {provider::swap_outcome::applied, entry.version};
    }

    void wait() const
    {
        if (latency > base::duration{0})
            boost::this_fiber::sleep_for(latency);
        else
            boost::this_fiber::yield();
    }

    provider::kv_operations operations()
    {
        provider::kv_operations out;
        out.get = [this](std::string_view key, base::time_point)
        {
            return get(key);
        };
        out.compare_and_swap = [this](std::string_view key,
                                      std::uint64_t expected,
                                      std::string_view value, base::time_point)
        {
            return swap(key, expected, value);
        };
        return out;
    }
};

} // namespace pimentograde::tests

#endif
