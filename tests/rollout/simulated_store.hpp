#ifndef PIMENTOGRADE_TESTS_ROLLOUT_SIMULATED_STORE_HPP
#define PIMENTOGRADE_TESTS_ROLLOUT_SIMULATED_STORE_HPP

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "provider/kv_operations.hpp"
#include "rollout/pacing.hpp"

#include <boost/fiber/operations.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// A store with compare-and-swap whose calls interleave at random, lose
/// requests or responses, take effect late, and read stale values. Keeps every
/// value that was ever applied. Time is simulated: it passes only by sleeping.
class simulated_store
{
public:
    struct faults
    {
        /// Per hundred calls.
        int lost_request = 0;
        int lost_response = 0;
        /// The write is applied after its caller was told of a timeout.
        int late_write = 0;
        int stale_read = 0;
    };

    explicit simulated_store(std::uint64_t seed) : random_(seed) {}

    faults fault;
    bool up = true;

    /// Values of a key in the order of their application; index + 1 is the
    /// store's version.
    const std::vector<std::string>& applied(const std::string& key)
    {
        return values_[key];
    }

    void apply_late_writes()
    {
        const auto writes = std::exchange(late_, {});
        for (const auto& write : writes)
            write();
    }

    pimentograde::provider::kv_operations operations()
    {
        using namespace pimentograde;
        provider::kv_operations result;
        result.get = [this](std::string_view key, base::time_point)
        {
            return read(std::string(key));
        };
        result.watch =
            [this](std::string_view key, std::uint64_t, base::time_point)
        {
            return read(std::string(key));
        };
        result.compare_and_swap =
            [this](std::string_view key, std::uint64_t expected,
                   std::string_view value, base::time_point)
        {
            return write(std::string(key), expected, std::string(value));
        };
        return result;
    }

    pimentograde::rollout::pacing pace()
    {
        using namespace pimentograde;
        return {[this] { return now_; },
                [this](base::duration length)
                {
                    now_ += length;
                    interleave();
                }};
    }

    /// Lets other fibers run, or not.
    void interleave()
    {
        for (std::size_t i = random_.below(4); i > 0; --i)
            boost::this_fiber::yield();
        if (random_.below(3) == 0)
            apply_late_writes();
    }

private:
    bool happens(int percent)
    {
        return static_cast<int>(random_.below(100)) < percent;
    }
    [[noreturn]] static void fail(pimentograde::base::error_code code)
    {
        throw pimentograde::base::error(code, "store", "", "simulated");
    }

    pimentograde::provider::kv_entry read(const std::string& key)
    {
        using pimentograde::base::error_code;
        interleave();
        if (!up)
            fail(error_code::unavailable);
        if (happens(fault.lost_request))
            fail(error_code::timeout);
        const auto& values = values_[key];
        std::size_t version = values.size();
        if (version > 0 && happens(fault.stale_read))
            version = random_.below(version + 1);
        pimentograde::provider::kv_entry entry;
        if (version > 0)
            entry = {values[version - 1], version};
        interleave();
        return entry;
    }

    pimentograde::provider::swap_result
    write(const std::string& key, std::uint64_t expected, std::string value)
    {
        using namespace pimentograde;
        interleave();
        if (!up)
            fail(base::error_code::unavailable);
        if (happens(fault.lost_request))
            fail(base::error_code::timeout);
        if (happens(fault.late_write))
        {
            late_.push_back([this, key, expected, value]
                            { apply(key, expected, value); });
            fail(base::error_code::timeout);
        }
        const auto result = apply(key, expected, value);
        interleave();
        if (happens(fault.lost_response))
            fail(base::error_code::cut_off);
        return result;
    }

    pimentograde::provider::swap_result apply(const std::string& key,
                                              std::uint64_t expected,
                                              const std::string& value)
    {
        using namespace pimentograde;
        auto& values = values_[key];
        if (values.size() != expected)
            return {provider::swap_outcome::conflict, values.size()};
        values.push_back(value);
        return {provider::swap_outcome::applied, values.size()};
    }

    pimentograde::base::random_source random_;
    pimentograde::base::time_point now_{std::chrono::hours{1}};
    std::map<std::string, std::vector<std::string>> values_;
    std::vector<std::function<void()>> late_;
};

#endif
