#include "app/processes.h"

#include <atomic>
#include <mutex>
#include <unordered_map>

#include <boost/json.hpp>

#include "app/apikey.h"
#include "app/log.h"
#include "documents/configdocuments.h"
#include "documents/endpointdocuments.h"
#include "entry/control.h"
#include "entry/traffic.h"
#include "http/client.h"
#include "http/server.h"
#include "logclient.h"
#include "operators.h"
#include "ratelimitedlog.h"
#include "runtime.h"
#include "wire/mesh.h"

namespace gypsumcroft {

namespace detail {

constexpr std::chrono::milliseconds AppendTimeout {1500};
constexpr std::chrono::milliseconds ListInterval {500};
constexpr std::chrono::milliseconds ListTimeout {1000};
constexpr std::chrono::milliseconds StopPoll {20};
constexpr Duration DemandInterval = std::chrono::seconds(1);
//! Deadlines are at least this far away while no request is in hand.
constexpr Duration IdleTickInterval = std::chrono::milliseconds(50);
//! Time for the last answers to leave the sockets.
constexpr std::chrono::milliseconds FlushTime {200};

//! Where a request's answer goes.
struct CallerExchange
{
    std::shared_ptr<http::Exchange> exchange_;
    std::string requestId_;
    bool events_ = false;
    bool started_ = false;
    std::vector<std::string> tokens_;
};

struct TrafficDemand
{
    std::unordered_map<OrganisationId, std::uint32_t> demand_;
};

struct AgentUnreachable
{
    Address agent_;
};

//! What traffic tells control.
using EntryNote
        = std::variant<std::monostate, ResolveAttempt, ReportEndpointFailure, AgentUnreachable,
                       TrafficDemand, ConfigFetchMessage, ConfigStateMessage>;

class EntryProcess
{
public:
    explicit EntryProcess(const ProcessSettings &settings);
    int run();

private:
    void setUpOperators();
    http::HttpResponse showConfig();
    http::HttpResponse showEndpoints();
    http::HttpResponse showQuarantine();
    http::HttpResponse lift(const http::HttpRequest &request);

    void onCaller(const http::HttpRequest &request,
                  const std::shared_ptr<http::Exchange> &exchange);
    void acceptCaller(const http::HttpRequest &request, CallerRequestBody body,
                      const std::shared_ptr<http::Exchange> &exchange);
    void onMessage(Message message);
    void onNote(EntryNote note);
    void onDatagram(Datagram datagram);

    //! Runs a traffic event under the lock and carries out its effects in order.
    template <typename Event>
    void withTraffic(const Event &event);
    void perform(EntryEffect &effect);
    void performControl();
    void performControl(EntryControlEffect &effect);
    void answerToken(const DeliverToken &token);
    void answerEnd(const FinishTokenStream &end);
    void answerCall(const DeliverOutcome &call);
    void answerRefusal(const DeliverRefusal &refusal);

    void publishView();
    void controlTick();
    void readInstances();
    void requestStop(int signal);
    void finishWhenIdle();

