#ifndef PIMENTOGRADE_NODE_NODE_INSTANCE_HPP
#define PIMENTOGRADE_NODE_NODE_INSTANCE_HPP

#include "node/node_options.hpp"
#include "platform/node_settings.hpp"

#include <functional>
#include <memory>

namespace pimentograde::node
{

/// An entry instance that runs on the users' platform.
class node_instance
{
public:
    /// Reloads the settings after SIGHUP; throws `base::error`.
    using settings_reader = std::function<platform::node_settings()>;

    node_instance(platform::node_settings settings, settings_reader reader,
                  node_options options = {});
    ~node_instance();
    node_instance(const node_instance&) = delete;
    node_instance& operator=(const node_instance&) = delete;

    /// Serves until SIGTERM and then stops gracefully.
    void run();
    /// Start and stop without `run`, for a process with several instances.
    void start();
    void stop();
    [[nodiscard]] bool is_ready() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::node

#endif
