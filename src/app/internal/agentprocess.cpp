#include "app/processes.h"

#include <atomic>
#include <mutex>

#include <boost/json.hpp>

#include "agent/control.h"
#include "agent/traffic.h"
#include "app/log.h"
#include "documents/configdocuments.h"
#include "documents/endpointdocuments.h"
#include "filters/agentfilters.h"
#include "http/client.h"
#include "logclient.h"
#include "operators.h"
#include "ratelimitedlog.h"
#include "runtime.h"
#include "wire/mesh.h"

namespace gypsumcroft {

namespace detail {

constexpr std::chrono::milliseconds PollInterval {500};
constexpr std::chrono::milliseconds PollTimeout {1000};
constexpr std::chrono::milliseconds StepTimeout {60000};
constexpr std::chrono::milliseconds ClaimsAppendTimeout {1500};
constexpr std::chrono::milliseconds ReadListInterval {1000};
constexpr std::chrono::milliseconds LeavePoll {20};
//! Entries hear of the leaving before the process goes.
constexpr std::chrono::milliseconds LeaveNotice {500};
constexpr Duration IdleAgentTick = std::chrono::milliseconds(50);

struct LinkUsed
{
    Address peer_;
    EndpointId endpoint_;
};

struct EndpointBroke
{ };

//! What traffic tells control.
using AgentNote = std::variant<std::monostate, ClaimRequest, CloseClaim, LinkUsed, AgentLoad,
                               EndpointBroke>;

class AgentProcess
{
public:
    explicit AgentProcess(const ProcessSettings &settings);
    int run();

private:
    void setUpOperators();
    void onMessage(Message message);
    void onDatagram(const Datagram &datagram);
    void onNote(AgentNote note);
    template <typename Event>
    void withTraffic(const Event &event);
    void perform(AgentEffect &effect);
    void performControl();
    void performControl(AgentControlEffect &effect);
    void runStep(const RunStep &step);
    void cancelStream(const CancelEngineStream &cancel);
    void callService(const CallService &call);
    void poll();
    void resetEndpoint();
    void readInstances();
    void requestStop();
    void finishWhenIdle();
    void endpointBroke();
    Duration tickTraffic();

