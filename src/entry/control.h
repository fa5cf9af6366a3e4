//! The entry's control logic: configuration, membership, suspect requests, and attempts to resolve.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "controllers/claims.h"
#include "controllers/config.h"
#include "controllers/membership.h"
#include "controllers/routingview.h"
#include "core/messages.h"
#include "entry/traffic.h"

namespace gypsumcroft {

struct SendDatagram
{
    Address to_;
    Datagram datagram_;
};

//! Append a snapshot to the configuration stream.
struct AppendSnapshot
{
    ConfigSnapshot snapshot_;
};

//! Read the claims stream, starting at this offset.
struct ReadClaims
{
    LogOffset from_;
};

//! For traffic: membership has this agent as down.
struct AgentDown
{
    Address agent_;
};

//! The routing view has changed; build the new one with viewOf().
struct ViewChanged
{ };

using EntryControlEffect
        = std::variant<SendMessage, SendDatagram, AppendSnapshot, AppendClaims, ReadClaims,
                       AttemptResolution, AgentDown, ViewChanged, LogEvent>;

//! The last digest of another entry.
struct PeerEntry
{
    DigestMessage digest_;
    TimePoint lastSeen_;
};

//! An attempt to resolve from the claims log.
struct ResolvingAttempt
{
    ResolveAttempt details_;
    bool appended_ = false;
    std::uint64_t append_ = 0;
    TimePoint sentAt_;
};

struct EntryControlLimits
{
    MembershipLimits membership_;
    Duration digestInterval_ = std::chrono::milliseconds(250);
    //! How long a peer may have a newer configuration before it is asked for it.
    Duration fetchDelay_ = std::chrono::milliseconds(500);
    //! A peer's digest is dropped after this long without a newer one.
    Duration peerExpiresAfter_ = std::chrono::seconds(10);
    Duration appendTimeout_ = std::chrono::milliseconds(500);
    std::size_t maxSuspectsInDigest_ = 20;
    std::size_t maxDemandInDigest_ = 64;
};

struct EntryControl
{
    InstanceId self_;
    Address address_;
    EntryControlLimits limits_;
    Random random_;
    ConfigState config_;
    std::shared_ptr<const ConfigIndex> index_ = std::make_shared<ConfigIndex>();
    MembershipState membership_;
    SuspectRequests suspects_;
    //! Addresses of other entries, from the settings and the platform's list.
    std::vector<Address> peers_;
    std::map<InstanceId, PeerEntry> digests_;
    std::unordered_map<OrganisationId, std::uint32_t> ownDemand_;
    std::map<AttemptId, ResolvingAttempt> resolving_;
    std::optional<ClaimLedger> resolveLedger_;
    bool readingClaims_ = false;
    LogOffset ledgerStart_;
    std::uint64_t nextAppend_ = 1;
    TimePoint digestAt_;
    TimePoint fetchedAt_;
    //! The load of endpoints or peers changed: the view is published in the next tick.
    bool viewStale_ = false;
    std::vector<EntryControlEffect> effects_;
};

void onHeartbeat(EntryControl &state, const HeartbeatMessage &heartbeat, TimePoint now);
void onDigest(EntryControl &state, const DigestMessage &digest, TimePoint now);
void onConfigPage(EntryControl &state, const ConfigLogPage &page, TimePoint now);

//! A peer's complete configuration; adopted only if it is newer than this entry's.
void onConfigState(EntryControl &state, const ConfigSnapshot &snapshot, TimePoint now);

//! A peer asks for the configuration.
void onConfigFetch(EntryControl &state, const ConfigFetchMessage &fetch);

void onFailureReport(EntryControl &state, const ReportEndpointFailure &report, TimePoint now);
void onResolveAttempt(EntryControl &state, const ResolveAttempt &attempt, TimePoint now);
void onCancelAppended(EntryControl &state, std::uint64_t append, bool ok, TimePoint now);

//! A page of the claims stream; empty if the read failed.
void onClaimsRead(EntryControl &state, const std::optional<ClaimsPage> &page, TimePoint now);

//! Traffic could not reach an agent.
void onAgentUnreachable(EntryControl &state, const Address &agent, TimePoint now);

//! Leaving instances and entries as the platform lists them.
void onInstanceList(EntryControl &state, const std::vector<InstanceId> &leaving,
                    const std::vector<Address> &entries, TimePoint now);

//! An operator lifted the quarantine of a request.
void onQuarantineLifted(EntryControl &state, Fingerprint fingerprint, TimePoint now);
void onRequestCounts(EntryControl &state, std::unordered_map<OrganisationId, std::uint32_t> demand);

//! Handles heartbeat timeouts, digests, fetches from peers and attempts to resolve; to be called
//! every ControlTickInterval.
void onTick(EntryControl &state, TimePoint now);
inline constexpr Duration ControlTickInterval = std::chrono::milliseconds(50);

RoutingView viewOf(const EntryControl &state);

//! True if the entry has a configuration and so can serve requests.
bool isReady(const EntryControl &state);

} // namespace gypsumcroft
