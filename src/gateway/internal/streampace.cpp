#include "gateway/internal/streampace.h"

#include <algorithm>

#include "filters/pathspeed.h"
#include "gateway/internal/requestend.h"

namespace gypsumcroft::detail {

namespace {

//! A sample during which this process was late by more than this part of it says little about the
//! endpoints: events may have waited to be read.
constexpr double MaxLatePart = 0.25;
//! Most events that may have arrived at once; ids that jump further count as one event.
constexpr std::uint64_t MaxEventsAtOnce = 64;

//! True if this process was held up since then or has more work than it can do.
bool wasBusySince(const GatewayTraffic &state, TimePoint since)
{
    return state.loopWindow_.size_ || state.heldUpUntil_ > since;
}

//! True if this process itself may have made up a good part of the time.
bool isLateFor(const GatewayTraffic &state, Duration time, TimePoint now)
{
    return toMilliseconds(currentDelay(state.loopDelay_, now)) > MaxLatePart * toMilliseconds(time);
}

//! Requests the speed of an endpoint unless it is known from a recent report.
void requestSpeed(GatewayTraffic &state, const PathPart &part, TimePoint now)
{
    EndpointUsage &usage = state.endpointUsage_[part.endpoint_];
    if (part.settled_ || now - usage.speedAskedAt_ < state.limits_.speedAskInterval_)
        return;
    usage.speedAskedAt_ = now;
    emit(state, RequestProbe {part.endpoint_, true});
}

void requestSpeeds(GatewayTraffic &state, const ActiveDispatch &dispatch, TimePoint now)
{
    for (const PathPart &part : dispatch.parts_)
        requestSpeed(state, part, now);
}

//! Requests the speeds of the path's endpoints that are estimated to be slow.
void confirmEstimates(GatewayTraffic &state, const ActiveDispatch &dispatch, TimePoint now)
{
    for (const PathPart &part : dispatch.parts_) {
        const auto estimate = state.estimatedSpeeds_.find(part.endpoint_);
        if (estimate != state.estimatedSpeeds_.end()
            && estimate->second.slowdown_ >= state.limits_.speed_.slowFrom_)
            requestSpeed(state, part, now);
    }
}

void settleParts(ActiveDispatch &dispatch, const GatewayView &view, const SpeedLimits &limits,
                 TimePoint now)
{
    for (PathPart &part : dispatch.parts_)
        part.settled_ = settledSlowdown(view, limits, part.endpoint_, part.incarnation_, now);
}

//! Compares a sample with what the path's endpoints usually take, and learns from it.
void judgeGap(GatewayTraffic &state, const GatewayContext &context, double gapMs, TimePoint now)
{
    const SpeedLimits &limits = state.limits_.speed_;
    const ActiveDispatch &dispatch = *context.dispatch_;
    const double expected = expectedStepMs(state.estimatedSpeeds_, dispatch.parts_, limits, now);
    if (expected <= 0)
        return;
    MedianRatio &usual = state.usualGaps_[context.target_];
    const auto ratio = medianOf(usual);
    learnRatio(usual, gapMs / expected, now);
    if (!ratio)
        return;
    const double stepMs = gapMs / *ratio;
    if (stepMs > limits.suspiciousFactor_ * expected)
        requestSpeeds(state, dispatch, now);
    attributeStep(state.estimatedSpeeds_, dispatch.parts_, stepMs, limits, now);
    confirmEstimates(state, dispatch, now);
}

} // namespace

std::uint64_t eventsSince(const GatewayContext &context, std::optional<EventId> last)
{
    if (!last || !context.lastEvent_ || last->value_ <= context.lastEvent_->value_)
        return 1;
    const std::uint64_t events = last->value_ - context.lastEvent_->value_;
    return events <= MaxEventsAtOnce ? events : 1;
}

void notePace(GatewayTraffic &state, const GatewayView &view, GatewayContext &context,
              std::optional<EventId> last, TimePoint now)
{
    ActiveDispatch &dispatch = *context.dispatch_;
    if (dispatch.parts_.empty())
        return;
    const SpeedLimits &limits = state.limits_.speed_;
    const TimePoint sampledFrom = dispatch.gaps_.begunAt_;
    if (!dispatch.hasAnswered_ || wasBusySince(state, sampledFrom)) {
        dispatch.gaps_ = {now, 0};
        return;
    }
    const Duration target = context.route_.eventGapTarget_;
    const Duration gap = now - context.lastEventAt_;
    const bool isOverTarget = target > Duration() && gap > target && !isLateFor(state, gap, now);
    const auto gapMs = addEvents(dispatch.gaps_, eventsSince(context, last), limits, now);
    const bool isUsable = gapMs && !isLateFor(state, now - sampledFrom, now);
    if (!isOverTarget && !isUsable)
        return;
    settleParts(dispatch, view, limits, now);
    if (isOverTarget)
        requestSpeeds(state, dispatch, now);
    if (isUsable)
        judgeGap(state, context, *gapMs, now);
}

void pruneSpeeds(GatewayTraffic &state, TimePoint now)
{
    constexpr Duration PruneInterval = std::chrono::seconds(1);
    if (now - state.speedsPrunedAt_ < PruneInterval)
        return;
    state.speedsPrunedAt_ = now;
    forgetOldSpeeds(state.estimatedSpeeds_, state.limits_.speed_, now);
}

} // namespace gypsumcroft::detail
