//! What control publishes for traffic: one immutable picture, replaced as a whole.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "controllers/config.h"
#include "controllers/membership.h"
#include "core/ids.h"
#include "core/messages.h"
#include "policy/routeplan.h"
#include "policy/suspects.h"

namespace gypsumcroft {

//! One endpoint as routing sees it.
struct EndpointView
{
    EndpointId endpoint_;
    InstanceId instance_;
    FailureDomainId domain_;
    Address agent_;
    EndpointState state_ = EndpointState::Starting;
    EndpointReport report_;
    //! Slots that other entries' work held at the last report.
    Slots slotsOfOthers_;
    LogOffset claimsThrough_;
};

struct RoutingView
{
    std::shared_ptr<const ConfigIndex> config_;
    std::uint64_t configDigest_ = 0;
    std::vector<EndpointView> endpoints_;
    //! Indexes into endpoints_, for endpoints that take new work.
    std::unordered_map<TargetName, std::vector<std::size_t>> byTarget_;
    std::unordered_map<EndpointId, std::size_t> byEndpoint_;
    LinkTable links_;
    //! Speed classes that cover a model, by its name.
    std::unordered_map<TargetName, std::vector<SpeedClass>> classes_;
    Suspects suspects_;
    //! Requests a second that other entries see from each organisation.
    std::unordered_map<OrganisationId, std::uint32_t> demandElsewhere_;
    //! Highest offset through which any agent has folded the claims stream.
    LogOffset claimsThrough_;
};

//! An endpoint as the route planner sees it, with its cost when idle.
StageCandidate stageCandidate(const EndpointView &endpoint);

//! Builds the picture from the controllers' states; index is shared while it is unchanged.
RoutingView buildRoutingView(std::shared_ptr<const ConfigIndex> index, const ConfigState &config,
                             const MembershipState &membership, const Suspects &suspects);

} // namespace gypsumcroft
