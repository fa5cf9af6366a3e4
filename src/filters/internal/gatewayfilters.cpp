#include "filters/gatewayfilters.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/hash.h"
#include "dispatching.h"
#include "filters/expectedoutput.h"
#include "filters/pathspeed.h"
#include "filters/rankdemand.h"
#include "pathchoice.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Keeps traits of prompt parts apart from those of whole requests.
constexpr std::uint64_t PromptPartSeed = 0x70617274;
//! Requests that may wait at a plain service in addition to those in its slots.
constexpr std::int64_t MaxWaitingAtService = 2;
GatewayFilterResult proceedGateway()
{
    return {};
}

GatewayFilterResult refuseGateway(GatewayRefusal refusal)
{
    return {FilterAction::Refuse, refusal};
}

GatewayFilterResult checkState(GatewayContext &context, const GatewayView &view,
                               GatewayTraffic &state, TimePoint now)
{
    if (isTooLateToDispatch(context, state, now))
        return refuseGateway(GatewayRefusal::Stopping);
    return view.table_ ? proceedGateway() : refuseGateway(GatewayRefusal::Unready);
}

//! Holds a request that the desired state is too old to decide. It is refused at once where a newer
//! state can't be had.
GatewayFilterResult awaitState(const GatewayView &view)
{
    return view.stateAvailable_ ? GatewayFilterResult {FilterAction::Hold, {}}
                                : refuseGateway(GatewayRefusal::Unready);
}

//! Refuses a request for good, unless the desired state is stale: a newer one may allow the
//! request.
GatewayFilterResult refuseIfFresh(const GatewayView &view, GatewayRefusal refusal, TimePoint now)
{
    return stateIsFresh(view, now) ? refuseGateway(refusal) : awaitState(view);
}

GatewayFilterResult identifyRoute(GatewayContext &context, const GatewayView &view,
                                  GatewayTraffic &, TimePoint now)
{
    const RouteRule *route
            = findRoute(*view.table_, context.request_.host_, context.request_.path_);
    if (route == nullptr)
        return refuseIfFresh(view, GatewayRefusal::UnknownRoute, now);
    // A newer state may have moved the route or taken it away.
    if (!stateIsFresh(view, now) && view.stateAvailable_)
        return awaitState(view);
    context.route_ = *route;
    context.priority_ = route->priority_;
    const Duration timeout = context.request_.timeout_.value_or(GatewayLimits().defaultTimeout_);
    context.deadline_ = context.arrivedAt_ + std::min(timeout, route->timeout_);
    return proceedGateway();
}

GatewayFilterResult authorise(GatewayContext &context, const GatewayView &view, GatewayTraffic &,
                              TimePoint now)
{
    const DesiredState &desired = view.table_->state_;
    const bool needsKey = desired.keysRequired_ || !desired.organisations_.empty();
    if (!needsKey || context.route_.allowAnonymous_)
        return proceedGateway();
    if (!keysAreFresh(view, now))
        return awaitState(view);
    const OrganisationRule *organisation
            = context.request_.apiKey_ ? findOrganisation(*view.table_, *context.request_.apiKey_)
                                       : nullptr;
    if (organisation == nullptr)
        return refuseIfFresh(view, GatewayRefusal::Unauthorised, now);
    context.organisation_ = organisation->organisation_;
    context.priority_ = organisation->priority_.value_or(context.priority_);
    return proceedGateway();
}

//! Splits a route's traffic by a hash of the request id, so that a retry by the caller gets the
//! same target.
GatewayFilterResult chooseTarget(GatewayContext &context, const GatewayView &view,
                                 GatewayTraffic &state, TimePoint now)
{
    std::uint64_t total = 0;
    for (const WeightedTarget &target : context.route_.targets_)
        total += target.weight_;
    if (total == 0)
        return refuseGateway(GatewayRefusal::NoEndpoint);
    std::uint64_t point = hashText(context.request_.id_.value_) % total;
    for (const WeightedTarget &target : context.route_.targets_) {
        if (point < target.weight_) {
            context.target_ = target.target_;
            break;
        }
        point -= target.weight_;
    }
    countRequest(state.retryShares_[context.target_], view.retry_, now);
    context.expectedOutput_ = expectedOutputOf(context, view, state);
    return proceedGateway();
}

