//! Hash of an API key, as parameter sets carry it.
#pragma once

#include <string_view>

#include "core/ids.h"

namespace gypsumcroft {

//! SHA-256 in lower-case hexadecimal.
ApiKeyHash hashApiKey(std::string_view key);

} // namespace gypsumcroft
