//! Builds a log line of key=value pairs. Writing the line to the log is up to the caller.
#pragma once

#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/units.h"

namespace gypsumcroft {

enum class LogLevel { Debug, Info, Warning, Error };

//! Text of one event: "event=NAME key=value ...". Empty values and values with spaces, quotes, '=',
//! backslashes or bytes outside printable ASCII are quoted. Within the quotes, a backslash precedes
//! quotes and backslashes, and bytes below 0x20 are written as \xNN; other bytes are unchanged.
class LogLine
{
public:
    explicit LogLine(std::string_view event);
    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    LogLine &add(std::string_view key, std::uint64_t value);
    LogLine &add(std::string_view key, double value);
    //! Adds the duration in milliseconds.
    LogLine &add(std::string_view key, Duration value) { return add(key, toMilliseconds(value)); }
    template <typename Tag, typename Rep>
    LogLine &add(std::string_view key, const StrongType<Tag, Rep> &id)
    {
        if constexpr (std::is_arithmetic_v<Rep>)
            return add(key, static_cast<std::uint64_t>(id.value_));
        else
            return add(key, std::string_view(id.value_));
    }
    const std::string &text() const { return text_; }

private:
    std::string text_;
};

//! A log line and its level, returned as an effect by code that does no I/O itself.
struct LogEvent
{
    LogLevel level_ = LogLevel::Info;
    std::string text_;
};

inline LogEvent logEvent(LogLevel level, const LogLine &line)
{
    return {level, line.text()};
}

} // namespace gypsumcroft
