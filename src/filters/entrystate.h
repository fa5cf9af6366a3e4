//! State of an entry's traffic: requests in progress, the queue, the dispatch windows.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "controllers/routingview.h"
#include "core/ids.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/random.h"
#include "core/template.h"
#include "policy/admission.h"
#include "policy/fairqueue.h"
#include "policy/retry.h"
#include "policy/window.h"

namespace gypsumcroft {

//! A request as a front end (such as the HTTP server) submits it.
struct CallerRequest
{
    RequestId id_;
    ApiKeyHash apiKey_;
    CallerId caller_;
    TemplateId template_;
    std::string body_;
    std::optional<std::string> idempotencyKey_;
    std::optional<std::uint32_t> maxTokens_;
};

enum class RequestPhase : std::uint8_t {
    //! In the queue, before the first dispatch or before a retry.
    Queued,
    //! Waits until retryAt_ before it is queued again.
    Delayed,
    //! Dispatched to the stages of a pipeline.
    Streaming,
    //! Dispatched as a call to an agent.
    Calling,
    //! Waits until the claims log shows whether its attempt can still run.
    Resolving,
};

//! An endpoint that a request is not routed to until a given time, by which heartbeats report the
//! endpoint's state.
struct AvoidedEndpoint
{
    EndpointId endpoint_;
    TimePoint until_;
};

//! A request and the state of its processing by the filter chain.
struct RequestContext
{
    CallerRequest request_;
    RequestPhase phase_ = RequestPhase::Queued;
    std::size_t nextFilter_ = 0;
    TimePoint arrival_;
    TimePoint deadline_;
    OrganisationId organisation_;
    std::uint32_t weight_ = 1;
    Template template_;
    Fingerprint fingerprint_;
    bool suspect_ = false;
    //! The rank had less than its minimum share when the queue last considered the request.
    bool belowMinShare_ = false;
    std::optional<IdempotencyScope> scope_;
    TokenIndex maxTokens_;
    Tokens cost_;
    Epoch epoch_;
    Route route_;
    SpeedClass speedClass_;
    std::vector<std::string> tokens_;
    AttemptId attempt_;
    //! The claim of the current attempt, if there is one, is in the log after this offset.
    LogOffset claimsOffset_;
    std::uint32_t attempts_ = 0;
    //! False only while it is certain that no part of the request ran.
    bool mayHaveRun_ = false;
    //! Value of mayHaveRun_ before the current attempt.
    bool earlierMayHaveRun_ = false;
    TimePoint progressAt_;
    TimePoint retryAt_;
    //! Endpoints that refused or failed this request recently.
    std::vector<AvoidedEndpoint> avoidedEndpoints_;
};

struct SendMessage
{
    Address to_;
    Message message_;
};

//! Send a token to the caller.
struct DeliverToken
{
    RequestId request_;
    TokenIndex index_;
    std::string text_;
};

//! End the caller's token stream; the response is complete.
struct FinishTokenStream
{
    RequestId request_;
    std::uint32_t tokenCount_ = 0;
};

//! Send the outcome of a call to the caller.
struct DeliverOutcome
{
    RequestId request_;
    CallOutcome outcome_;
};

//! Send a refusal to the caller; the request ends without a complete response.
struct DeliverRefusal
{
    RequestId request_;
    Refusal refusal_;
    //! The template, for the status page and metrics.
    TemplateId template_;
};

//! For control: resolve an attempt, that is cancel it in the claims log and read there whether it
//! ran.
struct ResolveAttempt
{
    RequestId request_;
    KeyHash key_;
    AttemptId attempt_;
    //! The claim, if there is one, is in the log after this offset.
    LogOffset claimsOffset_;
    TimePoint deadline_;
};

enum class FailureKind : std::uint8_t {
    //! The endpoint process ended while it ran requests.
    Died,
    //! The agent refused new work because its endpoint is leaving.
    Leaving,
};

//! For control: failure or leaving of an endpoint that traffic detected before its next heartbeat.
struct ReportEndpointFailure
{
    EndpointId endpoint_;
    FailureKind kind_ = FailureKind::Died;
    //! Requests that the endpoint was running when it died.
    std::vector<Fingerprint> inFlight_;
};

using EntryEffect = std::variant<SendMessage, DeliverToken, FinishTokenStream, DeliverOutcome,
                                 DeliverRefusal, ResolveAttempt, ReportEndpointFailure, LogEvent>;

struct EntryLimits
{
    std::size_t maxQueued_ = 4000;
    std::uint32_t defaultMaxTokens_ = 256;
    std::uint32_t defaultMaxBodyBytes_ = 256 * 1024;
    //! A stream without a token for this long is routed again.
    Duration stallAfter_ = std::chrono::seconds(3);
    //! A stream that has begun is ended as failed after this long without a token.
    Duration streamTimeout_ = std::chrono::seconds(30);
    //! How long after the deadline an attempt may be looked up in the claims log.
    Duration resolveGracePeriod_ = std::chrono::seconds(3);
    //! How long a request is not routed to an endpoint that refused or failed it.
    Duration avoidFor_ = std::chrono::milliseconds(500);
    RetryLimits retry_;
};

//! Token bucket that limits an organisation's requestsPerSecond for a template.
struct RateBucket
{
    double tokens_ = 0;
    TimePoint refilledAt_;
    bool started_ = false;
};

//! Recent time to first token of a speed class.
struct SpeedClassServiceTime
{
    ServiceTime serviceTime_;
    //! Time of the last measurement, or of a later dispatch to the class.
    TimePoint measuredAt_;
};

struct EntryCounters
{
    std::uint64_t received_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t refusedNotRun_ = 0;
    std::uint64_t refusedUnknown_ = 0;
    std::uint64_t dispatched_ = 0;
    std::uint64_t rerouted_ = 0;
    std::uint64_t tokens_ = 0;
};

struct EntryTraffic
{
    InstanceId self_;
    Address address_;
    EntryLimits limits_;
    Random random_;
    FairQueue queue_;
    std::unordered_map<RequestId, RequestContext> requests_;
    std::unordered_map<EndpointId, DispatchWindow> windows_;
    DrainRate queueDrainRate_;
    std::array<ServiceTime, RankCount> serviceTimes_;
    //! Service time by rank and by the lowest token cost of the route's speed class.
    std::array<std::map<Duration, SpeedClassServiceTime>, RankCount> speedClassServiceTimes_;
    RetryBudget retryBudget_;
    std::unordered_map<std::string, RateBucket> buckets_;
    //! Requests since the last report to control, per organisation.
    std::unordered_map<OrganisationId, std::uint32_t> requestCounts_;
    bool draining_ = false;
    EntryCounters counters_;
    std::vector<EntryEffect> effects_;
};

inline void emit(EntryTraffic &state, EntryEffect effect)
{
    state.effects_.push_back(std::move(effect));
}

} // namespace gypsumcroft
