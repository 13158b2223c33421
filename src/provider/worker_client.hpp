#ifndef PIMENTOGRADE_PROVIDER_WORKER_CLIENT_HPP
#define PIMENTOGRADE_PROVIDER_WORKER_CLIENT_HPP

#include "provider/worker_operations.hpp"

#include <cstddef>
#include <memory>

namespace pimentograde::provider
{

/// Client of all workers; each call names the worker.
class worker_client
{
public:
    class builder
    {
    public:
        /// Idle connections kept for each worker. A worker accepts a limited
        /// number of connections from all entry instances together: nine
        /// instances with the default of 4 keep at most 36 of 64 idle.
        builder& max_idle(std::size_t count);
        std::unique_ptr<worker_client> build();

    private:
        std::size_t max_idle_ = 4;
    };

    ~worker_client();
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    /// The hooks call this client, which has to outlive them.
    worker_operations operations();

private:
    struct impl;
    explicit worker_client(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::provider

#endif
