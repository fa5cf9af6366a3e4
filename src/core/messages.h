//! Messages between gypsumcroft's own processes, independent of their encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/routes.h"
#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! Whether a refused or failed request was executed: certainly not, or possibly.
enum class RunState : std::uint8_t { NotRun, Unknown };

std::string_view runStateName(RunState run);

//! Why a request was refused. The names given by refusalCodeName() are part of the protocol with
//! callers.
enum class RefusalCode : std::uint8_t {
    BadRequest,
    Unauthorised,
    UnknownTemplate,
    KeyRequired,
    KeyReused,
    TooLarge,
    RateLimited,
    Overloaded,
    Expired,
    NoRoute,
    Busy,
    Leaving,
    Quarantined,
    LogUnavailable,
    EndpointFailed,
    InProgress,
    CallerGone,
    OutcomeUnknown,
};

std::string_view refusalCodeName(RefusalCode code);

//! A refusal. retryAfter_ is zero when a later retry would not help.
struct Refusal
{
    RefusalCode code_ = RefusalCode::BadRequest;
    RunState run_ = RunState::NotRun;
    std::string reason_;
    Duration retryAfter_ {};
};

//! One endpoint of a route and the layers it runs.
struct RouteHop
{
    EndpointId endpoint_;
    Address agent_;
    LayerRange layers_;
    auto operator<=>(const RouteHop &) const = default;
};

using Route = std::vector<RouteHop>;

//! The part of a stream that is the same for all its steps within one epoch.
struct StreamPlan
{
    RequestId request_;
    Epoch epoch_;
    Address entry_;
    Route route_;
    OrganisationId organisation_;
    TemplateId template_;
    Fingerprint fingerprint_;
    Rank rank_ = Rank::Standard;
    //! Upper limit of the output, in tokens.
    TokenIndex maxTokens_;
    //! True for a request suspected of crashing endpoints. An endpoint runs one suspect at a time,
    //! so that a crash can be attributed to it.
    bool suspect_ = false;
    //! Minimum share of an endpoint's work that the rank gets under overload by more urgent
    //! work.
    PerMille minShare_;
};

//! Asks the agent of route_[hop_] to run its layers for consecutive positions from
//! firstPosition_.
struct StepMessage
{
    StreamPlan plan_;
    std::uint32_t hop_ = 0;
    TokenIndex firstPosition_;
    std::vector<std::string> inputs_;
};

//! A token produced by the last stage, sent to the entry.
struct TokenMessage
{
    RequestId request_;
    Epoch epoch_;
    TokenIndex index_;
    std::string text_;
    bool last_ = false;
};

//! A stage could not continue a stream.
struct StreamFailedMessage
{
    RequestId request_;
    Epoch epoch_;
    EndpointId endpoint_;
    RefusalCode code_ = RefusalCode::EndpointFailed;
    //! NotRun if this agent ran no step of this epoch.
    RunState run_ = RunState::Unknown;
    //! True when the endpoint died while this request was in flight there.
    bool endpointDied_ = false;
    std::string reason_;
};

//! Ends a stream on an agent because it finished, was cancelled by the caller, or was replaced by
//! a later epoch.
struct EndStreamMessage
{
    RequestId request_;
    //! Ends the request's streams of this and all older epochs.
    Epoch epoch_;
};

//! Makes a call run at most once: the hash of its idempotency key and how long the outcome is
//! retained.
struct IdempotencyScope
{
    KeyHash key_;
    Duration idempotencyWindow_ {};
    auto operator<=>(const IdempotencyScope &) const = default;
};

//! Asks an agent to call its plain service.
struct CallMessage
{
    RequestId request_;
    AttemptId attempt_;
    Address entry_;
    OrganisationId organisation_;
    TemplateId template_;
    Fingerprint fingerprint_;
    Rank rank_ = Rank::Standard;
    std::string body_;
    std::optional<IdempotencyScope> scope_;
    //! Time until the caller's deadline when the message was sent.
    Duration remainingTime_ {};
};

//! Response of a plain service.
struct CallOutcome
{
    std::uint16_t status_ = 0;
    std::string body_;
    auto operator<=>(const CallOutcome &) const = default;
};

//! An agent's reply to a CallMessage. refusal_ is set when outcome_ is empty.
struct CallResultMessage
{
    RequestId request_;
    AttemptId attempt_;
    std::optional<CallOutcome> outcome_;
    Refusal refusal_;
    bool endpointDied_ = false;
    EndpointId endpoint_;
};

enum class EndpointKind : std::uint8_t { Stage, Service };
enum class EndpointState : std::uint8_t { Starting, Ready, Leaving, Down };

std::string_view endpointStateName(EndpointState state);

//! What an endpoint reports about itself when its agent polls it; relayed by the agent. An
//! EndpointStatusReport is what a model server reports to a gateway.
struct EndpointReport
{
    EndpointKind kind_ = EndpointKind::Service;
    //! Model or service name.
    TargetName target_;
    ModelVersion version_;
    LayerRange layers_;
    //! Number of layers of the whole model.
    LayerIndex modelLayers_;
    AcceleratorKind accelerator_;
    Slots slots_;
    Slots slotsBusy_;
    //! Time for one token to pass through all layers of this endpoint.
    Duration costPerToken_ {};
};

