#include "controllers/routingview.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

void addLinks(LinkTable &links, const HeartbeatMessage &heartbeat)
{
    for (const LinkReport &link : heartbeat.links_)
        links.delays_[heartbeat.endpoint_][link.to_] = link.roundTrip_ / 2;
}

Slots slotsOfOthers(const HeartbeatMessage &heartbeat)
{
    const std::uint32_t busy = heartbeat.report_.slotsBusy_.value_;
    return {busy - std::min(busy, heartbeat.slotsUsedByReceiver_.value_)};
}

void addClasses(RoutingView &view)
{
    for (const auto &[target, indexes] : view.byTarget_) {
        std::vector<StageCandidate> candidates;
        for (const std::size_t index : indexes) {
            if (view.endpoints_[index].report_.kind_ == EndpointKind::Stage)
                candidates.push_back(stageCandidate(view.endpoints_[index]));
        }
        if (!candidates.empty())
            view.speedClasses_[target] = coveringClasses(candidates);
    }
}

} // namespace detail

StageCandidate stageCandidate(const EndpointView &endpoint)
{
    const EndpointReport &report = endpoint.report_;
    return {endpoint.endpoint_,  endpoint.agent_,      report.version_,     report.layers_,
            report.modelLayers_, report.costPerToken_, report.costPerToken_};
}

RoutingView buildRoutingView(std::shared_ptr<const ConfigIndex> index, const ConfigState &config,
                             const MembershipState &membership, const SuspectRequests &suspects)
{
    RoutingView view;
    view.config_ = std::move(index);
    view.configDigest_ = config.digest_;
    view.suspects_ = suspects;
    for (const auto &[endpoint, member] : membership.members_) {
        const HeartbeatMessage &heartbeat = member.heartbeat_;
        const EndpointState state = effectiveState(member);
        const std::size_t at = view.endpoints_.size();
        view.endpoints_.push_back({endpoint, heartbeat.instance_, heartbeat.domain_,
                                   heartbeat.agent_, state, heartbeat.report_,
                                   detail::slotsOfOthers(heartbeat),
                                   heartbeat.claimsAppliedOffset_});
        view.byEndpoint_.emplace(endpoint, at);
        view.claimsAppliedOffset_
                = std::max(view.claimsAppliedOffset_, heartbeat.claimsAppliedOffset_);
        detail::addLinks(view.links_, heartbeat);
        if (state == EndpointState::Ready)
            view.byTarget_[heartbeat.report_.target_].push_back(at);
    }
    detail::addClasses(view);
    return view;
}

} // namespace gypsumcroft
