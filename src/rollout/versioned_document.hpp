#ifndef PIMENTOGRADE_ROLLOUT_VERSIONED_DOCUMENT_HPP
#define PIMENTOGRADE_ROLLOUT_VERSIONED_DOCUMENT_HPP

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::rollout
{

struct document_revision
{
    /// 0: none known yet.
    std::uint64_t version = 0;
    /// Never null.
    std::shared_ptr<const std::string> text;
    base::wall_time adopted_at{};
};

/// The newest version of a document that this process knows. The version only
/// rises: whatever arrives late, from a stale read or in the wrong order, is
/// ignored.
class versioned_document
{
public:
    /// Throws `base::error` when this process cannot use the text.
    using validator = std::function<void(std::string_view text)>;
    using listener = std::function<void(const document_revision&)>;

    explicit versioned_document(std::string name, validator check = {});

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const document_revision& current() const { return current_; }
    [[nodiscard]] std::uint64_t version() const { return current_.version; }

    /// Adopts a higher version and tells the listeners. Returns whether it was
    /// adopted. A text that the validator refuses is logged once.
    bool offer(std::uint64_t version, std::string_view text,
               base::wall_time now);
    /// Called after each adoption, in the order of registration.
    void on_adopt(listener function);

private:
    std::string name_;
    validator check_;
    document_revision current_;
    std::vector<listener> listeners_;
    std::uint64_t refused_version_ = 0;
};

} // namespace pimentograde::rollout

#endif
