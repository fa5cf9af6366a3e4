#include "gatewaytraffic.h"

#include <algorithm>

#include "app/log.h"
#include "filters/gatewayfilters.h"
#include "platform/forwarding.h"

namespace gypsumcroft::detail {

namespace {

//! Largest answer, in bytes: held back until it is whole, or of a stream that is passed on.
constexpr std::size_t MaxAnswerBytes = 8UL * 1024 * 1024;
//! When a caller that was refused for lack of memory may try again.
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);

//! Control is told this often what requests hold of the endpoints.
constexpr Duration SharesInterval = std::chrono::milliseconds(150);
//! Idle connections to endpoints that have left the list must be closed within a second of it.
constexpr Duration IdleCheckInterval = std::chrono::milliseconds(250);

DispatchFailure failureOf(http::RelayFailure failure)
{
    switch (failure) {
    case http::RelayFailure::NotSent:
        return DispatchFailure::NotSent;
    case http::RelayFailure::ConnectionLost:
        return DispatchFailure::ConnectionLost;
    case http::RelayFailure::ProtocolError:
        return DispatchFailure::ProtocolError;
    }
    return DispatchFailure::ConnectionLost;
}

DispatchConnection connectionOf(const http::RelayCall &call)
{
    const http::RelayCallInfo trace = call.info();
    return {trace.connectionReused_, trace.unmatchedResponses_};
}

} // namespace

GatewayTrafficLoop::GatewayTrafficLoop(asio::io_context &context, std::uint64_t seed,
                                       const CallerServerLimits &limits, Note note)
    : context_(context), note_(std::move(note)), view_(std::make_shared<const GatewayView>()),
      limits_(limits), callerBytes_(std::make_shared<ByteBudget>(
                               ByteBudget {limits.bounds_.heldBytes_, 0, nullptr})),
      responseBytes_(std::make_shared<ByteBudget>(
              ByteBudget {limits.bounds_.responseBytes_, 0, callerBytes_})),
      counters_(std::make_shared<const GatewayCounters>()), client_(context),
      server_(
              context,
              [this](http::RelayRequest request, std::shared_ptr<http::RelayExchange> exchange) {
                  onRequest(std::move(request), std::move(exchange));
              },
              callerBytes_),
      ticker_(context, [this] { return tick(); })
{
    traffic_.random_ = {seed};
    applyLimits({});
}

Result<Address> GatewayTrafficLoop::listen(const Address &callers)
{
    return server_.listen(callers);
}

void GatewayTrafficLoop::publish(std::shared_ptr<const GatewayView> view)
{
    view_ = std::move(view);
}

void GatewayTrafficLoop::beginStop(TimePoint dispatchUntil)
{
    stopDispatching(traffic_, dispatchUntil);
    server_.closeAfterResponses();
}

void GatewayTrafficLoop::stopAccepting()
{
    server_.stopAccepting();
}

std::size_t GatewayTrafficLoop::cutRequests()
{
    const std::size_t inHand = traffic_.requests_.size();
    withTraffic([this](const GatewayView &, TimePoint now) { onGatewayStop(traffic_, now); });
    return inHand;
}

RouteExplanation GatewayTrafficLoop::explain(RouteQuestion question) const
{
    return explainRoute(traffic_, *view_.load(), std::move(question), monotonicNow());
}

Duration GatewayTrafficLoop::tick()
{
    takeLimits(*view_.load());
    traffic_.counters_.unmatchedResponses_ = client_.unmatchedResponses();
    traffic_.counters_.idleConnections_ = client_.idleConnections();
    traffic_.counters_.callerConnections_ = server_.connectionCount();
    traffic_.counters_.callerHeldBytes_ = callerBytes_->used_;
    traffic_.counters_.callerHeldBytesLimit_ = callerBytes_->limit_;
    traffic_.counters_.refusedForMemory_
            = server_.counters().refusedForMemory_ + completeRefusedForMemory_;
    traffic_.counters_.closedForMemory_ = server_.counters().closedForMemory_;
    counters_ = std::make_shared<const GatewayCounters>(traffic_.counters_);
    const TimePoint now = monotonicNow();
    tellShares(now);
    closeIdleConnections(now);
    if (now - loadLoggedAt_ >= LoadLogInterval)
        logLoad(now);
    withTraffic([this](const GatewayView &view, TimePoint now) {
        onLoopTick(traffic_, ticker_.delay(), now);
        if (!isGatewayIdle(traffic_))
            onGatewayTick(traffic_, view, now);
    });
    return GatewayTickInterval;
}

