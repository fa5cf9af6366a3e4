//! Messages that are passed on: headers keep their order and spelling.
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
    //! Path with its query, as the caller wrote it.
    std::string target_;
    HeaderList headers_;
    std::string body_;
};

struct RelayHead
{
    std::uint16_t status_ = 200;
    HeaderList headers_;
};

//! Compares header names without regard to case.
bool sameName(std::string_view left, std::string_view right);

//! The first header of that name; nothing if there is none.
std::optional<std::string_view> findHeader(const HeaderList &headers, std::string_view name);

//! True for headers that concern one connection only, those that Connection names included.
bool isHopByHop(const HeaderList &headers, std::string_view name);

} // namespace gypsumcroft::http
