//! State of a gateway's traffic: requests in progress and their dispatches, the queues, and the
//! load and health of each endpoint.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "controllers/gatewayview.h"
#include "core/endpointnotice.h"
#include "core/logline.h"
#include "core/random.h"
#include "core/routes.h"
#include "policy/admission.h"
#include "policy/crossdomainbudget.h"
#include "policy/endpointhealth.h"
#include "policy/endpointpause.h"
#include "policy/endpointspeed.h"
#include "policy/fairqueue.h"
#include "policy/fleetwait.h"
#include "policy/loopdelay.h"
#include "policy/loopwindow.h"
#include "policy/medianratio.h"
#include "policy/outputsize.h"
#include "policy/pathplan.h"
#include "policy/patience.h"
#include "policy/rankroom.h"
#include "policy/retry.h"
#include "policy/retrydecision.h"
#include "policy/retryshare.h"
#include "policy/traithistory.h"

namespace gypsumcroft {

//! A request and its response; unique within the process.
using ExchangeId = StrongType<struct ExchangeTag, std::uint64_t>;
//! One dispatch of a request to an endpoint; a retry is a new dispatch.
using DispatchId = StrongType<struct DispatchTag, std::uint64_t>;
//! Id of a server-sent event within a stream.
using EventId = StrongType<struct EventTag, std::uint64_t>;

//! A request as a front end (such as the HTTP server) submits it.
struct GatewayRequest
{
    ExchangeId exchange_;
    ConnectionId connection_;
    RequestOrdinal ordinal_;
    //! Request id that the caller chose.
    RequestId id_;
    std::string host_;
    //! Path of the URL, without the query.
    std::string path_;
    std::optional<std::string> apiKey_;
    //! How long the caller waits for the response; empty if the caller set no limit.
    std::optional<Duration> timeout_;
    Tokens promptTokens_;
    //! Length of the response that the caller expects, or its limit.
    Tokens expectedOutput_;
    //! The caller's estimate, if it gave one, and the limit that it set; 0 for none.
    std::optional<Tokens> lengthHint_;
    Tokens outputLimit_;
    //! Last event of the stream that the caller already has.
    std::optional<EventId> resumeAfter_;
    ContentHash content_;
    //! Parts of the prompt in order. The last one belongs to this request or its session.
    std::vector<PromptPartId> promptParts_;
};

//! Why this process refused a request. After TimedOut and Failed an endpoint may have run it; all
//! other refusals mean that no endpoint ran it.
enum class GatewayRefusal : std::uint8_t {
    //! The desired state is unknown or too old to rely on.
    Unready,
    UnknownRoute,
    Unauthorised,
    //! No endpoint had free capacity in time, or every dispatch ended without a run and the request
    //! is not retried.
    Overloaded,
    //! No endpoint can serve the request.
    NoEndpoint,
    //! Endpoints crashed that ran requests like this one.
    Quarantined,
    //! The process is stopping, and no dispatch of the request may have run.
    Stopping,
    //! No response before the deadline, or no retry before the queue timeout.
    TimedOut,
    //! A dispatch ended without a response for the caller and the request cannot be retried, or the
    //! process is stopping.
    Failed,
};

std::string_view gatewayRefusalName(GatewayRefusal refusal);

//! Send a request to an endpoint.
struct DispatchRequest
{
    ExchangeId exchange_;
    DispatchId dispatch_;
    EndpointId endpoint_;
    Address address_;
    //! Endpoints that run the model's layers, in order; empty for a plain service.
    LayerPath path_;
    Duration timeout_ {};
    std::optional<OrganisationId> organisation_;
    Priority priority_;
    std::optional<EventId> resumeAfter_;
    bool newConnection_ = false;
    bool stream_ = false;
};

//! Close the connection of a dispatch.
struct CancelDispatch
{
    DispatchId dispatch_;
};

//! Send the endpoint's complete response to the caller.
struct DeliverResponse
{
    ExchangeId exchange_;
    DispatchId dispatch_;
};

//! Begin the caller's stream with the response head of this dispatch.
struct BeginStream
{
    ExchangeId exchange_;
    DispatchId dispatch_;
};

//! Forward to the caller the events of this dispatch that have arrived.
struct ForwardEvents
{
    ExchangeId exchange_;
    DispatchId dispatch_;
};

struct FinishStream
{
    ExchangeId exchange_;
};

//! End the caller's response although it is incomplete.
struct AbortResponse
{
    ExchangeId exchange_;
};

struct RefuseRequest
{
    ExchangeId exchange_;
    GatewayRefusal refusal_ = GatewayRefusal::Overloaded;
    Duration retryAfter_ {};
};

using GatewayEffect
        = std::variant<DispatchRequest, CancelDispatch, DeliverResponse, BeginStream, ForwardEvents,
                       FinishStream, AbortResponse, RefuseRequest, RequestProbe, EndpointNoticeSeen,
                       DispatchLost, TraitAnswered, LogEvent>;

//! Status and headers of an endpoint's response, decoded.
struct EndpointResponseHead
{
    bool success_ = false;
    //! The endpoint did not run the request and will not run it later.
    bool notRun_ = false;
    //! A later endpoint of the path that caused the failure.
    std::optional<Address> faultyAddress_;
    bool eventStream_ = false;
    //! Requests that run or wait at the endpoint, if it reports them.
    std::optional<std::uint32_t> reportedLoad_;
    //! HTTP status code, for the log.
    std::uint16_t status_ = 0;
    EndpointNotice notice_;
    //! A success that doesn't prove to be the endpoint's: whether the request ran is unknown.
    bool foreign_ = false;
};

//! Connection that a dispatch used, for the log.
struct DispatchConnection
{
    //! The connection had carried earlier requests.
    bool reused_ = false;
    //! Responses on this connection that belong to other requests.
    std::uint32_t unmatchedResponses_ = 0;
};

enum class DispatchFailure : std::uint8_t { NotSent, ConnectionLost, ProtocolError };

//! A dispatch in progress.
struct ActiveDispatch
{
    DispatchId id_;
    EndpointId endpoint_;
    std::uint64_t incarnation_ = 0;
    LayerPath path_;
    TimePoint sentAt_;
    TimePoint lastProgressAt_;
    //! The response, or the stream's first event, has arrived.
    bool hasAnswered_ = false;
    //! Probes of the path's endpoints were requested since the last event.
    bool probeRequested_ = false;
    //! Prefill time of the prompt at each endpoint of the path; empty after the first event.
    std::vector<Duration> prefillTimes_;
    EndpointResponseHead head_;
    DispatchConnection connection_;
    //! KV cache tokens that the dispatch reserves at each endpoint, to be released at its end.
    Tokens reservedTokens_;
    //! The endpoints' parts of a decode step; empty unless it is a model's stream.
    std::vector<PathPart> parts_;
    GapSample gaps_;
};

struct GatewayContext
{
    GatewayRequest request_;
    RouteRule route_;
    TargetName target_;
    std::optional<OrganisationId> organisation_;
    Priority priority_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    std::size_t nextFilter_ = 0;
    bool queued_ = false;
    //! The request is held until a newer desired state decides it.
    bool awaitsState_ = false;
    std::optional<ActiveDispatch> dispatch_;
    //! Earliest time of the next dispatch (retry delay).
    TimePoint retryAt_;
    //! Dispatches of the request so far.
    std::uint32_t dispatchCount_ = 0;
    //! Dispatches that ran or may have run; limited by the route's maxAttempts_.
    std::uint32_t possibleRuns_ = 0;
    bool mayHaveRun_ = false;
    bool streamStarted_ = false;
    //! Times at which the first and the last events of the stream arrived.
    TimePoint firstEventAt_;
    TimePoint lastEventAt_;
    //! Longest pause between arrivals of events.
    Duration longestPause_ {};
    std::optional<EventId> lastEvent_;
    //! Events of the stream that have arrived.
    std::uint64_t eventCount_ = 0;
    //! Expected length of the whole response, estimated when the request's target was chosen.
    Tokens expectedOutput_;
    std::unordered_set<EndpointId> failedEndpoints_;
    std::optional<PlannedPath> plan_;
    TimePoint plannedAt_;
    std::vector<RequestTrait> traits_;
    //! Set when the request arrived, and again before it is refused for want of capacity.
    std::optional<WaitEstimate> expectedWait_;
    //! One of the traits was suspect when the request was last queued.
    bool suspect_ = false;
    TimePoint quarantinedUntil_;
    //! The request can no longer begin within its latency target, and waits in the queue of overdue
    //! requests.
    bool overdue_ = false;
};

//! Load and health of an endpoint as this gateway sees them.
struct EndpointUsage
{
    EndpointLoad load_;
    //! Load in the endpoint's last response that reported one, this gateway's calls included.
    std::uint32_t requestsAtEndpoint_ = 0;
    TimePoint reportedAt_;
    EndpointHealth health_;
    //! Incarnation that said that it is leaving.
    std::optional<std::uint64_t> leavingIncarnation_;
    //! Incarnation that asked for a pause, and the end of that pause.
    std::uint64_t pausedIncarnation_ = 0;
    TimePoint pausedUntil_;
    //! Last time that its speed was asked for.
    TimePoint speedAskedAt_;
};

//! Queued requests of one target.
struct TargetQueues
{
    //! Requests that can still begin within their latency target.
    FairQueue onTime_;
    //! Requests that no longer can; dispatched only while the other queue is empty.
    FairQueue overdue_;
    //! Rate at which onTime_ is dispatched; known only while requests wait in it all the time.
    DrainRate drained_;
    //! When a request of each rank was dispatched last from either queue.
    std::array<std::optional<TimePoint>, RankCount> startedAt_;
    //! Work of all ranks that was dispatched since a request of each rank was.
    std::array<Tokens, RankCount> startedSince_ {};
};

struct GatewayCounters
{
    std::uint64_t received_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    //! Part of them that was refused on arrival for want of capacity, by rank.
    std::array<std::uint64_t, RankCount> refusedOnArrival_ {};
    std::uint64_t failed_ = 0;
    std::uint64_t callersDisconnected_ = 0;
    //! Refused because endpoints crashed that ran requests like them.
    std::uint64_t quarantined_ = 0;
    //! Dispatches of all requests, retries included.
    std::uint64_t dispatches_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t retriesDenied_ = 0;
    //! Responses of endpoints that belong to another request than the one on the connection.
    std::uint64_t unmatchedResponses_ = 0;
    //! Successes that didn't prove to be the endpoint's.
    std::uint64_t foreignResponses_ = 0;
    //! Connections to endpoints that are kept for reuse at present.
    std::uint64_t idleConnections_ = 0;
    //! Connections of callers and bytes held for them at present, and the limit of these bytes.
    std::uint64_t callerConnections_ = 0;
    std::uint64_t callerHeldBytes_ = 0;
    std::uint64_t callerHeldBytesLimit_ = 0;
    //! Requests refused, complete or not, because callers held too many bytes.
    std::uint64_t refusedForMemory_ = 0;
    //! Connections closed because unsent responses took too many bytes.
    std::uint64_t closedForMemory_ = 0;
    //! Requests with the id of a request in progress; callers should use each id once.
    std::uint64_t repeatedIds_ = 0;
};

struct GatewayLimits
{
    //! Time limit of a request for which the caller set none.
    Duration defaultTimeout_ = std::chrono::seconds(30);
    //! Time since arrival after which a queued request is refused: for a stream as a part of its
    //! caller's patience, else as a multiple of the latency target.
    double queueTimeoutPart_ = 0.8;
    double queueTimeoutFactor_ = 3.2;
    //! Time since arrival after which a queued request counts as overdue, as a multiple of the
    //! latency target.
    double overdueFactor_ = 0.75;
    //! The same while this process is overloaded, whose own turns take time from each request.
    double overloadedFactor_ = 0.4;
    //! Longest time for which a request awaits news that the platform has told this process so far,
    //! from its arrival or the end of a hold-up on.
    Duration maxNewsWait_ = std::chrono::milliseconds(500);
    //! After this time without an event, probes of a stream's endpoints are requested.
    Duration probeAfter_ = std::chrono::milliseconds(400);
    //! A stream without an event for this part of its caller's patience fails over to another path
    //! even if its endpoints answer probes.
    double failoverPart_ = 0.75;
    //! A tick that comes this late shows that the process was held up; the time doesn't count as
    //! silence of endpoints, whose events may be waiting to be read.
    Duration heldUpAfter_ = std::chrono::milliseconds(250);
    //! Highest utilisation of a path, by this gateway's estimate, at which a request is dispatched.
    RankRoomLimits rankRoom_;
    //! A request is dispatched only while the prefill pending before it takes at most this fraction
    //! of its latency target, by rank. Lower limits of less urgent ranks leave prefill time for
    //! more urgent requests.
    std::array<double, RankCount> maxPendingPrefill_ = {0.1, 0.08, 0.03};
    //! Delay before a retry that is suggested to a refused caller, at least; none is suggested for
    //! an unknown route or an unauthorised caller.
    Duration retryAfter_ = std::chrono::milliseconds(400);
    //! Part of the queue timeout that is left of the expected wait when a refused caller comes
    //! back. Callers that come back earlier wait again, and most of them are late or refused then.
    double retryEarlierPart_ = 0;
    //! A load reported by an endpoint is ignored once it is older than this.
    Duration maxReportedLoadAge_ = std::chrono::milliseconds(300);
    LoopWindowLimits loopWindow_;
    //! While a tick is overdue for longer than this, no more dispatches are begun.
    Duration maxTurn_ = std::chrono::milliseconds(30);
    //! Dispatches from one queue between two looks at how late the turn is.
    std::size_t maxBegunAtOnce_ = 32;
    EndpointHealthLimits health_;
    EndpointPauseLimits pause_;
    SpeedLimits speed_;
    //! Minimum time between two requests for the same endpoint's speed.
    Duration speedAskInterval_ = std::chrono::seconds(1);
    RetryLimits retry_;
};

struct GatewayTraffic
{
    GatewayLimits limits_;
    Random random_;
    std::map<ExchangeId, GatewayContext> requests_;
    std::unordered_multimap<RequestId, ExchangeId> byRequestId_;
    //! Request of each dispatch in progress.
    std::unordered_map<DispatchId, ExchangeId> exchangesByDispatch_;
    std::map<TargetName, TargetQueues> queues_;
    std::map<TargetName, DemandMeter> demand_;
    std::unordered_map<EndpointId, EndpointUsage> endpointUsage_;
    std::map<TargetName, RetryShare> retryShares_;
    std::map<TargetName, CrossDomainBudget> crossDomainBudgets_;
    TraitHistory traitHistory_;
    //! Slowdowns by the gaps of this gateway's streams.
    EndpointSpeeds estimatedSpeeds_;
    //! Measured gaps between events relative to the decode steps that are planned for a token.
    std::map<TargetName, MedianRatio> usualGaps_;
    OutputSizes outputSizes_;
    TimePoint speedsPrunedAt_;
    std::uint64_t nextDispatch_ = 1;
    LoopDelay loopDelay_;
    LoopWindow loopWindow_;
    TimePoint lastTickAt_;
    //! End of the last time for which this process was held up.
    TimePoint heldUpUntil_;
    //! Set in a planned stop: from then on no request is dispatched for the first time.
    std::optional<TimePoint> dispatchUntil_;
    GatewayCounters counters_;
    std::vector<GatewayEffect> effects_;
};

} // namespace gypsumcroft
