#ifndef PIMENTOGRADE_ENTRY_ENTRY_INSTANCE_HPP
#define PIMENTOGRADE_ENTRY_ENTRY_INSTANCE_HPP

#include "entry/access_control.hpp"
#include "entry/entry_settings.hpp"

#include <memory>

namespace pimentograde::entry
{

/// One entry instance: joins the services to the three listeners. Builds
/// everything in the constructor; throws `base::error` when an address cannot
/// be bound.
class entry_instance
{
public:
    explicit entry_instance(entry_settings settings);
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    /// Serves until SIGTERM or SIGINT, then stops gracefully. Returns whether
    /// all work in progress ended within the settings' stop time.
    bool run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::entry

#endif
