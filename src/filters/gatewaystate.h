//! State of a gateway's traffic: requests in hand, their attempts, the queues, endpoints in use.
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
#include "core/logline.h"
#include "core/random.h"
#include "core/routes.h"
#include "policy/endpointhealth.h"
#include "policy/fairqueue.h"
#include "policy/nextstep.h"
#include "policy/pathplan.h"
#include "policy/pipeshare.h"
#include "policy/retry.h"
#include "policy/retryshare.h"

namespace gypsumcroft {

//! One request of a caller, unique within the process.
using ExchangeId = StrongType<struct ExchangeTag, std::uint64_t>;
//! One sending of a request to an endpoint.
using SendId = StrongType<struct SendTag, std::uint64_t>;
//! Id of an event within a stream.
using EventId = StrongType<struct EventTag, std::uint64_t>;

//! A request as a front end hands it in.
struct GatewayRequest
{
    ExchangeId exchange_;
    ConnectionId connection_;
    RequestOrdinal ordinal_;
    //! The caller's own name of the request.
    RequestId id_;
    std::string host_;
    //! Without the query.
    std::string path_;
    std::optional<std::string> apiKey_;
    //! How long the caller waits; nothing when it doesn't say.
    std::optional<Duration> patience_;
    Tokens prompt_;
    //! Tokens that the answer will probably have.
    Tokens answer_;
    //! The caller has the stream's events up to this one.
    std::optional<EventId> resumeAfter_;
};

//! How a request is refused by this process.
enum class GatewayRefusal : std::uint8_t {
    //! No desired state is known, or it is too old to go by. Not run.
    Unready,
    UnknownRoute,
    Unauthorised,
    //! No room in time. Not run.
    Overloaded,
    //! No endpoint can serve it. Not run.
    NoEndpoint,
    //! The process stops and has not sent it. Not run.
    Stopping,
    //! Nothing was answered in time; it may have run.
    TimedOut,
    //! An endpoint failed; it may have run.
    Failed,
};

std::string_view gatewayRefusalName(GatewayRefusal refusal);

struct SendRequest
{
    ExchangeId exchange_;
    SendId send_;
    EndpointId endpoint_;
    Address address_;
    //! Path over several endpoints; empty for a plain service.
    LayerPath path_;
    Duration patience_ {};
    std::optional<OrganisationId> organisation_;
    Priority priority_;
    std::optional<EventId> resumeAfter_;
    bool freshConnection_ = false;
    bool stream_ = false;
};

//! Close the connection of a send.
struct CancelSend
{
    SendId send_;
};

//! Answer the caller with what the endpoint answered, whole.
struct DeliverAnswer
{
    ExchangeId exchange_;
    SendId send_;
};

//! Begin the caller's stream with this send's head.
struct BeginStream
{
    ExchangeId exchange_;
    SendId send_;
};

//! Hand on the events of this send that have arrived.
struct PassEvents
{
    ExchangeId exchange_;
    SendId send_;
};

struct FinishStream
{
    ExchangeId exchange_;
};

struct BreakOffAnswer
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
        = std::variant<SendRequest, CancelSend, DeliverAnswer, BeginStream, PassEvents,
                       FinishStream, BreakOffAnswer, RefuseRequest, EndpointDoubt, LogEvent>;

//! What an answer's head says beside the answer itself.
struct AnswerHead
{
    bool success_ = false;
    //! The endpoint did not run the request and never will.
    bool notRun_ = false;
    //! An endpoint further on the path that is at fault.
    std::optional<Address> faulty_;
    bool eventStream_ = false;
    //! Requests that run and wait at the endpoint, if it says so.
    std::optional<std::uint32_t> load_;
    //! The endpoint's name for the log.
    std::uint16_t status_ = 0;
};

//! How the connection of a send fared, for the log.
struct SendConnection
{
    //! It had carried earlier requests.
    bool kept_ = false;
    //! Answers to other requests that came on it.
    std::uint32_t strays_ = 0;
};

enum class SendFailure : std::uint8_t { NotSent, Broken, Garbled };

//! A sending that has not ended.
struct OpenSend
{
    SendId id_;
    EndpointId endpoint_;
    LayerPath path_;
    TimePoint sentAt_;
    TimePoint lastNews_;
    //! Its endpoints were asked since the last news.
    bool doubted_ = false;
    //! Time that each endpoint of the path needs to read the prompt; empty once it is read.
    std::vector<Duration> reading_;
    AnswerHead head_;
    SendConnection connection_;
    //! What it holds of the endpoints' room, for giving it back.
    Tokens tokens_;
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
    std::optional<OpenSend> send_;
    //! A repeat waits until then.
    TimePoint notBefore_;
    std::uint32_t sends_ = 0;
    std::uint32_t runs_ = 0;
    bool mayHaveRun_ = false;
    bool streamBegun_ = false;
    //! When the first event came, and the longest pause after it.
    TimePoint firstEventAt_;
    TimePoint lastEventAt_;
    Duration longestPause_ {};
    std::optional<EventId> lastEvent_;
    std::unordered_set<EndpointId> failed_;
    std::optional<PlannedPath> plan_;
    TimePoint plannedAt_;
    //! It can't begin in time any more and waits behind those that can.
    bool late_ = false;
};

//! An endpoint as this entry uses it.
struct EndpointUse
{
    EndpointShare share_;
    //! Load that the endpoint told, and this entry's calls among it.
    std::uint32_t toldLoad_ = 0;
    TimePoint toldAt_;
    EndpointHealth health_;
};

//! Requests of one target that wait.
struct TargetQueues
{
    //! They can still begin in time.
    FairQueue fresh_;
    //! They can't, and go only when no fresh one waits.
    FairQueue late_;
};

struct GatewayCounters
{
    std::uint64_t received_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t callersGone_ = 0;
    std::uint64_t sends_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t retriesWithoutBudget_ = 0;
    //! Answers of endpoints to other requests than the one in hand.
    std::uint64_t strayAnswers_ = 0;
    //! Requests whose id was in hand already; callers use each id once.
    std::uint64_t repeatedIds_ = 0;
};

struct GatewayLimits
{
    //! Patience of a caller that doesn't say.
    Duration defaultPatience_ = std::chrono::seconds(30);
    //! A stream waits in the queue for so many times its latency target at most: callers give a
    //! stream up that has brought nothing for four times.
    double queuePatience_ = 3.2;
    //! A request that has waited for this part of its latency target can't be in time any more.
    double lateAfter_ = 0.75;
    //! A stream without an event for so long has its endpoints asked whether they are there.
    Duration doubtAfter_ = std::chrono::milliseconds(400);
    //! A stream without an event for so long goes on elsewhere though its endpoints answer: callers
    //! leave after two seconds.
    Duration silence_ = std::chrono::milliseconds(1500);
    //! Endpoints of a path may be filled up to this part of their room by this entry's own count.
    double maxFill_ = 1.0;
    //! A request is sent while at most this part of its latency target is to be read before it, by
    //! rank: the reading that is left over is kept for more urgent ones.
    std::array<double, RankCount> maxReading_ = {0.1, 0.08, 0.03};
    Duration retryAfter_ = std::chrono::milliseconds(400);
    //! A told load is believed for this time.
    Duration toldLoadAge_ = std::chrono::milliseconds(300);
    EndpointHealthLimits health_;
    RetryLimits retry_;
};

struct GatewayTraffic
{
    GatewayLimits limits_;
    Random random_;
    std::map<ExchangeId, GatewayContext> requests_;
    std::unordered_multimap<RequestId, ExchangeId> byRequestId_;
    std::unordered_map<SendId, ExchangeId> sends_;
    std::map<TargetName, TargetQueues> queues_;
    std::unordered_map<EndpointId, EndpointUse> uses_;
    std::map<TargetName, RetryShare> retryShares_;
    std::map<TargetName, PipeShare> pipeShares_;
    std::uint64_t nextSend_ = 1;
    GatewayCounters counters_;
    std::vector<GatewayEffect> effects_;
};

} // namespace gypsumcroft