    ProcessSettings settings_;
    Runtime runtime_;
    Mailbox<EntryNote> mailbox_;
    EntryControl control_;
    std::mutex trafficMutex_;
    EntryTraffic traffic_;
    std::unordered_map<RequestId, CallerExchange> exchanges_;
    std::atomic<std::shared_ptr<const RoutingView>> view_;
    std::atomic<std::uint64_t> nextRequest_ {1};
    std::atomic<bool> stopping_ {false};
    std::uint64_t incarnation_ = 0;
    int exitCode_ = 0;
    RateLimitedLog garbage_;
    Mesh mesh_;
    DatagramSocket datagrams_;
    LogClient log_;
    http::Client platform_;
    OperatorServer operators_;
    http::Server callers_;
    std::optional<Ticker> controlTicker_;
    std::optional<Ticker> trafficTicker_;
    std::optional<Ticker> demandTicker_;
};

//! An answer that carries the system's own name of the request, as log lines do.
http::HttpResponse answerFor(const RequestId &request)
{
    http::HttpResponse response;
    response.headers_.emplace_back("X-Request-Id", request.value_);
    return response;
}

http::ServerOptions callerOptions(const ProcessSettings &settings)
{
    http::ServerOptions options;
    options.maxBodyBytes_ = settings.maxBodyBytes_;
    options.readTimeout_ = std::chrono::milliseconds(settings.readTimeoutMs_);
    return options;
}

EntryProcess::EntryProcess(const ProcessSettings &settings)
    : settings_(settings), runtime_(settings.trafficThreads_),
      mailbox_(runtime_.control(), [this](EntryNote note) { onNote(std::move(note)); }),
      mesh_(runtime_.traffic(),
            {[this](Message message) { onMessage(std::move(message)); },
             [this](const Address &peer) {
                 withTraffic([&](const RoutingView &view, TimePoint now) {
                     onAgentDown(traffic_, view, peer, now);
                 });
                 mailbox_.push(AgentUnreachable {peer});
             },
             [this](const std::string &reason) {
                 garbage_.warn(LogLine("garbage").add("port", "tcp").add("reason", reason),
                               monotonicNow());
             }}),
      datagrams_(
              runtime_.control(), [this](Datagram datagram) { onDatagram(std::move(datagram)); },
              [this](const std::string &reason) {
                  garbage_.warn(LogLine("garbage").add("port", "udp").add("reason", reason),
                                monotonicNow());
              }),
      log_(runtime_.control(), settings.logAddress_), platform_(runtime_.control()),
      operators_(runtime_.control(), settings.operatorToken_),
      callers_(
              runtime_.traffic(),
              [this](const http::HttpRequest &request,
                     const std::shared_ptr<http::Exchange> &exchange) {
                  onCaller(request, exchange);
              },
              callerOptions(settings))
{
    incarnation_ = static_cast<std::uint64_t>(
            std::chrono::system_clock::now().time_since_epoch().count());
    control_.self_ = settings.instance_;
    control_.peers_ = settings.entryAddresses_;
    control_.random_ = {incarnation_};
    traffic_.self_ = settings.instance_;
    traffic_.random_ = {incarnation_ ^ 0x5bd1e995};
    view_ = std::make_shared<const RoutingView>(viewOf(control_));
    setUpOperators();
}

void EntryProcess::setUpOperators()
{
    operators_.setReady([this] { return !stopping_ && isReady(control_); });
    operators_.route("GET /v1/config", [this](const auto &) { return showConfig(); });
    operators_.route("GET /v1/endpoints", [this](const auto &) { return showEndpoints(); });
    operators_.route("GET /v1/quarantine", [this](const auto &) { return showQuarantine(); });
    operators_.route("POST /v1/quarantine/lift",
                     [this](const auto &request) { return lift(request); });
    operators_.route("POST /v1/drain", [this](const auto &) {
        requestStop(SIGTERM);
        return jsonText(R"({"draining":true})");
    });
    auto &received = operators_.gauge("requests_received", "Requests that callers sent");
    auto &completed = operators_.gauge("requests_completed", "Requests answered whole");
    auto &notRun = operators_.gauge("requests_refused_not_run", "Requests refused, not run");
    auto &unknown = operators_.gauge("requests_refused_unknown", "Requests ended with run unknown");
    auto &dispatched = operators_.gauge("attempts", "Attempts sent to agents");
    auto &queued = operators_.gauge("queued", "Requests in the queue");
    auto &tokens = operators_.gauge("tokens", "Tokens sent to callers");
    auto &through = operators_.gauge("config_through", "Offset of the configuration in force");
    auto &garbage = operators_.gauge("garbage", "Malformed frames and datagrams");
    operators_.setRefresh([&, this] {
        const std::lock_guard lock(trafficMutex_);
        const EntryCounters &counters = traffic_.counters_;
        received.Set(static_cast<double>(counters.received_));
        completed.Set(static_cast<double>(counters.completed_));
        notRun.Set(static_cast<double>(counters.refusedNotRun_));
        unknown.Set(static_cast<double>(counters.refusedUnknown_));
        dispatched.Set(static_cast<double>(counters.dispatched_));
        queued.Set(static_cast<double>(traffic_.queue_.size_));
        tokens.Set(static_cast<double>(counters.tokens_));
        through.Set(static_cast<double>(control_.config_.appliedOffset_.value_));
        garbage.Set(static_cast<double>(garbage_.count()));
    });
}

http::HttpResponse EntryProcess::showConfig()
{
    return jsonText(
            encodeActiveConfig(control_.config_, monotonicNow() - control_.config_.changedAt_));
}

http::HttpResponse EntryProcess::showEndpoints()
{
    boost::json::array list;
    for (const auto &[endpoint, member] : control_.membership_.members_) {
        const HeartbeatMessage &heartbeat = member.heartbeat_;
        list.push_back(
                {{"endpoint", endpoint.value_},
                 {"failureDomain", heartbeat.domain_.value_},
                 {"state", endpointStateName(effectiveState(member))},
                 {"target", heartbeat.report_.target_.value_},
                 {"layers",
                  {heartbeat.report_.layers_.first_.value_, heartbeat.report_.layers_.end_.value_}},
                 {"slots", heartbeat.report_.slots_.value_},
                 {"busy", heartbeat.report_.slotsBusy_.value_}});
    }
    return jsonText(boost::json::serialize(boost::json::object {{"endpoints", list}}));
}

http::HttpResponse EntryProcess::showQuarantine()
{
    const TimePoint now = monotonicNow();
    boost::json::array list;
    for (const auto &[fingerprint, suspect] : control_.suspects_.entries_) {
        static constexpr const char *Names[] = {"innocent", "suspected", "guilty"};
        const QuarantineStatus guilt = quarantineStatus(control_.suspects_, fingerprint, now);
        list.push_back({{"fingerprint", std::to_string(fingerprint.value_)},
                        {"verdict", Names[static_cast<std::size_t>(guilt)]},
                        {"deaths", suspect.deaths_.size()},
                        {"lifted", suspect.lifted_},
                        {"expiresMs", (suspect.expires_ - now).count() / 1000}});
    }
    return jsonText(boost::json::serialize(boost::json::object {{"suspects", list}}));
}

http::HttpResponse EntryProcess::lift(const http::HttpRequest &request)
{
    const auto found = request.query_.find("fingerprint");
    if (found == request.query_.end())
        return plainAnswer(400, "needs ?fingerprint=NUMBER\n");
    const Fingerprint fingerprint {std::strtoull(found->second.c_str(), nullptr, 10)};
    onQuarantineLifted(control_, fingerprint, monotonicNow());
    GC_LOG_INFO(LogLine("quarantine-lifted").add("fingerprint", fingerprint));
    performControl();
    return jsonText(R"({"lifted":true})");
}

void EntryProcess::onCaller(const http::HttpRequest &request,
                            const std::shared_ptr<http::Exchange> &exchange)
{
    if (request.path_ == "/healthz")
        return exchange->respond(plainAnswer(200, "ok\n"));
    http::HttpResponse refusal;
    Refusal reason {RefusalCode::BadRequest, RunState::NotRun, "", {}};
    if (request.path_ != "/v1/requests") {
        refusal.status_ = 404;
        reason.reason_ = "no such path; requests go to POST /v1/requests";
    } else if (request.method_ != "POST") {
        refusal.status_ = 405;
        refusal.headers_.emplace_back("Allow", "POST");
        reason.reason_ = "use POST";
    }
    if (!reason.reason_.empty()) {
        refusal.body_ = encodeRefusalBody(reason, "");
        return exchange->respond(std::move(refusal));
    }
    Findings findings;
    auto body = decodeCallerRequestBody(request.body_, findings);
    if (body)
        return acceptCaller(request, std::move(*body), exchange);
    for (const Finding &finding : findings)
        reason.reason_
                += (reason.reason_.empty() ? "" : "; ") + finding.place_ + " " + finding.message_;
    refusal.status_ = 400;
    refusal.body_ = encodeRefusalBody(reason, "");
    exchange->respond(std::move(refusal));
}

void EntryProcess::acceptCaller(const http::HttpRequest &request, CallerRequestBody body,
                                const std::shared_ptr<http::Exchange> &exchange)
{
    static constexpr std::string_view Bearer = "Bearer ";
    const std::string authorization = http::headerValue(request, "authorization");
    CallerRequest caller;
    caller.id_ = {settings_.instance_.value_ + "-" + std::to_string(incarnation_ % 1000000) + "-"
                  + std::to_string(nextRequest_++)};
    if (authorization.starts_with(Bearer))
        caller.apiKey_ = hashApiKey(authorization.substr(Bearer.size()));
    caller.caller_ = body.caller_;
    caller.template_ = body.template_;
    caller.body_ = std::move(body.payload_);
    caller.maxTokens_ = body.maxTokens_;
    const auto key = request.headers_.find("idempotency-key");
    if (key != request.headers_.end())
        caller.idempotencyKey_ = key->second;
    const bool events
            = http::headerValue(request, "accept").find("text/event-stream") != std::string::npos;
    const RequestId id = caller.id_;
    withTraffic([&](const RoutingView &view, TimePoint now) {
        exchanges_[id] = {exchange, body.requestId_, events, false, {}};
        onCallerRequest(traffic_, view, std::move(caller), now);
    });
    exchange->onDisconnect([this, id] {
        withTraffic([&](const RoutingView &view, TimePoint now) {
            exchanges_.erase(id);
            onCallerDisconnected(traffic_, view, id, now);
        });
    });
}

void EntryProcess::onMessage(Message message)
{
    if (auto *fetch = std::get_if<ConfigFetchMessage>(&message))
        return mailbox_.push(std::move(*fetch));
    if (auto *state = std::get_if<ConfigStateMessage>(&message))
        return mailbox_.push(std::move(*state));
    withTraffic([&](const RoutingView &view, TimePoint now) {
        if (const auto *token = std::get_if<TokenMessage>(&message))
            onToken(traffic_, view, *token, now);
        else if (const auto *failure = std::get_if<StreamFailedMessage>(&message))
            onStreamFailed(traffic_, view, *failure, now);
        else if (const auto *result = std::get_if<CallResultMessage>(&message))
            onCallResult(traffic_, view, *result, now);
    });
}

void EntryProcess::onNote(EntryNote note)
{
    const TimePoint now = monotonicNow();
    if (const auto *settle = std::get_if<ResolveAttempt>(&note))
        onResolveAttempt(control_, *settle, now);
    else if (const auto *report = std::get_if<ReportEndpointFailure>(&note))
        onFailureReport(control_, *report, now);
    else if (const auto *unreachable = std::get_if<AgentUnreachable>(&note))
        onAgentUnreachable(control_, unreachable->agent_, now);
    else if (auto *demand = std::get_if<TrafficDemand>(&note))
        onRequestCounts(control_, std::move(demand->demand_));
    else if (const auto *fetch = std::get_if<ConfigFetchMessage>(&note))
        onConfigFetch(control_, *fetch);
    else if (const auto *state = std::get_if<ConfigStateMessage>(&note))
        onConfigState(control_, state->snapshot_, now);
    performControl();
}

void EntryProcess::onDatagram(Datagram datagram)
{
    const TimePoint now = monotonicNow();
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&datagram))
        onHeartbeat(control_, *heartbeat, now);
    else if (const auto *digest = std::get_if<DigestMessage>(&datagram))
        onDigest(control_, *digest, now);
    performControl();
}

