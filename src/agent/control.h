//! The agent's control logic: its endpoint's state, heartbeats, links and claims.
#pragma once

#include <map>
#include <variant>
#include <vector>

#include "controllers/claims.h"
#include "core/messages.h"
#include "entry/control.h"
#include "filters/agentstate.h"

namespace gypsumcroft {

//! The endpoint's reply to a poll.
struct EndpointPollResult
{
    //! Empty if the endpoint did not reply.
    std::optional<EndpointReport> report_;
    bool leaving_ = false;
    //! The connection was refused or lost: the endpoint counts as dead without further polls.
    bool connectionLost_ = false;
};

//! For traffic: the endpoint was up and is now dead.
struct EndpointDied
{ };

//! The endpoint started, or the agent started while the endpoint was running: end all streams that
//! the endpoint still has.
struct ResetEndpoint
{ };

using AgentControlEffect = std::variant<SendDatagram, AppendClaims, ClaimResult, ViewChanged,
                                        EndpointDied, ResetEndpoint, LogEvent>;

struct AgentControlLimits
{
    Duration heartbeatInterval_ = std::chrono::milliseconds(250);
    Duration probeInterval_ = std::chrono::seconds(1);
    Duration linkExpiresAfter_ = std::chrono::minutes(1);
    //! Consecutive polls without a reply after which the endpoint counts as dead.
    std::uint32_t maxMissedPolls_ = 3;
};

//! Round-trip time to the agent of the next hop of a stream.
struct AgentLink
{
    EndpointId endpoint_;
    Duration roundTrip_ {};
    bool measured_ = false;
    TimePoint usedAt_;
};

struct AgentControl
{
    HeartbeatMessage heartbeat_;
    AgentControlLimits limits_;
    std::vector<Address> entries_;
    std::map<Address, AgentLink> links_;
    ClaimsState claims_;
    //! True for plain services: they are ready only once the claims stream was read to its end.
    bool needsClaims_ = false;
    bool leaving_ = false;
    bool endpointLeaving_ = false;
    bool endpointUp_ = false;
    bool resetDone_ = false;
    std::uint32_t missedPolls_ = 0;
    std::uint64_t endpointIncarnation_ = 0;
    AgentLoad load_;
    TimePoint heartbeatAt_;
    TimePoint probeAt_;
    std::vector<AgentControlEffect> effects_;
};

void onEndpointPolled(AgentControl &state, const EndpointPollResult &poll, TimePoint now);

//! The endpoint's streams have been ended as ResetEndpoint asked.
void onEndpointReset(AgentControl &state, TimePoint now);

void onClaimsPage(AgentControl &state, const ClaimsPage &page, TimePoint now);
void onClaimsAppend(AgentControl &state, std::uint64_t append, bool ok, TimePoint now);
void onClaimRequest(AgentControl &state, const ClaimRequest &wish, TimePoint now);
void onCloseClaim(AgentControl &state, const CloseClaim &close, TimePoint now);
void onProbe(AgentControl &state, const ProbeMessage &probe, TimePoint now);

//! Traffic sent a step to this peer.
void onLinkUsed(AgentControl &state, const Address &peer, const EndpointId &endpoint,
                TimePoint now);

//! Entries as the platform lists them.
void onEntryList(AgentControl &state, const std::vector<Address> &entries);

//! Slots in use by traffic, for heartbeats.
void onAgentLoad(AgentControl &state, AgentLoad load);

//! The agent accepts no new work from now on.
void beginLeaving(AgentControl &state, TimePoint now);

//! Handles heartbeats, probes and claims; to be called every ControlTickInterval.
void onTick(AgentControl &state, TimePoint now);

AgentView viewOf(const AgentControl &state);

//! True if no claim waits for the log.
bool isIdle(const AgentControl &state);

} // namespace gypsumcroft
