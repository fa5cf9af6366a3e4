//! Splits a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumcroft::http {

//! Whole events that have arrived and the last id among them.
struct WholeEvents
{
    std::string bytes_;
    std::uint32_t count_ = 0;
    std::optional<std::uint64_t> lastId_;
    //! The event that has begun is longer than MaxEventBytes; its bytes are dropped.
    bool tooLong_ = false;
};

//! Bytes of an event that has not ended yet.
struct EventSplitter
{
    std::string partial_;
};

//! Longest event that is waited for, in bytes. None is passed on in parts: the rest could come from
//! another endpoint.
inline constexpr std::size_t MaxEventBytes = 1024UL * 1024;

//! Adds bytes and takes out the events that are whole with them. Events end with an empty line.
WholeEvents splitEvents(EventSplitter &splitter, std::string_view bytes);

} // namespace gypsumcroft::http
