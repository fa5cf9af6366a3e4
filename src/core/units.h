//! Strong types for quantities and for time.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/ids.h"

namespace gypsumcroft {

//! Resolution of every decision: one microsecond.
using Duration = std::chrono::microseconds;

//! A clock without now(): the present time is always an argument.
struct DecisionClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<DecisionClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name
};
using TimePoint = DecisionClock::time_point;

//! Wall-clock time that the platform's log gave a record, in milliseconds since 1970.
using LogTime = StrongType<struct LogTimeTag, std::int64_t>;

//! Work in tokens, prompt and answer together.
using Tokens = StrongType<struct TokensTag, std::int64_t>;
using Bytes = StrongType<struct BytesTag, std::uint64_t>;
//! Streams that an endpoint runs side by side.
using Slots = StrongType<struct SlotsTag, std::uint32_t>;
//! Share of a whole, in thousandths.
using PerMille = StrongType<struct PerMilleTag, std::uint32_t>;

//! Half-open range of layers [first_, end_).
struct LayerRange
{
    LayerIndex first_;
    LayerIndex end_;
    auto operator<=>(const LayerRange &) const = default;
};

//! Duration in milliseconds with a fraction, for logs and metrics.
inline double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace gypsumcroft
