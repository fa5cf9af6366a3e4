//! Immutable view of the control state that an entry's control thread publishes to its traffic
//! threads; each update replaces the whole view.
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

struct EndpointView
{
    EndpointId endpoint_;
    InstanceId instance_;
    FailureDomainId domain_;
    Address agent_;
    EndpointState state_ = EndpointState::Starting;
    EndpointReport report_;
    //! Slots in use by requests of other entries, as of the last heartbeat.
    Slots slotsUsedByOthers_;
    LogOffset claimsAppliedOffset_;
};

struct RoutingView
{
    std::shared_ptr<const ConfigIndex> config_;
    std::uint64_t configDigest_ = 0;
    std::vector<EndpointView> endpoints_;
    //! Indexes into endpoints_ of the endpoints that accept new work.
    std::unordered_map<TargetName, std::vector<std::size_t>> byTarget_;
    std::unordered_map<EndpointId, std::size_t> byEndpoint_;
    LinkTable links_;
    //! Result of coveringClasses() for each model.
    std::unordered_map<TargetName, std::vector<SpeedClass>> speedClasses_;
    SuspectRequests suspects_;
    //! Requests per second of each organisation at the other entries.
    std::unordered_map<OrganisationId, std::uint32_t> peerDemand_;
    //! Highest offset of the claims stream that any agent has applied.
    LogOffset claimsAppliedOffset_;
};

//! Converts an endpoint to a candidate for the route planner, with the cost that it has when idle.
StageCandidate stageCandidate(const EndpointView &endpoint);

//! Builds the view from the controllers' states. Consecutive views share the index while the
//! configuration is unchanged.
RoutingView buildRoutingView(std::shared_ptr<const ConfigIndex> index, const ConfigState &config,
                             const MembershipState &membership, const SuspectRequests &suspects);

} // namespace gypsumcroft
