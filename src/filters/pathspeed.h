//! Slowdowns of endpoints as the traffic of a gateway counts them, and what endpoints add to a
//! stream's decode steps.
#pragma once

#include <optional>
#include <vector>

#include "controllers/gatewayview.h"
#include "filters/gatewaystate.h"

namespace gypsumcroft {

//! The slowdown by a status report, here or elsewhere, that is recent enough to outweigh estimates.
std::optional<double> settledSlowdown(const GatewayView &view, const SpeedLimits &limits,
                                      const EndpointId &endpoint, std::uint64_t incarnation,
                                      TimePoint now);

//! The slowdown that counts in the cost of paths over the endpoint. An estimate counts only from
//! SpeedLimits::slowFrom_ on, so that its noise doesn't move paths.
double slowdownOf(const GatewayView &view, const GatewayTraffic &state,
                  const ListedEndpoint &listed, TimePoint now);

//! Largest slowdown on a path.
double slowdownOfPath(const GatewayView &view, const GatewayTraffic &state, const LayerPath &path,
                      TimePoint now);

//! The parts of a decode step along the path with the present load.
std::vector<PathPart> pathParts(const GatewayView &view, const GatewayTraffic &state,
                                const EngineSpec &engine, const LayerPath &path);

//! Endpoints that the gaps of this gateway's streams show as slow.
std::vector<EstimatedSpeed> slowEstimates(const GatewayTraffic &state);

} // namespace gypsumcroft
