#ifndef PIMENTOGRADE_PEER_FRAME_DECODER_HPP
#define PIMENTOGRADE_PEER_FRAME_DECODER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::peer
{

/// Largest message: a document of 1 MB with JSON escapes.
inline constexpr std::size_t max_frame_bytes = std::size_t{1536} * 1024;

/// Frames consist of a 4-byte big-endian length and as many bytes of message.
class frame_decoder
{
public:
    explicit frame_decoder(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    void set_limit(std::size_t max_bytes) { max_bytes_ = max_bytes; }
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    /// The next complete message. Throws `base::error` with `too_large` when
    /// the announced length is above the limit and `invalid` when it is 0; the
    /// stream cannot be read further then.
    std::optional<std::string> next();
    /// Whether a part of a message is waiting for the rest.
    [[nodiscard]] bool has_partial() const { return start_ < buffer_.size(); }

private:
    std::size_t max_bytes_;
    std::string buffer_;
    std::size_t start_ = 0;
};

/// Throws `base::error` with `too_large` above `max_frame_bytes`.
std::string encode_frame(std::string_view message);

} // namespace pimentograde::peer

#endif
