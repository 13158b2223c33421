#ifndef PIMENTOGRADE_BASE_STRONG_ID_HPP
#define PIMENTOGRADE_BASE_STRONG_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace pimentograde::base
{

/// A name or id as a type of its own, so that a worker id cannot be passed
/// where a pool name is expected.
template <class Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}
    explicit strong_id(std::string_view value) : value_(value) {}
    explicit strong_id(const char* value) : value_(value) {}

    [[nodiscard]] const std::string& str() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const strong_id&) const = default;

private:
    std::string value_;
};

using worker_id = strong_id<struct worker_id_tag>;
using pool_name = strong_id<struct pool_tag>;
using department_name = strong_id<struct department_tag>;
using caller_name = strong_id<struct caller_tag>;
using queue_name = strong_id<struct queue_tag>;
/// An entry instance.
using member_id = strong_id<struct member_id_tag>;
using lease_id = strong_id<struct lease_tag>;
using job_id = strong_id<struct job_tag>;
/// An availability zone.
using zone_name = strong_id<struct zone_tag>;
using rack_name = strong_id<struct rack_tag>;

} // namespace pimentograde::base

template <class Tag>
struct std::hash<pimentograde::base::strong_id<Tag>>
{
    std::size_t operator()(const pimentograde::base::strong_id<Tag>& id) const
    {
        return std::hash<std::string>{}(id.str());
    }
};

#endif