template <typename Event>
void EntryProcess::withTraffic(const Event &event)
{
    const std::lock_guard lock(trafficMutex_);
    const auto view = view_.load();
    event(*view, monotonicNow());
    std::vector<EntryEffect> effects = std::move(traffic_.effects_);
    traffic_.effects_.clear();
    for (EntryEffect &effect : effects)
        perform(effect);
}

void EntryProcess::perform(EntryEffect &effect)
{
    if (const auto *send = std::get_if<SendMessage>(&effect))
        mesh_.send(send->to_, send->message_);
    else if (const auto *token = std::get_if<DeliverToken>(&effect))
        answerToken(*token);
    else if (const auto *end = std::get_if<FinishTokenStream>(&effect))
        answerEnd(*end);
    else if (const auto *call = std::get_if<DeliverOutcome>(&effect))
        answerCall(*call);
    else if (const auto *refusal = std::get_if<DeliverRefusal>(&effect))
        answerRefusal(*refusal);
    else if (auto *settle = std::get_if<ResolveAttempt>(&effect))
        mailbox_.push(std::move(*settle));
    else if (auto *report = std::get_if<ReportEndpointFailure>(&effect))
        mailbox_.push(std::move(*report));
    else if (const auto *event = std::get_if<LogEvent>(&effect))
        writeLog(event->level_, event->text_);
}

