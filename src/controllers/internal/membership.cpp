#include "controllers/membership.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

MembershipChange changeOf(const Member &member)
{
    return {member.heartbeat_.endpoint_, member.heartbeat_.domain_, member.heartbeat_.agent_,
            effectiveState(member)};
}

bool isNewer(const HeartbeatMessage &left, const HeartbeatMessage &right)
{
    if (left.incarnation_ != right.incarnation_)
        return left.incarnation_ > right.incarnation_;
    return left.sequence_ > right.sequence_;
}

} // namespace detail

EndpointState effectiveState(const Member &member)
{
    if (member.silent_ || member.failedInTraffic_)
        return EndpointState::Down;
    const bool leaving = member.leavingByList_ || member.leavingInTraffic_;
    if (leaving && member.heartbeat_.state_ == EndpointState::Ready)
        return EndpointState::Leaving;
    return member.heartbeat_.state_;
}

std::optional<MembershipChange> applyHeartbeat(MembershipState &state,
                                               const HeartbeatMessage &heartbeat, TimePoint now)
{
    const auto found = state.members_.find(heartbeat.endpoint_);
    if (found == state.members_.end()) {
        Member member;
        member.heartbeat_ = heartbeat;
        member.lastSeen_ = now;
        const MembershipChange change = detail::changeOf(member);
        state.members_.emplace(heartbeat.endpoint_, std::move(member));
        return change;
    }
    Member &member = found->second;
    if (!detail::isNewer(heartbeat, member.heartbeat_))
        return std::nullopt;
    const EndpointState before = effectiveState(member);
    const bool restarted = heartbeat.incarnation_ != member.heartbeat_.incarnation_;
    member.heartbeat_ = heartbeat;
    member.lastSeen_ = now;
    member.silent_ = false;
    member.failedInTraffic_ = false;
    member.leavingInTraffic_ = false;
    member.leavingByList_ = member.leavingByList_ && !restarted;
    if (effectiveState(member) == before && !restarted)
        return std::nullopt;
    return detail::changeOf(member);
}

std::optional<MembershipChange> recordEndpointFailure(MembershipState &state,
                                                      const EndpointId &endpoint, TimePoint)
{
    const auto found = state.members_.find(endpoint);
    if (found == state.members_.end() || found->second.failedInTraffic_)
        return std::nullopt;
    const EndpointState before = effectiveState(found->second);
    found->second.failedInTraffic_ = true;
    if (before == EndpointState::Down)
        return std::nullopt;
    return detail::changeOf(found->second);
}

std::optional<MembershipChange> recordEndpointLeaving(MembershipState &state,
                                                      const EndpointId &endpoint)
{
    const auto found = state.members_.find(endpoint);
    if (found == state.members_.end() || effectiveState(found->second) != EndpointState::Ready)
        return std::nullopt;
    found->second.leavingInTraffic_ = true;
    return detail::changeOf(found->second);
}

void applyLeavingList(MembershipState &state, const std::vector<InstanceId> &leaving)
{
    for (auto &[endpoint, member] : state.members_)
        member.leavingByList_
                = std::find(leaving.begin(), leaving.end(), member.heartbeat_.instance_)
                  != leaving.end();
}

std::vector<MembershipChange> tickMembership(MembershipState &state, const MembershipLimits &limits,
                                             TimePoint now)
{
    std::vector<MembershipChange> changes;
    for (auto &[endpoint, member] : state.members_) {
        if (member.silent_ || now - member.lastSeen_ < limits.silentAfter_)
            continue;
        const bool wasDown = effectiveState(member) == EndpointState::Down;
        member.silent_ = true;
        if (!wasDown)
            changes.push_back(detail::changeOf(member));
    }
    std::erase_if(state.members_, [&](const auto &entry) {
        return now - entry.second.lastSeen_ >= limits.removeAfter_;
    });
    return changes;
}

} // namespace gypsumcroft