void GatewayTrafficLoop::tellShares(TimePoint now)
{
    if (now - sharesToldAt_ < SharesInterval)
        return;
    sharesToldAt_ = now;
    note_(ownEndpointLoads(traffic_, now));
}

void GatewayTrafficLoop::closeIdleConnections(TimePoint now)
{
    if (now - idleCheckedAt_ < IdleCheckInterval)
        return;
    idleCheckedAt_ = now;
    const std::shared_ptr<const EndpointIndex> listed = view_.load()->endpoints_;
    client_.closeIdleExcept([&](const Address &address, const std::string &name) {
        return isListedAt(*listed, {name}, address);
    });
}

void GatewayTrafficLoop::logLoad(TimePoint now)
{
    const Duration used = threadProcessorTime();
    const bool isFirst = std::exchange(loadLoggedAt_, now) == TimePoint();
    const Duration before = std::exchange(processorTime_, used);
    if (isFirst)
        return;
    std::size_t queued = 0;
    for (const auto &[target, queues] : traffic_.queues_)
        queued += queues.onTime_.size_ + queues.overdue_.size_;
    GC_LOG_INFO(LogLine("traffic-load")
                        .add("cpu_ms", used - before)
                        .add("late_ms", takeLongest(traffic_.loopDelay_))
                        .add("read_delay_ms", std::exchange(longestReadDelay_, Duration()))
                        .add("requests", std::uint64_t {traffic_.requests_.size()})
                        .add("queued", std::uint64_t {queued})
                        .add("idle_connections", std::uint64_t {client_.idleConnections()})
                        .add("connections", std::uint64_t {server_.connectionCount()})
                        .add("held_bytes", std::uint64_t {callerBytes_->used_})
                        .add("memory_refusals", server_.counters().refusedForMemory_)
                        .add("memory_closes", server_.counters().closedForMemory_));
}

void GatewayTrafficLoop::takeLimits(const GatewayView &view)
{
    if (!view.table_ || view.table_ == limitsOf_)
        return;
    limitsOf_ = view.table_;
    applyLimits(view.table_->state_.limits_);
}

void GatewayTrafficLoop::applyLimits(const CallerLimits &limits)
{
    const CallerBounds &bounds = limits_.bounds_;
    http::RelayServerLimits taken;
    taken.maxConnections_ = bounds.connections_;
    taken.maxUnsentBytes_ = bounds.unsentBytes_;
    taken.maxIncompleteRequestBytes_ = std::max(bounds.heldBytes_ / 2, bounds.unsentBytes_);
    taken.bodyTimeout_ = limits_.bodyTimeout_;
    taken.sendTimeout_ = limits_.sendTimeout_;
    taken.maxHeaderBytes_ = limits.maxHeaderBytes_;
    taken.maxBodyBytes_ = limits.maxBodyBytes_;
    taken.headerTimeout_ = limits.headerTimeout_;
    taken.idleTimeout_ = limits.idleTimeout_;
    server_.setLimits(taken);
}

template <typename Event>
void GatewayTrafficLoop::withTraffic(const Event &event)
{
    const auto view = view_.load();
    event(*view, monotonicNow());
    std::vector<GatewayEffect> effects = std::move(traffic_.effects_);
    traffic_.effects_.clear();
    for (GatewayEffect &effect : effects)
        perform(effect);
}

void GatewayTrafficLoop::onRequest(http::RelayRequest request,
                                   std::shared_ptr<http::RelayExchange> exchange)
{
    const ExchangeId id {nextExchange_++};
    GatewayRequest decoded = platform::decodeCallerRequest(request, id);
    decoded.connection_ = exchange->connectionId();
    decoded.ordinal_ = exchange->requestOrdinal();
    longestReadDelay_ = std::max(longestReadDelay_, exchange->readDelay());
    OpenExchange open {std::move(request), decoded, std::move(exchange), {}};
    if (!holdRequest(open))
        return refuseForMemory(open);
    open.exchange_->onDisconnect([this, id] { endForAbsentCaller(id); });
    exchanges_[id] = std::move(open);
    withTraffic([&](const GatewayView &view, TimePoint now) {
        onGatewayRequest(traffic_, view, std::move(decoded), now);
    });
}

std::shared_ptr<ByteBudget> GatewayTrafficLoop::budgetOf(const OrganisationRule *organisation)
{
    auto &budget = organisationBytes_[organisation != nullptr ? organisation->organisation_
                                                              : OrganisationId()];
    if (!budget)
        budget = std::make_shared<ByteBudget>(
                ByteBudget {callerBytes_->limit_ / 2, 0, callerBytes_});
    return budget;
}

