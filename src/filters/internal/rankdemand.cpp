#include "filters/rankdemand.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

std::optional<TargetDemand> ownDemand(const TargetName &target, const GatewayTraffic &state,
                                      TimePoint now)
{
    const auto meter = state.demand_.find(target);
    if (meter == state.demand_.end())
        return std::nullopt;
    std::array<Tokens, RankCount> waiting {};
    const auto queues = state.queues_.find(target);
    for (std::size_t rank = 0; queues != state.queues_.end() && rank < RankCount; ++rank)
        waiting.at(rank) = waitingWork(queues->second.onTime_, AllRanks.at(rank));
    return measuredDemand(meter->second, waiting, now);
}

} // namespace
} // namespace detail

Tokens workOf(const GatewayContext &context)
{
    return {std::max<std::int64_t>(1, context.request_.promptTokens_.value_
                                              + context.expectedOutput_.value_)};
}

void countArrived(const GatewayContext &context, GatewayTraffic &state, TimePoint now)
{
    noteArrived(state.demand_[context.target_], rankOf(context.priority_), workOf(context), now);
}

void countStarted(const GatewayContext &context, GatewayTraffic &state, TimePoint now)
{
    noteStarted(state.demand_[context.target_], rankOf(context.priority_), workOf(context), now);
}

void countNotRun(const GatewayContext &context, GatewayTraffic &state, TimePoint now)
{
    noteNotRun(state.demand_[context.target_], rankOf(context.priority_), workOf(context), now);
}

std::vector<RankDemandReport> ownDemandReports(const GatewayTraffic &state, TimePoint now)
{
    std::vector<RankDemandReport> reports;
    for (const auto &[target, meter] : state.demand_) {
        if (const auto demand = detail::ownDemand(target, state, now))
            appendReports(reports, target, *demand);
    }
    return reports;
}

std::optional<TargetDemand> fleetDemand(const TargetName &target, const GatewayView &view,
                                        const GatewayTraffic &state, TimePoint now)
{
    const auto own = detail::ownDemand(target, state, now);
    const auto others = view.peerDemand_->find(target);
    if (others != view.peerDemand_->end())
        return sumOf(others->second, own.value_or(TargetDemand {}));
    return view.gatewayCount_ <= 1 ? own : std::nullopt;
}

Duration queueTimeout(const RouteRule &route, const GatewayLimits &limits)
{
    if (!route.isStream_)
        return detail::scaled(route.latencyTarget_, limits.queueTimeoutFactor_);
    return detail::scaled(streamPatience(route.latencyTarget_, route.eventGapTarget_),
                          limits.queueTimeoutPart_);
}

void estimateWait(GatewayContext &context, const GatewayView &view, const GatewayTraffic &state,
                  TimePoint now)
{
    const Rank rank = rankOf(context.priority_);
    const auto demand = fleetDemand(context.target_, view, state, now);
    context.expectedWait_ = demand ? expectedFleetWait(
                                    *demand, rank, RankMinShares.at(static_cast<std::size_t>(rank)))
                                   : WaitEstimate {};
}

bool hasTooLongWait(const GatewayContext &context, const GatewayLimits &limits, TimePoint now)
{
    const TimePoint latest = std::min(context.arrivedAt_ + queueTimeout(context.route_, limits),
                                      context.deadline_);
    return context.expectedWait_ && now + context.expectedWait_->wait_ > latest
           && context.expectedWait_->wait_ > Duration();
}

} // namespace gypsumcroft