//! Traits by which the request is recognised, whatever its id: its content and caller, and the
//! parts of its prompt that other requests may share.
std::vector<RequestTrait> traitsOf(const GatewayRequest &request)
{
    const std::uint64_t caller
            = mixHash(hashText(request.host_), hashText(request.apiKey_.value_or("")));
    std::vector<RequestTrait> traits {{mixHash(caller, request.content_.value_)}};
    for (std::size_t i = 0; i + 1 < request.promptParts_.size(); ++i)
        traits.push_back({mixHash(PromptPartSeed, hashText(request.promptParts_[i].value_))});
    return traits;
}

GatewayFilterResult quarantineRequest(GatewayContext &context, const GatewayView &view,
                                      GatewayTraffic &, TimePoint now)
{
    context.traits_ = traitsOf(context.request_);
    const RequestBlame blame = blameOfRequest(context, view, now);
    context.suspect_ = blame.status_ == BlameStatus::Suspected;
    context.quarantinedUntil_ = blame.until_;
    return blame.status_ == BlameStatus::Quarantined ? refuseGateway(GatewayRefusal::Quarantined)
                                                     : proceedGateway();
}

QueuedRequest toQueuedRequest(const GatewayContext &context)
{
    QueuedRequest queued;
    queued.request_ = queueId(context.request_.exchange_);
    queued.organisation_ = context.organisation_.value_or(OrganisationId {});
    // A suspect request that has to wait must not hold up the others of its organisation.
    queued.caller_ = {queued.organisation_.value_ + (context.suspect_ ? "/suspect" : "")};
    queued.rank_ = rankOf(context.priority_);
    queued.work_ = workOf(context);
    queued.deadline_ = context.deadline_;
    return queued;
}

GatewayFilterResult refuseOnArrival(const GatewayContext &context, GatewayTraffic &state,
                                    const char *reason)
{
    ++state.counters_.refusedOnArrival_.at(static_cast<std::size_t>(rankOf(context.priority_)));
    return {FilterAction::Refuse, GatewayRefusal::Overloaded, reason};
}

//! True if nothing of the request's rank or a more urgent one waits here, and there is capacity for
//! the request. The fleet's figures are older than that.
bool canBeginAtOnce(GatewayContext &context, const GatewayView &view, GatewayTraffic &state,
                    TimePoint now)
{
    const auto queues = state.queues_.find(context.target_);
    for (std::size_t rank = 0; queues != state.queues_.end()
                               && rank <= static_cast<std::size_t>(rankOf(context.priority_));
         ++rank) {
        if (waitingWork(queues->second.onTime_, AllRanks.at(rank)).value_ > 0)
            return false;
    }
    return mayBeDispatched(context, view, state, now) && hasCapacity(context, view, state, now);
}

//! While this process is overloaded, true for a request that would wait so long that it isn't
//! expected to meet its latency target. What can begin at once is never refused.
bool exceedsOwnLoop(const GatewayContext &context, const GatewayTraffic &state, TimePoint now)
{
    const auto found = state.queues_.find(context.target_);
    if (!state.loopWindow_.size_ || found == state.queues_.end())
        return false;
    const TargetQueues &queues = found->second;
    // While the window has room, requests wait for something else than this process's load.
    if (hasRoom(state.loopWindow_, state.exchangesByDispatch_.size()))
        return false;
    if (!queues.drained_.known_ && !hasRoom(state.loopWindow_, queues.onTime_.size_))
        return true;
    const Tokens ahead = workAhead(queues.onTime_, toQueuedRequest(context));
    const Duration wait = now - context.arrivedAt_ + expectedWait(queues.drained_, ahead);
    return wait > overdueAfter(context, state);
}

