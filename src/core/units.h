//! Types for quantities and time.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/ids.h"

namespace gypsumcroft {

//! All times used in decisions have microsecond resolution.
using Duration = std::chrono::microseconds;

//! Clock type without now(): functions take the current time as an argument, so that tests and
//! simulations control it.
struct DecisionClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<DecisionClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name
};
using TimePoint = DecisionClock::time_point;

//! Wall-clock timestamp that the platform's log gave a record, in Unix milliseconds.
using LogTime = StrongType<struct LogTimeTag, std::int64_t>;

//! Amount of work in tokens, prompt and output together.
using Tokens = StrongType<struct TokensTag, std::int64_t>;
using Bytes = StrongType<struct BytesTag, std::uint64_t>;
//! Streams that an endpoint runs concurrently.
using Slots = StrongType<struct SlotsTag, std::uint32_t>;
//! Fraction in thousandths.
using PerMille = StrongType<struct PerMilleTag, std::uint32_t>;

//! Half-open range of layers [first_, end_).
struct LayerRange
{
    LayerIndex first_;
    LayerIndex end_;
    auto operator<=>(const LayerRange &) const = default;
};

//! Converts to fractional milliseconds, for logs and metrics.
inline double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace gypsumcroft
