#include "gateway/internal/requestend.h"

#include <algorithm>
#include <utility>

#include "filters/gatewayfilters.h"
#include "filters/rankdemand.h"

namespace gypsumcroft::detail {

namespace {

void forgetRequestId(GatewayTraffic &state, const GatewayRequest &request)
{
    const auto [begin, end] = state.byRequestId_.equal_range(request.id_);
    const auto own = std::find_if(
            begin, end, [&](const auto &entry) { return entry.second == request.exchange_; });
    if (own != end)
        state.byRequestId_.erase(own);
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

//! Delay after which capacity is expected for a refused request.
Duration untilCapacity(GatewayTraffic &state, const GatewayContext &context, TimePoint now)
{
    const Duration least = state.limits_.retryAfter_;
    if (!context.expectedWait_ || context.expectedWait_->wait_ <= Duration())
        return least;
    const Duration earlier
            = scaled(queueTimeout(context.route_, state.limits_), state.limits_.retryEarlierPart_);
    return retryDelayFor(context.expectedWait_->wait_, earlier, least, context.deadline_ - now,
                         state.random_);
}

} // namespace

Duration retryAfter(GatewayTraffic &state, const GatewayContext &context, GatewayRefusal refusal,
                    TimePoint now)
{
    switch (refusal) {
    case GatewayRefusal::UnknownRoute:
    case GatewayRefusal::Unauthorised:
        return {};
    case GatewayRefusal::Quarantined:
        return std::max(Duration(), context.quarantinedUntil_ - now);
    case GatewayRefusal::Overloaded:
        return untilCapacity(state, context, now);
    default:
        return state.limits_.retryAfter_;
    }
}

namespace {

//! Adds the figures by which a request was refused for want of capacity.
void addExpectedWait(LogLine &line, const GatewayContext &context)
{
    const WaitEstimate &estimate = *context.expectedWait_;
    line.add("expected_wait_ms", estimate.wait_)
            .add("rank", rankName(rankOf(context.priority_)))
            .add("ahead_tokens", estimate.aheadTokens_)
            .add("tokens_per_s", estimate.tokensPerSecond_)
            .add("started_per_s", estimate.startedPerSecond_);
}

} // namespace

void emit(GatewayTraffic &state, GatewayEffect effect)
{
    state.effects_.push_back(std::move(effect));
}

LogLine requestLine(const char *event, const GatewayContext &context, TimePoint now)
{
    LogLine line(event);
    line.add("request", context.request_.id_)
            .add("connection", context.request_.connection_)
            .add("ordinal", context.request_.ordinal_)
            .add("route", context.route_.name_)
            .add("sends", std::uint64_t {context.dispatchCount_})
            .add("ms", now - context.arrivedAt_);
    return line;
}

void addEndpointConnection(LogLine &line, const GatewayContext &context)
{
    if (!context.dispatch_)
        return;
    const DispatchConnection &connection = context.dispatch_->connection_;
    line.add("endpoint_connection", connection.reused_ ? "kept" : "fresh")
            .add("strays", std::uint64_t {connection.unmatchedResponses_});
}

void removeRequest(GatewayTraffic &state, GatewayContext &context)
{
    dequeue(context, state);
    releaseDispatch(context, state);
    forgetRequestId(state, context.request_);
    state.requests_.erase(context.request_.exchange_);
}

void cancelDispatch(GatewayTraffic &state, GatewayContext &context)
{
    if (context.dispatch_)
        emit(state, CancelDispatch {context.dispatch_->id_});
    releaseDispatch(context, state);
}

void refuse(GatewayTraffic &state, GatewayContext &context, GatewayRefusal refusal,
            const std::string &reason, TimePoint now)
{
    const bool unknown = refusal == GatewayRefusal::TimedOut || refusal == GatewayRefusal::Failed;
    ++(unknown ? state.counters_.failed_ : state.counters_.refused_);
    const Duration comeBackAfter = retryAfter(state, context, refusal, now);
    LogLine line = requestLine("refused", context, now);
    line.add("refusal", gatewayRefusalName(refusal))
            .add("run", unknown ? "unknown" : "not-run")
            .add("reason", reason)
            .add("retry_after_ms", comeBackAfter);
    if (refusal == GatewayRefusal::Overloaded && context.expectedWait_)
        addExpectedWait(line, context);
    emit(state, logEvent(LogLevel::Info, line));
    if (refusal == GatewayRefusal::Quarantined)
        ++state.counters_.quarantined_;
    emit(state, RefuseRequest {context.request_.exchange_, refusal, comeBackAfter});
    removeRequest(state, context);
}

void abortResponse(GatewayTraffic &state, GatewayContext &context, const std::string &reason,
                   TimePoint now)
{
    ++state.counters_.failed_;
    emit(state, logEvent(LogLevel::Warning,
                         requestLine("broken-off", context, now).add("reason", reason)));
    emit(state, AbortResponse {context.request_.exchange_});
    removeRequest(state, context);
}

void endRequest(GatewayTraffic &state, GatewayContext &context, GatewayRefusal notRun,
                GatewayRefusal unknown, const std::string &reason, TimePoint now)
{
    const bool mayHaveRun = context.dispatch_ || context.mayHaveRun_;
    cancelDispatch(state, context);
    if (context.streamStarted_)
        return abortResponse(state, context, reason, now);
    refuse(state, context, mayHaveRun ? unknown : notRun, reason, now);
}

} // namespace gypsumcroft::detail
