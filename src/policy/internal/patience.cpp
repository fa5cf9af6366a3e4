#include "policy/patience.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

constexpr Duration LeastPatience = std::chrono::seconds(2);
constexpr int LatencyTargets = 4;
constexpr int EventGapTargets = 8;

} // namespace
} // namespace detail

Duration streamPatience(Duration latencyTarget, Duration eventGapTarget)
{
    return std::max({detail::LeastPatience, detail::LatencyTargets * latencyTarget,
                     detail::EventGapTargets * eventGapTarget});
}

} // namespace gypsumcroft
