#include "http/relaytypes.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace gypsumcroft::http {

namespace detail {
namespace {

constexpr std::array<std::string_view, 10> HopByHopNames = {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "Proxy-Connection",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Content-Length"};

bool namesToken(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        std::string_view token = list.substr(0, comma);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (isSameFieldName(token, name))
            return true;
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

} // namespace
} // namespace detail

bool isSameFieldName(std::string_view left, std::string_view right)
{
    const auto lower = [](char ch) { return std::tolower(static_cast<unsigned char>(ch)); };
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(),
                         [&](char l, char r) { return lower(l) == lower(r); });
}

std::size_t memoryOf(const RelayRequest &request)
{
    std::size_t bytes = sizeof request + request.target_.capacity() + request.body_.capacity()
                        + request.headers_.capacity() * sizeof(HeaderList::value_type);
    for (const auto &[name, value] : request.headers_)
        bytes += name.size() + value.size();
    return bytes;
}

std::optional<std::string_view> findHeader(const HeaderList &headers, std::string_view name)
{
    for (const auto &[header, value] : headers) {
        if (isSameFieldName(header, name))
            return value;
    }
    return std::nullopt;
}

bool isHopByHopField(const HeaderList &headers, std::string_view name)
{
    for (const std::string_view known : detail::HopByHopNames) {
        if (isSameFieldName(known, name))
            return true;
    }
    for (const auto &[header, value] : headers) {
        if (isSameFieldName(header, "Connection") && detail::namesToken(value, name))
            return true;
    }
    return false;
}

} // namespace gypsumcroft::http
