#ifndef PIMENTOGRADE_PEER_PREVIEW_MESSAGES_HPP
#define PIMENTOGRADE_PEER_PREVIEW_MESSAGES_HPP

#include <jsoncpp/json/json.h>

#include <string>

namespace pimentograde::peer
{

struct preview_reply
{
    /// The peer owns the pool and has loaded it; otherwise `text` is empty.
    bool is_known = false;
    /// The preview as JSON, for operators.
    std::string text;

    [[nodiscard]] Json::Value to_json() const;
    static preview_reply from_json(const Json::Value& source);
};

/// Asks the owner of a pool where a job would go now. Nothing is submitted.
struct preview_job
{
    static constexpr const char* method = "preview_job";
    using reply_type = preview_reply;

    std::string pool;
    std::string queue;
    /// The job in the form of its record.
    std::string record;
    /// Empty for no tenant.
    std::string tenant;

    [[nodiscard]] Json::Value to_json() const;
    static preview_job from_json(const Json::Value& source);
};

} // namespace pimentograde::peer

#endif
