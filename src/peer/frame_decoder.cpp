#include "peer/frame_decoder.hpp"

#include "base/error.hpp"

#include <cstdint>

namespace pimentograde::peer
{

namespace
{

constexpr std::size_t header_bytes = 4;
constexpr unsigned byte_bits = 8;
constexpr std::uint32_t byte_mask = 0xff;

} // namespace

std::optional<std::string> frame_decoder::next()
{
    if (buffer_.size() - start_ < header_bytes)
        return std::nullopt;
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < header_bytes; ++i)
        length = (length << byte_bits) |
                 static_cast<unsigned char>(buffer_[start_ + i]);
    if (length == 0)
        throw base::error(base::error_code::invalid, "frame", "",
                          "empty message");
    if (length > max_bytes_)
        throw base::error(base::error_code::too_large, "frame", "",
                          std::to_string(length) + " bytes announced");
    if (buffer_.size() - start_ - header_bytes < length)
        return std::nullopt;
    std::string message = buffer_.substr(start_ + header_bytes, length);
    start_ += header_bytes + length;
    if (start_ == buffer_.size())
    {
        buffer_.clear();
        start_ = 0;
    }
    else if (start_ > max_bytes_)
    {
        buffer_.erase(0, start_);
        start_ = 0;
    }
    return message;
}

std::string encode_frame(std::string_view message)
{
    if (message.size() > max_frame_bytes)
        throw base::error(base::error_code::too_large, "frame", "",
                          std::to_string(message.size()) + " bytes");
    const auto length = static_cast<std::uint32_t>(message.size());
    std::string frame;
    frame.reserve(header_bytes + message.size());
    for (std::size_t i = header_bytes; i-- > 0;)
        frame.push_back(
            static_cast<char>((length >> (i * byte_bits)) & byte_mask));
    frame.append(message);
    return frame;
}

} // namespace pimentograde::peer
