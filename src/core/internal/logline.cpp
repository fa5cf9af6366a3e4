#include "core/logline.h"

#include <charconv>

namespace gypsumcroft {

namespace detail {

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const unsigned char ch : value) {
        if (ch <= ' ' || ch == '"' || ch == '=' || ch == '\\' || ch >= 0x7f)
            return true;
    }
    return false;
}

void appendQuoted(std::string &text, std::string_view value)
{
    static constexpr char Digits[] = "0123456789abcdef";
    text += '"';
    for (const unsigned char ch : value) {
        if (ch == '"' || ch == '\\') {
            text += '\\';
            text += static_cast<char>(ch);
        } else if (ch < ' ') {
            text += "\\x";
            text += Digits[ch >> 4];
            text += Digits[ch & 15];
        } else {
            text += static_cast<char>(ch);
        }
    }
    text += '"';
}

} // namespace detail

LogLine::LogLine(std::string_view event)
{
    text_ = "event=";
    text_ += event;
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    text_ += ' ';
    text_ += key;
    text_ += '=';
    if (detail::needsQuotes(value))
        detail::appendQuoted(text_, value);
    else
        text_ += value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::string_view(std::to_string(value)));
}

LogLine &LogLine::add(std::string_view key, double value)
{
    char buffer[32];
    const auto end
            = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3);
    return add(key, std::string_view(buffer, static_cast<std::size_t>(end.ptr - buffer)));
}

} // namespace gypsumcroft
