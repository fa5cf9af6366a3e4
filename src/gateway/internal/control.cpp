#include "gateway/control.h"

#include <algorithm>
#include <utility>

#include "gateway/internal/controleffects.h"
#include "gateway/internal/digests.h"
#include "gateway/internal/storereads.h"

namespace gypsumcroft {

namespace detail {
namespace {

void emitProbeEffects(GatewayControl &state)
{
    for (RequestStatusReport &question : state.probes_.reportRequests_)
        state.effects_.emplace_back(std::move(question));
    state.probes_.reportRequests_.clear();
    emitLog(state, state.probes_.log_);
}

void emitSpeedEffects(GatewayControl &state)
{
    for (RequestStatusReport &question : state.speeds_.reportRequests_)
        state.effects_.emplace_back(std::move(question));
    state.speeds_.reportRequests_.clear();
    emitLog(state, state.speeds_.log_);
}

//! Publishes changed speeds: at once if an endpoint began or ceased to be slow.
void publishSpeeds(GatewayControl &state, bool changed, std::size_t slowBefore)
{
    emitSpeedEffects(state);
    if (state.speeds_.slow_.size() != slowBefore)
        publishView(state);
    else if (changed)
        state.viewStale_ = true;
}

void takeReportedSpeed(GatewayControl &state, const EndpointId &endpoint,
                       const EndpointStatusReport &report, TimePoint now)
{
    const std::size_t before = state.speeds_.slow_.size();
    const bool changed = takeReportedSpeed(state.speeds_, endpoint, report.incarnation_,
                                           report.pace_, state.random_, now);
    publishSpeeds(state, changed, before);
}

void takePeerSpeeds(GatewayControl &state, const std::vector<EndpointSpeedReport> &speeds,
                    TimePoint now)
{
    const std::size_t before = state.speeds_.slow_.size();
    const bool changed = takeSpeedReports(state.speeds_, state.endpoints_, speeds, now);
    publishSpeeds(state, changed, before);
}

void tickSpeeds(GatewayControl &state, TimePoint now)
{
    const std::size_t before = state.speeds_.slow_.size();
    const bool estimated
            = takeEstimatedSpeeds(state.speeds_, std::exchange(state.estimatedSpeeds_, {}), now);
    const bool changed = tickSpeeds(state.speeds_, state.endpoints_, now);
    publishSpeeds(state, changed || estimated, before);
}

void emitCrashEffects(GatewayControl &state)
{
    for (CheckEndpoint &check : state.crashes_.checks_)
        state.effects_.emplace_back(std::move(check));
    state.crashes_.checks_.clear();
    emitLog(state, state.crashes_.log_);
}

//! Returns the model target that an endpoint belongs to, or null for plain services and unknown
//! endpoints.
const TargetSpec *modelOf(const GatewayControl &state, const EndpointId &endpoint)
{
    const auto known = state.endpoints_.endpoints_.find(endpoint);
    if (known == state.endpoints_.endpoints_.end() || !state.routes_.table_)
        return nullptr;
    const TargetSpec *target = findTarget(*state.routes_.table_, known->second.listed_.target_);
    return target == nullptr || !target->engine_ ? nullptr : target;
}

//! True for a request to an endpoint that wants none for now. Placement takes it for one without a
//! response.
bool isHeldBack(const GatewayControl &state, const PlacementEffect &effect, TimePoint now)
{
    if (const auto *report = std::get_if<RequestStatusReport>(&effect))
        return isPaused(state.endpoints_, report->endpoint_, now);
    const auto *order = std::get_if<SendLoadOrder>(&effect);
    return order != nullptr && isPaused(state.endpoints_, order->endpoint_, now);
}

void emitPlacementEffects(GatewayControl &state, PlacementState &placing, TimePoint now)
{
    for (PlacementEffect &effect : placing.effects_) {
        if (!isHeldBack(state, effect, now))
            std::visit([&](auto &value) { state.effects_.emplace_back(std::move(value)); }, effect);
    }
    placing.effects_.clear();
}

//! Takes what a digest suspects. News of crashes is passed on at once, from a gateway of this
//! domain to the other domains and from another domain within this one.
void takeTraitReports(GatewayControl &state, const GatewayDigestMessage &digest, TimePoint now)
{
    if (!onTraitReports(state.crashes_, digest.traits_, now))
        return;
    publishView(state);
    emitCrashEffects(state);
    if (digest.scope_ == DigestScope::CrashNews)
        relayCrashNews(state, digest, now);
}

void logGatewayCount(GatewayControl &state, TimePoint now)
{
    const std::uint32_t count = knownGateways(state.members_);
    if (count == state.loggedGateways_
        || now - state.gatewaysLoggedAt_ < state.bounds_.gatewaysLogInterval_)
        return;
    state.loggedGateways_ = count;
    state.gatewaysLoggedAt_ = now;
    state.effects_.emplace_back(
            logEvent(LogLevel::Info,
                     LogLine("entries")
                             .add("count", std::uint64_t {count})
                             .add("alive", std::uint64_t {aliveMembers(state.members_, now)})
                             .add("settled", membersSettled(state.members_, now) ? "yes" : "no")));
}

void tickPeers(GatewayControl &state, TimePoint now)
{
    forgetMembers(state.members_, now);
    logGatewayCount(state, now);
    const std::size_t before = state.peers_.peers_.size();
    removeSilentPeers(state.peers_, now);
    state.viewStale_ = state.viewStale_ || state.peers_.peers_.size() != before;
    if (now - state.lastDigestAt_ >= state.digestPause_) {
        state.lastDigestAt_ = now;
        sendDigests(state, now);
    }
    const Duration interval = membersSettled(state.members_, now) ? state.bounds_.peersInterval_
                                                                  : state.bounds_.noPeersInterval_;
    if (now - state.peersRequestedAt_ < interval)
        return;
    state.peersRequestedAt_ = now;
    state.effects_.emplace_back(RequestPeerAddresses {});
}

//! Takes the loads of a digest. Returns false if the digest is no news.
bool takeLoads(GatewayControl &state, GatewayDigestMessage digest, TimePoint now)
{
    const bool isNear = digest.domain_ == state.members_.domain_;
    if (digest.scope_ == DigestScope::Gateway)
        // A gateway of another domain is part of that domain's sum.
        return !isNear || applyDigest(state.peers_, std::move(digest), now);
    if (isNear)
        return false;
    GatewayDigestMessage relayed = digest;
    const bool isDirect = digest.scope_ == DigestScope::Domain;
    if (!applyDomainDigest(state.peers_, std::move(digest), now))
        return false;
    relayed.scope_ = DigestScope::RelayedDomain;
    if (isDirect)
        sendTo(state, relayRecipients(state.members_, now), std::move(relayed));
    return true;
}

//! Drops reports of demand that can't be true, so that they neither count here nor in the sum over
//! this domain.
void dropImplausibleDemand(GatewayControl &state, GatewayDigestMessage &digest, TimePoint now)
{
    state.droppedDemand_ += removeImplausible(digest.demand_);
    if (state.droppedDemand_ == 0
        || now - state.droppedDemandLoggedAt_ < state.bounds_.droppedDemandLogInterval_)
        return;
    state.droppedDemandLoggedAt_ = now;
    state.effects_.emplace_back(logEvent(
            LogLevel::Warning, LogLine("demand-dropped")
                                       .add("reports", std::exchange(state.droppedDemand_, 0))
                                       .add("from", digest.instance_)));
}

FleetUse fleetUse(const GatewayControl &state)
{
    FleetUse use;
    use.lost_ = lostEndpoints(state.probes_, state.endpoints_);
    use.loads_ = *totalPeerLoads(state.peers_);
    for (const EndpointLoad &load : state.ownLoads_)
        addLoad(use.loads_, load);
    use.hasTraffic_ = state.trafficSeen_;
    return use;
}

void tickTargets(GatewayControl &state, TimePoint now)
{
    const FleetUse use = fleetUse(state);
    for (const TargetSpec &target : state.routes_.table_->state_.targets_) {
        if (!target.engine_)
            continue;
        PlacementState &placing = state.placement_[target.name_];
        tickPlacement(placing, *target.engine_, target.name_, state.endpoints_, use, now);
        emitPlacementEffects(state, placing, now);
    }
}

} // namespace
} // namespace detail

void onJoinResponse(GatewayControl &state, GroupGeneration generation, bool granted,
                    TimePoint sentAt, TimePoint now)
{
    if (!applyJoinResponse(state.lease_, generation, granted, sentAt))
        return;
    state.effects_.emplace_back(
            logEvent(LogLevel::Info, LogLine(granted ? "lease-gained" : "lease-lost")
                                             .add("generation", generation)
                                             .add("answer_ms", now - sentAt)));
    if (!granted) {
        for (auto &[target, placing] : state.placement_)
            stopPlacement(placing);
    }
}

void onBoundsChanged(GatewayControl &state, const GatewayBounds &bounds, const LeaseLimits &lease)
{
    state.bounds_ = bounds;
    state.lease_.limits_ = lease;
    if (state.lease_.left_)
        state.bounds_.retry_.slack_ = 0;
    detail::publishView(state);
}

void onStopping(GatewayControl &state)
{
    const bool held = releaseLease(state.lease_);
    if (held)
        state.effects_.emplace_back(logEvent(
                LogLevel::Info, LogLine("lease-left").add("generation", state.lease_.generation_)));
    for (auto &[target, placing] : state.placement_)
        stopPlacement(placing);
    state.bounds_.retry_.slack_ = 0;
    state.members_.stopping_ = true;
    state.effects_.emplace_back(LeaveGroup {});
    detail::publishView(state);
}

void onJoinFailed(GatewayControl &state, TimePoint now)
{
    applyJoinFailure(state.lease_, now);
}

void onPartitionShare(GatewayControl &state, std::uint32_t share, std::uint32_t partitions)
{
    applyPartitionShare(state.members_, share, partitions);
    state.viewStale_ = true;
}

void onReportResponse(GatewayControl &state, const EndpointId &endpoint,
                      const std::optional<EndpointStatusReport> &report, TimePoint requestedAt,
                      TimePoint now)
{
    const TargetSpec *target = detail::modelOf(state, endpoint);
    if (target == nullptr)
        return;
    if (report
        && applyLoadedLayers(state.endpoints_, endpoint, report->layers_, report->incarnation_,
                             requestedAt))
        detail::rebuildEndpointIndex(state);
    if (report)
        detail::takeReportedSpeed(state, endpoint, *report, now);
    if (!report && now - requestedAt > state.bounds_.maxReportTime_)
        onProbeVoid(state.probes_, endpoint, now);
    else if (onProbeResult(state.probes_, endpoint, report.has_value(), now))
        detail::publishView(state);
    detail::emitLog(state, state.endpoints_.log_);
    detail::emitProbeEffects(state);
    onEndpointReport(state.placement_[target->name_], endpoint, report, now);
}

void onOrderResponse(GatewayControl &state, const EndpointId &endpoint, OrderOutcome outcome,
                     TimePoint now)
{
    const TargetSpec *target = detail::modelOf(state, endpoint);
    if (target == nullptr)
        return;
    PlacementState &placing = state.placement_[target->name_];
    onOrderOutcome(placing, *target->engine_, endpoint, outcome, now);
    detail::emitPlacementEffects(state, placing, now);
}

void onEndpointNotice(GatewayControl &state, const EndpointNoticeSeen &notice, TimePoint now)
{
    if (notice.pausedUntil_) {
        markPaused(state.endpoints_, notice.endpoint_, notice.incarnation_, *notice.pausedUntil_);
        state.viewStale_ = true;
    }
    if (notice.leaving_
        && markLeaving(state.endpoints_, notice.endpoint_, notice.incarnation_, true, now))
        detail::rebuildEndpointIndex(state);
    detail::emitLog(state, state.endpoints_.log_);
}

void onControlNotice(GatewayControl &state, const EndpointId &endpoint,
                     const EndpointNotice &notice, TimePoint now)
{
    const auto known = state.endpoints_.endpoints_.find(endpoint);
    if (known == state.endpoints_.endpoints_.end())
        return;
    EndpointNoticeSeen seen {endpoint, known->second.listed_.incarnation_, notice.leaving_, {}};
    if (notice.pause_)
        seen.pausedUntil_ = now + pauseTime(*notice.pause_, state.bounds_.pause_, state.random_);
    if (!notice.ignoredPause_.empty())
        state.effects_.emplace_back(
                logEvent(LogLevel::Warning, ignoredPauseLine(endpoint, notice.ignoredPause_)));
    onEndpointNotice(state, seen, now);
}

void onProbeRequested(GatewayControl &state, const RequestProbe &request, TimePoint now)
{
    if (detail::modelOf(state, request.endpoint_) == nullptr)
        return;
    if (request.forSpeed_)
        requestSpeedCheck(state.speeds_, state.endpoints_, request.endpoint_, now);
    else
        requestProbe(state.probes_, state.endpoints_, request.endpoint_, now);
    detail::emitProbeEffects(state);
    detail::emitSpeedEffects(state);
}

void onDispatchLost(GatewayControl &state, DispatchLost loss, TimePoint now)
{
    onDispatchLost(state.crashes_, state.endpoints_, std::move(loss), now);
    detail::emitCrashEffects(state);
}

void onTraitAnswered(GatewayControl &state, const TraitAnswered &answered, TimePoint now)
{
    if (onTraitAnswered(state.crashes_, answered, now))
        detail::publishView(state);
    detail::emitCrashEffects(state);
}

void onEndpointChecked(GatewayControl &state, const EndpointId &endpoint,
                       const EndpointSighting &sighting, TimePoint sentAt, TimePoint now)
{
    onEndpointChecked(state.crashes_, state.endpoints_, endpoint, sighting, sentAt, now);
    detail::emitCrashEffects(state);
    const auto news = std::exchange(state.crashes_.news_, {});
    if (news.empty())
        return;
    detail::publishView(state);
    detail::sendCrashNews(state, news, now);
}

void onOwnLoads(GatewayControl &state, OwnEndpointLoads loads)
{
    state.ownLoads_ = std::move(loads.loads_);
    state.ownDemand_ = std::move(loads.demand_);
    state.estimatedSpeeds_ = std::move(loads.speeds_);
    state.trafficSeen_ = state.trafficSeen_ || !state.ownLoads_.empty();
}

void onGatewayDigest(GatewayControl &state, GatewayDigestMessage digest, TimePoint now)
{
    detail::dropImplausibleDemand(state, digest, now);
    detail::takeTraitReports(state, digest, now);
    if (digest.scope_ == DigestScope::CrashNews || digest.scope_ == DigestScope::RelayedCrashNews)
        return;
    const std::vector<LoadedLayersReport> loadedLayers = digest.loadedLayers_;
    const std::vector<EndpointId> down = digest.downEndpoints_;
    const std::vector<LayerMoveReport> moves = digest.layerMoves_;
    const std::vector<LeavingEndpointReport> leavingEndpoints = digest.leavingEndpoints_;
    const std::vector<EndpointSpeedReport> speeds = digest.speeds_;
    applyMemberDigest(state.members_, digest, now);
    const Duration delay = noteClock(state.relay_, digest, now);
    ++state.digestFigures_.count_;
    state.digestFigures_.longestDelay_ = std::max(state.digestFigures_.longestDelay_, delay);
    state.trafficSeen_ = state.trafficSeen_ || !digest.loads_.empty();
    const bool isNear = digest.domain_ == state.members_.domain_;
    const auto news = isNear ? digest.storeNews_ : std::nullopt;
    if (!detail::takeLoads(state, std::move(digest), now))
        return;
    state.viewStale_ = true;
    bool changed = false;
    for (const LoadedLayersReport &report : loadedLayers) {
        const auto layers = report.hasLayers_ ? std::optional(report.layers_) : std::nullopt;
        changed = applyLoadedLayers(state.endpoints_, report.endpoint_, layers, report.incarnation_,
                                    now - report.age_)
                  || changed;
    }
    for (const LeavingEndpointReport &leaving : leavingEndpoints)
        changed = markLeaving(state.endpoints_, leaving.endpoint_, leaving.incarnation_, false, now)
                  || changed;
    detail::takePeerSpeeds(state, speeds, now);
    for (const EndpointId &endpoint : down)
        onProbeRequested(state, {endpoint}, now);
    for (const LayerMoveReport &move : moves) {
        if (const TargetSpec *target = detail::modelOf(state, move.endpoint_))
            applyPeerMoves(state.placement_[target->name_], {move}, now);
    }
    detail::emitLog(state, state.endpoints_.log_);
    if (changed)
        detail::rebuildEndpointIndex(state);
    if (news)
        detail::takeStoreNews(state, *news, now);
}

void onPeersListed(GatewayControl &state, std::vector<Address> peers, std::uint32_t partitions)
{
    applyListedMembers(state.members_, std::move(peers), partitions);
    state.viewStale_ = true;
}

void onGatewayControlTick(GatewayControl &state, TimePoint now)
{
    state.loopDelay_.nextDueAt_ = now + GatewayControlInterval;
    if (takeDueJoin(state.lease_, now))
        state.effects_.emplace_back(JoinGroup {state.lease_.generation_});
    detail::tickPeers(state, now);
    detail::readStore(state, now);
    tickProbes(state.probes_, state.endpoints_, now);
    detail::tickSpeeds(state, now);
    tickCrashes(state.crashes_, state.endpoints_, now);
    detail::emitCrashEffects(state);
    detail::emitProbeEffects(state);
    const auto isLate = [&](const std::optional<TimePoint> &confirmedAt) {
        return confirmedAt && now - *confirmedAt > state.relay_.limits_.takeOverAfter_;
    };
    // Whether the platform can still tell what is late changes with time alone.
    if (std::exchange(state.viewStale_, false) || isLate(state.routes_.confirmedAt_)
        || isLate(state.endpoints_.confirmedAt_))
        detail::publishView(state);
    if (state.routes_.table_ && holdsLease(state.lease_, now))
        detail::tickTargets(state, now);
}

GatewayView gatewayViewOf(const GatewayControl &state, TimePoint now)
{
    GatewayView view;
    view.table_ = state.routes_.table_;
    view.endpoints_ = state.endpointIndex_;
    view.blame_ = state.crashes_.verdicts_;
    view.peerLoads_ = totalPeerLoads(state.peers_);
    view.peerDemand_ = totalPeerDemand(state.peers_, now);
    view.lastDigestLoads_ = state.reportedLoads_;
    view.downEndpoints_ = downEndpoints(state.probes_);
    view.speeds_ = speedsToPublish(state.speeds_);
    for (const auto &[endpoint, known] : state.endpoints_.endpoints_) {
        if (now < known.pausedUntil_)
            view.pausedUntil_[endpoint] = known.pausedUntil_;
    }
    view.stateConfirmedAt_ = state.routes_.confirmedAt_;
    // Where the platform tells others a newer state, only this process is behind.
    view.stateAvailable_ = !detail::isUnavailable(state, state.relay_.config_, now)
                           || isToldElsewhere(state.relay_.config_, state.relay_.limits_, now);
    view.listConfirmedAt_ = state.endpoints_.confirmedAt_;
    view.listUnavailable_ = detail::isUnavailable(state, state.relay_.list_, now);
    view.freshness_ = state.bounds_.freshness_;
    view.domain_ = state.members_.domain_;
    view.gatewayCount_ = knownGateways(state.members_);
    view.peerCount_ = aliveMembers(state.members_, now);
    view.retry_ = state.bounds_.retry_;
    // A share of an unknown number of gateways could be too large.
    if (!membersSettled(state.members_, now))
        view.retry_.slack_ = 0;
    return view;
}

bool isGatewayReady(const GatewayControl &state, TimePoint now)
{
    const auto age = desiredStateAge(state.routes_, now);
    const auto listedAt = state.endpoints_.confirmedAt_;
    const bool listIsRecent = !listedAt || now - *listedAt <= state.bounds_.maxReadyAge_
                              || detail::isUnavailable(state, state.relay_.list_, now);
    return age && *age <= state.bounds_.maxReadyAge_ && listIsRecent;
}

} // namespace gypsumcroft