void EntryProcess::answerToken(const DeliverToken &token)
{
    const auto found = exchanges_.find(token.request_);
    if (found == exchanges_.end())
        return;
    CallerExchange &caller = found->second;
    if (!caller.events_) {
        caller.tokens_.push_back(token.text_);
        return;
    }
    if (!caller.started_)
        caller.exchange_->startEvents();
    caller.started_ = true;
    caller.exchange_->sendEvent("token", encodeTokenEvent(token.index_, token.text_));
}

void EntryProcess::answerEnd(const FinishTokenStream &end)
{
    const auto found = exchanges_.find(end.request_);
    if (found == exchanges_.end())
        return;
    CallerExchange &caller = found->second;
    if (caller.events_) {
        caller.exchange_->sendEvent("end", encodeEndEvent(end.tokenCount_, caller.requestId_));
        caller.exchange_->finishEvents();
    } else {
        http::HttpResponse response = answerFor(end.request_);
        response.body_ = encodeOutputBody(caller.tokens_, caller.requestId_);
        caller.exchange_->respond(std::move(response));
    }
    exchanges_.erase(found);
}

void EntryProcess::answerCall(const DeliverOutcome &call)
{
    const auto found = exchanges_.find(call.request_);
    if (found == exchanges_.end())
        return;
    http::HttpResponse response = answerFor(call.request_);
    response.body_ = encodeCallBody(call.outcome_, found->second.requestId_);
    found->second.exchange_->respond(std::move(response));
    exchanges_.erase(found);
}

