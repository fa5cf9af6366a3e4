//! Membership controller: tracks the endpoints, their states and their load from heartbeats.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

struct Member
{
    HeartbeatMessage heartbeat_;
    TimePoint lastSeen_;
    //! A request to the agent failed; reset when a newer heartbeat arrives.
    bool failedInTraffic_ = false;
    //! The platform's list shows the endpoint's instance as leaving.
    bool leavingByList_ = false;
    //! The agent refused a request because its endpoint is leaving; reset by the next heartbeat.
    bool leavingInTraffic_ = false;
    //! No heartbeat arrived for MembershipLimits::silentAfter_.
    bool silent_ = false;
};

struct MembershipState
{
    std::map<EndpointId, Member> members_;
};

struct MembershipLimits
{
    //! Time without a heartbeat after which an endpoint counts as down.
    Duration silentAfter_ = std::chrono::milliseconds(1500);
    //! Time without a heartbeat after which an endpoint is removed.
    Duration removeAfter_ = std::chrono::minutes(5);
};

//! Change of an endpoint's effective state, for the traffic threads.
struct MembershipChange
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    Address agent_;
    EndpointState state_ = EndpointState::Down;
};

//! Applies a heartbeat. Reordered and duplicate heartbeats are ignored.
std::optional<MembershipChange> applyHeartbeat(MembershipState &state,
                                               const HeartbeatMessage &heartbeat, TimePoint now);

//! Notes that traffic could not reach the agent, or that the agent reported its endpoint as dead.
std::optional<MembershipChange> recordEndpointFailure(MembershipState &state,
                                                      const EndpointId &endpoint, TimePoint now);

//! Notes that the agent refused traffic because its endpoint is leaving.
std::optional<MembershipChange> recordEndpointLeaving(MembershipState &state,
                                                      const EndpointId &endpoint);

//! Applies the platform's list of leaving instances. The list lags, so it is only a hint: a member
//! that reports itself ready counts as leaving while it is listed.
void applyLeavingList(MembershipState &state, const std::vector<InstanceId> &leaving);

//! Marks members without recent heartbeats as silent and removes those silent for long.
std::vector<MembershipChange> tickMembership(MembershipState &state, const MembershipLimits &limits,
                                             TimePoint now);

//! The state that routing uses: the reported one, unless the member counts as down or leaving.
EndpointState effectiveState(const Member &member);

} // namespace gypsumcroft
