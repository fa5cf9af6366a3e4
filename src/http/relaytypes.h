//! HTTP messages that are forwarded: header fields keep their order and case.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"

namespace gypsumcroft::http {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct RelayRequest
{
    std::string method_;
    //! Request target as received: path and query.
    std::string target_;
    HeaderList headers_;
    std::string body_;
};

//! Memory that a request takes, in bytes.
std::size_t memoryOf(const RelayRequest &request);

struct ResponseHead
{
    std::uint16_t status_ = 200;
    HeaderList headers_;
};

//! Compares field names case-insensitively.
bool isSameFieldName(std::string_view left, std::string_view right);

//! Value of the first header field of that name.
std::optional<std::string_view> findHeader(const HeaderList &headers, std::string_view name);

//! True for header fields that apply to a single connection and must not be forwarded, including
//! those listed in Connection, and for Content-Length, which is set anew.
bool isHopByHopField(const HeaderList &headers, std::string_view name);

} // namespace gypsumcroft::http
