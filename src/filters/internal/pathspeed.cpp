#include "filters/pathspeed.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

//! What other sources than this gateway's own gaps say of the endpoint.
const EndpointSpeed *sharedSpeed(const GatewayView &view, const EndpointId &endpoint,
                                 std::uint64_t incarnation)
{
    const auto found = view.speeds_->find(endpoint);
    return found == view.speeds_->end() || found->second.incarnation_ != incarnation
                           || found->second.source_ == SpeedSource::Gaps
                   ? nullptr
                   : &found->second;
}

double estimatedSlowdown(const GatewayTraffic &state, const ListedEndpoint &listed, TimePoint now)
{
    const SpeedLimits &limits = state.limits_.speed_;
    const auto found = state.estimatedSpeeds_.find(listed.id_);
    if (found == state.estimatedSpeeds_.end() || found->second.incarnation_ != listed.incarnation_)
        return 1;
    const double estimate = slowdownAt(found->second, limits, now);
    return estimate < limits.slowFrom_ ? 1 : estimate;
}

std::uint32_t streamsAt(const GatewayView &view, const GatewayTraffic &state,
                        const EndpointId &endpoint)
{
    const auto own = state.endpointUsage_.find(endpoint);
    const auto peers = view.peerLoads_->find(endpoint);
    return (own == state.endpointUsage_.end() ? 0 : own->second.load_.streams_)
           + (peers == view.peerLoads_->end() ? 0 : peers->second.streams_);
}

const ListedEndpoint *listedEndpoint(const GatewayView &view, const EndpointId &endpoint)
{
    const auto found = view.endpoints_->byId_.find(endpoint);
    return found == view.endpoints_->byId_.end() ? nullptr
                                                 : &view.endpoints_->endpoints_[found->second];
}

} // namespace
} // namespace detail

std::optional<double> settledSlowdown(const GatewayView &view, const SpeedLimits &limits,
                                      const EndpointId &endpoint, std::uint64_t incarnation,
                                      TimePoint now)
{
    const EndpointSpeed *speed = detail::sharedSpeed(view, endpoint, incarnation);
    if (speed == nullptr || now - speed->measuredAt_ > limits.settledFor_)
        return std::nullopt;
    return slowdownAt(*speed, limits, now);
}

double slowdownOf(const GatewayView &view, const GatewayTraffic &state,
                  const ListedEndpoint &listed, TimePoint now)
{
    const SpeedLimits &limits = state.limits_.speed_;
    const auto settled = settledSlowdown(view, limits, listed.id_, listed.incarnation_, now);
    if (settled)
        return *settled;
    const EndpointSpeed *shared = detail::sharedSpeed(view, listed.id_, listed.incarnation_);
    return std::max(shared == nullptr ? 1 : slowdownAt(*shared, limits, now),
                    detail::estimatedSlowdown(state, listed, now));
}

double slowdownOfPath(const GatewayView &view, const GatewayTraffic &state, const LayerPath &path,
                      TimePoint now)
{
    double slowest = 1;
    for (const PathSegment &part : path) {
        if (const ListedEndpoint *listed = detail::listedEndpoint(view, part.endpoint_))
            slowest = std::max(slowest, slowdownOf(view, state, *listed, now));
    }
    return slowest;
}

std::vector<PathPart> pathParts(const GatewayView &view, const GatewayTraffic &state,
                                const EngineSpec &engine, const LayerPath &path)
{
    std::vector<PathPart> parts;
    for (const PathSegment &segment : path) {
        const ListedEndpoint *listed = detail::listedEndpoint(view, segment.endpoint_);
        const auto kind = listed == nullptr ? engine.accelerators_.end()
                                            : engine.accelerators_.find(listed->accelerator_);
        if (kind == engine.accelerators_.end())
            return {};
        const std::uint32_t count = segment.layers_.end_.value_ - segment.layers_.first_.value_;
        const double stepMs = decodeStepMs(engine, kind->second.decodeFactor_, count,
                                           detail::streamsAt(view, state, segment.endpoint_));
        parts.push_back({segment.endpoint_, listed->incarnation_, stepMs, std::nullopt});
    }
    return parts;
}

std::vector<EstimatedSpeed> slowEstimates(const GatewayTraffic &state)
{
    std::vector<EstimatedSpeed> slow;
    for (const auto &[endpoint, speed] : state.estimatedSpeeds_) {
        if (speed.slowdown_ >= state.limits_.speed_.recoveredBelow_)
            slow.push_back({endpoint, speed});
    }
    return slow;
}

} // namespace gypsumcroft
