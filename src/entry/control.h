//! The entry's control core: configuration, membership, suspects, and attempts to settle.
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

//! Read the claims stream from this offset.
struct ReadClaims
{
    LogOffset from_;
};

//! Membership says that this agent is down: for traffic.
struct AgentDown
{
    Address agent_;
};

//! The routing view is out of date; build it with viewOf().
struct ViewChanged
{ };

using EntryControlEffect
        = std::variant<SendMessage, SendDatagram, AppendSnapshot, AppendClaims, ReadClaims,
                       AttemptVerdict, AgentDown, ViewChanged, LogEvent>;

//! Another entry, as its digest shows it.
struct PeerEntry
{
    DigestMessage digest_;
    TimePoint lastSeen_;
};

//! An attempt that the log has to settle.
struct SettlingAttempt
{
    SettleAttempt settle_;
    bool appended_ = false;
    std::uint64_t append_ = 0;
    TimePoint sentAt_;
};

struct EntryControlLimits
{
    MembershipLimits membership_;
    Duration digestInterval_ = std::chrono::milliseconds(250);
    //! A peer that is ahead is asked for its state after this long.
    Duration fetchAfter_ = std::chrono::milliseconds(500);
    Duration peerForgottenAfter_ = std::chrono::seconds(10);
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
    Suspects suspects_;
    //! Addresses of other entries, from the settings and the platform's list.
    std::vector<Address> peers_;
    std::map<InstanceId, PeerEntry> digests_;
    std::unordered_map<OrganisationId, std::uint32_t> ownDemand_;
    std::map<AttemptId, SettlingAttempt> settling_;
    std::optional<ClaimLedger> settleLedger_;
    bool readingClaims_ = false;
    LogOffset readFrom_;
    std::uint64_t nextAppend_ = 1;
    TimePoint digestAt_;
    TimePoint fetchedAt_;
    //! Load figures changed: the view is published with the next tick.
    bool viewStale_ = false;
    std::vector<EntryControlEffect> effects_;
};

void onHeartbeat(EntryControl &state, const HeartbeatMessage &heartbeat, TimePoint now);
void onDigest(EntryControl &state, const DigestMessage &digest, TimePoint now);
void onConfigPage(EntryControl &state, const ConfigLogPage &page, TimePoint now);

//! A peer's whole configuration; taken only if it is ahead.
void onConfigState(EntryControl &state, const ConfigSnapshot &snapshot, TimePoint now);

//! A peer asks for the configuration.
void onConfigFetch(EntryControl &state, const ConfigFetchMessage &fetch);

void onFailureReport(EntryControl &state, const ReportFailure &report, TimePoint now);
void onSettleAttempt(EntryControl &state, const SettleAttempt &settle, TimePoint now);
void onSettleAppended(EntryControl &state, std::uint64_t append, bool ok, TimePoint now);

//! A page of the claims stream, or nothing when the read failed.
void onSettlePage(EntryControl &state, const std::optional<ClaimsPage> &page, TimePoint now);

//! An agent could not be reached by traffic.
void onUnreachable(EntryControl &state, const Address &agent, TimePoint now);

//! Lists of the platform: instances that leave, entries that there are.
void onInstanceList(EntryControl &state, const std::vector<InstanceId> &leaving,
                    const std::vector<Address> &entries, TimePoint now);

void onLift(EntryControl &state, Fingerprint fingerprint, TimePoint now);
void onDemand(EntryControl &state, std::unordered_map<OrganisationId, std::uint32_t> demand);

//! Silence, digests, fetches from peers, settling; to be called every ControlTickInterval.
void onTick(EntryControl &state, TimePoint now);
inline constexpr Duration ControlTickInterval = std::chrono::milliseconds(50);

RoutingView viewOf(const EntryControl &state);

//! True when the entry can serve: it has a configuration.
bool isReady(const EntryControl &state);

} // namespace gypsumcroft
