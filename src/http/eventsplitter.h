//! Splits a stream of server-sent events into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumcroft::http {

//! Complete events and the last event id among them.
struct CompleteEvents
{
    std::string bytes_;
    std::uint32_t count_ = 0;
    std::optional<std::uint64_t> lastId_;
    //! The incomplete event exceeds MaxEventBytes; its bytes were discarded.
    bool eventTooLong_ = false;
};

struct EventSplitter
{
    //! Received bytes of the incomplete event at the end of the stream.
    std::string incompleteEvent_;
};

//! Longest event that is buffered, in bytes. An event is never forwarded in parts, because the
//! remainder could come from another endpoint.
inline constexpr std::size_t MaxEventBytes = 1024UL * 1024;

//! Appends the bytes and removes and returns all events that are complete now. An empty line ends
//! an event.
CompleteEvents splitEvents(EventSplitter &splitter, std::string_view bytes);

} // namespace gypsumcroft::http