    ProcessSettings settings_;
    Address endpoint_;
    Runtime runtime_;
    Mailbox<AgentNote> mailbox_;
    AgentControl control_;
    std::mutex trafficMutex_;
    AgentTraffic traffic_;
    std::atomic<std::shared_ptr<const AgentView>> view_;
    std::atomic<bool> stopping_ {false};
    bool tailing_ = false;
    int exitCode_ = 0;
    RateLimitedLog garbage_;
    Mesh mesh_;
    DatagramSocket datagrams_;
    LogClient log_;
    http::Client platform_;
    //! The endpoint is called from the first traffic thread.
    http::Client engine_;
    OperatorServer operators_;
};

std::string streamName(const RequestId &request, Epoch epoch)
{
    return request.value_ + "#" + std::to_string(epoch.value_);
}

AgentProcess::AgentProcess(const ProcessSettings &settings)
    : settings_(settings), endpoint_(settings.endpoint_->address_),
      runtime_(settings.trafficThreads_),
      mailbox_(runtime_.control(), [this](AgentNote note) { onNote(std::move(note)); }),
      mesh_(runtime_.traffic(),
            {[this](Message message) { onMessage(std::move(message)); },
             [this](const Address &peer) {
                 withTraffic([&](const AgentView &view, TimePoint now) {
                     onPeerDown(traffic_, view, peer, now);
                 });
             },
             [this](const std::string &reason) {
                 garbage_.warn(LogLine("garbage").add("port", "tcp").add("reason", reason),
                               monotonicNow());
             }}),
      datagrams_(
              runtime_.control(), [this](const Datagram &datagram) { onDatagram(datagram); },
              [this](const std::string &reason) {
                  garbage_.warn(LogLine("garbage").add("port", "udp").add("reason", reason),
                                monotonicNow());
              }),
      log_(runtime_.control(), settings.logAddress_), platform_(runtime_.control()),
      engine_(*runtime_.traffic().front()), operators_(runtime_.control(), settings.operatorToken_)
{
    const auto incarnation = static_cast<std::uint64_t>(
            std::chrono::system_clock::now().time_since_epoch().count());
    control_.heartbeat_.endpoint_ = settings.endpoint_->name_;
    control_.heartbeat_.instance_ = settings.instance_;
    control_.heartbeat_.domain_ = settings.domain_;
    control_.heartbeat_.incarnation_ = {incarnation};
    control_.entries_ = settings.entryAddresses_;
    control_.claims_.self_ = settings.endpoint_->name_;
    control_.claims_.limits_.maxBatch_ = settings.claimsBatch_;
    constexpr std::size_t UnbatchedAppends = 64;
    if (settings.claimsBatch_ == 1)
        control_.claims_.limits_.maxAppendsInFlight_ = UnbatchedAppends;
    control_.claims_.random_ = {incarnation ^ std::hash<std::string> {}(settings.instance_.value_)};
    traffic_.self_ = settings.endpoint_->name_;
    view_ = std::make_shared<const AgentView>(viewOf(control_));
    setUpOperators();
}

void AgentProcess::setUpOperators()
{
    operators_.setReady([this] { return control_.heartbeat_.state_ == EndpointState::Ready; });
    operators_.route("POST /v1/drain", [this](const auto &) {
        requestStop();
        return jsonText(R"({"draining":true})");
    });
    operators_.route("GET /v1/status", [this](const auto &) {
        const std::lock_guard lock(trafficMutex_);
        return jsonText(boost::json::serialize(boost::json::object {
                {"endpoint", control_.heartbeat_.endpoint_.value_},
                {"state", endpointStateName(control_.heartbeat_.state_)},
                {"streams", traffic_.streams_.size()},
                {"calls", traffic_.calls_.size()},
                {"claimsThrough", control_.claims_.ledger_.appliedOffset_.value_},
                {"claimedKeys", control_.claims_.ledger_.keys_.size()}}));
    });
    auto &steps = operators_.gauge("steps", "Steps run on the engine");
    auto &stale = operators_.gauge("steps_dropped", "Steps of old epochs or out of order");
    auto &refused = operators_.gauge("refused", "Steps and calls refused, not run");
    auto &calls = operators_.gauge("calls", "Calls of the plain service");
    auto &streams = operators_.gauge("streams", "Streams in hand");
    auto &garbage = operators_.gauge("garbage", "Malformed frames and datagrams");
    operators_.setRefresh([&, this] {
        const std::lock_guard lock(trafficMutex_);
        steps.Set(static_cast<double>(traffic_.counters_.steps_));
        stale.Set(static_cast<double>(traffic_.counters_.droppedSteps_));
        refused.Set(static_cast<double>(traffic_.counters_.refused_));
        calls.Set(static_cast<double>(traffic_.counters_.calls_));
        streams.Set(static_cast<double>(traffic_.streams_.size()));
        garbage.Set(static_cast<double>(garbage_.count()));
    });
}

void AgentProcess::onMessage(Message message)
{
    withTraffic([&](const AgentView &view, TimePoint now) {
        if (auto *step = std::get_if<StepMessage>(&message))
            onStep(traffic_, view, std::move(*step), now);
        else if (const auto *end = std::get_if<EndStreamMessage>(&message))
            onEndStream(traffic_, view, *end, now);
        else if (auto *call = std::get_if<CallMessage>(&message))
            onCall(traffic_, view, std::move(*call), now);
    });
}

void AgentProcess::onDatagram(const Datagram &datagram)
{
    if (const auto *probe = std::get_if<ProbeMessage>(&datagram))
        onProbe(control_, *probe, monotonicNow());
    performControl();
}

void AgentProcess::onNote(AgentNote note)
{
    const TimePoint now = monotonicNow();
    if (const auto *wish = std::get_if<ClaimRequest>(&note))
        onClaimRequest(control_, *wish, now);
    else if (const auto *close = std::get_if<CloseClaim>(&note))
        onCloseClaim(control_, *close, now);
    else if (const auto *link = std::get_if<LinkUsed>(&note))
        onLinkUsed(control_, link->peer_, link->endpoint_, now);
    else if (auto *load = std::get_if<AgentLoad>(&note))
        onAgentLoad(control_, std::move(*load));
    else if (std::holds_alternative<EndpointBroke>(note))
        onEndpointPolled(control_, {std::nullopt, false, true}, now);
    performControl();
}

template <typename Event>
void AgentProcess::withTraffic(const Event &event)
{
    const std::lock_guard lock(trafficMutex_);
    const auto view = view_.load();
    event(*view, monotonicNow());
    std::vector<AgentEffect> effects = std::move(traffic_.effects_);
    traffic_.effects_.clear();
    for (AgentEffect &effect : effects)
        perform(effect);
}

void AgentProcess::perform(AgentEffect &effect)
{
    if (const auto *send = std::get_if<SendMessage>(&effect)) {
        mesh_.send(send->to_, send->message_);
        const auto *step = std::get_if<StepMessage>(&send->message_);
        if (step != nullptr && send->to_ != control_.heartbeat_.agent_)
            mailbox_.push(LinkUsed {send->to_, step->plan_.route_.at(step->hop_).endpoint_});
    } else if (const auto *step = std::get_if<RunStep>(&effect)) {
        runStep(*step);
    } else if (const auto *cancel = std::get_if<CancelEngineStream>(&effect)) {
        cancelStream(*cancel);
    } else if (const auto *call = std::get_if<CallService>(&effect)) {
        callService(*call);
    } else if (auto *wish = std::get_if<ClaimRequest>(&effect)) {
        mailbox_.push(std::move(*wish));
    } else if (auto *close = std::get_if<CloseClaim>(&effect)) {
        mailbox_.push(std::move(*close));
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        writeLog(event->level_, event->text_);
    }
}

//! A broken connection is checked at once, not with the next poll.
void AgentProcess::endpointBroke()
{
    mailbox_.push(EndpointBroke {});
}

void AgentProcess::runStep(const RunStep &step)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/steps";
    request.body_ = encodeStepRequest(step, streamName(step.request_, step.epoch_));
    StepResult result {step.request_, step.epoch_, step.firstPosition_, {}, false, {},
                       false,         false};
    asio::post(*runtime_.traffic().front(), [this, request = std::move(request), result] {
        engine_.send(endpoint_, request, {StepTimeout, false},
                     [this, result](const http::ClientResult &answer) mutable {
                         if (!answer.response_) {
                             result.failure_ = answer.reason_;
                             result.notRun_ = answer.notSent_;
                             result.endpointDied_ = answer.connectionLost_;
                         } else if (answer.response_->status_ != 200) {
                             result.failure_
                                     = "status " + std::to_string(answer.response_->status_);
                         } else {
                             decodeStepResponse(answer.response_->body_, result);
                         }
                         if (result.endpointDied_)
                             endpointBroke();
                         withTraffic([&](const AgentView &view, TimePoint now) {
                             onStepResult(traffic_, view, std::move(result), now);
                         });
                     });
    });
}

void AgentProcess::cancelStream(const CancelEngineStream &cancel)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/streams/cancel";
    request.body_ = encodeStreamCancel(streamName(cancel.request_, cancel.epoch_));
    asio::post(*runtime_.traffic().front(), [this, request = std::move(request)] {
        engine_.send(endpoint_, request, {PollTimeout, false}, [](const http::ClientResult &) {});
    });
}

