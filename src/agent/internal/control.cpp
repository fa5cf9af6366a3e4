#include "agent/control.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

void emit(AgentControl &state, AgentControlEffect effect)
{
    state.effects_.push_back(std::move(effect));
}

EndpointState endpointState(const AgentControl &state)
{
    if (!state.endpointUp_)
        return state.missedPolls_ >= state.limits_.maxMissedPolls_ ? EndpointState::Down
                                                                   : EndpointState::Starting;
    if (state.leaving_ || state.endpointLeaving_)
        return EndpointState::Leaving;
    if (!state.resetDone_ || (state.needsClaims_ && !state.claims_.caughtUp_))
        return EndpointState::Starting;
    return EndpointState::Ready;
}

void sendHeartbeats(AgentControl &state, TimePoint now)
{
    state.heartbeatAt_ = now + state.limits_.heartbeatInterval_;
    ++state.heartbeat_.sequence_;
    state.heartbeat_.claimsAppliedOffset_ = state.claims_.ledger_.appliedOffset_;
    state.heartbeat_.report_.slotsBusy_ = state.load_.busySlots_;
    state.heartbeat_.links_.clear();
    for (const auto &[address, link] : state.links_) {
        if (link.measured_)
            state.heartbeat_.links_.push_back({link.endpoint_, link.roundTrip_});
    }
    for (const Address &entry : state.entries_) {
        const auto own = state.load_.byEntry_.find(entry);
        state.heartbeat_.slotsUsedByReceiver_
                = own == state.load_.byEntry_.end() ? Slots {} : own->second;
        emit(state, SendDatagram {entry, state.heartbeat_});
    }
}

//! Updates the endpoint's state; sends heartbeats at once if it changed.
void refreshState(AgentControl &state, TimePoint now)
{
    const EndpointState next = endpointState(state);
    if (next == state.heartbeat_.state_)
        return;
    state.heartbeat_.state_ = next;
    emit(state, logEvent(LogLevel::Info, LogLine("endpoint-state")
                                                 .add("endpoint", state.heartbeat_.endpoint_)
                                                 .add("state", endpointStateName(next))));
    emit(state, ViewChanged {});
    sendHeartbeats(state, now);
}

void markEndpointUp(AgentControl &state)
{
    state.missedPolls_ = 0;
    if (state.endpointUp_)
        return;
    state.endpointUp_ = true;
    ++state.endpointIncarnation_;
    state.resetDone_ = false;
    emit(state, ResetEndpoint {});
}

void countMissedPoll(AgentControl &state, bool refused)
{
    const std::uint32_t maxMissed = state.limits_.maxMissedPolls_;
    state.missedPolls_ = refused ? maxMissed : std::min(maxMissed, state.missedPolls_ + 1);
    if (state.missedPolls_ < maxMissed || !state.endpointUp_)
        return;
    state.endpointUp_ = false;
    emit(state, EndpointDied {});
}

void sendProbes(AgentControl &state, TimePoint now)
{
    state.probeAt_ = now + state.limits_.probeInterval_;
    std::erase_if(state.links_, [&](const auto &entry) {
        return now - entry.second.usedAt_ >= state.limits_.linkExpiresAfter_;
    });
    const auto sent = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (const auto &[address, link] : state.links_)
        emit(state, SendDatagram {address, ProbeMessage {state.heartbeat_.agent_,
                                                         state.heartbeat_.endpoint_, sent, false}});
}

void moveClaimsEffects(AgentControl &state)
{
    for (ClaimsEffect &effect : state.claims_.effects_)
        std::visit([&](auto &value) { emit(state, std::move(value)); }, effect);
    state.claims_.effects_.clear();
}

} // namespace detail

