#include "policy/stopplan.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

//! Two probes of the balancer, one a second, and some spare; what comes later than three seconds
//! after the signal must not be cut.
constexpr Duration StopNotice = std::chrono::milliseconds(2800);
//! Requests in hand are finished until so long before the kill.
constexpr Duration KillMargin = std::chrono::milliseconds(500);

} // namespace
} // namespace detail

StopPlan planStop(Duration grace, TimePoint now)
{
    return {now + std::min(detail::StopNotice, grace / 2), now + grace - detail::KillMargin};
}

} // namespace gypsumcroft