void AgentProcess::callService(const CallService &call)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/call";
    request.headers_["Content-Type"] = "application/json";
    if (call.key_)
        request.headers_["Idempotency-Key"]
                = std::to_string(call.key_->high_) + "-" + std::to_string(call.key_->low_);
    request.body_ = call.body_;
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(call.remainingTime_);
    const bool fresh = call.key_.has_value();
    asio::post(*runtime_.traffic().front(),
               [this, request = std::move(request), timeout, fresh, attempt = call.attempt_] {
                   engine_.send(endpoint_, request, {timeout, fresh},
                                [this, attempt](const http::ClientResult &answer) {
                                    ServiceResult result {attempt, std::nullopt, answer.notSent_,
                                                          answer.connectionLost_, answer.reason_};
                                    if (answer.response_)
                                        result.outcome_ = CallOutcome {answer.response_->status_,
                                                                       answer.response_->body_};
                                    if (answer.connectionLost_)
                                        endpointBroke();
                                    withTraffic([&](const AgentView &view, TimePoint now) {
                                        onServiceResult(traffic_, view, result, now);
                                    });
                                });
               });
}

void AgentProcess::performControl()
{
    while (!control_.effects_.empty()) {
        std::vector<AgentControlEffect> effects = std::move(control_.effects_);
        control_.effects_.clear();
        for (AgentControlEffect &effect : effects)
            performControl(effect);
    }
}

