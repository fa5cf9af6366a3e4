#include "gateway/explanation.h"

#include <utility>

#include "filters/gatewayfilters.h"
#include "filters/rankdemand.h"
#include "gateway/internal/requestend.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Exchanges are numbered from 1 on.
constexpr ExchangeId NoExchange {0};

std::optional<Duration> ageOf(const std::optional<TimePoint> &confirmedAt, TimePoint now)
{
    return confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt;
}

//! A key of the organisation, if the desired state has one.
std::optional<std::string> keyOf(const GatewayView &view, const OrganisationId &organisation)
{
    for (const OrganisationRule &rule : view.table_->state_.organisations_) {
        if (rule.organisation_ == organisation && !rule.apiKeys_.empty())
            return rule.apiKeys_.front();
    }
    return std::nullopt;
}

GatewayContext contextOf(const GatewayTraffic &state, const GatewayView &view,
                         RouteQuestion question, TimePoint now)
{
    GatewayContext context;
    context.request_ = std::move(question.request_);
    context.request_.exchange_ = NoExchange;
    if (question.organisation_ && !context.request_.apiKey_ && view.table_)
        context.request_.apiKey_ = keyOf(view, *question.organisation_);
    context.arrivedAt_ = now;
    context.deadline_ = now + context.request_.timeout_.value_or(state.limits_.defaultTimeout_);
    return context;
}

//! Runs the filters up to the queue. Returns false if one of them decided.
bool passesFilters(RouteExplanation &explanation, GatewayContext &context, const GatewayView &view,
                   GatewayTraffic &state, TimePoint now)
{
    const auto chain = gatewayChain();
    const std::size_t queue = endpointFilterIndex() - 1;
    for (std::size_t i = 0; i < queue; ++i) {
        const GatewayFilterResult result = chain[i].run_(context, view, state, now);
        if (result.action_ == FilterAction::Continue)
            continue;
        explanation.decidedBy_ = chain[i].name_;
        explanation.outcome_
                = result.action_ == FilterAction::Hold ? RouteOutcome::Held : RouteOutcome::Refused;
        if (result.action_ == FilterAction::Refuse) {
            explanation.refusal_ = result.refusal_;
            explanation.reason_ = result.reason_;
            explanation.retryAfter_ = retryAfter(state, context, result.refusal_, now);
        }
        return false;
    }
    explanation.decidedBy_ = "queue";
    return true;
}

void takeRequest(RouteExplanation &explanation, const GatewayContext &context,
                 const GatewayLimits &limits)
{
    explanation.route_ = context.route_.name_.value_;
    explanation.organisation_ = context.organisation_.value_or(OrganisationId {}).value_;
    explanation.target_ = context.target_;
    explanation.priority_ = context.priority_;
    explanation.rank_ = rankOf(context.priority_);
    explanation.expectedOutput_ = context.expectedOutput_;
    explanation.expectedWait_ = context.expectedWait_.value_or(WaitEstimate {});
    explanation.queueTimeout_ = queueTimeout(context.route_, limits);
}

void takeQueue(RouteExplanation &explanation, const GatewayTraffic &state)
{
    const auto queues = state.queues_.find(explanation.target_);
    if (queues == state.queues_.end())
        return;
    for (const Rank rank : AllRanks)
        explanation.waiting_.at(static_cast<std::size_t>(rank))
                = waitingWork(queues->second.onTime_, rank);
}

//! True if work of the request's rank or a more urgent one waits.
bool hasWorkAhead(const RouteExplanation &explanation)
{
    for (std::size_t rank = 0; rank <= static_cast<std::size_t>(explanation.rank_); ++rank) {
        if (explanation.waiting_.at(rank).value_ > 0)
            return true;
    }
    return false;
}

//! Why a request that passed the filters would wait, or null if it would be sent.
const char *reasonToWait(const RouteExplanation &explanation, GatewayContext &context,
                         const GatewayView &view, GatewayTraffic &state, TimePoint now)
{
    if (!listIsFresh(view, now))
        return "the endpoint list is too old";
    if (!mayBeDispatched(context, view, state, now))
        return "another request with the same suspicion runs";
    if (!hasCapacity(context, view, state, now))
        return "no capacity";
    return hasWorkAhead(explanation) ? "others wait before it" : nullptr;
}

} // namespace
} // namespace detail

std::string_view routeOutcomeName(RouteOutcome outcome)
{
    static constexpr std::array<std::string_view, 4> Names
            = {"dispatched", "queued", "held", "refused"};
    return Names.at(static_cast<std::size_t>(outcome));
}

RouteExplanation explainRoute(GatewayTraffic state, const GatewayView &view, RouteQuestion question,
                              TimePoint now)
{
    RouteExplanation explanation;
    explanation.configAge_ = detail::ageOf(view.stateConfirmedAt_, now);
    explanation.listAge_ = detail::ageOf(view.listConfirmedAt_, now);
    if (view.table_)
        explanation.configVersion_ = view.table_->state_.version_;
    GatewayContext context = detail::contextOf(state, view, std::move(question), now);
    const bool passes = detail::passesFilters(explanation, context, view, state, now);
    detail::takeRequest(explanation, context, state.limits_);
    if (context.target_.value_.empty())
        return explanation;
    detail::takeQueue(explanation, state);
    const char *reason = detail::reasonToWait(explanation, context, view, state, now);
    if (passes) {
        explanation.outcome_ = reason == nullptr ? RouteOutcome::Dispatched : RouteOutcome::Queued;
        explanation.reason_ = reason == nullptr ? "" : reason;
    }
    explanation.plan_ = context.plan_;
    explanation.utilisationLimit_ = utilisationLimitOf(context, view, state, now);
    explanation.candidates_ = candidatesOf(context, view, state, now);
    return explanation;
}

} // namespace gypsumcroft
