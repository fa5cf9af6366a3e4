#include "filters/agentfilters.h"

#include <algorithm>

#include "policy/window.h"

namespace gypsumcroft {

namespace detail {

const RouteHop &ownHop(const StepMessage &step)
{
    return step.plan_.route_.at(step.hop_);
}

//! Drops steps of an epoch that has ended or was replaced by a newer one.
FilterResult checkEpoch(StepContext &context, const AgentView &, AgentTraffic &state, TimePoint)
{
    const StreamPlan &plan = context.step_.plan_;
    const auto ended = state.ended_.find(plan.request_);
    const bool hasEnded = ended != state.ended_.end() && plan.epoch_ <= ended->second.epoch_;
    const auto stream = state.streams_.find(plan.request_);
    const bool isReplaced
            = stream != state.streams_.end() && plan.epoch_ < stream->second.plan_.epoch_;
    if (!hasEnded && !isReplaced)
        return proceed();
    ++state.counters_.droppedSteps_;
    return hold();
}

//! Cancels the engine stream of an older epoch before the new epoch starts, to free its memory.
FilterResult replaceOlder(StepContext &context, const AgentView &, AgentTraffic &state, TimePoint)
{
    const StreamPlan &plan = context.step_.plan_;
    const auto stream = state.streams_.find(plan.request_);
    if (stream == state.streams_.end() || stream->second.plan_.epoch_ == plan.epoch_)
        return proceed();
    emit(state, CancelEngineStream {plan.request_, stream->second.plan_.epoch_});
    state.streams_.erase(stream);
    return proceed();
}

//! Runs each step of an epoch once and in order. A repeat of the last step is answered with the
//! stored result; any other step is dropped.
FilterResult checkOrder(StepContext &context, const AgentView &, AgentTraffic &state, TimePoint now)
{
    const StepMessage &step = context.step_;
    const auto found = state.streams_.find(step.plan_.request_);
    if (found == state.streams_.end()) {
        // Only a prefill opens a stream: the engine has no KV cache of the earlier positions.
        if (step.firstPosition_.value_ == 0)
            return proceed();
        ++state.counters_.droppedSteps_;
        return hold();
    }
    AgentStream &stream = found->second;
    if (!stream.running_ && step.firstPosition_ == stream.nextPosition_ && step.hop_ == stream.hop_)
        return proceed();
    const bool isRepeat = !stream.running_ && stream.hasRun_
                          && step.firstPosition_ == stream.lastFirstPosition_
                          && step.hop_ == stream.hop_;
    if (!isRepeat) {
        ++state.counters_.droppedSteps_;
        return hold();
    }
    ++state.counters_.repeatedSteps_;
    stream.lastActivityAt_ = now;
    forwardStep(state, stream, stream.lastFirstPosition_, stream.lastOutputs_,
                stream.lastEndsOutput_);
    return hold();
}

//! Refuses new streams unless the endpoint is ready. Existing streams continue on a leaving
//! endpoint.
FilterResult checkOpen(StepContext &context, const AgentView &view, AgentTraffic &state, TimePoint)
{
    if (state.streams_.contains(context.step_.plan_.request_))
        return proceed();
    if (view.state_ == EndpointState::Leaving)
        return refuse(RefusalCode::Leaving, "the endpoint is leaving");
    if (view.state_ != EndpointState::Ready || view.endpointIncarnation_ == state.endedIncarnation_)
        return refuse(RefusalCode::EndpointFailed, "the endpoint is not ready");
    const LayerRange layers = ownHop(context.step_).layers_;
    if (layers != view.report_.layers_)
        return refuse(RefusalCode::NoRoute, "the endpoint holds other layers");
    return proceed();
}

bool hasOtherSuspect(const AgentTraffic &state)
{
    return std::any_of(state.streams_.begin(), state.streams_.end(),
                       [](const auto &entry) { return entry.second.plan_.suspect_; });
}

//! True if background work holds at least half of the slots; less than half is within its minimum
//! share.
bool isBackgroundOverloaded(const AgentView &view, const AgentTraffic &state)
{
    const auto busy
            = std::count_if(state.streams_.begin(), state.streams_.end(), [](const auto &entry) {
                  return entry.second.plan_.rank_ == Rank::Background;
              });
    return static_cast<std::uint64_t>(busy) * 2 >= view.report_.slots_.value_;
}

//! Number of slots that a stream may use. An entry knows the load of other entries only with a
//! delay, so slots are reserved against background overload here.
std::size_t usableSlots(const StreamPlan &plan, const AgentView &view, const AgentTraffic &state)
{
    const std::uint32_t slots = view.report_.slots_.value_;
    const bool reserve = plan.rank_ == Rank::Background && isBackgroundOverloaded(view, state);
    return reserve ? slots - reservedSlots(view.report_.slots_).value_ : slots;
}

FilterResult takeSlot(StepContext &context, const AgentView &view, AgentTraffic &state,
                      TimePoint now)
{
    const StepMessage &step = context.step_;
    if (state.streams_.contains(step.plan_.request_))
        return proceed();
    const bool full = busySlots(state) >= usableSlots(step.plan_, view, state);
    const bool alone = !step.plan_.suspect_ || !hasOtherSuspect(state);
    if (!full && alone) {
        AgentStream stream;
        stream.plan_ = step.plan_;
        stream.hop_ = step.hop_;
        stream.lastActivityAt_ = now;
        state.streams_.emplace(step.plan_.request_, std::move(stream));
        return proceed();
    }
    if (state.backlog_.size() >= state.limits_.maxBacklog_)
        return refuse(RefusalCode::Busy, "no slot is free");
    if (now - context.arrivedAt_ >= state.limits_.maxBacklogWait_)
        return refuse(RefusalCode::Busy, "no slot came free in time");
    state.backlog_.push_back({step, context.arrivedAt_});
    return hold();
}

//! Counts the positions of a step, and returns the rank with which the engine runs it. A rank below
//! its minimum share on this engine runs as urgent, because the engine runs the most urgent step
//! first.
Rank engineRank(AgentTraffic &state, const StreamPlan &plan, std::size_t positions)
{
    constexpr double MaxCountedPositions = 2000;
    constexpr double WholePerMille = 1000;
    double total = 0;
    for (const double served : state.servedPositions_)
        total += served;
    double &own = state.servedPositions_[static_cast<std::size_t>(plan.rank_)];
    const bool belowMinShare = own * WholePerMille < total * plan.minShare_.value_;
    own += static_cast<double>(positions);
    if (total > MaxCountedPositions) {
        for (double &served : state.servedPositions_)
            served /= 2;
    }
    return belowMinShare ? Rank::Urgent : plan.rank_;
}

//! Within a rank, the first step of a stream runs before later steps of other streams, to shorten
//! the time to first token.
std::uint32_t enginePriority(Rank rank, TokenIndex firstPosition)
{
    const auto level = static_cast<std::uint32_t>(rank) * 2;
    return firstPosition.value_ == 0 ? level : level + 1;
}

FilterResult runStep(StepContext &context, const AgentView &, AgentTraffic &state, TimePoint now)
{
    StepMessage &step = context.step_;
    AgentStream &stream = state.streams_.at(step.plan_.request_);
    stream.running_ = true;
    stream.hasRun_ = true;
    stream.lastActivityAt_ = now;
    stream.lastFirstPosition_ = step.firstPosition_;
    stream.nextPosition_.value_
            = step.firstPosition_.value_ + static_cast<std::uint32_t>(step.inputs_.size());
    ++state.counters_.steps_;
    const Rank rank = engineRank(state, step.plan_, step.inputs_.size());
    const std::uint32_t priority = enginePriority(rank, step.firstPosition_);
    emit(state, RunStep {step.plan_.request_, step.plan_.epoch_, ownHop(step).layers_,
                         step.firstPosition_, std::move(step.inputs_), priority});
    return done();
}

FilterResult checkCallOpen(AgentCall &call, const AgentView &view, AgentTraffic &state,
                           TimePoint now)
{
    if (view.state_ == EndpointState::Leaving)
        return refuse(RefusalCode::Leaving, "the endpoint is leaving");
    if (view.state_ != EndpointState::Ready || view.endpointIncarnation_ == state.endedIncarnation_)
        return refuse(RefusalCode::EndpointFailed, "the endpoint is not ready");
    if (view.report_.kind_ != EndpointKind::Service)
        return refuse(RefusalCode::NoRoute, "the endpoint is not a plain service");
    if (call.deadline_ <= now)
        return refuse(RefusalCode::Expired, "no time is left");
    return proceed();
}

//! A waiting call uses no slot; busySlots() counts the call once it is past this filter.
FilterResult takeCallSlot(AgentCall &call, const AgentView &view, AgentTraffic &state, TimePoint)
{
    if (busySlots(state) < view.report_.slots_.value_) {
        call.phase_ = CallPhase::Claiming;
        return proceed();
    }
    if (state.callBacklog_.size() >= state.limits_.maxBacklog_)
        return refuse(RefusalCode::Busy, "no slot is free");
    state.callBacklog_.push_back(call.message_.attempt_);
    return hold();
}

FilterResult requestCallClaim(AgentCall &call, const AgentView &, AgentTraffic &state, TimePoint)
{
    if (!call.message_.scope_)
        return proceed();
    emit(state,
         ClaimRequest {call.message_.request_, call.message_.attempt_, *call.message_.scope_,
                       call.message_.fingerprint_, call.deadline_ - state.limits_.minCallTime_});
    return done();
}

FilterResult runCall(AgentCall &call, const AgentView &, AgentTraffic &state, TimePoint now)
{
    // The deadline is checked again because the process may have been paused since the claim.
    if (call.deadline_ - now < state.limits_.minCallTime_)
        return refuse(RefusalCode::Expired, "no time is left for the call");
    call.phase_ = CallPhase::Running;
    ++state.counters_.calls_;
    const auto &scope = call.message_.scope_;
    emit(state, CallService {call.message_.attempt_, call.message_.request_, call.message_.body_,
                             scope ? std::optional<KeyHash>(scope->key_) : std::nullopt,
                             call.deadline_ - now});
    return done();
}

constexpr StepFilter StepChain[] = {
        {"epoch", checkEpoch}, {"replace", replaceOlder}, {"order", checkOrder},
        {"open", checkOpen},   {"slot", takeSlot},        {"run", runStep},
};

constexpr CallFilter CallChain[] = {
        {"open", checkCallOpen},
        {"slot", takeCallSlot},
        {"claim", requestCallClaim},
        {"call", runCall},
};

} // namespace detail

void recordEnded(AgentTraffic &state, const RequestId &request, Epoch epoch, TimePoint now)
{
    EndedStream &ended = state.ended_[request];
    ended = {std::max(ended.epoch_, epoch), now};
    state.endedByTime_.emplace_back(now, request);
}

void recordEnded(AgentTraffic &state, AttemptId attempt, TimePoint now)
{
    state.endedAttempts_[attempt] = now;
    state.endedByTime_.emplace_back(now, attempt);
}

std::span<const StepFilter> stepChain()
{
    return detail::StepChain;
}

std::span<const CallFilter> callChain()
{
    return detail::CallChain;
}

std::size_t busySlots(const AgentTraffic &state)
{
    const auto active
            = std::count_if(state.calls_.begin(), state.calls_.end(), [](const auto &entry) {
                  return entry.second.phase_ != CallPhase::Waiting;
              });
    return state.streams_.size() + static_cast<std::size_t>(active);
}

AgentLoad agentLoad(const AgentTraffic &state)
{
    AgentLoad load;
    load.busySlots_ = {static_cast<std::uint32_t>(busySlots(state))};
    for (const auto &[request, stream] : state.streams_)
        ++load.byEntry_[stream.plan_.entry_].value_;
    for (const auto &[attempt, call] : state.calls_) {
        if (call.phase_ != CallPhase::Waiting)
            ++load.byEntry_[call.message_.entry_].value_;
    }
    return load;
}

void forwardStep(AgentTraffic &state, const AgentStream &stream, TokenIndex first,
                 const std::vector<std::string> &outputs, bool ends)
{
    const StreamPlan &plan = stream.plan_;
    const std::size_t nextHop = stream.hop_ + 1;
    if (nextHop < plan.route_.size()) {
        emit(state,
             SendMessage {plan.route_[nextHop].agent_,
                          StepMessage {plan, static_cast<std::uint32_t>(nextHop), first, outputs}});
        return;
    }
    const TokenIndex index {stream.nextPosition_.value_ - 1};
    const std::string &text = outputs.back();
    emit(state,
         SendMessage {plan.entry_, TokenMessage {plan.request_, plan.epoch_, index, text, ends}});
    if (!ends)
        emit(state, SendMessage {plan.route_.front().agent_,
                                 StepMessage {plan, 0, stream.nextPosition_, {text}}});
}

} // namespace gypsumcroft