bool GatewayTrafficLoop::holdRequest(OpenExchange &open)
{
    const auto view = view_.load();
    const GatewayRequest &request = open.decoded_;
    const RouteRule *route = nullptr;
    const OrganisationRule *organisation = nullptr;
    if (view->table_) {
        route = findRoute(*view->table_, request.host_, request.path_);
        organisation
                = request.apiKey_ ? findOrganisation(*view->table_, *request.apiKey_) : nullptr;
    }
    const auto budget = budgetOf(organisation);
    MemoryClaim claim {http::memoryOf(open.request_),
                       route != nullptr ? route->priority_ : Priority(), budget->used_};
    if (organisation != nullptr)
        claim.priority_ = organisation->priority_.value_or(claim.priority_);
    if (!admitsToMemory(claim, callerBytes_->limit_, callerBytes_->used_))
        return false;
    open.held_ = HeldBytes(budget);
    open.held_.set(claim.bytes_);
    return true;
}

void GatewayTrafficLoop::refuseForMemory(const OpenExchange &open)
{
    ++traffic_.counters_.received_;
    ++traffic_.counters_.refused_;
    ++completeRefusedForMemory_;
    memoryLog_.warn(LogLine("refused-for-memory")
                            .add("request", open.decoded_.id_)
                            .add("bytes", std::uint64_t {http::memoryOf(open.request_)})
                            .add("held", std::uint64_t {callerBytes_->used_}),
                    monotonicNow());
    const RefuseRequest refusal {open.decoded_.exchange_, GatewayRefusal::Overloaded,
                                 MemoryRetryAfter};
    open.exchange_->respond(platform::encodeRefusalHead(open.decoded_, refusal), {});
}

void GatewayTrafficLoop::endForAbsentCaller(ExchangeId exchange)
{
    exchanges_.erase(exchange);
    withTraffic([&](const GatewayView &view, TimePoint now) {
        onGatewayCallerDisconnected(traffic_, view, exchange, now);
    });
}

//! A caller's close may lie unread behind other work.
bool GatewayTrafficLoop::maySend(ExchangeId exchange, DispatchId dispatch)
{
    const auto open = exchanges_.find(exchange);
    if (open != exchanges_.end() && !open->second.exchange_->hasCallerLeft()) {
        bool confirmed = false;
        withTraffic([&](const GatewayView &view, TimePoint now) {
            confirmed = confirmDispatch(traffic_, view, dispatch, now);
        });
        return confirmed;
    }
    if (open != exchanges_.end())
        GC_LOG_INFO(LogLine("send-withdrawn")
                            .add("request", open->second.decoded_.id_)
                            .add("reason", "caller left"));
    endForAbsentCaller(exchange);
    return false;
}

void GatewayTrafficLoop::onBody(DispatchId send, std::string_view bytes)
{
    const auto found = calls_.find(send);
    if (found == calls_.end())
        return;
    OpenCall &call = found->second;
    call.received_ += bytes.size();
    if (call.received_ > MaxAnswerBytes)
        return giveUpSend(send, "answer too large");
    if (!call.facts_.success_ || !call.facts_.eventStream_) {
        call.bytes_ += bytes;
        countHeld(send);
        return;
    }
    http::CompleteEvents events = http::splitEvents(call.splitter_, bytes);
    if (events.eventTooLong_)
        return giveUpSend(send, "event too long");
    if (!countHeld(send) || events.bytes_.empty())
        return;
    call.bytes_ += events.bytes_;
    const auto last = events.lastId_ ? std::optional(EventId {*events.lastId_}) : std::nullopt;
    withTraffic([&](const GatewayView &view, TimePoint now) {
        onDispatchEvents(traffic_, view, send, last, now);
    });
}

bool GatewayTrafficLoop::countHeld(DispatchId send)
{
    OpenCall &call = calls_.at(send);
    call.held_.set(call.bytes_.size() + call.splitter_.incompleteEvent_.size());
    if (!isOverLimit(*responseBytes_))
        return true;
    const auto largest = std::max_element(
            calls_.begin(), calls_.end(), [](const auto &left, const auto &right) {
                return left.second.held_.size() < right.second.held_.size();
            });
    const DispatchId victim = largest->first;
    giveUpSend(victim, "answers take too much memory");
    return victim != send;
}

void GatewayTrafficLoop::giveUpSend(DispatchId send, const char *reason)
{
    calls_.at(send).call_.cancel();
    withTraffic([&](const GatewayView &view, TimePoint now) {
        onDispatchFailed(traffic_, view, send, DispatchFailure::ProtocolError, reason, now);
    });
    calls_.erase(send);
}