void EntryProcess::answerRefusal(const DeliverRefusal &refusal)
{
    const auto found = exchanges_.find(refusal.request_);
    if (found == exchanges_.end())
        return;
    CallerExchange &caller = found->second;
    const std::string body = encodeRefusalBody(refusal.refusal_, caller.requestId_);
    if (caller.started_) {
        caller.exchange_->sendEvent("error", body.substr(0, body.size() - 1));
        caller.exchange_->finishEvents();
    } else {
        http::HttpResponse response = answerFor(refusal.request_);
        response.status_ = httpStatusOf(refusal.refusal_);
        response.body_ = body;
        const auto seconds = (refusal.refusal_.retryAfter_.count() + 999999) / 1000000;
        if (seconds > 0)
            response.headers_.emplace_back("Retry-After", std::to_string(seconds));
        caller.exchange_->respond(std::move(response));
    }
    exchanges_.erase(found);
}

void EntryProcess::performControl()
{
    bool viewChanged = false;
    while (!control_.effects_.empty()) {
        std::vector<EntryControlEffect> effects = std::move(control_.effects_);
        control_.effects_.clear();
        for (EntryControlEffect &effect : effects) {
            if (std::holds_alternative<ViewChanged>(effect))
                viewChanged = true;
            else if (!std::holds_alternative<AgentDown>(effect))
                performControl(effect);
        }
        if (std::exchange(viewChanged, false))
            publishView();
        //! Traffic hears of an agent's end only after the view without it is published.
        for (EntryControlEffect &effect : effects) {
            if (std::holds_alternative<AgentDown>(effect))
                performControl(effect);
        }
    }
}

void EntryProcess::performControl(EntryControlEffect &effect)
{
    if (const auto *send = std::get_if<SendMessage>(&effect)) {
        mesh_.send(send->to_, send->message_);
    } else if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
        datagrams_.send(datagram->to_, datagram->datagram_);
    } else if (const auto *snapshot = std::get_if<AppendSnapshot>(&effect)) {
        log_.append(ConfigStream, encodeConfigRecord(snapshot->snapshot_), AppendTimeout,
                    [](const AppendResult &) {});
    } else if (const auto *append = std::get_if<AppendClaims>(&effect)) {
        log_.append(ClaimsStream, encodeClaimBatch(append->batch_), AppendTimeout,
                    [this, id = append->appendId_](const AppendResult &result) {
                        onCancelAppended(control_, id, result.offset_.has_value(), monotonicNow());
                        performControl();
                    });
    } else if (const auto *read = std::get_if<ReadClaims>(&effect)) {
        log_.read(ClaimsStream, read->from_, std::chrono::milliseconds(50),
                  [this](const std::optional<LogPage> &page) {
                      onClaimsRead(control_,
                                   page ? std::optional(toClaimsPage(*page)) : std::nullopt,
                                   monotonicNow());
                      performControl();
                  });
    } else if (const auto *verdict = std::get_if<AttemptResolution>(&effect)) {
        withTraffic([&](const RoutingView &view, TimePoint now) {
            onAttemptResolved(traffic_, view, *verdict, now);
        });
    } else if (const auto *down = std::get_if<AgentDown>(&effect)) {
        withTraffic([&](const RoutingView &view, TimePoint now) {
            onAgentDown(traffic_, view, down->agent_, now);
        });
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        writeLog(event->level_, event->text_);
    }
}

void EntryProcess::publishView()
{
    view_ = std::make_shared<const RoutingView>(viewOf(control_));
}

void EntryProcess::controlTick()
{
    onTick(control_, monotonicNow());
    performControl();
}