//! Smoothed round-trip time from the reporting agent to another.
struct LinkReport
{
    EndpointId to_;
    Duration roundTrip_ {};
};

//! Sent over UDP by each agent to the entries.
struct HeartbeatMessage
{
    EndpointId endpoint_;
    InstanceId instance_;
    FailureDomainId domain_;
    Address agent_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    EndpointState state_ = EndpointState::Starting;
    EndpointReport report_;
    //! Busy slots that are used by requests of the receiving entry.
    Slots slotsUsedByReceiver_;
    std::vector<LinkReport> links_;
    //! Offset of the last record of the claims stream that the agent has applied.
    LogOffset claimsAppliedOffset_;
};

//! Request rate of one organisation at one entry.
struct DemandReport
{
    OrganisationId organisation_;
    std::uint32_t requestsPerSecond_ = 0;
};

//! An endpoint that died while a request was in flight there. age_ is the time since then.
struct DeathReport
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    Duration age_ {};
};

//! A fingerprint that was in flight when endpoints died, or whose quarantine an operator lifted.
struct SuspectReport
{
    Fingerprint fingerprint_;
    std::vector<DeathReport> deaths_;
    //! Time until the suspicion, or its lifting, expires.
    Duration remainingTime_ {};
    bool lifted_ = false;
};

//! State that an entry shares with the other entries over UDP.
struct DigestMessage
{
    InstanceId instance_;
    Address entry_;
    LogOffset configAppliedOffset_;
    std::uint64_t configDigest_ = 0;
    std::vector<DemandReport> demand_;
    std::vector<SuspectReport> suspects_;
};

//! Asks a peer for its configuration. Sent when the peer is ahead or the log is unavailable.
struct ConfigFetchMessage
{
    Address replyTo_;
    LogOffset appliedOffset_;
};

//! One object of the active configuration.
struct ConfigEntry
{
    ConfigDocument document_;
    //! Offset of the log record that published it.
    LogOffset version_;
    auto operator<=>(const ConfigEntry &) const = default;
};

//! The whole configuration as of throughOffset_.
struct ConfigSnapshot
{
    LogOffset throughOffset_;
    std::vector<ConfigEntry> entries_;
};

//! Reply to a ConfigFetchMessage, sent only if the replying process has a newer configuration.
struct ConfigStateMessage
{
    ConfigSnapshot snapshot_;
};

//! UDP probe between agents, echoed by the receiver, to measure the round-trip time.
struct ProbeMessage
{
    Address replyTo_;
    EndpointId from_;
    std::uint64_t sentMicros_ = 0;
    bool echo_ = false;
};

//! Messages sent over TCP between processes.
using Message
        = std::variant<StepMessage, TokenMessage, StreamFailedMessage, EndStreamMessage,
                       CallMessage, CallResultMessage, ConfigFetchMessage, ConfigStateMessage>;

//! Load that a gateway's requests put on one endpoint.
struct EndpointLoad
{
    EndpointId endpoint_;
    //! KV-cache memory in tokens times layers.
    double kvUsed_ = 0;
    //! Prefill time of requests that have not produced a first token yet.
    Duration pendingPrefill_ {};
    std::uint32_t streams_ = 0;
    //! Those of the streams whose path begins here; each takes a slot.
    std::uint32_t begun_ = 0;
    std::uint32_t calls_ = 0;
};

//! The layers that an endpoint has loaded according to its own reply, for gateways that didn't
//! query it.
struct LoadedLayersReport
{
    EndpointId endpoint_;
    bool hasLayers_ = false;
    LayerRange layers_;
    //! Start time of the endpoint's process in Unix milliseconds; 0 when unknown.
    std::uint64_t incarnation_ = 0;
    //! Time since the endpoint was queried.
    Duration age_ {};
};

//! Layers that an endpoint is loading because the sender ordered it to.
struct LayerMoveReport
{
    EndpointId endpoint_;
    LayerRange layers_;
    //! Expected time until the load completes.
    Duration remainingTime_ {};
};

//! An endpoint that said in a response to the sender that it is leaving.
struct LeavingEndpointReport
{
    EndpointId endpoint_;
    std::uint64_t incarnation_ = 0;
};

//! What the machine of a gateway can carry; zeros when its settings don't say. Ordered by the link
//! first, which what one gateway does for others fills first.
struct GatewayCapacity
{
    std::uint32_t linkMbps_ = 0;
    //! Thousandths of a core.
    std::uint32_t milliCores_ = 0;
    auto operator<=>(const GatewayCapacity &) const = default;
};

//! Another gateway whose digests the sender receives.
struct GatewayMemberReport
{
    Address address_;
    FailureDomainId domain_;
    //! Time since its last digest arrived at the sender.
    Duration age_ {};
    GatewayCapacity capacity_;
};

