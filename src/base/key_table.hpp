#ifndef PIMENTOGRADE_BASE_KEY_TABLE_HPP
#define PIMENTOGRADE_BASE_KEY_TABLE_HPP

#include "base/digest.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace pimentograde::base
{

/// Finds the owner of a secret key by the key's SHA-256. Holds no keys.
template <class Owner>
class key_table
{
public:
    /// `digest` as by `sha256_hex`. Of two owners with one digest the one that
    /// was added last is found.
    void add(std::string digest, Owner owner)
    {
        owners_.insert_or_assign(std::move(digest), std::move(owner));
    }
    void clear() { owners_.clear(); }

    /// Null for an unknown or empty key. The result is valid until the table
    /// changes.
    [[nodiscard]] const Owner* find(std::string_view key) const
    {
        if (key.empty())
            return nullptr;
        // Looking up a digest leaks no timing that helps to guess a key.
        const auto found = owners_.find(sha256_hex(key));
        return found == owners_.end() ? nullptr : &found->second;
    }
    [[nodiscard]] std::size_t size() const { return owners_.size(); }

private:
    std::unordered_map<std::string, Owner> owners_;
};

} // namespace pimentograde::base

#endif
