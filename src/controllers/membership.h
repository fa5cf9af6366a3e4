//! Membership controller: which endpoints are there, in what state, with what load.
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
    //! Traffic saw the agent fail; holds until a heartbeat sent later arrives.
    bool failedInTraffic_ = false;
    bool leavingByList_ = false;
    //! Its agent told traffic that it leaves; holds until the next heartbeat.
    bool leavingInTraffic_ = false;
    bool silent_ = false;
};

struct MembershipState
{
    std::map<EndpointId, Member> members_;
};

struct MembershipLimits
{
    //! An endpoint without a heartbeat for this long counts as down.
    Duration silentAfter_ = std::chrono::milliseconds(1500);
    Duration forgetAfter_ = std::chrono::minutes(5);
};

//! What a change of membership means for traffic.
struct MembershipChange
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    Address agent_;
    EndpointState state_ = EndpointState::Down;
};

//! Takes a heartbeat; older and repeated ones change nothing.
std::optional<MembershipChange> applyHeartbeat(MembershipState &state,
                                               const HeartbeatMessage &heartbeat, TimePoint now);

//! Traffic could not reach the agent, or the agent said that its endpoint died.
std::optional<MembershipChange> noteEndpointFailure(MembershipState &state,
                                                    const EndpointId &endpoint, TimePoint now);

//! The agent told traffic that its endpoint is leaving.
std::optional<MembershipChange> noteEndpointLeaving(MembershipState &state,
                                                    const EndpointId &endpoint);

//! Takes the platform's list of leaving endpoints; a hint, for the list lags.
void applyLeavingList(MembershipState &state, const std::vector<InstanceId> &leaving);

//! Marks silent members and forgets those long gone.
std::vector<MembershipChange> tickMembership(MembershipState &state, const MembershipLimits &limits,
                                             TimePoint now);

//! The state that routing goes by.
EndpointState effectiveState(const Member &member);

} // namespace gypsumcroft