void onEndpointPolled(AgentControl &state, const EndpointPollResult &poll, TimePoint now)
{
    if (!poll.report_) {
        detail::countMissedPoll(state, poll.connectionLost_);
        detail::refreshState(state, now);
        return;
    }
    const bool changed = state.heartbeat_.report_.layers_ != poll.report_->layers_
                         || state.heartbeat_.report_.slots_ != poll.report_->slots_
                         || state.heartbeat_.report_.target_ != poll.report_->target_
                         || state.heartbeat_.report_.version_ != poll.report_->version_;
    state.heartbeat_.report_ = *poll.report_;
    state.endpointLeaving_ = poll.leaving_;
    state.needsClaims_ = poll.report_->kind_ == EndpointKind::Service;
    detail::markEndpointUp(state);
    detail::refreshState(state, now);
    if (changed)
        detail::emit(state, ViewChanged {});
}

void onEndpointReset(AgentControl &state, TimePoint now)
{
    state.resetDone_ = true;
    detail::refreshState(state, now);
}

void onClaimsPage(AgentControl &state, const ClaimsPage &page, TimePoint now)
{
    applyClaimsPage(state.claims_, page, now);
    detail::moveClaimsEffects(state);
    detail::refreshState(state, now);
}

void onClaimsAppend(AgentControl &state, std::uint64_t append, bool ok, TimePoint now)
{
    onClaimsAppended(state.claims_, append, ok, now);
    detail::moveClaimsEffects(state);
}

void onClaimRequest(AgentControl &state, const ClaimRequest &wish, TimePoint now)
{
    requestClaim(state.claims_, wish, now);
    detail::moveClaimsEffects(state);
}

void onCloseClaim(AgentControl &state, const CloseClaim &close, TimePoint now)
{
    if (close.outcome_)
        finishClaim(state.claims_, close.key_, close.nonce_, *close.outcome_, now);
    else
        releaseClaim(state.claims_, close.key_, close.nonce_, now);
    detail::moveClaimsEffects(state);
}

void onProbe(AgentControl &state, const ProbeMessage &probe, TimePoint now)
{
    if (!probe.echo_) {
        const Address to = probe.replyTo_;
        ProbeMessage echo = probe;
        echo.echo_ = true;
        echo.replyTo_ = state.heartbeat_.agent_;
        detail::emit(state, SendDatagram {to, echo});
        return;
    }
    const auto link = state.links_.find(probe.replyTo_);
    const Duration roundTrip
            = now.time_since_epoch() - Duration(static_cast<std::int64_t>(probe.sentMicros_));
    if (link == state.links_.end() || roundTrip < Duration::zero())
        return;
    link->second.roundTrip_
            = link->second.measured_ ? (link->second.roundTrip_ * 3 + roundTrip) / 4 : roundTrip;
    link->second.measured_ = true;
}

void onLinkUsed(AgentControl &state, const Address &peer, const EndpointId &endpoint, TimePoint now)
{
    AgentLink &link = state.links_[peer];
    link.endpoint_ = endpoint;
    link.usedAt_ = now;
}

void onEntryList(AgentControl &state, const std::vector<Address> &entries)
{
    for (const Address &entry : entries) {
        if (std::find(state.entries_.begin(), state.entries_.end(), entry) == state.entries_.end())
            state.entries_.push_back(entry);
    }
}

void onAgentLoad(AgentControl &state, AgentLoad load)
{
    state.load_ = std::move(load);
}

void beginLeaving(AgentControl &state, TimePoint now)
{
    state.leaving_ = true;
    detail::refreshState(state, now);
}

void onTick(AgentControl &state, TimePoint now)
{
    tickClaims(state.claims_, now);
    detail::moveClaimsEffects(state);
    if (now >= state.heartbeatAt_)
        detail::sendHeartbeats(state, now);
    if (now >= state.probeAt_)
        detail::sendProbes(state, now);
}

AgentView viewOf(const AgentControl &state)
{
    return {state.heartbeat_.state_, state.heartbeat_.report_, state.endpointIncarnation_};
}

bool isIdle(const AgentControl &state)
{
    return claimsIdle(state.claims_);
}

} // namespace gypsumcroft