//! Refuses a request at once that would be refused after it has waited: its caller can come back
//! when there is capacity.
GatewayFilterResult admitRequest(GatewayContext &context, const GatewayView &view,
                                 GatewayTraffic &state, TimePoint now)
{
    countArrived(context, state, now);
    estimateWait(context, view, state, now);
    if (exceedsOwnLoop(context, state, now))
        return refuseOnArrival(context, state, "filter");
    if (hasTooLongWait(context, state.limits_, now) && !canBeginAtOnce(context, view, state, now))
        return refuseOnArrival(context, state, "expected wait");
    return proceedGateway();
}

GatewayFilterResult queueRequest(GatewayContext &context, const GatewayView &,
                                 GatewayTraffic &state, TimePoint)
{
    enqueue(context, state, false);
    return {FilterAction::Done, {}};
}

GatewayFilterResult choosePath(GatewayContext &context, const GatewayView &view,
                               GatewayTraffic &state, TimePoint now)
{
    if (const EngineSpec *engine = engineOf(context, view)) {
        if (!context.plan_ || context.plannedAt_ != now)
            context.plan_ = planFor(context, view, *engine, state, now);
        return context.plan_ ? proceedGateway() : refuseGateway(GatewayRefusal::NoEndpoint);
    }
    const auto choice = chooseService(context, view, state, now);
    if (!choice)
        return refuseGateway(GatewayRefusal::NoEndpoint);
    const ListedEndpoint &listed = view.endpoints_->endpoints_[choice->index_];
    context.plan_ = PlannedPath {{{listed.id_, listed.address_, {}}}};
    return proceedGateway();
}

constexpr std::array<GatewayFilter, 9> Chain = {{
        {"state", checkState},
        {"route", identifyRoute},
        {"authorise", authorise},
        {"target", chooseTarget},
        {"quarantine", quarantineRequest},
        {"admit", admitRequest},
        {"queue", queueRequest},
        {"endpoint", choosePath},
        {"dispatch", dispatch},
}};
constexpr std::size_t EndpointFilter = 7;

FairQueue &queueOf(const GatewayContext &context, GatewayTraffic &state)
{
    const auto [queues, isNew] = state.queues_.try_emplace(context.target_);
    if (isNew)
        queues->second.onTime_.minShares_ = queues->second.overdue_.minShares_ = RankMinShares;
    return context.overdue_ ? queues->second.overdue_ : queues->second.onTime_;
}

} // namespace
} // namespace detail

std::string_view gatewayRefusalName(GatewayRefusal refusal)
{
    static constexpr std::array<std::string_view, 9> Names
            = {"unready",     "unknown-route", "unauthorised", "overloaded", "no-endpoint",
               "quarantined", "stopping",      "timed-out",    "failed"};
    return Names.at(static_cast<std::size_t>(refusal));
}

std::span<const GatewayFilter> gatewayChain()
{
    return detail::Chain;
}

std::size_t endpointFilterIndex()
{
    return detail::EndpointFilter;
}

bool hasCapacity(GatewayContext &context, const GatewayView &view, GatewayTraffic &state,
                 TimePoint now)
{
    if (!view.table_)
        return false;
    if (const EngineSpec *engine = detail::engineOf(context, view)) {
        context.plan_ = detail::planFor(context, view, *engine, state, now);
        context.plannedAt_ = now;
        return context.plan_
               && detail::hasCapacityOnPath(context, state.limits_,
                                            detail::maxUtilisationOf(context, view, state, now));
    }
    const auto choice = detail::chooseService(context, view, state, now);
    return choice && choice->freeSlots_ + detail::MaxWaitingAtService > 0;
}

bool mayBeDispatched(const GatewayContext &context, const GatewayView &view,
                     const GatewayTraffic &state, TimePoint now)
{
    if (now < context.retryAt_ || isTooLateToDispatch(context, state, now))
        return false;
    return context.streamStarted_
           || mayRun(*view.blame_, state.traitHistory_, context.traits_, now);
}

