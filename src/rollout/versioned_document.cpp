#include "rollout/versioned_document.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "rollout/events.hpp"

#include <utility>

namespace pimentograde::rollout
{

versioned_document::versioned_document(std::string name, validator check)
    : name_(std::move(name)),
      check_(std::move(check)), current_{0,
                                         std::make_shared<const std::string>(),
                                         {}}
{
}

bool versioned_document::offer(std::uint64_t version, std::string_view text,
                               base::wall_time now)
{
    if (version <= current_.version)
        return false;
    try
    {
        if (check_)
            check_(text);
    }
    catch (const base::error& failure)
    {
        if (refused_version_ != version)
            log::write(event_document_refused, {{"document", name_},
                                                {"version", version},
                                                {"reason", failure.detail()}});
        refused_version_ = version;
        return false;
    }
    current_ = {version, std::make_shared<const std::string>(text), now};
    log::write(event_document_adopted,
               {{"document", name_}, {"version", version}});
    // A listener may register others or see the next version adopted.
    const auto revision = current_;
    for (const auto& notify : std::vector(listeners_))
        notify(revision);
    return true;
}

void versioned_document::on_adopt(listener function)
{
    listeners_.push_back(std::move(function));
}

} // namespace pimentograde::rollout
