//! Encoding of messages between the system's own processes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"

namespace gypsumcroft {

//! Bytes before the payload of every frame: magic, length, hash of the payload.
inline constexpr std::size_t FrameHeaderBytes = 16;
inline constexpr std::uint32_t MaxFrameBytes = 16 * 1024 * 1024;

struct FrameHeader
{
    std::uint32_t length_ = 0;
    std::uint64_t hash_ = 0;
};

//! A whole frame, header included.
std::string encodeFrame(const Message &message);
std::string encodeDatagram(const Datagram &datagram);

//! Nothing if the bytes are not a frame of this system, or the frame is too large.
std::optional<FrameHeader> decodeFrameHeader(std::string_view bytes);

//! Nothing if the payload does not match its header or is malformed.
std::optional<Message> decodePayload(const FrameHeader &header, std::string_view payload);
std::optional<Datagram> decodeDatagram(std::string_view bytes);

} // namespace gypsumcroft
