#include "policy/stopplan.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

//! Covers two probes of the load balancer, which sends one a second, with some margin. Must stay
//! below three seconds: requests that are sent later than three seconds after the signal must not
//! be aborted.
constexpr Duration AcceptPeriod = std::chrono::milliseconds(2800);
//! Requests in progress may finish until this long before the kill.
constexpr Duration KillMargin = std::chrono::milliseconds(500);

} // namespace
} // namespace detail

StopPlan planStop(Duration grace, TimePoint now)
{
    return {now + std::min(detail::AcceptPeriod, grace / 2), now + grace - detail::KillMargin};
}

} // namespace gypsumcroft
