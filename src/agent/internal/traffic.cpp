#include "agent/traffic.h"

#include <algorithm>

#include "filters/agentfilters.h"

namespace gypsumcroft {

namespace detail {

void sendStreamFailed(AgentTraffic &state, const StreamPlan &plan, RefusalCode code, RunState run,
                      bool died, const std::string &reason)
{
    emit(state, logEvent(LogLevel::Warning, LogLine("stream-refused")
                                                    .add("request", plan.request_)
                                                    .add("organisation", plan.organisation_)
                                                    .add("epoch", plan.epoch_)
                                                    .add("code", refusalCodeName(code))
                                                    .add("run", runStateName(run))
                                                    .add("reason", reason)));
    emit(state,
         SendMessage {plan.entry_, StreamFailedMessage {plan.request_, plan.epoch_, state.self_,
                                                        code, run, died, reason}});
}

void endStream(AgentTraffic &state, const RequestId &request, Epoch epoch, TimePoint now)
{
    recordEnded(state, request, epoch, now);
    const auto stream = state.streams_.find(request);
    if (stream != state.streams_.end() && stream->second.plan_.epoch_ <= epoch) {
        if (stream->second.hasRun_)
            emit(state, CancelEngineStream {request, stream->second.plan_.epoch_});
        state.streams_.erase(stream);
    }
    std::erase_if(state.backlog_, [&](const WaitingStep &waiting) {
        return waiting.step_.plan_.request_ == request && waiting.step_.plan_.epoch_ <= epoch;
    });
}

//! Ends a stream on this agent and reports the failure to its entry.
void failStream(AgentTraffic &state, const RequestId &request, RefusalCode code, bool died,
                const std::string &reason, TimePoint now)
{
    const auto found = state.streams_.find(request);
    if (found == state.streams_.end())
        return;
    const StreamPlan plan = found->second.plan_;
    const RunState run = found->second.hasRun_ ? RunState::Unknown : RunState::NotRun;
    endStream(state, request, plan.epoch_, now);
    sendStreamFailed(state, plan, code, run, died, reason);
}

void runStepChain(AgentTraffic &state, const AgentView &view, StepContext &context, TimePoint now)
{
    const FilterResult result
            = runChain(stepChain(), context.nextFilter_, context, view, state, now);
    if (result.action_ != FilterAction::Refuse)
        return;
    ++state.counters_.refused_;
    const StreamPlan &plan = context.step_.plan_;
    recordEnded(state, plan.request_, plan.epoch_, now);
    sendStreamFailed(state, plan, result.refusal_.code_, RunState::NotRun, false,
                     result.refusal_.reason_);
}

void drainBacklog(AgentTraffic &state, const AgentView &view, TimePoint now)
{
    std::deque<WaitingStep> waiting = std::move(state.backlog_);
    state.backlog_.clear();
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const WaitingStep &left, const WaitingStep &right) {
                         return left.step_.plan_.rank_ < right.step_.plan_.rank_;
                     });
    for (WaitingStep &entry : waiting) {
        StepContext context {std::move(entry.step_), entry.arrivedAt_, 0};
        runStepChain(state, view, context, now);
    }
}

void endCall(AgentTraffic &state, const AgentCall &call, CallResultMessage result, TimePoint now)
{
    const AttemptId attempt = call.message_.attempt_;
    emit(state,
         logEvent(LogLevel::Info,
                  LogLine("call-ended")
                          .add("request", call.message_.request_)
                          .add("organisation", call.message_.organisation_)
                          .add("attempt", attempt)
                          .add("ending",
                               result.outcome_ ? "outcome" : refusalCodeName(result.refusal_.code_))
                          .add("run",
                               result.outcome_ ? "done" : runStateName(result.refusal_.run_))));
    emit(state, SendMessage {call.message_.entry_, std::move(result)});
    recordEnded(state, attempt, now);
    std::erase(state.callBacklog_, attempt);
    state.calls_.erase(attempt);
}

CallResultMessage refusalResult(const AgentTraffic &state, const AgentCall &call, RefusalCode code,
                                RunState run, std::string reason)
{
    return {call.message_.request_,
            call.message_.attempt_,
            std::nullopt,
            {code, run, std::move(reason), {}},
            false,
            state.self_};
}

void runCallChain(AgentTraffic &state, const AgentView &view, AgentCall &call, TimePoint now)
{
    const FilterResult result = runChain(callChain(), call.nextFilter_, call, view, state, now);
    if (result.action_ != FilterAction::Refuse)
        return;
    ++state.counters_.refused_;
    if (call.message_.scope_ && call.nonce_.value_ != 0)
        emit(state, CloseClaim {call.message_.scope_->key_, call.nonce_, std::nullopt});
    endCall(state, call,
            refusalResult(state, call, result.refusal_.code_, RunState::NotRun,
                          result.refusal_.reason_),
            now);
}

