#include "entry/traffic.h"

#include <algorithm>
#include <map>

#include "filters/entryfilters.h"

namespace gypsumcroft {

namespace detail {

RunState runStateOf(const RequestContext &context)
{
    return context.mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
}

RequestContext *findRequest(EntryTraffic &state, const RequestId &id)
{
    const auto found = state.requests_.find(id);
    return found == state.requests_.end() ? nullptr : &found->second;
}

void logEnded(EntryTraffic &state, const RequestContext &context, std::string_view ending,
              TimePoint now)
{
    emit(state,
         logEvent(LogLevel::Info, LogLine("ended")
                                          .add("request", context.request_.id_)
                                          .add("organisation", context.organisation_)
                                          .add("template", context.request_.template_)
                                          .add("ending", ending)
                                          .add("tokens", std::uint64_t {context.tokens_.size()})
                                          .add("attempts", std::uint64_t {context.attempts_})
                                          .add("ms", now - context.arrival_)));
}

//! Ends the stream at every hop of the route, to free its slots.
void endStreams(EntryTraffic &state, const RequestContext &context)
{
    for (const RouteHop &hop : context.route_)
        emit(state,
             SendMessage {hop.agent_, EndStreamMessage {context.request_.id_, context.epoch_}});
}

void releaseWork(EntryTraffic &state, RequestContext &context)
{
    if (context.phase_ == RequestPhase::Streaming)
        endStreams(state, context);
    if (context.phase_ == RequestPhase::Streaming || context.phase_ == RequestPhase::Calling)
        releaseWindows(context, state);
    if (context.phase_ == RequestPhase::Queued)
        removeRequest(state.queue_, toQueuedRequest(context));
    context.route_.clear();
}

void endWithRefusal(EntryTraffic &state, RequestContext &context, Refusal refusal, TimePoint now)
{
    releaseWork(state, context);
    auto &counter = refusal.run_ == RunState::NotRun ? state.counters_.refusedNotRun_
                                                     : state.counters_.refusedUnknown_;
    ++counter;
    emit(state, logEvent(LogLevel::Info, LogLine("refused")
                                                 .add("request", context.request_.id_)
                                                 .add("organisation", context.organisation_)
                                                 .add("template", context.request_.template_)
                                                 .add("code", refusalCodeName(refusal.code_))
                                                 .add("run", runStateName(refusal.run_))
                                                 .add("reason", refusal.reason_)
                                                 .add("ms", now - context.arrival_)));
    const RequestId id = context.request_.id_;
    emit(state, DeliverRefusal {id, std::move(refusal), context.request_.template_});
    state.requests_.erase(id);
}

void endWithOutcome(EntryTraffic &state, RequestContext &context, CallOutcome outcome,
                    TimePoint now)
{
    releaseWork(state, context);
    countSuccess(state.retryBudget_, state.limits_.retry_);
    ++state.counters_.completed_;
    logEnded(state, context, "answered", now);
    const RequestId id = context.request_.id_;
    emit(state, DeliverOutcome {id, std::move(outcome)});
    state.requests_.erase(id);
}

//! Puts a request back into the queue, in front of its caller's other requests.
void requeue(EntryTraffic &state, RequestContext &context)
{
    context.phase_ = RequestPhase::Queued;
    context.nextFilter_ = routeFilterIndex();
    pushRequestFront(state.queue_, toQueuedRequest(context));
}

void delayRetry(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    context.phase_ = RequestPhase::Delayed;
    context.retryAt_ = now + retryDelay(state.limits_.retry_, context.attempts_, state.random_);
}

//! Schedules a retry if one is allowed, else ends the request with the refusal.
void retryOrEnd(EntryTraffic &state, RequestContext &context, Refusal refusal, TimePoint now)
{
    releaseWork(state, context);
    const bool begun = !context.tokens_.empty();
    const TimePoint deadline
            = begun ? context.progressAt_ + state.limits_.streamTimeout_ : context.deadline_;
    // Busy is not a failure of the request, so it needs no retry budget: the dispatch window
    // shrinks instead.
    const bool unbounded = begun || refusal.code_ == RefusalCode::Busy;
    const bool allowed = unbounded ? now < deadline
                                   : takeRetry(state.retryBudget_, state.limits_.retry_,
                                               context.attempts_, deadline, now);
    if (allowed) {
        delayRetry(state, context, now);
        return;
    }
    context.phase_ = RequestPhase::Delayed;
    // The refusal's run state covers the last attempt only; an earlier one may have run.
    refusal.run_ = runStateOf(context);
    endWithRefusal(state, context, std::move(refusal), now);
}

//! Runs the chain from the request's next filter, and requeues or refuses the request by its
//! result.
void runRequestChain(EntryTraffic &state, RequestContext &context, const RoutingView &view,
                     TimePoint now)
{
    FilterResult result = runChain(entryChain(), context.nextFilter_, context, view, state, now);
    if (result.action_ == FilterAction::Hold) {
        requeue(state, context);
        return;
    }
    if (result.action_ != FilterAction::Refuse)
        return;
    result.refusal_.run_ = runStateOf(context);
    context.phase_ = RequestPhase::Delayed;
    endWithRefusal(state, context, std::move(result.refusal_), now);
}

//! Dispatches queued requests while endpoints have free capacity.
void dispatchQueued(EntryTraffic &state, const RoutingView &view, TimePoint now)
{
    state.queue_.minShares_ = view.config_->fleet_.minShares_;
    while (state.queue_.size_ > 0) {
        std::map<std::pair<TargetName, Rank>, bool> routable;
        const auto mayTake = [&](const QueuedRequest &queued) {
            RequestContext *context = findRequest(state, queued.request_);
            if (context == nullptr)
                return true;
            std::erase_if(context->avoidedEndpoints_,
                          [&](const AvoidedEndpoint &avoided) { return avoided.until_ <= now; });
            context->belowMinShare_ = isBelowMinShare(state.queue_, context->template_.rank_);
            const bool shared = !context->scope_ && context->avoidedEndpoints_.empty();
            if (!shared)
                return canRoute(*context, view, state, now);
            const std::pair kind(context->template_.target_, context->template_.rank_);
            const auto known = routable.find(kind);
            if (known != routable.end())
                return known->second;
            const bool can = canRoute(*context, view, state, now);
            routable.emplace(kind, can);
            return can;
        };
        const auto next = popRequest(state.queue_, mayTake);
        if (!next)
            return;
        RequestContext *context = findRequest(state, next->request_);
        if (context != nullptr)
            runRequestChain(state, *context, view, now);
    }
}

void failStream(EntryTraffic &state, RequestContext &context, RefusalCode code, std::string reason,
                TimePoint now)
{
    ++state.counters_.rerouted_;
    emit(state,
         logEvent(LogLevel::Warning, LogLine("stream-failed")
                                             .add("request", context.request_.id_)
                                             .add("organisation", context.organisation_)
                                             .add("epoch", context.epoch_)
                                             .add("tokens", std::uint64_t {context.tokens_.size()})
                                             .add("reason", reason)));
    const RunState run = runStateOf(context);
    retryOrEnd(state, context, {code, run, std::move(reason), std::chrono::seconds(1)}, now);
}

//! Starts to resolve the current attempt: only the claims log shows whether the call ran.
void startResolving(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    releaseWindows(context, state);
    context.route_.clear();
    context.phase_ = RequestPhase::Resolving;
    const TimePoint deadline = std::max(now, context.deadline_) + state.limits_.resolveGracePeriod_;
    context.retryAt_ = deadline;
    emit(state, ResolveAttempt {context.request_.id_, context.scope_->key_, context.attempt_,
                                context.claimsOffset_, deadline});
}

void failCall(EntryTraffic &state, RequestContext &context, std::string reason, TimePoint now)
{
    if (context.scope_) {
        startResolving(state, context, now);
        return;
    }
    retryOrEnd(state, context,
               {RefusalCode::EndpointFailed, RunState::Unknown, std::move(reason),
                std::chrono::seconds(1)},
               now);
}

void countFirstToken(EntryTraffic &state, const RequestContext &context, TimePoint now)
{
    const auto rank = static_cast<std::size_t>(context.template_.rank_);
    const Duration took = now - context.progressAt_;
    recordServiceTime(state.serviceTimes_[rank], took);
    SpeedClassServiceTime &service
            = state.speedClassServiceTimes_[rank][context.speedClass_.minTokenCost_];
    recordServiceTime(service.serviceTime_, took);
    service.measuredAt_ = now;
}

void tickStreaming(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    const bool begun = !context.tokens_.empty();
    if (!begun && now >= context.deadline_) {
        // Timed-out requests count with the time until now; without them the service time would be
        // underestimated.
        countFirstToken(state, context, now);
        endWithRefusal(state, context,
                       {RefusalCode::Expired, RunState::Unknown,
                        "no token within the template's patience", std::chrono::seconds(1)},
                       now);
        return;
    }
    if (now - context.progressAt_ < state.limits_.stallAfter_)
        return;
    failStream(state, context, RefusalCode::EndpointFailed, "no token within the stall time", now);
}

void tickDelayed(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    const bool begun = !context.tokens_.empty();
    const TimePoint deadline
            = begun ? context.progressAt_ + state.limits_.streamTimeout_ : context.deadline_;
    if (now >= deadline) {
        endWithRefusal(state, context,
                       {begun ? RefusalCode::EndpointFailed : RefusalCode::Expired,
                        runStateOf(context), "no endpoint could go on with the request in time",
                        std::chrono::seconds(1)},
                       now);
        return;
    }
    if (now >= context.retryAt_)
        requeue(state, context);
}

void tickCalling(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    if (now < context.deadline_)
        return;
    if (context.scope_) {
        startResolving(state, context, now);
        return;
    }
    endWithRefusal(state, context,
                   {RefusalCode::Expired, RunState::Unknown, "no answer within the patience",
                    std::chrono::seconds(1)},
                   now);
}

void tickCancelling(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    if (now < context.retryAt_)
        return;
    endWithRefusal(state, context,
                   {RefusalCode::OutcomeUnknown,
                    RunState::Unknown,
                    "the log could not tell in time whether the call ran",
                    {}},
                   now);
}

void tickQueued(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    const bool begun = !context.tokens_.empty();
    const TimePoint deadline
            = begun ? context.progressAt_ + state.limits_.streamTimeout_ : context.deadline_;
    if (now < deadline)
        return;
    endWithRefusal(state, context,
                   {RefusalCode::Expired, runStateOf(context),
                    "not dispatched within the template's patience", std::chrono::seconds(1)},
                   now);
}

void tickRequest(EntryTraffic &state, RequestContext &context, TimePoint now)
{
    switch (context.phase_) {
    case RequestPhase::Queued:
        return tickQueued(state, context, now);
    case RequestPhase::Delayed:
        return tickDelayed(state, context, now);
    case RequestPhase::Streaming:
        return tickStreaming(state, context, now);
    case RequestPhase::Calling:
        return tickCalling(state, context, now);
    case RequestPhase::Resolving:
        return tickCancelling(state, context, now);
    }
}

//! Time at which tickRequest() next has to handle the request.
TimePoint dueAt(const EntryTraffic &state, const RequestContext &context)
{
    const bool begun = !context.tokens_.empty();
    const TimePoint ends
            = begun ? context.progressAt_ + state.limits_.streamTimeout_ : context.deadline_;
    switch (context.phase_) {
    case RequestPhase::Queued:
        return ends;
    case RequestPhase::Delayed:
        return std::min(ends, context.retryAt_);
    case RequestPhase::Streaming:
        return std::min(begun ? TimePoint::max() : context.deadline_,
                        context.progressAt_ + state.limits_.stallAfter_);
    case RequestPhase::Calling:
        return context.deadline_;
    case RequestPhase::Resolving:
        return context.retryAt_;
    }
    return TimePoint::min();
}

std::vector<RequestId> dueRequests(const EntryTraffic &state, TimePoint now)
{
    std::vector<RequestId> ids;
    for (const auto &[id, context] : state.requests_) {
        if (dueAt(state, context) <= now)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

//! A copy of the ids, because handling one request may erase others.
std::vector<RequestId> requestIds(const EntryTraffic &state)
{
    std::vector<RequestId> ids;
    ids.reserve(state.requests_.size());
    for (const auto &[id, context] : state.requests_)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool usesAgent(const RequestContext &context, const Address &agent)
{
    return std::any_of(context.route_.begin(), context.route_.end(),
                       [&](const RouteHop &hop) { return hop.agent_ == agent; });
}

void shrinkWindowAt(EntryTraffic &state, const EndpointId &endpoint, Rank rank, TimePoint now)
{
    const auto window = state.windows_.find(endpoint);
    if (window != state.windows_.end())
        shrinkWindow(window->second, rank, now);
}

//! Busy shrinks the endpoint's dispatch window; after a failure, or while the endpoint is leaving,
//! the request avoids it for a while.
void applyRefusal(EntryTraffic &state, RequestContext &context, const EndpointId &endpoint,
                  RefusalCode code, TimePoint now)
{
    if (code == RefusalCode::Busy)
        return shrinkWindowAt(state, endpoint, context.template_.rank_, now);
    if (code == RefusalCode::Leaving)
        emit(state, ReportEndpointFailure {endpoint, FailureKind::Leaving, {}});
    if (code == RefusalCode::Leaving || code == RefusalCode::EndpointFailed)
        context.avoidedEndpoints_.push_back({endpoint, now + state.limits_.avoidFor_});
}

void growWindows(EntryTraffic &state, const RoutingView &view, const RequestContext &context)
{
    for (const RouteHop &hop : context.route_) {
        const auto index = view.byEndpoint_.find(hop.endpoint_);
        if (index != view.byEndpoint_.end())
            growWindow(state.windows_[hop.endpoint_], context.template_.rank_,
                       view.endpoints_[index->second].report_.slots_);
    }
}

void finishStream(EntryTraffic &state, RequestContext &context, const RoutingView &view,
                  TimePoint now)
{
    growWindows(state, view, context);
    releaseWork(state, context);
    countSuccess(state.retryBudget_, state.limits_.retry_);
    ++state.counters_.completed_;
    logEnded(state, context, "answered", now);
    emit(state, FinishTokenStream {context.request_.id_,
                                   static_cast<std::uint32_t>(context.tokens_.size())});
    state.requests_.erase(context.request_.id_);
}

} // namespace detail

void onCallerRequest(EntryTraffic &state, const RoutingView &view, CallerRequest request,
                     TimePoint now)
{
    ++state.counters_.received_;
    const RequestId id = request.id_;
    RequestContext &context = state.requests_[id];
    context.request_ = std::move(request);
    context.arrival_ = now;
    context.phase_ = RequestPhase::Delayed;
    if (state.draining_) {
        detail::endWithRefusal(state, context,
                               {RefusalCode::Leaving, RunState::NotRun, "this entry is stopping",
                                std::chrono::seconds(1)},
                               now);
        return;
    }
    detail::runRequestChain(state, context, view, now);
    detail::dispatchQueued(state, view, now);
}

void onCallerDisconnected(EntryTraffic &state, const RoutingView &view, const RequestId &request,
                          TimePoint now)
{
    RequestContext *context = detail::findRequest(state, request);
    if (context == nullptr)
        return;
    const RunState run = detail::runStateOf(*context);
    detail::endWithRefusal(state, *context,
                           {RefusalCode::CallerGone, run, "the caller closed its connection", {}},
                           now);
    detail::dispatchQueued(state, view, now);
}

void onToken(EntryTraffic &state, const RoutingView &view, const TokenMessage &token, TimePoint now)
{
    RequestContext *context = detail::findRequest(state, token.request_);
    if (context == nullptr || context->phase_ != RequestPhase::Streaming
        || context->epoch_ != token.epoch_ || context->tokens_.size() != token.index_.value_)
        return;
    if (context->tokens_.empty())
        detail::countFirstToken(state, *context, now);
    context->tokens_.push_back(token.text_);
    context->progressAt_ = now;
    ++state.counters_.tokens_;
    emit(state, DeliverToken {token.request_, token.index_, token.text_});
    if (!token.last_)
        return;
    detail::finishStream(state, *context, view, now);
    detail::dispatchQueued(state, view, now);
}

void onStreamFailed(EntryTraffic &state, const RoutingView &view,
                    const StreamFailedMessage &failure, TimePoint now)
{
    if (failure.endpointDied_) {
        RequestContext *blamed = detail::findRequest(state, failure.request_);
        ReportEndpointFailure report {failure.endpoint_, FailureKind::Died, {}};
        if (blamed != nullptr)
            report.inFlight_.push_back(blamed->fingerprint_);
        emit(state, std::move(report));
    }
    RequestContext *context = detail::findRequest(state, failure.request_);
    if (context == nullptr || context->phase_ != RequestPhase::Streaming
        || context->epoch_ != failure.epoch_)
        return;
    detail::applyRefusal(state, *context, failure.endpoint_, failure.code_, now);
    const bool first
            = !context->route_.empty() && context->route_.front().endpoint_ == failure.endpoint_;
    if (first && failure.run_ == RunState::NotRun)
        context->mayHaveRun_ = context->earlierMayHaveRun_;
    detail::failStream(state, *context, failure.code_, failure.reason_, now);
    detail::dispatchQueued(state, view, now);
}

void onCallResult(EntryTraffic &state, const RoutingView &view, const CallResultMessage &result,
                  TimePoint now)
{
    RequestContext *context = detail::findRequest(state, result.request_);
    const bool waiting = context != nullptr && context->attempt_ == result.attempt_
                         && (context->phase_ == RequestPhase::Calling
                             || context->phase_ == RequestPhase::Resolving);
    if (!waiting)
        return;
    if (result.endpointDied_)
        emit(state,
             ReportEndpointFailure {result.endpoint_, FailureKind::Died, {context->fingerprint_}});
    if (result.outcome_) {
        detail::growWindows(state, view, *context);
        detail::endWithOutcome(state, *context, *result.outcome_, now);
        detail::dispatchQueued(state, view, now);
        return;
    }
    detail::applyRefusal(state, *context, result.endpoint_, result.refusal_.code_, now);
    const bool final = result.refusal_.code_ == RefusalCode::KeyReused
                       || (context->scope_ && result.refusal_.run_ == RunState::Unknown);
    if (result.refusal_.run_ == RunState::NotRun)
        context->mayHaveRun_ = context->earlierMayHaveRun_;
    if (final)
        detail::endWithRefusal(state, *context, result.refusal_, now);
    else
        detail::retryOrEnd(state, *context, result.refusal_, now);
    detail::dispatchQueued(state, view, now);
}

void onAttemptResolved(EntryTraffic &state, const RoutingView &view,
                       const AttemptResolution &resolution, TimePoint now)
{
    RequestContext *context = detail::findRequest(state, resolution.request_);
    if (context == nullptr || context->phase_ != RequestPhase::Resolving
        || context->attempt_ != resolution.attempt_)
        return;
    if (resolution.outcome_) {
        detail::endWithOutcome(state, *context, *resolution.outcome_, now);
        return;
    }
    if (resolution.run_ == RunState::Unknown) {
        detail::endWithRefusal(state, *context,
                               {RefusalCode::OutcomeUnknown,
                                RunState::Unknown,
                                "the call may have run; its outcome is not known",
                                {}},
                               now);
        return;
    }
    context->mayHaveRun_ = context->earlierMayHaveRun_;
    detail::retryOrEnd(state, *context,
                       {RefusalCode::EndpointFailed, detail::runStateOf(*context),
                        "the attempt was cancelled before it ran", std::chrono::seconds(1)},
                       now);
    detail::dispatchQueued(state, view, now);
}

void onAgentDown(EntryTraffic &state, const RoutingView &view, const Address &agent, TimePoint now)
{
    for (const RequestId &id : detail::requestIds(state)) {
        RequestContext *context = detail::findRequest(state, id);
        if (context == nullptr || !detail::usesAgent(*context, agent))
            continue;
        if (context->phase_ == RequestPhase::Streaming)
            detail::failStream(state, *context, RefusalCode::EndpointFailed,
                               "an agent of the route is down", now);
        else if (context->phase_ == RequestPhase::Calling)
            detail::failCall(state, *context, "the agent is down", now);
    }
    detail::dispatchQueued(state, view, now);
}

void onTick(EntryTraffic &state, const RoutingView &view, TimePoint now)
{
    for (const RequestId &id : detail::dueRequests(state, now)) {
        RequestContext *context = detail::findRequest(state, id);
        if (context != nullptr)
            detail::tickRequest(state, *context, now);
    }
    detail::dispatchQueued(state, view, now);
}

void beginDrain(EntryTraffic &state)
{
    state.draining_ = true;
}

bool isIdle(const EntryTraffic &state)
{
    return state.requests_.empty();
}

} // namespace gypsumcroft
