//! Binary encoding of the messages between the system's own processes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"

namespace gypsumcroft {

//! Bytes before the payload of every frame: magic, length, hash of the payload.
inline constexpr std::size_t FrameHeaderBytes = 16;
//! Size limit of a frame's payload.
inline constexpr std::uint32_t MaxPayloadBytes = 16 * 1024 * 1024;

struct FrameHeader
{
    //! Size of the payload in bytes.
    std::uint32_t length_ = 0;
    std::uint64_t hash_ = 0;
};

//! Encodes a message as a frame, header included.
std::string encodeFrame(const Message &message);
std::string encodeDatagram(const Datagram &datagram);

//! nullopt if there are fewer than FrameHeaderBytes, the magic number is missing, or the announced
//! payload is larger than MaxPayloadBytes.
std::optional<FrameHeader> decodeFrameHeader(std::string_view bytes);

//! nullopt if the payload does not match the length and hash in its header, or is malformed.
std::optional<Message> decodePayload(const FrameHeader &header, std::string_view payload);
std::optional<Datagram> decodeDatagram(std::string_view bytes);

//! What a datagram describes the state of. The next datagram of the same kind from the same sender
//! replaces it.
struct StateKind
{
    DigestScope scope_ = DigestScope::Gateway;
    FailureDomainId domain_;
    auto operator<=>(const StateKind &) const = default;
};

//! nullopt for a datagram that isn't replaced by another one, and for malformed ones. Reads the
//! beginning of the datagram only.
std::optional<StateKind> stateKindOf(std::string_view bytes);

} // namespace gypsumcroft
