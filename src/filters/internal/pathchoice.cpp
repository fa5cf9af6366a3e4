#include "pathchoice.h"

#include <algorithm>
#include <utility>

#include "filters/pathspeed.h"
#include "filters/rankdemand.h"

namespace gypsumcroft::detail {

namespace {

//! Added to the path cost of an endpoint for each of its recent consecutive failures.
constexpr Duration AvoidedPenalty = std::chrono::milliseconds(400);
//! Added to the path cost of an endpoint that already failed this request.
constexpr Duration FailedPenalty = std::chrono::milliseconds(5000);

} // namespace

const EngineSpec *engineOf(const GatewayContext &context, const GatewayView &view)
{
    const TargetSpec *target = findTarget(*view.table_, context.target_);
    return target == nullptr || !target->engine_ ? nullptr : &*target->engine_;
}

namespace {

Duration penaltyOf(const GatewayContext &context, const EndpointId &id, const EndpointUsage &usage,
                   TimePoint now)
{
    if (context.failedEndpoints_.contains(id))
        return FailedPenalty;
    return isCoolingDown(usage.health_, now) ? AvoidedPenalty * usage.health_.consecutiveFailures_
                                             : Duration();
}

EndpointLoad peerLoad(const GatewayView &view, const EndpointId &endpoint)
{
    const auto found = view.peerLoads_->find(endpoint);
    return found == view.peerLoads_->end() ? EndpointLoad {} : found->second;
}

//! Estimated load that the other gateways added since their last report. Each is assumed to have
//! added as much as this gateway did, because all see the same free capacity at the same time.
EndpointLoad estimatedPeerGrowth(const GatewayView &view, const EndpointId &endpoint,
                                 const EndpointLoad &own)
{
    const auto reported = view.lastDigestLoads_->find(endpoint);
    const EndpointLoad before
            = reported == view.lastDigestLoads_->end() ? EndpointLoad {} : reported->second;
    EndpointLoad growth;
    growth.kvUsed_ = std::max(0.0, own.kvUsed_ - before.kvUsed_) * view.peerCount_;
    growth.begun_ = (std::max(own.begun_, before.begun_) - before.begun_) * view.peerCount_;
    return growth;
}

bool hasAskedForPause(const GatewayView &view, const EndpointUsage &usage,
                      const ListedEndpoint &listed, TimePoint now)
{
    if (usage.pausedIncarnation_ == listed.incarnation_ && now < usage.pausedUntil_)
        return true;
    const auto paused = view.pausedUntil_.find(listed.id_);
    return paused != view.pausedUntil_.end() && now < paused->second;
}

} // namespace

const char *reasonUnusable(const GatewayView &view, const EndpointUsage &usage,
                           const ListedEndpoint &listed, TimePoint now)
{
    if (listed.state_ != ListedState::Ready)
        return "not ready in the list";
    if (view.downEndpoints_.contains(listed.id_))
        return "down";
    if (usage.leavingIncarnation_ == listed.incarnation_)
        return "leaving";
    return hasAskedForPause(view, usage, listed, now) ? "paused" : nullptr;
}

bool isUsable(const GatewayView &view, const EndpointUsage &usage, const ListedEndpoint &listed,
              TimePoint now)
{
    return reasonUnusable(view, usage, listed, now) == nullptr;
}

std::vector<PathNode> pathNodes(const GatewayContext &context, const GatewayView &view,
                                const EngineSpec &engine, GatewayTraffic &state, TimePoint now)
{
    std::vector<PathNode> nodes;
    const auto found = view.endpoints_->byTarget_.find(context.target_);
    if (found == view.endpoints_->byTarget_.end())
        return nodes;
    for (const std::size_t index : found->second) {
        const ListedEndpoint &listed = view.endpoints_->endpoints_[index];
        const auto kind = engine.accelerators_.find(listed.accelerator_);
        const EndpointUsage &usage = state.endpointUsage_[listed.id_];
        if (!isUsable(view, usage, listed, now) || !listed.layers_
            || kind == engine.accelerators_.end())
            continue;
        PathNode node {listed.id_, listed.address_, listed.domain_, *listed.layers_};
        const double slowdown = slowdownOf(view, state, listed, now);
        node.decodeFactor_ = kind->second.decodeFactor_ * slowdown;
        node.prefillFactor_ = kind->second.prefillFactor_ * slowdown;
        const EndpointLoad peers = peerLoad(view, listed.id_);
        node.pendingPrefill_ = usage.load_.pendingPrefill_ + peers.pendingPrefill_;
        node.streams_ = usage.load_.streams_ + peers.streams_;
        node.kvCapacity_ = kvCapacity(engine, kind->second,
                                      listed.layers_->end_.value_ - listed.layers_->first_.value_);
        const EndpointLoad growth = estimatedPeerGrowth(view, listed.id_, usage.load_);
        node.kvUsed_ = usage.load_.kvUsed_ + peers.kvUsed_ + growth.kvUsed_;
        node.slots_ = engine.slots_;
        node.begun_ = usage.load_.begun_ + peers.begun_ + growth.begun_;
        node.penalty_ = penaltyOf(context, listed.id_, usage, now);
        nodes.push_back(std::move(node));
    }
    return nodes;
}

double maxUtilisationOf(const GatewayContext &context, const GatewayView &view,
                        const GatewayTraffic &state, TimePoint now)
{
    const Rank rank = rankOf(context.priority_);
    RankService service;
    const auto found = state.queues_.find(context.target_);
    if (found != state.queues_.end()) {
        const TargetQueues &queues = found->second;
        service.belowMinShare_
                = isBelowMinShare(context.overdue_ ? queues.overdue_ : queues.onTime_, rank);
        service.work_ = workOf(context);
        service.startedSince_ = queues.startedSince_.at(static_cast<std::size_t>(rank));
        service.startedAt_ = queues.startedAt_.at(static_cast<std::size_t>(rank));
    }
    return maxUtilisation(state.limits_.rankRoom_, ranksOfTarget(*view.table_, context.target_),
                          rank, service, now);
}

std::optional<PlannedPath> planFor(const GatewayContext &context, const GatewayView &view,
                                   const EngineSpec &engine, GatewayTraffic &state, TimePoint now)
{
    // The KV cache of a response grows token by token, so that it takes half of its final size on
    // average. The callers' estimates are below the mean of what they get; reserving the learned
    // mean, which is higher, left capacity unused in floods and served fewer.
    const PathDemand demand {view.domain_,
                             context.request_.promptTokens_,
                             {context.request_.expectedOutput_.value_ / 2},
                             hasCrossDomainBudget(state.crossDomainBudgets_[context.target_],
                                                  engine, view.gatewayCount_, now),
                             maxUtilisationOf(context, view, state, now)};
    return planPath(engine, pathNodes(context, view, engine, state, now), demand);
}

std::optional<ServiceChoice> chooseService(const GatewayContext &context, const GatewayView &view,
                                           GatewayTraffic &state, TimePoint now)
{
    const auto found = view.endpoints_->byTarget_.find(context.target_);
    if (found == view.endpoints_->byTarget_.end())
        return std::nullopt;
    std::vector<ServiceNode> nodes;
    for (const std::size_t index : found->second) {
        const ListedEndpoint &listed = view.endpoints_->endpoints_[index];
        const EndpointUsage &usage = state.endpointUsage_[listed.id_];
        if (!isUsable(view, usage, listed, now))
            continue;
        const bool isRecent = now - usage.reportedAt_ < state.limits_.maxReportedLoadAge_;
        const std::uint32_t calls = usage.load_.calls_ + peerLoad(view, listed.id_).calls_;
        const std::uint32_t load = std::max(calls, isRecent ? usage.requestsAtEndpoint_ : 0);
        nodes.push_back({index, load, std::max(1U, listed.slots_), listed.domain_ == view.domain_,
                         context.failedEndpoints_.contains(listed.id_)
                                 || isCoolingDown(usage.health_, now)});
    }
    return chooseLeastLoaded(nodes);
}

bool hasCapacityOnPath(const GatewayContext &context, const GatewayLimits &limits,
                       double maxUtilisation)
{
    const double part
            = limits.maxPendingPrefill_.at(static_cast<std::size_t>(rankOf(context.priority_)));
    const double maxPrefill = part * static_cast<double>(context.route_.latencyTarget_.count());
    // A request that alone exceeds its rank's limit may have an empty path, or it would never run.
    const double alone
            = std::min(context.plan_->ownUtilisation_, limits.rankRoom_.maxUtilisation_.front());
    return context.plan_->utilisation_ <= std::max(maxUtilisation, alone)
           && static_cast<double>(context.plan_->pendingPrefill_.count()) <= maxPrefill;
}

} // namespace gypsumcroft::detail