void GatewayTrafficLoop::perform(GatewayEffect &effect)
{
    if (const auto *send = std::get_if<DispatchRequest>(&effect)) {
        startSend(*send);
    } else if (const auto *cancel = std::get_if<CancelDispatch>(&effect)) {
        calls_[cancel->dispatch_].call_.cancel();
        calls_.erase(cancel->dispatch_);
    } else if (const auto *whole = std::get_if<DeliverResponse>(&effect)) {
        deliver(*whole);
    } else if (const auto *begin = std::get_if<BeginStream>(&effect)) {
        exchanges_.at(begin->exchange_).exchange_->startResponse(calls_.at(begin->dispatch_).head_);
    } else if (const auto *pass = std::get_if<ForwardEvents>(&effect)) {
        exchanges_.at(pass->exchange_)
                .exchange_->writeBody(std::exchange(calls_.at(pass->dispatch_).bytes_, {}));
    } else if (const auto *finish = std::get_if<FinishStream>(&effect)) {
        exchanges_.at(finish->exchange_).exchange_->finishResponse();
        exchanges_.erase(finish->exchange_);
    } else if (const auto *broken = std::get_if<AbortResponse>(&effect)) {
        exchanges_.at(broken->exchange_).exchange_->abort();
        exchanges_.erase(broken->exchange_);
    } else if (const auto *refusal = std::get_if<RefuseRequest>(&effect)) {
        refuse(*refusal);
    } else if (const auto *note = std::get_if<RequestProbe>(&effect)) {
        note_(*note);
    } else if (const auto *notice = std::get_if<EndpointNoticeSeen>(&effect)) {
        note_(*notice);
    } else if (auto *loss = std::get_if<DispatchLost>(&effect)) {
        note_(std::move(*loss));
    } else if (const auto *answered = std::get_if<TraitAnswered>(&effect)) {
        note_(*answered);
    } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
        writeLog(event->level_, event->text_);
    }
}

void GatewayTrafficLoop::startSend(const DispatchRequest &send)
{
    const DispatchId id = send.dispatch_;
    http::RelayCallHandlers handlers;
    handlers.maySend_ = [this, id, exchange = send.exchange_] { return maySend(exchange, id); };
    handlers.onHead_ = [this, id](http::ResponseHead head) {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            return;
        found->second.request_.set(0);
        found->second.facts_ = platform::decodeResponseHead(head);
        found->second.head_ = std::move(head);
        withTraffic([&](const GatewayView &view, TimePoint now) {
            onDispatchConnection(traffic_, id, connectionOf(found->second.call_));
            onDispatchHead(traffic_, view, id, found->second.facts_, now);
        });
    };
    handlers.onBody_ = [this, id](std::string_view bytes) { onBody(id, bytes); };
    handlers.onComplete_ = [this, id] {
        // An endpoint that ends inside an event has broken off, however its answer was framed.
        const bool cut = !calls_.at(id).splitter_.incompleteEvent_.empty();
        withTraffic([&](const GatewayView &view, TimePoint now) {
            if (cut)
                onDispatchFailed(traffic_, view, id, DispatchFailure::ConnectionLost,
                                 "ends inside an event", now);
            else
                onDispatchDone(traffic_, view, id, now);
        });
        calls_.erase(id);
    };
    handlers.onFailed_ = [this, id](http::RelayFailure failure, const std::string &reason) {
        withTraffic([&](const GatewayView &view, TimePoint now) {
            onDispatchConnection(traffic_, id, connectionOf(calls_.at(id).call_));
            onDispatchFailed(traffic_, view, id, failureOf(failure), reason, now);
        });
        calls_.erase(id);
    };
    const OpenExchange &open = exchanges_.at(send.exchange_);
    OpenCall &call = calls_[id];
    call.held_ = HeldBytes(responseBytes_);
    call.request_ = HeldBytes(callerBytes_);
    call.request_.set(http::memoryOf(open.request_));
    call.call_ = client_.send(platform::encodeEndpointRequest(open.request_, send),
                              std::move(handlers));
}

void GatewayTrafficLoop::deliver(const DeliverResponse &deliver)
{
    const auto found = exchanges_.find(deliver.exchange_);
    OpenCall &call = calls_.at(deliver.dispatch_);
    found->second.exchange_->respond(call.head_, call.bytes_);
    exchanges_.erase(found);
}

void GatewayTrafficLoop::refuse(const RefuseRequest &refusal)
{
    const auto found = exchanges_.find(refusal.exchange_);
    found->second.exchange_->respond(platform::encodeRefusalHead(found->second.decoded_, refusal),
                                     {});
    exchanges_.erase(found);
}

} // namespace gypsumcroft::detail