void EntryProcess::readInstances()
{
    http::HttpRequest request;
    request.path_ = "/v1/instances";
    platform_.send(*settings_.instanceListAddress_, std::move(request), {ListTimeout, false},
                   [this](const http::ClientResult &result) {
                       if (!result.response_ || result.response_->status_ != 200)
                           return;
                       const auto list = decodeInstanceList(result.response_->body_);
                       if (!list)
                           return;
                       onInstanceList(control_, list->leavingInstances_, list->entryAddresses_,
                                      monotonicNow());
                       performControl();
                   });
}

//! First signal: drain. Second: stop now and say what is cut.
void EntryProcess::requestStop(int)
{
    if (stopping_.exchange(true)) {
        const std::lock_guard lock(trafficMutex_);
        GC_LOG_WARNING(
                LogLine("stopped-now").add("cut", std::uint64_t {traffic_.requests_.size()}));
        exitCode_ = traffic_.requests_.empty() ? 0 : 1;
        runtime_.stop();
        return;
    }
    GC_LOG_INFO(LogLine("draining").add("instance", settings_.instance_));
    auto timer = std::make_shared<asio::steady_timer>(
            runtime_.control(), std::chrono::milliseconds(settings_.drainNoticeMs_));
    timer->async_wait([this, timer](boost::system::error_code) {
        callers_.stopAccepting();
        withTraffic([&](const RoutingView &, TimePoint) { beginDrain(traffic_); });
        finishWhenIdle();
    });
}

void EntryProcess::finishWhenIdle()
{
    bool idle = false;
    {
        const std::lock_guard lock(trafficMutex_);
        idle = isIdle(traffic_);
    }
    auto timer
            = std::make_shared<asio::steady_timer>(runtime_.control(), idle ? FlushTime : StopPoll);
    timer->async_wait([this, timer, idle](boost::system::error_code) {
        if (!idle)
            return finishWhenIdle();
        GC_LOG_INFO(LogLine("stopped").add("instance", settings_.instance_).add("cut", 0.0));
        runtime_.stop();
    });
}

int EntryProcess::run()
{
    const auto mesh = mesh_.listen(settings_.meshAddress_);
    const auto udp = mesh ? datagrams_.bind(*mesh) : failure<Address>(mesh.lastReason_);
    const auto callers
            = udp ? callers_.listen(*settings_.callerAddress_) : failure<Address>(udp.lastReason_);
    const auto operators = callers ? operators_.listen(settings_.operatorAddress_)
                                   : failure<Address>(callers.lastReason_);
    if (!operators) {
        GC_LOG_ERROR(LogLine("start-failed").add("reason", operators.lastReason_));
        return 1;
    }
    control_.address_ = *mesh;
    traffic_.address_ = *mesh;
    GC_LOG_INFO(LogLine("started")
                        .add("role", "entry")
                        .add("instance", settings_.instance_)
                        .add("domain", settings_.domain_)
                        .add("mesh", formatAddress(*mesh))
                        .add("callers", formatAddress(*callers))
                        .add("operators", formatAddress(*operators)));
    log_.tail(
            ConfigStream, [this] { return LogOffset {control_.config_.appliedOffset_.value_ + 1}; },
            [this](const LogPage &page) {
                onConfigPage(control_, toConfigLogPage(page), monotonicNow());
                performControl();
            });
    controlTicker_.emplace(runtime_.control(), [this] {
        controlTick();
        return ControlTickInterval;
    });
    trafficTicker_.emplace(*runtime_.traffic().front(), [this] {
        bool idle = false;
        withTraffic([&](const RoutingView &view, TimePoint now) {
            onTick(traffic_, view, now);
            idle = isIdle(traffic_);
        });
        return idle ? IdleTickInterval : EntryTickInterval;
    });
    demandTicker_.emplace(runtime_.control(), [this] {
        TrafficDemand demand;
        withTraffic([&](const RoutingView &, TimePoint) {
            demand.demand_ = std::exchange(traffic_.requestCounts_, {});
        });
        onRequestCounts(control_, std::move(demand.demand_));
        return DemandInterval;
    });
    std::optional<Ticker> listTicker;
    if (settings_.instanceListAddress_)
        listTicker.emplace(runtime_.control(), [this] {
            readInstances();
            return Duration(ListInterval);
        });
    asio::signal_set signals(runtime_.control(), SIGTERM, SIGINT);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](boost::system::error_code error, int signal) {
            if (error)
                return;
            requestStop(signal);
            waitForSignal();
        });
    };
    waitForSignal();
    runtime_.run();
    return exitCode_;
}

} // namespace detail

int runEntry(const ProcessSettings &settings)
{
    detail::EntryProcess process(settings);
    return process.run();
}

} // namespace gypsumcroft
