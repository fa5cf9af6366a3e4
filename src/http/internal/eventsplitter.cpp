#include "http/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace gypsumcroft::http {

namespace detail {
namespace {

//! Position after the first empty line at or after from; npos if there is none.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    std::optional<std::uint64_t> id;
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t end = std::min(event.find('\n', line), event.size());
        std::string_view text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(Field))
            continue;
        text.remove_prefix(Field.size());
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        std::uint64_t value = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), value).ec == std::errc())
            id = value;
    }
    return id;
}

} // namespace
} // namespace detail

CompleteEvents splitEvents(EventSplitter &splitter, std::string_view bytes)
{
    // At most three bytes of an event's end (CR LF CR LF) can be in the bytes before this read.
    constexpr std::size_t EndBytes = 3;
    const std::size_t known = splitter.incompleteEvent_.size();
    splitter.incompleteEvent_ += bytes;
    CompleteEvents whole;
    std::size_t start = 0;
    std::size_t from = known > EndBytes ? known - EndBytes : 0;
    while (true) {
        const std::size_t end = detail::endOfEvent(splitter.incompleteEvent_, from);
        if (end == std::string::npos)
            break;
        const auto id = detail::idOf(
                std::string_view(splitter.incompleteEvent_).substr(start, end - start));
        if (id)
            whole.lastId_ = id;
        ++whole.count_;
        start = from = end;
    }
    whole.bytes_ = splitter.incompleteEvent_.substr(0, start);
    splitter.incompleteEvent_.erase(0, start);
    whole.eventTooLong_ = splitter.incompleteEvent_.size() > MaxEventBytes;
    if (whole.eventTooLong_)
        splitter.incompleteEvent_ = {};
    return whole;
}

} // namespace gypsumcroft::http