void drainCallBacklog(AgentTraffic &state, const AgentView &view, TimePoint now)
{
    while (!state.callBacklog_.empty() && busySlots(state) < view.report_.slots_.value_) {
        const auto call = state.calls_.find(state.callBacklog_.front());
        state.callBacklog_.pop_front();
        if (call != state.calls_.end())
            runCallChain(state, view, call->second, now);
    }
}

void expireWaitingCalls(AgentTraffic &state, TimePoint now)
{
    const std::deque<AttemptId> backlog = state.callBacklog_;
    for (const AttemptId &attempt : backlog) {
        const auto call = state.calls_.find(attempt);
        if (call == state.calls_.end() || call->second.deadline_ > now)
            continue;
        endCall(state, call->second,
                refusalResult(state, call->second, RefusalCode::Expired, RunState::NotRun,
                              "no slot came free in time"),
                now);
    }
}

void expireStreams(AgentTraffic &state, TimePoint now)
{
    std::vector<RequestId> idle;
    for (const auto &[request, stream] : state.streams_) {
        if (now - stream.lastActivityAt_ >= state.limits_.streamIdleTimeout_)
            idle.push_back(request);
    }
    for (const RequestId &request : idle)
        failStream(state, request, RefusalCode::EndpointFailed, false, "no step for too long", now);
}

void eraseIfExpired(AgentTraffic &state, const RequestId &request, TimePoint before)
{
    const auto found = state.ended_.find(request);
    if (found != state.ended_.end() && found->second.endedAt_ <= before)
        state.ended_.erase(found);
}

void eraseIfExpired(AgentTraffic &state, const AttemptId &attempt, TimePoint before)
{
    const auto found = state.endedAttempts_.find(attempt);
    if (found != state.endedAttempts_.end() && found->second <= before)
        state.endedAttempts_.erase(found);
}

void expireEnded(AgentTraffic &state, TimePoint now)
{
    const TimePoint before = now - state.limits_.endedRetention_;
    while (!state.endedByTime_.empty() && state.endedByTime_.front().first <= before) {
        std::visit([&](const auto &id) { eraseIfExpired(state, id, before); },
                   state.endedByTime_.front().second);
        state.endedByTime_.pop_front();
    }
}

//! Ends a stream at the other hops when its entry is unreachable; otherwise they would hold their
//! slots until the stream counts as idle.
void endOtherHops(AgentTraffic &state, const StreamPlan &plan)
{
    for (const RouteHop &hop : plan.route_) {
        if (hop.endpoint_ != state.self_)
            emit(state, SendMessage {hop.agent_, EndStreamMessage {plan.request_, plan.epoch_}});
    }
}

bool usesPeer(const AgentStream &stream, const Address &peer)
{
    const Route &route = stream.plan_.route_;
    const std::size_t next = (stream.hop_ + 1) % route.size();
    return route[next].agent_ == peer;
}

bool validStep(const AgentTraffic &state, const StepMessage &step)
{
    return step.hop_ < step.plan_.route_.size() && !step.inputs_.empty()
           && step.plan_.route_[step.hop_].endpoint_ == state.self_;
}

} // namespace detail

void onStep(AgentTraffic &state, const AgentView &view, StepMessage step, TimePoint now)
{
    if (!detail::validStep(state, step)) {
        ++state.counters_.droppedSteps_;
        return;
    }
    StepContext context {std::move(step), now, 0};
    detail::runStepChain(state, view, context, now);
}

void onStepResult(AgentTraffic &state, const AgentView &view, StepResult result, TimePoint now)
{
    const auto found = state.streams_.find(result.request_);
    if (found == state.streams_.end() || found->second.plan_.epoch_ != result.epoch_
        || !found->second.running_ || found->second.lastFirstPosition_ != result.firstPosition_)
        return;
    AgentStream &stream = found->second;
    stream.running_ = false;
    stream.lastActivityAt_ = now;
    if (result.endpointDied_) {
        onEndpointDied(state, view, now);
        return;
    }
    if (!result.failure_.empty() || result.outputs_.empty()) {
        stream.hasRun_ = stream.hasRun_ && !(result.notRun_ && result.firstPosition_.value_ == 0);
        detail::failStream(state, result.request_, RefusalCode::EndpointFailed, false,
                           result.failure_, now);
        detail::drainBacklog(state, view, now);
        return;
    }
    const bool last = stream.hop_ + 1 == stream.plan_.route_.size();
    stream.lastOutputs_ = std::move(result.outputs_);
    stream.lastEndsOutput_ = last
                             && (result.endOfOutput_
                                 || stream.nextPosition_.value_ >= stream.plan_.maxTokens_.value_);
    forwardStep(state, stream, stream.lastFirstPosition_, stream.lastOutputs_,
                stream.lastEndsOutput_);
}

void onEndStream(AgentTraffic &state, const AgentView &view, const EndStreamMessage &end,
                 TimePoint now)
{
    detail::endStream(state, end.request_, end.epoch_, now);
    detail::drainBacklog(state, view, now);
}