void AgentProcess::performControl(AgentControlEffect &effect)
{
    if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
        datagrams_.send(datagram->to_, datagram->datagram_);
    } else if (const auto *append = std::get_if<AppendClaims>(&effect)) {
        log_.append(ClaimsStream, encodeClaimBatch(append->batch_), ClaimsAppendTimeout,
                    [this, id = append->appendId_](const AppendResult &result) {
                        onClaimsAppend(control_, id, result.offset_.has_value(), monotonicNow());
                        performControl();
                    });
    } else if (const auto *verdict = std::get_if<ClaimResult>(&effect)) {
        withTraffic([&](const AgentView &view, TimePoint now) {
            onClaimResult(traffic_, view, *verdict, now);
        });
    } else if (std::holds_alternative<ViewChanged>(effect)) {
        view_ = std::make_shared<const AgentView>(viewOf(control_));
    } else if (std::holds_alternative<EndpointDied>(effect)) {
        withTraffic(
                [&](const AgentView &view, TimePoint now) { onEndpointDied(traffic_, view, now); });
    } else if (std::holds_alternative<ResetEndpoint>(effect)) {
        resetEndpoint();
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        writeLog(event->level_, event->text_);
    }
}

//! A stage engine that outlived its agent may hold streams that nobody knows any more.
void AgentProcess::resetEndpoint()
{
    if (settings_.endpoint_->kind_ == EndpointKind::Service)
        return onEndpointReset(control_, monotonicNow());
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/streams/cancel-all";
    platform_.send(endpoint_, std::move(request), {PollTimeout, false},
                   [this](const http::ClientResult &result) {
                       if (!result.response_ || result.response_->status_ != 200)
                           return resetEndpoint();
                       onEndpointReset(control_, monotonicNow());
                       performControl();
                   });
}

void AgentProcess::poll()
{
    http::HttpRequest request;
    request.path_ = "/v1/report";
    platform_.send(endpoint_, std::move(request), {PollTimeout, false},
                   [this](const http::ClientResult &result) {
                       EndpointPollResult poll;
                       if (result.response_ && result.response_->status_ == 200)
                           poll = decodeEndpointPoll(result.response_->body_)
                                          .value_or(EndpointPollResult {});
                       poll.connectionLost_ = result.connectionLost_;
                       onEndpointPolled(control_, poll, monotonicNow());
                       performControl();
                   });
}

void AgentProcess::readInstances()
{
    http::HttpRequest request;
    request.path_ = "/v1/instances";
    platform_.send(*settings_.instanceListAddress_, std::move(request), {PollTimeout, false},
                   [this](const http::ClientResult &result) {
                       if (!result.response_ || result.response_->status_ != 200)
                           return;
                       const auto list = decodeInstanceList(result.response_->body_);
                       if (!list)
                           return;
                       onEntryList(control_, list->entryAddresses_);
                       const auto &leaving = list->leavingInstances_;
                       const bool self
                               = std::find(leaving.begin(), leaving.end(), settings_.instance_)
                                 != leaving.end();
                       if (self && !control_.leaving_)
                           beginLeaving(control_, monotonicNow());
                       performControl();
                   });
}

