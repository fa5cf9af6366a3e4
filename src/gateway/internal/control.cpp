#include "gateway/control.h"

#include <utility>

namespace gypsumcroft {

namespace detail {
namespace {

void publishView(GatewayControl &state)
{
    state.effects_.emplace_back(GatewayViewChanged {});
}

void emitLog(GatewayControl &state, std::vector<LogEvent> &log)
{
    for (LogEvent &event : log)
        state.effects_.emplace_back(std::move(event));
    log.clear();
}

void rebuildEndpointIndex(GatewayControl &state)
{
    state.endpointIndex_ = buildEndpointIndex(state.endpoints_);
    publishView(state);
}

void emitProbeEffects(GatewayControl &state)
{
    for (RequestStatusReport &question : state.probes_.reportRequests_)
        state.effects_.emplace_back(std::move(question));
    state.probes_.reportRequests_.clear();
    emitLog(state, state.probes_.log_);
}

void onPlatformResponse(GatewayControl &state, TimePoint now)
{
    if (state.platformReachable_)
        return;
    state.platformReachable_ = true;
    state.effects_.emplace_back(
            logEvent(LogLevel::Info,
                     LogLine("dependency-regained")
                             .add("dependency", "platform-store")
                             .add("config_age_ms",
                                  desiredStateAge(state.routes_, now).value_or(Duration()))));
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

void emitPlacementEffects(GatewayControl &state, PlacementState &placing)
{
    for (PlacementEffect &effect : placing.effects_)
        std::visit([&](auto &value) { state.effects_.emplace_back(std::move(value)); }, effect);
    placing.effects_.clear();
}

std::vector<LoadedLayersReport> recentReports(const GatewayControl &state, TimePoint now)
{
    std::vector<LoadedLayersReport> reports;
    for (const auto &[endpoint, known] : state.endpoints_.endpoints_) {
        if (!known.reportRequestedAt_
            || now - *known.reportRequestedAt_ > state.bounds_.reportForwardTime_)
            continue;
        reports.push_back({endpoint, known.listed_.layers_.has_value(),
                           known.listed_.layers_.value_or(LayerRange {}),
                           known.listed_.incarnation_, now - *known.reportRequestedAt_});
    }
    return reports;
}

void sendDigest(GatewayControl &state, TimePoint now)
{
    SendDigest send;
    const auto down = downEndpoints(state.probes_);
    GatewayDigestMessage &digest = send.digest_;
    digest.instance_ = state.self_;
    digest.gateway_ = state.address_;
    digest.incarnation_ = state.incarnation_;
    digest.domain_ = state.domain_;
    digest.sequence_ = ++state.digestSequence_;
    send.to_ = digestRecipients(state.peers_, state.address_, state.domain_, digest.sequence_);
    digest.loads_ = state.ownLoads_;
    auto reported = std::make_shared<EndpointLoads>();
    for (const EndpointLoad &load : state.ownLoads_)
        reported->emplace(load.endpoint_, load);
    state.reportedLoads_ = std::move(reported);
    state.viewStale_ = true;
    digest.loadedLayers_ = recentReports(state, now);
    digest.downEndpoints_ = {down.begin(), down.end()};
    for (const auto &[target, placing] : state.placement_) {
        const auto moves = movesInProgress(placing, now);
        digest.layerMoves_.insert(digest.layerMoves_.end(), moves.begin(), moves.end());
    }
    state.effects_.emplace_back(std::move(send));
}

void tickPeers(GatewayControl &state, TimePoint now)
{
    const std::size_t before = state.peers_.peers_.size();
    removeSilentPeers(state.peers_, now);
    state.viewStale_ = state.viewStale_ || state.peers_.peers_.size() != before;
    if (now - state.lastDigestAt_ >= state.bounds_.digestInterval_) {
        state.lastDigestAt_ = now;
        sendDigest(state, now);
    }
    const Duration interval = state.peers_.peers_.empty() ? state.bounds_.noPeersInterval_
                                                          : state.bounds_.peersInterval_;
    if (now - state.peersRequestedAt_ < interval)
        return;
    state.peersRequestedAt_ = now;
    state.effects_.emplace_back(RequestPeerAddresses {});
}

void tickTargets(GatewayControl &state, TimePoint now)
{
    const auto lost = lostEndpoints(state.probes_, state.endpoints_);
    for (const TargetSpec &target : state.routes_.table_->state_.targets_) {
        if (!target.engine_)
            continue;
        PlacementState &placing = state.placement_[target.name_];
        tickPlacement(placing, *target.engine_, target.name_, state.endpoints_, lost, now);
        emitPlacementEffects(state, placing);
    }
}

} // namespace
} // namespace detail

void onDesiredState(GatewayControl &state, DesiredState desired, TimePoint requestedAt,
                    TimePoint now)
{
    detail::onPlatformResponse(state, now);
    confirmDesiredState(state.routes_, requestedAt);
    const ConfigVersion version = desired.version_;
    const std::size_t routes = desired.routes_.size();
    const bool taken = applyDesiredState(state.routes_, std::move(desired), now);
    if (taken)
        state.effects_.emplace_back(
                logEvent(LogLevel::Info, LogLine("config-in-force")
                                                 .add("version", version)
                                                 .add("routes", std::uint64_t {routes})
                                                 .add("asked_ms_ago", now - requestedAt)));
    detail::publishView(state);
}

void onDesiredStateConfirmed(GatewayControl &state, TimePoint requestedAt, TimePoint now)
{
    detail::onPlatformResponse(state, now);
    confirmDesiredState(state.routes_, requestedAt);
    detail::publishView(state);
}

void onEndpointList(GatewayControl &state, const std::vector<ListedEndpoint> &listed,
                    TimePoint requestedAt, TimePoint now)
{
    detail::onPlatformResponse(state, now);
    const bool changed = applyEndpointList(state.endpoints_, listed, requestedAt, now);
    detail::emitLog(state, state.endpoints_.log_);
    state.viewStale_ = true;
    if (changed)
        detail::rebuildEndpointIndex(state);
}

void onEndpointListFailed(GatewayControl &state, const std::string &reason, TimePoint now)
{
    onPlatformRequestFailed(state, "endpoints", reason, now);
    onListPollFailed(state.endpoints_, reason, now);
    detail::emitLog(state, state.endpoints_.log_);
}

void onPlatformRequestFailed(GatewayControl &state, const std::string &question,
                             const std::string &reason, TimePoint now)
{
    if (!state.platformReachable_)
        return;
    state.platformReachable_ = false;
    state.effects_.emplace_back(
            logEvent(LogLevel::Warning,
                     LogLine("dependency-lost")
                             .add("dependency", "platform-store")
                             .add("question", question)
                             .add("reason", reason)
                             .add("config_age_ms",
                                  desiredStateAge(state.routes_, now).value_or(Duration()))));
}

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

void onStopping(GatewayControl &state)
{
    const bool held = releaseLease(state.lease_);
    if (held)
        state.effects_.emplace_back(logEvent(
                LogLevel::Info, LogLine("lease-left").add("generation", state.lease_.generation_)));
    for (auto &[target, placing] : state.placement_)
        stopPlacement(placing);
    state.bounds_.retry_.slack_ = 0;
    state.effects_.emplace_back(LeaveGroup {});
    detail::publishView(state);
}

void onJoinFailed(GatewayControl &state, TimePoint now)
{
    applyJoinFailure(state.lease_, now);
}

void onGatewayCount(GatewayControl &state, std::uint32_t entries)
{
    if (entries == 0 || entries == state.gatewayCount_)
        return;
    state.gatewayCount_ = entries;
    state.effects_.emplace_back(
            logEvent(LogLevel::Info, LogLine("entries").add("count", std::uint64_t {entries})));
    detail::publishView(state);
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
    if (onProbeResult(state.probes_, endpoint, report.has_value(), now))
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
    detail::emitPlacementEffects(state, placing);
}

void onProbeRequested(GatewayControl &state, const EndpointId &endpoint, TimePoint now)
{
    if (detail::modelOf(state, endpoint) == nullptr)
        return;
    requestProbe(state.probes_, state.endpoints_, endpoint, now);
    detail::emitProbeEffects(state);
}

void onOwnLoads(GatewayControl &state, OwnEndpointLoads loads)
{
    state.ownLoads_ = std::move(loads.loads_);
}

void onGatewayDigest(GatewayControl &state, GatewayDigestMessage digest, TimePoint now)
{
    const std::vector<LoadedLayersReport> loadedLayers = digest.loadedLayers_;
    const std::vector<EndpointId> down = digest.downEndpoints_;
    const std::vector<LayerMoveReport> moves = digest.layerMoves_;
    if (!applyDigest(state.peers_, std::move(digest), now))
        return;
    state.viewStale_ = true;
    bool changed = false;
    for (const LoadedLayersReport &report : loadedLayers) {
        const auto layers = report.hasLayers_ ? std::optional(report.layers_) : std::nullopt;
        changed = applyLoadedLayers(state.endpoints_, report.endpoint_, layers, report.incarnation_,
                                    now - report.age_)
                  || changed;
    }
    for (const EndpointId &endpoint : down)
        onProbeRequested(state, endpoint, now);
    for (const LayerMoveReport &move : moves) {
        if (const TargetSpec *target = detail::modelOf(state, move.endpoint_))
            applyPeerMoves(state.placement_[target->name_], {move}, now);
    }
    detail::emitLog(state, state.endpoints_.log_);
    if (changed)
        detail::rebuildEndpointIndex(state);
}

void onPeersListed(GatewayControl &state, std::vector<Address> peers)
{
    state.peers_.listedAddresses_ = std::move(peers);
}

void onGatewayControlTick(GatewayControl &state, TimePoint now)
{
    if (takeDueJoin(state.lease_, now))
        state.effects_.emplace_back(JoinGroup {state.lease_.generation_});
    detail::tickPeers(state, now);
    tickProbes(state.probes_, state.endpoints_, now);
    detail::emitProbeEffects(state);
    if (std::exchange(state.viewStale_, false))
        detail::publishView(state);
    if (state.routes_.table_ && holdsLease(state.lease_, now))
        detail::tickTargets(state, now);
}

GatewayView gatewayViewOf(const GatewayControl &state)
{
    GatewayView view;
    view.table_ = state.routes_.table_;
    view.endpoints_ = state.endpointIndex_;
    view.peerLoads_ = totalPeerLoads(state.peers_);
    view.lastDigestLoads_ = state.reportedLoads_;
    view.downEndpoints_ = downEndpoints(state.probes_);
    view.stateConfirmedAt_ = state.routes_.confirmedAt_;
    view.listConfirmedAt_ = state.endpoints_.confirmedAt_;
    view.freshness_ = state.bounds_.freshness_;
    view.domain_ = state.domain_;
    view.gatewayCount_ = state.gatewayCount_;
    view.retry_ = state.bounds_.retry_;
    return view;
}

bool isGatewayReady(const GatewayControl &state, TimePoint now)
{
    const auto age = desiredStateAge(state.routes_, now);
    return age && *age <= state.bounds_.maxReadyAge_;
}

} // namespace gypsumcroft