bool isPathUsable(const GatewayContext &context, const GatewayView &view,
                  const GatewayTraffic &state, TimePoint now)
{
    const auto isPartUsable = [&](const PathSegment &part) {
        const auto known = view.endpoints_->byId_.find(part.endpoint_);
        const auto usage = state.endpointUsage_.find(part.endpoint_);
        return known != view.endpoints_->byId_.end() && usage != state.endpointUsage_.end()
               && detail::isUsable(view, usage->second, view.endpoints_->endpoints_[known->second],
                                   now);
    };
    return listIsFresh(view, now) && context.dispatch_
           && std::all_of(context.dispatch_->path_.begin(), context.dispatch_->path_.end(),
                          isPartUsable);
}

bool isTooLateToDispatch(const GatewayContext &context, const GatewayTraffic &state, TimePoint now)
{
    return context.dispatchCount_ == 0 && state.dispatchUntil_ && now >= *state.dispatchUntil_;
}

void releasePendingPrefill(GatewayContext &context, GatewayTraffic &state)
{
    if (!context.dispatch_)
        return;
    ActiveDispatch &active = *context.dispatch_;
    for (std::size_t i = 0; i < active.prefillTimes_.size(); ++i)
        state.endpointUsage_[active.path_[i].endpoint_].load_.pendingPrefill_
                -= active.prefillTimes_[i];
    active.prefillTimes_.clear();
}

void noteDispatchAnswered(GatewayContext &context, GatewayTraffic &state, TimePoint now)
{
    if (!context.dispatch_ || std::exchange(context.dispatch_->hasAnswered_, true))
        return;
    releaseUnanswered(state.traitHistory_, context.traits_);
    noteAnswered(state.traitHistory_, context.traits_, now);
}

RequestBlame blameOfRequest(const GatewayContext &context, const GatewayView &view, TimePoint now)
{
    return context.streamStarted_ ? RequestBlame {} : blameOf(*view.blame_, context.traits_, now);
}

void releaseDispatch(GatewayContext &context, GatewayTraffic &state)
{
    if (!context.dispatch_)
        return;
    releasePendingPrefill(context, state);
    if (!context.dispatch_->hasAnswered_)
        releaseUnanswered(state.traitHistory_, context.traits_);
    detail::addEndpointLoad(*context.dispatch_, state, -1);
    state.exchangesByDispatch_.erase(context.dispatch_->id_);
    context.dispatch_.reset();
}

OwnEndpointLoads ownEndpointLoads(const GatewayTraffic &state, TimePoint now)
{
    OwnEndpointLoads own;
    for (const auto &[endpoint, usage] : state.endpointUsage_) {
        if (usage.load_.streams_ == 0 && usage.load_.calls_ == 0)
            continue;
        own.loads_.push_back(usage.load_);
        own.loads_.back().endpoint_ = endpoint;
    }
    own.demand_ = ownDemandReports(state, now);
    own.speeds_ = slowEstimates(state);
    return own;
}

RequestId queueId(ExchangeId exchange)
{
    return {std::to_string(exchange.value_)};
}

Duration overdueAfter(const GatewayContext &context, const GatewayTraffic &state)
{
    const GatewayLimits &limits = state.limits_;
    const double factor
            = state.loopWindow_.size_ ? limits.overloadedFactor_ : limits.overdueFactor_;
    const auto target = static_cast<double>(context.route_.latencyTarget_.count());
    return Duration(static_cast<std::int64_t>(factor * target));
}

void enqueue(GatewayContext &context, GatewayTraffic &state, bool front)
{
    FairQueue &queue = detail::queueOf(context, state);
    context.queued_ = true;
    if (front)
        pushRequestFront(queue, detail::toQueuedRequest(context));
    else
        pushRequest(queue, detail::toQueuedRequest(context));
}

void dequeue(GatewayContext &context, GatewayTraffic &state)
{
    if (!std::exchange(context.queued_, false))
        return;
    removeRequest(detail::queueOf(context, state), detail::toQueuedRequest(context));
}

} // namespace gypsumcroft