//! First signal: take nothing new, finish what is in hand. Second: stop now.
void AgentProcess::requestStop()
{
    if (stopping_.exchange(true)) {
        const std::lock_guard lock(trafficMutex_);
        const std::size_t cut = traffic_.streams_.size() + traffic_.calls_.size();
        GC_LOG_WARNING(LogLine("stopped-now").add("cut", std::uint64_t {cut}));
        exitCode_ = cut == 0 ? 0 : 1;
        runtime_.stop();
        return;
    }
    GC_LOG_INFO(LogLine("draining").add("endpoint", settings_.endpoint_->name_));
    beginLeaving(control_, monotonicNow());
    performControl();
    auto timer = std::make_shared<asio::steady_timer>(runtime_.control(), LeaveNotice);
    timer->async_wait([this, timer](boost::system::error_code) { finishWhenIdle(); });
}

void AgentProcess::finishWhenIdle()
{
    bool idle = false;
    {
        const std::lock_guard lock(trafficMutex_);
        idle = isIdle(traffic_);
    }
    idle = idle && isIdle(control_);
    auto timer = std::make_shared<asio::steady_timer>(runtime_.control(), LeavePoll);
    timer->async_wait([this, timer, idle](boost::system::error_code) {
        if (!idle)
            return finishWhenIdle();
        GC_LOG_INFO(LogLine("stopped").add("endpoint", settings_.endpoint_->name_).add("cut", 0.0));
        runtime_.stop();
    });
}

Duration AgentProcess::tickTraffic()
{
    bool idle = false;
    AgentLoad load;
    withTraffic([&](const AgentView &view, TimePoint now) {
        onTick(traffic_, view, now);
        idle = isIdle(traffic_);
        load = agentLoad(traffic_);
    });
    mailbox_.push(std::move(load));
    return idle ? IdleAgentTick : AgentTickInterval;
}

int AgentProcess::run()
{
    const auto mesh = mesh_.listen(settings_.meshAddress_);
    const auto udp = mesh ? datagrams_.bind(*mesh) : failure<Address>(mesh.lastReason_);
    const auto operators = udp ? operators_.listen(settings_.operatorAddress_)
                               : failure<Address>(udp.lastReason_);
    if (!operators) {
        GC_LOG_ERROR(LogLine("start-failed").add("reason", operators.lastReason_));
        return 1;
    }
    control_.heartbeat_.agent_ = *mesh;
    traffic_.address_ = *mesh;
    GC_LOG_INFO(LogLine("started")
                        .add("role", "agent")
                        .add("endpoint", settings_.endpoint_->name_)
                        .add("domain", settings_.domain_)
                        .add("mesh", formatAddress(*mesh))
                        .add("operators", formatAddress(*operators)));
    if (settings_.endpoint_->kind_ == EndpointKind::Service)
        log_.tail(
                ClaimsStream,
                [this] { return LogOffset {control_.claims_.ledger_.appliedOffset_.value_ + 1}; },
                [this](const LogPage &page) {
                    onClaimsPage(control_, toClaimsPage(page), monotonicNow());
                    performControl();
                });
    Ticker controlTicker(runtime_.control(), [this] {
        onTick(control_, monotonicNow());
        performControl();
        return ControlTickInterval;
    });
    Ticker pollTicker(runtime_.control(), [this] {
        poll();
        return Duration(PollInterval);
    });
    Ticker trafficTicker(*runtime_.traffic().front(), [this] { return tickTraffic(); });
    std::optional<Ticker> listTicker;
    if (settings_.instanceListAddress_)
        listTicker.emplace(runtime_.control(), [this] {
            readInstances();
            return Duration(ReadListInterval);
        });
    asio::signal_set signals(runtime_.control(), SIGTERM, SIGINT);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](boost::system::error_code error, int) {
            if (error)
                return;
            requestStop();
            waitForSignal();
        });
    };
    waitForSignal();
    runtime_.run();
    return exitCode_;
}

} // namespace detail

int runAgent(const ProcessSettings &settings)
{
    detail::AgentProcess process(settings);
    return process.run();
}

} // namespace gypsumcroft
