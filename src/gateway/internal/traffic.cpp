#include "gateway/traffic.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

#include "filters/expectedoutput.h"
#include "filters/gatewayfilters.h"
#include "filters/rankdemand.h"
#include "gateway/internal/requestblame.h"
#include "gateway/internal/requestend.h"
#include "gateway/internal/streampace.h"

namespace gypsumcroft {

namespace detail {
namespace {

using Context = GatewayContext;

//! Warns of a request whose id another request in progress has too: callers use each id once, so
//! requests may have been mixed up on a connection.
void noteRequestId(GatewayTraffic &state, const Context &context)
{
    const GatewayRequest &request = context.request_;
    if (request.id_.value_.empty())
        return;
    const auto other = state.byRequestId_.find(request.id_);
    if (other != state.byRequestId_.end()) {
        ++state.counters_.repeatedIds_;
        const GatewayRequest &earlier = state.requests_.at(other->second).request_;
        emit(state,
             logEvent(LogLevel::Warning, LogLine("repeated-id")
                                                 .add("request", request.id_)
                                                 .add("connection", request.connection_)
                                                 .add("ordinal", request.ordinal_)
                                                 .add("other_connection", earlier.connection_)
                                                 .add("other_ordinal", earlier.ordinal_)));
    }
    state.byRequestId_.emplace(request.id_, request.exchange_);
}

//! A newer desired state may have other routes, so the whole chain runs again.
void holdForState(Context &context)
{
    context.awaitsState_ = true;
    context.nextFilter_ = 0;
}

void runFilters(GatewayTraffic &state, const GatewayView &view, Context &context, TimePoint now)
{
    const GatewayFilterResult result
            = runChain(gatewayChain(), context.nextFilter_, context, view, state, now);
    if (result.action_ == FilterAction::Hold)
        return holdForState(context);
    if (result.action_ != FilterAction::Refuse)
        return;
    const bool mayHaveRun = context.mayHaveRun_;
    if (context.streamStarted_)
        return abortResponse(state, context, "no endpoint to fail over to", now);
    refuse(state, context, mayHaveRun ? GatewayRefusal::Failed : result.refusal_,
           mayHaveRun ? "no endpoint for a retry" : result.reason_, now);
}

ExchangeId exchangeOf(const QueuedRequest &queued)
{
    ExchangeId exchange;
    const std::string &name = queued.request_.value_;
    std::from_chars(name.data(), name.data() + name.size(), exchange.value_);
    return exchange;
}

//! False while this process has as much work as it can carry. Each tick may begin some, however
//! late it is itself: a process that others keep from running must not stand still.
bool mayBeginMore(const GatewayTraffic &state, TimePoint now)
{
    return overdueTime(state.loopDelay_, now) <= state.limits_.maxTurn_
           && hasRoom(state.loopWindow_, state.exchangesByDispatch_.size());
}

//! Smallest work of each rank that exceeded the free capacity.
using TooLarge = std::array<std::int64_t, RankCount>;

//! A request at least as large as one of its own rank or of the most urgent one that exceeded the
//! free capacity exceeds it too. Other ranks may have lower limits, so that theirs say nothing.
bool isTooLarge(const TooLarge &tooLarge, const QueuedRequest &queued)
{
    return queued.work_.value_
           >= std::min(tooLarge.front(), tooLarge.at(static_cast<std::size_t>(queued.rank_)));
}

//! Dispatches queued requests while endpoints have capacity for them.
void dispatchFromQueue(GatewayTraffic &state, const GatewayView &view, TargetQueues &queues,
                       FairQueue &queue, DrainRate &rate, TimePoint now)
{
    TooLarge tooLarge;
    tooLarge.fill(std::numeric_limits<std::int64_t>::max());
    const auto fits = [&](const QueuedRequest &queued) {
        Context &context = state.requests_.at(exchangeOf(queued));
        if (isTooLarge(tooLarge, queued) || !mayBeDispatched(context, view, state, now))
            return false;
        if (hasCapacity(context, view, state, now))
            return true;
        tooLarge.at(static_cast<std::size_t>(queued.rank_)) = queued.work_.value_;
        return false;
    };
    for (std::size_t i = 0; i < state.limits_.maxBegunAtOnce_ && mayBeginMore(state, now); ++i) {
        const auto next = queue.size_ > 0 ? popRequest(queue, fits) : std::nullopt;
        if (!next)
            return;
        recordDrained(rate, next->work_, now);
        queues.startedAt_.at(static_cast<std::size_t>(next->rank_)) = now;
        for (Tokens &since : queues.startedSince_)
            since.value_ += next->work_.value_;
        queues.startedSince_.at(static_cast<std::size_t>(next->rank_)) = next->work_;
        Context &context = state.requests_.at(exchangeOf(*next));
        countStarted(context, state, now);
        context.queued_ = false;
        context.nextFilter_ = endpointFilterIndex();
        runFilters(state, view, context, now);
    }
}

void dispatchQueued(GatewayTraffic &state, const GatewayView &view, TimePoint now)
{
    if (!listIsFresh(view, now))
        return;
    for (auto &[target, queues] : state.queues_) {
        dispatchFromQueue(state, view, queues, queues.onTime_, queues.drained_, now);
        if (queues.onTime_.size_ > 0)
            continue;
        // In an overload the queue is emptied by refusals, too.
        if (!state.loopWindow_.size_)
            queues.drained_ = {};
        DrainRate ignored;
        dispatchFromQueue(state, view, queues, queues.overdue_, ignored, now);
    }
}

bool hasRetryBudget(GatewayTraffic &state, const GatewayView &view, const Context &context,
                    TimePoint now)
{
    return mayRetry(state.retryShares_[context.target_], view.retry_, view.gatewayCount_, now);
}

bool takeRetryBudget(GatewayTraffic &state, const GatewayView &view, const Context &context,
                     TimePoint now)
{
    const bool taken
            = takeRetry(state.retryShares_[context.target_], view.retry_, view.gatewayCount_, now);
    ++(taken ? state.counters_.retries_ : state.counters_.retriesDenied_);
    return taken;
}

//! Decides how a request continues after a dispatch ended without a response for the caller, and
//! carries the decision out.
void onDispatchEnded(GatewayTraffic &state, const GatewayView &view, Context &context,
                     AttemptOutcome outcome, const std::string &reason, TimePoint now)
{
    const DispatchId dispatch = context.dispatch_ ? context.dispatch_->id_ : DispatchId {};
    AttemptSummary facts;
    facts.rerunPolicy_ = context.route_.rerunPolicy_;
    facts.outcome_ = outcome;
    facts.responseStarted_ = context.streamStarted_;
    facts.earlierAttemptMayHaveRun_ = context.mayHaveRun_;
    if (outcome == AttemptOutcome::NotRun) {
        countNotRun(context, state, now);
    } else {
        ++context.possibleRuns_;
        context.mayHaveRun_ = true;
    }
    facts.possibleRuns_ = context.possibleRuns_;
    facts.maxAttempts_ = context.route_.maxAttempts_;
    facts.beforeDeadline_ = now < context.deadline_;
    facts.dispatches_ = context.dispatchCount_;
    if (decideRetry(facts) == RetryDecision::Retry)
        facts.hasRetryBudget_ = takeRetryBudget(state, view, context, now);
    const RetryDecision next = decideRetry(facts);
    LogLine line = requestLine("send-ended", context, now);
    line.add("send", dispatch)
            .add("endpoint", context.dispatch_ ? context.dispatch_->endpoint_.value_ : "-")
            .add("reason", reason)
            .add("content", context.request_.content_)
            .add("answered", context.dispatch_ && context.dispatch_->hasAnswered_ ? "yes" : "no")
            .add("runs", std::uint64_t {context.possibleRuns_})
            .add("budget", facts.hasRetryBudget_ ? "left" : "spent")
            .add("next", static_cast<std::uint64_t>(next));
    addEndpointConnection(line, context);
    emit(state, logEvent(LogLevel::Info, line));
    if (next == RetryDecision::ForwardError) {
        emit(state, DeliverResponse {context.request_.exchange_, dispatch});
        ++state.counters_.failed_;
        return removeRequest(state, context);
    }
    releaseDispatch(context, state);
    switch (next) {
    case RetryDecision::Retry:
        enqueue(context, state, true);
        return;
    case RetryDecision::RefuseNotRun:
        estimateWait(context, view, state, now);
        return refuse(state, context, GatewayRefusal::Overloaded, reason, now);
    case RetryDecision::FailUnknown:
        return refuse(state, context,
                      facts.beforeDeadline_ ? GatewayRefusal::Failed : GatewayRefusal::TimedOut,
                      reason, now);
    case RetryDecision::Abort:
        return abortResponse(state, context, reason, now);
    case RetryDecision::ForwardError:
        return;
    }
}

//! Returns the endpoint at fault for a failed dispatch: the one that the response names, or else
//! the first of the path.
EndpointId faultyEndpoint(const Context &context, const GatewayView &view)
{
    const ActiveDispatch &dispatch = *context.dispatch_;
    if (!dispatch.head_.faultyAddress_)
        return dispatch.endpoint_;
    const auto found = view.endpoints_->byAddress_.find(*dispatch.head_.faultyAddress_);
    return found == view.endpoints_->byAddress_.end()
                   ? dispatch.endpoint_
                   : view.endpoints_->endpoints_[found->second].id_;
}

void recordFailure(GatewayTraffic &state, Context &context, const EndpointId &endpoint,
                   TimePoint now)
{
    context.failedEndpoints_.insert(endpoint);
    countFailure(state.endpointUsage_[endpoint].health_, state.limits_.health_, now);
    emit(state, RequestProbe {endpoint});
}

void recordSuccess(GatewayTraffic &state, const Context &context)
{
    for (const PathSegment &part : context.dispatch_->path_) {
        countSuccess(state.endpointUsage_[part.endpoint_].health_);
    }
}

//! Stores what the endpoint said about further requests, and tells control.
void takeNotice(GatewayTraffic &state, const ActiveDispatch &dispatch, TimePoint now)
{
    const EndpointNotice &notice = dispatch.head_.notice_;
    EndpointUsage &usage = state.endpointUsage_[dispatch.endpoint_];
    if (!notice.ignoredPause_.empty())
        emit(state, logEvent(LogLevel::Warning,
                             ignoredPauseLine(dispatch.endpoint_, notice.ignoredPause_)));
    EndpointNoticeSeen seen {dispatch.endpoint_, dispatch.incarnation_, notice.leaving_, {}};
    const bool isNews = notice.leaving_ && usage.leavingIncarnation_ != dispatch.incarnation_;
    if (isNews)
        usage.leavingIncarnation_ = dispatch.incarnation_;
    if (notice.pause_) {
        seen.pausedUntil_ = now + pauseTime(*notice.pause_, state.limits_.pause_, state.random_);
        if (usage.pausedIncarnation_ != dispatch.incarnation_)
            usage.pausedUntil_ = {};
        usage.pausedIncarnation_ = dispatch.incarnation_;
        usage.pausedUntil_ = std::max(usage.pausedUntil_, *seen.pausedUntil_);
        emit(state, logEvent(LogLevel::Info, LogLine("endpoint-paused")
                                                     .add("endpoint", dispatch.endpoint_)
                                                     .add("ms", *seen.pausedUntil_ - now)));
    }
    if (isNews || seen.pausedUntil_)
        emit(state, std::move(seen));
}

Context *contextOf(GatewayTraffic &state, DispatchId dispatch)
{
    const auto found = state.exchangesByDispatch_.find(dispatch);
    if (found == state.exchangesByDispatch_.end())
        return nullptr;
    return &state.requests_.at(found->second);
}

void logAnswered(GatewayTraffic &state, const Context &context, TimePoint now)
{
    LogLine line = requestLine("answered", context, now);
    line.add("endpoint", context.dispatch_->endpoint_)
            .add("sent_ms", context.dispatch_->sentAt_ - context.arrivedAt_);
    addEndpointConnection(line, context);
    if (context.streamStarted_)
        line.add("first_event_ms", context.firstEventAt_ - context.arrivedAt_)
                .add("longest_pause_ms", context.longestPause_)
                .add("events", context.eventCount_);
    emit(state, logEvent(LogLevel::Info, line));
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

//! True for a queued request that arrived longer ago than the limit and whose stream has not
//! started.
bool hasWaitedLongerThan(const Context &context, Duration limit, TimePoint now)
{
    return context.queued_ && !context.streamStarted_ && now - context.arrivedAt_ > limit;
}

void onQueueTimeout(GatewayTraffic &state, const GatewayView &view, Context &context, TimePoint now)
{
    estimateWait(context, view, state, now);
    refuse(state, context,
           context.mayHaveRun_ ? GatewayRefusal::TimedOut : GatewayRefusal::Overloaded, "queue",
           now);
}

//! Moves a request that can no longer meet its latency target to the queue of overdue requests.
void markOverdue(GatewayTraffic &state, Context &context)
{
    dequeue(context, state);
    context.overdue_ = true;
    enqueue(context, state, false);
}

//! True for a stream that may fail over to another endpoint.
bool mayFailOver(const Context &context)
{
    return context.dispatch_ && context.route_.isStream_
           && context.route_.rerunPolicy_ != RerunPolicy::Never
           && context.possibleRuns_ + 1 < context.route_.maxAttempts_;
}

bool hasEndpointDown(const Context &context, const GatewayView &view)
{
    const LayerPath &path = context.dispatch_->path_;
    return std::any_of(path.begin(), path.end(), [&](const PathSegment &part) {
        return view.downEndpoints_.contains(part.endpoint_);
    });
}

//! Cancels the dispatch and fails the stream over, if the retry budget allows it. Otherwise the
//! dispatch continues.
void failOver(GatewayTraffic &state, const GatewayView &view, Context &context, const char *reason,
              TimePoint now)
{
    if (!hasRetryBudget(state, view, context, now))
        return;
    for (const PathSegment &part : context.dispatch_->path_)
        context.failedEndpoints_.insert(part.endpoint_);
    if (view.downEndpoints_.contains(context.dispatch_->endpoint_))
        reportLoss(state, context, now);
    emit(state, CancelDispatch {context.dispatch_->id_});
    onDispatchEnded(state, view, context, AttemptOutcome::Unknown, reason, now);
}

Duration failoverAfter(const RouteRule &route, const GatewayLimits &limits)
{
    return scaled(streamPatience(route.latencyTarget_, route.eventGapTarget_),
                  limits.failoverPart_);
}

//! Notes a hold-up of this process, which doesn't count as silence of its dispatches' endpoints.
void noteHoldUp(GatewayTraffic &state, TimePoint now)
{
    const Duration sinceTick = now - std::exchange(state.lastTickAt_, now);
    if (sinceTick < state.limits_.heldUpAfter_)
        return;
    state.heldUpUntil_ = now;
    for (auto &[id, context] : state.requests_) {
        if (context.dispatch_)
            context.dispatch_->lastProgressAt_
                    = std::min(now, context.dispatch_->lastProgressAt_ + sinceTick);
    }
}

//! Requests probes of the endpoints of a stalled stream. Fails the stream over if one of them is
//! down, or if it stays stalled for too long.
void checkStream(GatewayTraffic &state, const GatewayView &view, Context &context, TimePoint now)
{
    const Duration idle = now - context.dispatch_->lastProgressAt_;
    if (idle <= state.limits_.probeAfter_)
        return;
    if (!std::exchange(context.dispatch_->probeRequested_, true)) {
        for (const PathSegment &part : context.dispatch_->path_)
            emit(state, RequestProbe {part.endpoint_});
    }
    if (!mayFailOver(context))
        return;
    if (hasEndpointDown(context, view))
        failOver(state, view, context, "endpoint down", now);
    else if (idle > failoverAfter(context.route_, state.limits_))
        failOver(state, view, context, "silent", now);
}

//! Runs the chain again for a request that awaits a newer desired state.
void retryHeld(GatewayTraffic &state, const GatewayView &view, Context &context, TimePoint now)
{
    if (now - std::max(context.arrivedAt_, state.heldUpUntil_) > state.limits_.maxNewsWait_)
        return refuse(state, context, GatewayRefusal::Unready, "desired state", now);
    context.awaitsState_ = false;
    runFilters(state, view, context, now);
}

//! Checks the time limits of a request, what it is suspected of, and its stream.
void checkRequest(GatewayTraffic &state, const GatewayView &view, Context &context, TimePoint now)
{
    if (now >= context.deadline_)
        return endRequest(state, context, GatewayRefusal::Overloaded, GatewayRefusal::TimedOut,
                          "deadline", now);
    if (context.awaitsState_)
        return retryHeld(state, view, context, now);
    if (context.queued_ && isTooLateToDispatch(context, state, now))
        return endRequest(state, context, GatewayRefusal::Stopping, GatewayRefusal::Failed, "stop",
                          now);
    if (context.queued_ && checkBlame(state, view, context, now))
        return;
    const bool isOverdue = hasWaitedLongerThan(context, overdueAfter(context, state), now);
    if (isOverdue && !listIsFresh(view, now)
        && now - state.heldUpUntil_ > state.limits_.maxNewsWait_)
        return endRequest(state, context, GatewayRefusal::Unready, GatewayRefusal::TimedOut,
                          "endpoint list", now);
    if (hasWaitedLongerThan(context, queueTimeout(context.route_, state.limits_), now))
        onQueueTimeout(state, view, context, now);
    else if (!context.overdue_ && isOverdue)
        markOverdue(state, context);
    else if (context.dispatch_ && context.route_.isStream_)
        checkStream(state, view, context, now);
}

//! Time for which a request may have lain unread that is read now. Short of a lasting overload it
//! isn't known: after a hold-up it may have come a moment ago.
Duration unreadTime(const GatewayTraffic &state, TimePoint now)
{
    return state.loopWindow_.size_ ? std::max(Duration(), currentDelay(state.loopDelay_, now))
                                   : Duration();
}

} // namespace
} // namespace detail

void onGatewayRequest(GatewayTraffic &state, const GatewayView &view, GatewayRequest request,
                      TimePoint now)
{
    ++state.counters_.received_;
    if (state.requests_.empty())
        state.lastTickAt_ = now; // An idle process needs no ticks.
    const ExchangeId exchange = request.exchange_;
    GatewayContext &context = state.requests_[exchange];
    context.request_ = std::move(request);
    context.arrivedAt_ = now - detail::unreadTime(state, now);
    context.deadline_ = context.arrivedAt_
                        + context.request_.timeout_.value_or(state.limits_.defaultTimeout_);
    detail::noteRequestId(state, context);
    detail::runFilters(state, view, context, now);
    detail::dispatchQueued(state, view, now);
}

void onGatewayCallerDisconnected(GatewayTraffic &state, const GatewayView &view,
                                 ExchangeId exchange, TimePoint now)
{
    const auto found = state.requests_.find(exchange);
    if (found == state.requests_.end())
        return;
    ++state.counters_.callersDisconnected_;
    GatewayContext &context = found->second;
    detail::emit(state, logEvent(LogLevel::Info, detail::requestLine("caller-gone", context, now)));
    detail::cancelDispatch(state, context);
    detail::removeRequest(state, context);
    detail::dispatchQueued(state, view, now);
}

void onDispatchConnection(GatewayTraffic &state, DispatchId dispatch,
                          const DispatchConnection &connection)
{
    if (GatewayContext *context = detail::contextOf(state, dispatch))
        context->dispatch_->connection_ = connection;
}

bool confirmDispatch(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                     TimePoint now)
{
    GatewayContext *context = detail::contextOf(state, dispatch);
    if (context == nullptr)
        return false;
    if (isPathUsable(*context, view, state, now))
        return true;
    detail::emit(state,
                 logEvent(LogLevel::Info, detail::requestLine("send-withdrawn", *context, now)
                                                  .add("reason", "endpoint")));
    detail::emit(state, CancelDispatch {dispatch});
    releaseDispatch(*context, state);
    countNotRun(*context, state, now);
    enqueue(*context, state, true);
    detail::dispatchQueued(state, view, now);
    return false;
}

void onDispatchHead(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                    const EndpointResponseHead &head, TimePoint now)
{
    GatewayContext *context = detail::contextOf(state, dispatch);
    if (context == nullptr)
        return;
    if (head.foreign_) {
        ++state.counters_.foreignResponses_;
        detail::emit(state, CancelDispatch {dispatch});
        return onDispatchFailed(state, view, dispatch, DispatchFailure::ProtocolError,
                                "success without the endpoint's stamp", now);
    }
    context->dispatch_->head_ = head;
    detail::takeNotice(state, *context->dispatch_, now);
    if (!head.reportedLoad_)
        return;
    EndpointUsage &usage = state.endpointUsage_[context->dispatch_->endpoint_];
    usage.requestsAtEndpoint_ = *head.reportedLoad_;
    usage.reportedAt_ = now;
}

void onDispatchEvents(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                      std::optional<EventId> last, TimePoint now)
{
    GatewayContext *context = detail::contextOf(state, dispatch);
    if (context == nullptr)
        return;
    detail::notePace(state, view, *context, last, now);
    if (context->streamStarted_)
        context->longestPause_ = std::max(context->longestPause_, now - context->lastEventAt_);
    context->lastEventAt_ = now;
    context->dispatch_->lastProgressAt_ = now;
    noteDispatchAnswered(*context, state, now);
    context->dispatch_->probeRequested_ = false;
    if (!context->dispatch_->prefillTimes_.empty()) {
        releasePendingPrefill(*context, state);
        detail::recordSuccess(state, *context);
    }
    context->eventCount_ += detail::eventsSince(*context, last);
    if (last)
        context->lastEvent_ = last;
    if (!context->streamStarted_) {
        context->streamStarted_ = true;
        context->firstEventAt_ = now;
        detail::emit(state, BeginStream {context->request_.exchange_, dispatch});
    }
    detail::emit(state, ForwardEvents {context->request_.exchange_, dispatch});
}

void onDispatchDone(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                    TimePoint now)
{
    GatewayContext *context = detail::contextOf(state, dispatch);
    if (context == nullptr)
        return;
    const EndpointResponseHead &head = context->dispatch_->head_;
    if (head.notRun_) {
        const EndpointId faulty = detail::faultyEndpoint(*context, view);
        detail::recordFailure(state, *context, faulty, now);
        context->retryAt_
                = now + retryDelay(state.limits_.retry_, context->dispatchCount_, state.random_);
        detail::onDispatchEnded(state, view, *context, AttemptOutcome::NotRun,
                                "status " + std::to_string(head.status_) + " of " + faulty.value_,
                                now);
    } else if (head.success_ && context->streamStarted_ && !head.eventStream_) {
        detail::recordFailure(state, *context, context->dispatch_->endpoint_, now);
        detail::onDispatchEnded(state, view, *context, AttemptOutcome::Unknown,
                                "no events after a part of a stream", now);
    } else if (!head.success_) {
        noteDispatchAnswered(*context, state, now);
        context->failedEndpoints_.insert(context->dispatch_->endpoint_);
        detail::onDispatchEnded(state, view, *context, AttemptOutcome::ErrorResponse,
                                "status " + std::to_string(head.status_), now);
    } else {
        noteDispatchAnswered(*context, state, now);
        detail::recordSuccess(state, *context);
        ++state.counters_.answered_;
        learnOutput(*context, state, now);
        detail::logAnswered(state, *context, now);
        if (context->streamStarted_)
            detail::emit(state, FinishStream {context->request_.exchange_});
        else
            detail::emit(state, DeliverResponse {context->request_.exchange_, dispatch});
        detail::removeRequest(state, *context);
    }
    detail::dispatchQueued(state, view, now);
}

void onDispatchFailed(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                      DispatchFailure failure, const std::string &reason, TimePoint now)
{
    GatewayContext *context = detail::contextOf(state, dispatch);
    if (context == nullptr)
        return;
    detail::recordFailure(state, *context, context->dispatch_->endpoint_, now);
    if (failure != DispatchFailure::NotSent)
        detail::reportLoss(state, *context, now);
    detail::onDispatchEnded(state, view, *context,
                            failure == DispatchFailure::NotSent ? AttemptOutcome::NotRun
                                                                : AttemptOutcome::Unknown,
                            reason, now);
    detail::dispatchQueued(state, view, now);
}

void onGatewayTick(GatewayTraffic &state, const GatewayView &view, TimePoint now)
{
    detail::noteHoldUp(state, now);
    detail::reportAnswers(state, view);
    detail::pruneSpeeds(state, now);
    std::vector<ExchangeId> ids;
    ids.reserve(state.requests_.size());
    for (const auto &[id, context] : state.requests_)
        ids.push_back(id);
    for (const ExchangeId id : ids) {
        const auto found = state.requests_.find(id);
        if (found != state.requests_.end())
            detail::checkRequest(state, view, found->second, now);
    }
    detail::dispatchQueued(state, view, now);
}

void onLoopTick(GatewayTraffic &state, Duration delay, TimePoint now)
{
    noteTick(state.loopDelay_, delay);
    state.loopDelay_.nextDueAt_ = now + GatewayTickInterval;
    const bool wasLimited = state.loopWindow_.size_.has_value();
    adjustWindow(state.loopWindow_, state.limits_.loopWindow_, delay,
                 state.exchangesByDispatch_.size(), now);
    if (state.loopWindow_.size_.has_value() != wasLimited)
        detail::emit(state,
                     logEvent(LogLevel::Warning,
                              LogLine(wasLimited ? "overload-ended" : "overload-began")
                                      .add("late_ms", delay)
                                      .add("in_progress",
                                           std::uint64_t {state.exchangesByDispatch_.size()})));
}

void stopDispatching(GatewayTraffic &state, TimePoint from)
{
    state.dispatchUntil_ = from;
}

void onGatewayStop(GatewayTraffic &state, TimePoint now)
{
    while (!state.requests_.empty())
        detail::endRequest(state, state.requests_.begin()->second, GatewayRefusal::Stopping,
                           GatewayRefusal::Failed, "stop", now);
}

bool isGatewayIdle(const GatewayTraffic &state)
{
    return state.requests_.empty();
}

} // namespace gypsumcroft
