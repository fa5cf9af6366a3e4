//! Judges the gaps between the events of streams. For gateway/internal/traffic.cpp.
#pragma once

#include "filters/gatewaystate.h"

namespace gypsumcroft::detail {

//! Number of events that arrived, by their ids if these are consecutive.
std::uint64_t eventsSince(const GatewayContext &context, std::optional<EventId> last);

//! To be called when events of a stream arrive, before anything else is noted about them; last is
//! the id of the last one. Learns what endpoints' speeds are, and requests reports of those on the
//! path of a stream that is slower than expected.
void notePace(GatewayTraffic &state, const GatewayView &view, GatewayContext &context,
              std::optional<EventId> last, TimePoint now);

//! Forgets old estimates.
void pruneSpeeds(GatewayTraffic &state, TimePoint now);

} // namespace gypsumcroft::detail