//! Demand of one rank for one target at the sender, or at all gateways of its domain.
struct RankDemandReport
{
    TargetName target_;
    Rank rank_ = Rank::Standard;
    //! Expected work of the requests that wait, in tokens.
    double waitingTokens_ = 0;
    //! Expected work of the requests that arrived and of those that were dispatched, in tokens per
    //! second.
    double arrivingTokensPerSecond_ = 0;
    double startedTokensPerSecond_ = 0;
};

//! Measured slowness of an endpoint; only endpoints that differ from their kind are reported.
struct EndpointSpeedReport
{
    EndpointId endpoint_;
    std::uint64_t incarnation_ = 0;
    //! Time that a step takes, as a multiple of the usual time of the endpoint's kind.
    double slowdown_ = 1;
    //! Time since the measurement.
    Duration age_ {};
};

//! Returns the recipient's own clock reading to it, so that it can tell how old the sender's news
//! is at least, whatever the clocks and the delays on the way.
struct DigestEcho
{
    Address to_;
    //! sentAt_ of the recipient's newest digest at the sender.
    Duration sentAt_ {};
    //! Time since that digest arrived.
    Duration heldFor_ {};
};

//! What an endpoint changes of its entry in the list while it runs or restarts.
struct ListedEndpointUpdate
{
    EndpointId endpoint_;
    ListedState state_ = ListedState::Ready;
    std::optional<LayerRange> layers_;
    std::string model_;
    std::uint64_t modelVersion_ = 0;
    std::uint64_t incarnation_ = 0;
};

//! Difference between two endpoint lists, each named by its hash.
struct EndpointListChanges
{
    std::uint64_t fromHash_ = 0;
    std::uint64_t toHash_ = 0;
    //! Entries that are new or differ in more than an update tells.
    std::vector<ListedEndpoint> changed_;
    std::vector<ListedEndpointUpdate> updated_;
    std::vector<EndpointId> removed_;
};

//! What the sender itself has read from the platform's store lately. Times since the store was
//! asked; empty for what it hasn't read lately.
struct StoreNews
{
    ConfigVersion configVersion_;
    std::optional<Duration> configAge_;
    std::uint64_t listHash_ = 0;
    //! End of the log of list records when the list was read: a list with a higher one is newer.
    LogOffset listOffset_;
    std::optional<Duration> listAge_;
    //! The last changes, the newest at the end, so that a recipient that missed some news can take
    //! them all; empty if they are too large.
    std::vector<EndpointListChanges> listChanges_;
    std::vector<DigestEcho> echoes_;
};

//! The crash of an endpoint while a request with a certain trait ran there.
struct CrashReport
{
    EndpointId endpoint_;
    std::uint64_t incarnation_ = 0;
    //! Time since the crash.
    Duration age_ {};
    //! Time from the dispatch of the request to the crash.
    Duration ranFor_ {};
};

//! A trait of requests under which endpoints crashed.
struct TraitReport
{
    RequestTrait trait_;
    std::vector<CrashReport> crashes_;
    //! Time since an endpoint began to answer a request with the trait; empty if none is known to.
    std::optional<Duration> answerAge_;
};

enum class DigestScope : std::uint8_t {
    //! State of the sender.
    Gateway,
    //! Sum over the sender's failure domain, for the other domains.
    Domain,
    //! Such a sum, passed on within the domain that received it.
    RelayedDomain,
    //! Only traits under which an endpoint has just crashed.
    CrashNews,
    //! Crash news of another domain, passed on within the domain that received it.
    RelayedCrashNews,
};

//! State that a gateway shares with the other gateways over UDP.
struct GatewayDigestMessage
{
    DigestScope scope_ = DigestScope::Gateway;
    //! Reading of the sender's clock.
    Duration sentAt_ {};
    //! The sender knows all other gateways that it can learn of soon.
    bool settled_ = false;
    //! The sender is stopping and does nothing on behalf of others any more.
    bool stopping_ = false;
    InstanceId instance_;
    FailureDomainId domain_;
    Address gateway_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    std::vector<EndpointLoad> loads_;
    std::vector<LoadedLayersReport> loadedLayers_;
    std::vector<LayerMoveReport> layerMoves_;
    //! Endpoints that don't respond.
    std::vector<EndpointId> downEndpoints_;
    std::vector<LeavingEndpointReport> leavingEndpoints_;
    //! Some of the gateways that the sender hears; consecutive digests name different ones.
    std::vector<GatewayMemberReport> members_;
    std::vector<TraitReport> traits_;
    std::optional<StoreNews> storeNews_;
    GatewayCapacity capacity_;
    std::vector<RankDemandReport> demand_;
    std::vector<EndpointSpeedReport> speeds_;
};

//! Messages sent over UDP between processes.
using Datagram = std::variant<HeartbeatMessage, DigestMessage, ProbeMessage, GatewayDigestMessage>;

} // namespace gypsumcroft
