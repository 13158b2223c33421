#ifndef PIMENTOGRADE_PROVIDER_KV_CLIENT_HPP
#define PIMENTOGRADE_PROVIDER_KV_CLIENT_HPP

#include "net/endpoint.hpp"
#include "provider/kv_operations.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace pimentograde::provider
{

/// Calls sent to the store since the start, by operation. A pending watch
/// counts as one call, as the platform counts it.
struct kv_call_counts
{
    std::uint64_t get = 0;
    std::uint64_t list = 0;
    std::uint64_t watch = 0;
    std::uint64_t compare_and_swap = 0;
    std::uint64_t acquire_lease = 0;
    std::uint64_t release_lease = 0;
    std::uint64_t put_leased = 0;
    /// Calls that ended with an error, whatever the operation.
    std::uint64_t failed = 0;

    [[nodiscard]] std::uint64_t reads() const { return get + list + watch; }
    [[nodiscard]] std::uint64_t writes() const
    {
        return compare_and_swap + acquire_lease + release_lease + put_leased;
    }
};

/// Client of the platform's key-value store.
class kv_client
{
public:
    class builder
    {
    public:
        builder& store(net::endpoint where);
        /// Idle connections kept for reuse.
        builder& max_idle(std::size_t count);
        std::unique_ptr<kv_client> build();

    private:
        net::endpoint where_;
        std::size_t max_idle_ = 8;
    };

    ~kv_client();
    kv_client(const kv_client&) = delete;
    kv_client& operator=(const kv_client&) = delete;

    /// The hooks call this client, which has to outlive them.
    kv_operations operations();
    [[nodiscard]] const kv_call_counts& counts() const;
    /// Ends all calls in progress; they fail with `cut_off`.
    void cancel();

private:
    struct impl;
    explicit kv_client(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::provider

#endif