void onCall(AgentTraffic &state, const AgentView &view, CallMessage call, TimePoint now)
{
    const AttemptId attempt = call.attempt_;
    if (state.calls_.contains(attempt) || state.endedAttempts_.contains(attempt))
        return;
    AgentCall &entry = state.calls_[attempt];
    entry.deadline_ = now + call.remainingTime_;
    entry.message_ = std::move(call);
    detail::runCallChain(state, view, entry, now);
}

void onClaimResult(AgentTraffic &state, const AgentView &view, const ClaimResult &result,
                   TimePoint now)
{
    const auto found = state.calls_.find(result.attempt_);
    if (found == state.calls_.end() || found->second.phase_ != CallPhase::Claiming)
        return;
    AgentCall &call = found->second;
    switch (result.decision_) {
    case ClaimDecision::Granted:
        call.nonce_ = result.nonce_;
        detail::runCallChain(state, view, call, now);
        break;
    case ClaimDecision::Recorded:
        detail::endCall(
                state, call,
                {call.message_.request_, result.attempt_, result.outcome_, {}, false, state.self_},
                now);
        break;
    case ClaimDecision::KeyReused:
        detail::endCall(state, call,
                        detail::refusalResult(state, call, RefusalCode::KeyReused, RunState::NotRun,
                                              result.reason_),
                        now);
        break;
    case ClaimDecision::HeldElsewhere:
        detail::endCall(state, call,
                        detail::refusalResult(state, call, RefusalCode::InProgress,
                                              RunState::Unknown, result.reason_),
                        now);
        break;
    case ClaimDecision::NotClaimed:
        detail::endCall(state, call,
                        detail::refusalResult(state, call, RefusalCode::LogUnavailable,
                                              RunState::NotRun, result.reason_),
                        now);
        break;
    }
    detail::drainCallBacklog(state, view, now);
}

void onServiceResult(AgentTraffic &state, const AgentView &view, const ServiceResult &result,
                     TimePoint now)
{
    const auto found = state.calls_.find(result.attempt_);
    if (found == state.calls_.end() || found->second.phase_ != CallPhase::Running)
        return;
    AgentCall &call = found->second;
    const auto &scope = call.message_.scope_;
    if (scope && (result.outcome_ || result.notSent_))
        emit(state, CloseClaim {scope->key_, call.nonce_, result.outcome_});
    if (result.outcome_) {
        detail::endCall(
                state, call,
                {call.message_.request_, result.attempt_, result.outcome_, {}, false, state.self_},
                now);
    } else {
        CallResultMessage message = detail::refusalResult(
                state, call,
                result.notSent_ ? RefusalCode::EndpointFailed : RefusalCode::OutcomeUnknown,
                result.notSent_ ? RunState::NotRun : RunState::Unknown, result.failure_);
        message.endpointDied_ = result.endpointDied_;
        detail::endCall(state, call, std::move(message), now);
    }
    detail::drainCallBacklog(state, view, now);
}

void onPeerDown(AgentTraffic &state, const AgentView &view, const Address &peer, TimePoint now)
{
    std::vector<RequestId> affected;
    for (const auto &[request, stream] : state.streams_) {
        if (stream.plan_.entry_ == peer || detail::usesPeer(stream, peer))
            affected.push_back(request);
    }
    std::sort(affected.begin(), affected.end());
    for (const RequestId &request : affected) {
        const StreamPlan plan = state.streams_.at(request).plan_;
        if (plan.entry_ == peer)
            detail::endOtherHops(state, plan);
        detail::failStream(state, request, RefusalCode::EndpointFailed, false,
                           "a process of the route can't be reached", now);
    }
    detail::drainBacklog(state, view, now);
}

void onEndpointDied(AgentTraffic &state, const AgentView &view, TimePoint now)
{
    state.endedIncarnation_ = view.endpointIncarnation_;
    std::vector<RequestId> affected;
    for (const auto &[request, stream] : state.streams_)
        affected.push_back(request);
    std::sort(affected.begin(), affected.end());
    for (const RequestId &request : affected) {
        // The death is not counted against a request that had not run a step yet.
        const bool hadRun = state.streams_.at(request).hasRun_;
        detail::failStream(state, request, RefusalCode::EndpointFailed, hadRun, "the endpoint died",
                           now);
    }
    detail::drainBacklog(state, view, now);
}

void onTick(AgentTraffic &state, const AgentView &view, TimePoint now)
{
    detail::expireStreams(state, now);
    detail::expireWaitingCalls(state, now);
    detail::drainBacklog(state, view, now);
    detail::drainCallBacklog(state, view, now);
    detail::expireEnded(state, now);
}

bool isIdle(const AgentTraffic &state)
{
    return state.streams_.empty() && state.backlog_.empty() && state.calls_.empty();
}

} // namespace gypsumcroft
