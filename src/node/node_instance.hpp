#ifndef PIMENTOGRADE_NODE_NODE_INSTANCE_HPP
#define PIMENTOGRADE_NODE_NODE_INSTANCE_HPP

#include "platform/node_settings.hpp"

#include <memory>

namespace pimentograde::node
{

/// An entry instance on the users' platform.
class node_instance
{
public:
    explicit node_instance(platform::node_settings settings);
    ~node_instance();
    node_instance(const node_instance&) = delete;
    node_instance& operator=(const node_instance&) = delete;

    /// Serves until SIGTERM and then stops gracefully.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::node

#endif
