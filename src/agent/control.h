//! The agent's control core: its endpoint's state, heartbeats, links and claims.
#pragma once

#include <map>
#include <variant>
#include <vector>

#include "controllers/claims.h"
#include "core/messages.h"
#include "entry/control.h"
#include "filters/agentstate.h"

namespace gypsumcroft {

//! What the endpoint answered to a poll; nothing when it did not answer.
struct EndpointPoll
{
    std::optional<EndpointReport> report_;
    bool leaving_ = false;
    bool refused_ = false;
};

//! The endpoint went from alive to dead: for traffic.
struct EndpointDied
{ };

//! The endpoint came up, or the agent did beside a living one: end all streams it holds.
struct ResetEndpoint
{ };

using AgentControlEffect = std::variant<SendDatagram, AppendClaims, ClaimVerdict, ViewChanged,
                                        EndpointDied, ResetEndpoint, LogEvent>;

struct AgentControlLimits
{
    Duration heartbeatInterval_ = std::chrono::milliseconds(250);
    Duration probeInterval_ = std::chrono::seconds(1);
    Duration linkForgottenAfter_ = std::chrono::minutes(1);
    //! Polls without an answer before the endpoint counts as dead.
    std::uint32_t missedPolls_ = 3;
};

struct AgentLink
{
    EndpointId endpoint_;
    Duration roundTrip_ {};
    bool known_ = false;
    TimePoint usedAt_;
};

struct AgentControl
{
    HeartbeatMessage heartbeat_;
    AgentControlLimits limits_;
    std::vector<Address> entries_;
    std::map<Address, AgentLink> links_;
    ClaimsState claims_;
    //! True for plain services: ready only once the claims stream is folded.
    bool needsClaims_ = false;
    bool leaving_ = false;
    bool endpointLeaving_ = false;
    bool endpointUp_ = false;
    bool reset_ = false;
    std::uint32_t missedPolls_ = 0;
    std::uint64_t endpointLife_ = 0;
    AgentLoad load_;
    TimePoint heartbeatAt_;
    TimePoint probeAt_;
    std::vector<AgentControlEffect> effects_;
};

void onPoll(AgentControl &state, const EndpointPoll &poll, TimePoint now);

//! The endpoint's streams were ended after a ResetEndpoint.
void onReset(AgentControl &state, TimePoint now);

void onClaimsPage(AgentControl &state, const ClaimsPage &page, TimePoint now);
void onClaimsAppend(AgentControl &state, std::uint64_t append, bool ok, TimePoint now);
void onClaimWish(AgentControl &state, const ClaimWish &wish, TimePoint now);
void onCloseClaim(AgentControl &state, const CloseClaim &close, TimePoint now);
void onProbe(AgentControl &state, const ProbeMessage &probe, TimePoint now);

//! Traffic sent a step to this peer.
void onLinkUsed(AgentControl &state, const Address &peer, const EndpointId &endpoint,
                TimePoint now);

//! Entries that the platform lists.
void onEntryList(AgentControl &state, const std::vector<Address> &entries);

//! What traffic has in hand, for heartbeats.
void onLoad(AgentControl &state, AgentLoad load);

//! Takes no new work from now on.
void beginLeaving(AgentControl &state, TimePoint now);

//! Heartbeats, probes and claims; to be called every ControlTickInterval.
void onTick(AgentControl &state, TimePoint now);

AgentView viewOf(const AgentControl &state);

//! True when no claim waits for the log.
bool isIdle(const AgentControl &state);

} // namespace gypsumcroft
