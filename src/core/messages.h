//! Messages between the system's own processes, free of any encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! How a refused or failed request stands.
enum class RunState : std::uint8_t { NotRun, Unknown };

std::string_view runStateName(RunState run);

//! Why work was refused; the names are part of the callers' protocol.
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

//! A refusal with its reason. retryAfter_ is zero when waiting would not help.
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

//! What stays the same for all steps of a request within one epoch.
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
    //! The answer ends with this many tokens at the latest.
    TokenIndex maxTokens_;
    //! True when this endpoint must run no other suspect meanwhile.
    bool suspect_ = false;
    //! Share of an endpoint's work that the rank keeps in a flood of more urgent work.
    PerMille floor_;
};

//! Asks the agent of route_[hop_] to run its layers for consecutive positions.
struct StepMessage
{
    StreamPlan plan_;
    std::uint32_t hop_ = 0;
    TokenIndex firstPosition_;
    std::vector<std::string> inputs_;
};

//! The last stage's token, for the entry.
struct TokenMessage
{
    RequestId request_;
    Epoch epoch_;
    TokenIndex index_;
    std::string text_;
    bool last_ = false;
};

//! A stage could not go on with a stream.
struct StreamFailedMessage
{
    RequestId request_;
    Epoch epoch_;
    EndpointId endpoint_;
    RefusalCode code_ = RefusalCode::EndpointFailed;
    //! NotRun: this agent ran nothing of this epoch.
    RunState run_ = RunState::Unknown;
    //! True when the endpoint died while it held this request.
    bool endpointDied_ = false;
    std::string reason_;
};

//! Ends a stream on an agent: finished, cancelled by the caller, or replaced by a later epoch.
struct EndStreamMessage
{
    RequestId request_;
    //! Streams of this epoch and older ones end.
    Epoch epoch_;
};

//! What makes a call at most once.
struct IdempotencyScope
{
    KeyHash key_;
    Duration repeatWindow_ {};
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
    //! Time left until the caller's deadline when the message was sent.
    Duration timeLeft_ {};
};

//! A plain service's answer.
struct CallOutcome
{
    std::uint16_t status_ = 0;
    std::string body_;
    auto operator<=>(const CallOutcome &) const = default;
};

//! An agent's answer to a CallMessage: an outcome, or a refusal.
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

//! What an endpoint says of itself, as its agent relays it.
struct EndpointReport
{
    EndpointKind kind_ = EndpointKind::Service;
    //! Model or service name.
    TargetName target_;
    ModelVersion version_;
    LayerRange layers_;
    //! Layers of the whole model.
    LayerIndex modelLayers_;
    AcceleratorKind accelerator_;
    Slots slots_;
    Slots slotsBusy_;
    //! Time for one token through all layers of this endpoint.
    Duration costPerToken_ {};
};

//! Round trip from an agent to another, smoothed.
struct LinkReport
{
    EndpointId to_;
    Duration roundTrip_ {};
};

//! UDP, agent to entries.
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
    //! Slots, of those in use, that the receiving entry's own work holds.
    Slots slotsOfReceiver_;
    std::vector<LinkReport> links_;
    //! Offset through which the agent has folded the claims stream.
    LogOffset claimsThrough_;
};

//! Demand of one organisation at one entry, in requests a second.
struct DemandReport
{
    OrganisationId organisation_;
    std::uint32_t requestsPerSecond_ = 0;
};

//! An endpoint that died while it held a request.
struct DeathReport
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    Duration age_ {};
};

//! A fingerprint whose endpoints died, or one that an operator lifted.
struct SuspectReport
{
    Fingerprint fingerprint_;
    std::vector<DeathReport> deaths_;
    Duration timeLeft_ {};
    bool lifted_ = false;
};

//! UDP, entry to entries.
struct DigestMessage
{
    InstanceId instance_;
    Address entry_;
    LogOffset configThrough_;
    std::uint64_t configDigest_ = 0;
    std::vector<DemandReport> demand_;
    std::vector<SuspectReport> suspects_;
};

//! Asks a peer for its configuration, when it is ahead or the log is down.
struct ConfigFetchMessage
{
    Address replyTo_;
    LogOffset through_;
};

//! One object of the configuration in force.
struct ConfigEntry
{
    ConfigDocument document_;
    //! Offset of the record that put it in force.
    LogOffset version_;
    auto operator<=>(const ConfigEntry &) const = default;
};

//! The whole configuration through an offset.
struct ConfigSnapshot
{
    LogOffset throughOffset_;
    std::vector<ConfigEntry> entries_;
};

struct ConfigStateMessage
{
    ConfigSnapshot snapshot_;
};

//! UDP probe between agents, echoed by the receiver.
struct ProbeMessage
{
    Address replyTo_;
    EndpointId from_;
    std::uint64_t sentMicros_ = 0;
    bool echo_ = false;
};

//! Everything that goes over TCP between processes.
using Message
        = std::variant<StepMessage, TokenMessage, StreamFailedMessage, EndStreamMessage,
                       CallMessage, CallResultMessage, ConfigFetchMessage, ConfigStateMessage>;

//! Everything that goes over UDP between processes.
//! What a gateway's requests hold of one endpoint.
struct EndpointShare
{
    EndpointId endpoint_;
    //! Room for requests, in tokens times layers.
    double tokenLayers_ = 0;
    //! Prompt reading that has not brought a first token yet.
    Duration readingAhead_ {};
    std::uint32_t streams_ = 0;
    std::uint32_t calls_ = 0;
};

//! What an endpoint said itself that it holds, for gateways that did not ask it.
struct HeldLayersReport
{
    EndpointId endpoint_;
    bool holds_ = false;
    LayerRange layers_;
    std::uint64_t born_ = 0;
    //! Time since it was asked.
    Duration age_ {};
};

//! Layers that an endpoint is loading after an order of the sender.
struct MoveReport
{
    EndpointId endpoint_;
    LayerRange layers_;
    //! Time in which the load should be over.
    Duration left_ {};
};

//! UDP, gateway to gateways.
struct GatewayDigestMessage
{
    InstanceId instance_;
    FailureDomainId domain_;
    Address gateway_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    std::vector<EndpointShare> shares_;
    std::vector<HeldLayersReport> held_;
    std::vector<MoveReport> moves_;
    //! Endpoints that did not answer.
    std::vector<EndpointId> down_;
};

using Datagram = std::variant<HeartbeatMessage, DigestMessage, ProbeMessage, GatewayDigestMessage>;

} // namespace gypsumcroft
