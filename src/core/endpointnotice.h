//! What an endpoint says in a response about the requests that it will take.
#pragma once

#include <optional>
#include <string>

#include "core/ids.h"
#include "core/logline.h"
#include "core/units.h"

namespace gypsumcroft {

struct EndpointNotice
{
    //! The endpoint will stop: it must get no new requests.
    bool leaving_ = false;
    //! The endpoint turned the request away and wants no other for this long.
    std::optional<Duration> pause_;
    //! A time to wait that is no non-negative number of seconds and was ignored, for the log.
    std::string ignoredPause_;
};

//! Log line about a time to wait that was ignored.
inline LogLine ignoredPauseLine(const EndpointId &endpoint, const std::string &value)
{
    constexpr std::size_t MaxLoggedBytes = 64;
    return LogLine("response-field-ignored")
            .add("endpoint", endpoint)
            .add("field", "retry-after")
            .add("value", value.substr(0, MaxLoggedBytes));
}

} // namespace gypsumcroft
