#include "filters/gatewayfilters.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/hash.h"
#include "filters/expectedoutput.h"
#include "filters/pathspeed.h"
#include "filters/rankdemand.h"
#include "policy/leastload.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Added to the path cost of an endpoint for each of its recent consecutive failures.
constexpr Duration AvoidedPenalty = std::chrono::milliseconds(400);
//! Added to the path cost of an endpoint that already failed this request.
constexpr Duration FailedPenalty = std::chrono::milliseconds(5000);
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

const EngineSpec *engineOf(const GatewayContext &context, const GatewayView &view)
{
    const TargetSpec *target = findTarget(*view.table_, context.target_);
    return target == nullptr || !target->engine_ ? nullptr : &*target->engine_;
}

Duration penaltyOf(const GatewayContext &context, const EndpointId &id, const EndpointUsage &usage,
                   TimePoint now)
{
    if (context.failedEndpoints_.contains(id))
        return FailedPenalty;
    return isCoolingDown(usage.health_, now) ? AvoidedPenalty * usage.health_.consecutiveFailures_
                                             : Duration();
}

EndpointLoad peerLoad(const GatewayView &view, const EndpointId &endpoint)
{
    const auto found = view.peerLoads_->find(endpoint);
    return found == view.peerLoads_->end() ? EndpointLoad {} : found->second;
}

//! Estimated load that the other gateways added since their last report. Each is assumed to have
//! added as much as this gateway did, because all see the same free capacity at the same time.
EndpointLoad estimatedPeerGrowth(const GatewayView &view, const EndpointId &endpoint,
                                 const EndpointLoad &own)
{
    const auto reported = view.lastDigestLoads_->find(endpoint);
    const EndpointLoad before
            = reported == view.lastDigestLoads_->end() ? EndpointLoad {} : reported->second;
    EndpointLoad growth;
    growth.kvUsed_ = std::max(0.0, own.kvUsed_ - before.kvUsed_) * view.peerCount_;
    growth.begun_ = (std::max(own.begun_, before.begun_) - before.begun_) * view.peerCount_;
    return growth;
}

bool hasAskedForPause(const GatewayView &view, const EndpointUsage &usage,
                      const ListedEndpoint &listed, TimePoint now)
{
    if (usage.pausedIncarnation_ == listed.incarnation_ && now < usage.pausedUntil_)
        return true;
    const auto paused = view.pausedUntil_.find(listed.id_);
    return paused != view.pausedUntil_.end() && now < paused->second;
}

//! True if the endpoint list has the endpoint as ready, it answers probes, and it has not said that
//! it is leaving or wants no requests for now.
bool isUsable(const GatewayView &view, const EndpointUsage &usage, const ListedEndpoint &listed,
              TimePoint now)
{
    return listed.state_ == ListedState::Ready && !view.downEndpoints_.contains(listed.id_)
           && usage.leavingIncarnation_ != listed.incarnation_
           && !hasAskedForPause(view, usage, listed, now);
}

std::vector<PathNode> pathNodes(const GatewayContext &context, const GatewayView &view,
                                const EngineSpec &engine, GatewayTraffic &state, TimePoint now)
{
    std::vector<PathNode> nodes;
    const auto found = view.endpoints_->byTarget_.find(context.target_);
    if (found == view.endpoints_->byTarget_.end())
        return nodes;
    for (const std::size_t index : found->second) {
        const ListedEndpoint &listed = view.endpoints_->endpoints_[index];
        const auto kind = engine.accelerators_.find(listed.accelerator_);
        const EndpointUsage &usage = state.endpointUsage_[listed.id_];
        if (!isUsable(view, usage, listed, now) || !listed.layers_
            || kind == engine.accelerators_.end())
            continue;
        PathNode node {listed.id_, listed.address_, listed.domain_, *listed.layers_};
        const double slowdown = slowdownOf(view, state, listed, now);
        node.decodeFactor_ = kind->second.decodeFactor_ * slowdown;
        node.prefillFactor_ = kind->second.prefillFactor_ * slowdown;
        const EndpointLoad peers = peerLoad(view, listed.id_);
        node.pendingPrefill_ = usage.load_.pendingPrefill_ + peers.pendingPrefill_;
        node.streams_ = usage.load_.streams_ + peers.streams_;
        node.kvCapacity_ = kvCapacity(engine, kind->second,
                                      listed.layers_->end_.value_ - listed.layers_->first_.value_);
        const EndpointLoad growth = estimatedPeerGrowth(view, listed.id_, usage.load_);
        node.kvUsed_ = usage.load_.kvUsed_ + peers.kvUsed_ + growth.kvUsed_;
        node.slots_ = engine.slots_;
        node.begun_ = usage.load_.begun_ + peers.begun_ + growth.begun_;
        node.penalty_ = penaltyOf(context, listed.id_, usage, now);
        nodes.push_back(std::move(node));
    }
    return nodes;
}

//! Highest utilisation of a path to which the request may raise it.
double maxUtilisationOf(const GatewayContext &context, const GatewayView &view,
                        const GatewayTraffic &state, TimePoint now)
{
    const Rank rank = rankOf(context.priority_);
    RankService service;
    const auto found = state.queues_.find(context.target_);
    if (found != state.queues_.end()) {
        const TargetQueues &queues = found->second;
        service.belowMinShare_
                = isBelowMinShare(context.overdue_ ? queues.overdue_ : queues.onTime_, rank);
        service.work_ = workOf(context);
        service.startedSince_ = queues.startedSince_.at(static_cast<std::size_t>(rank));
        service.startedAt_ = queues.startedAt_.at(static_cast<std::size_t>(rank));
    }
    return maxUtilisation(state.limits_.rankRoom_, ranksOfTarget(*view.table_, context.target_),
                          rank, service, now);
}

std::optional<PlannedPath> planFor(const GatewayContext &context, const GatewayView &view,
                                   const EngineSpec &engine, GatewayTraffic &state, TimePoint now)
{
    // The KV cache of a response grows token by token, so that it takes half of its final size on
    // average. The callers' estimates are below the mean of what they get; reserving the learned
    // mean, which is higher, left capacity unused in floods and served fewer.
    const PathDemand demand {view.domain_,
                             context.request_.promptTokens_,
                             {context.request_.expectedOutput_.value_ / 2},
                             hasCrossDomainBudget(state.crossDomainBudgets_[context.target_],
                                                  engine, view.gatewayCount_, now),
                             maxUtilisationOf(context, view, state, now)};
    return planPath(engine, pathNodes(context, view, engine, state, now), demand);
}

std::optional<ServiceChoice> chooseService(const GatewayContext &context, const GatewayView &view,
                                           GatewayTraffic &state, TimePoint now)
{
    const auto found = view.endpoints_->byTarget_.find(context.target_);
    if (found == view.endpoints_->byTarget_.end())
        return std::nullopt;
    std::vector<ServiceNode> nodes;
    for (const std::size_t index : found->second) {
        const ListedEndpoint &listed = view.endpoints_->endpoints_[index];
        const EndpointUsage &usage = state.endpointUsage_[listed.id_];
        if (!isUsable(view, usage, listed, now))
            continue;
        const bool isRecent = now - usage.reportedAt_ < state.limits_.maxReportedLoadAge_;
        const std::uint32_t calls = usage.load_.calls_ + peerLoad(view, listed.id_).calls_;
        const std::uint32_t load = std::max(calls, isRecent ? usage.requestsAtEndpoint_ : 0);
        nodes.push_back({index, load, std::max(1U, listed.slots_), listed.domain_ == view.domain_,
                         context.failedEndpoints_.contains(listed.id_)
                                 || isCoolingDown(usage.health_, now)});
    }
    return chooseLeastLoaded(nodes);
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

//! Adds (sign 1) or removes (sign -1) the load of a dispatch at its endpoints.
void addEndpointLoad(const ActiveDispatch &active, GatewayTraffic &state, int sign)
{
    if (active.path_.size() == 1 && active.path_.front().layers_.end_.value_ == 0) {
        state.endpointUsage_[active.endpoint_].load_.calls_ += static_cast<std::uint32_t>(sign);
        return;
    }
    for (const PathSegment &part : active.path_) {
        EndpointLoad &usage = state.endpointUsage_[part.endpoint_].load_;
        const auto count
                = static_cast<double>(part.layers_.end_.value_ - part.layers_.first_.value_);
        usage.kvUsed_ += sign * count * static_cast<double>(active.reservedTokens_.value_);
        usage.streams_ += static_cast<std::uint32_t>(sign);
    }
    state.endpointUsage_[active.endpoint_].load_.begun_ += static_cast<std::uint32_t>(sign);
}

//! Adds the prefill time of the prompt to the pending prefill of each endpoint of the path.
void addPendingPrefill(const GatewayContext &context, ActiveDispatch &active,
                       const GatewayView &view, const EngineSpec &engine, GatewayTraffic &state)
{
    for (const PathSegment &part : active.path_) {
        const ListedEndpoint &listed
                = view.endpoints_->endpoints_[view.endpoints_->byId_.at(part.endpoint_)];
        const std::uint32_t count = part.layers_.end_.value_ - part.layers_.first_.value_;
        active.prefillTimes_.push_back(
                prefillTime(engine, engine.accelerators_.at(listed.accelerator_).prefillFactor_,
                            count, context.request_.promptTokens_));
        state.endpointUsage_[part.endpoint_].load_.pendingPrefill_ += active.prefillTimes_.back();
    }
}

std::string pathText(const LayerPath &path)
{
    std::string text;
    for (const PathSegment &part : path) {
        text += (text.empty() ? "" : ",") + part.endpoint_.value_;
        if (part.layers_.end_.value_ > 0)
            text += "=" + std::to_string(part.layers_.first_.value_) + "-"
                    + std::to_string(part.layers_.end_.value_);
    }
    return text;
}

std::string promptPartsText(const std::vector<PromptPartId> &parts)
{
    constexpr std::size_t MaxLoggedParts = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(parts.size(), MaxLoggedParts); ++i)
        text += (text.empty() ? "" : ",") + parts[i].value_;
    return text.empty() ? "-" : text;
}

void logRouted(const GatewayContext &context, const GatewayView &view, GatewayTraffic &state,
               TimePoint now)
{
    state.effects_.push_back(
            logEvent(LogLevel::Info,
                     LogLine("routed")
                             .add("request", context.request_.id_)
                             .add("connection", context.request_.connection_)
                             .add("ordinal", context.request_.ordinal_)
                             .add("route", context.route_.name_)
                             .add("target", context.target_)
                             .add("organisation",
                                  context.organisation_ ? context.organisation_->value_ : "-")
                             .add("content", context.request_.content_)
                             .add("parts", promptPartsText(context.request_.promptParts_))
                             .add("attempt", std::uint64_t {context.dispatchCount_})
                             .add("path", pathText(context.plan_->path_))
                             .add("cost_ms", context.plan_->cost_)
                             .add("fill", context.plan_->utilisation_)
                             .add("slow", slowdownOfPath(view, state, context.plan_->path_, now))
                             .add("expected_tokens", context.expectedOutput_)
                             .add("waited_ms", now - context.arrivedAt_)
                             .add("config", view.table_->state_.version_)
                             .add("config_age_ms", now - view.stateConfirmedAt_.value_or(now))
                             .add("list_age_ms", now - view.listConfirmedAt_.value_or(now))));
}

std::uint64_t incarnationOf(const GatewayView &view, const EndpointId &endpoint)
{
    return view.endpoints_->endpoints_[view.endpoints_->byId_.at(endpoint)].incarnation_;
}

GatewayFilterResult dispatch(GatewayContext &context, const GatewayView &view,
                             GatewayTraffic &state, TimePoint now)
{
    const EngineSpec *engine = engineOf(context, view);
    ActiveDispatch active;
    active.id_ = {state.nextDispatch_++};
    active.endpoint_ = context.plan_->path_.front().endpoint_;
    active.incarnation_ = incarnationOf(view, active.endpoint_);
    active.path_ = context.plan_->path_;
    active.sentAt_ = active.lastProgressAt_ = now;
    active.reservedTokens_
            = {context.request_.promptTokens_.value_ + context.request_.expectedOutput_.value_ / 2};
    addEndpointLoad(active, state, 1);
    noteDispatched(state.traitHistory_, context.traits_);
    if (engine != nullptr) {
        addPendingPrefill(context, active, view, *engine, state);
        if (context.route_.isStream_)
            active.parts_ = pathParts(view, state, *engine, active.path_);
        chargeCrossDomainHops(
                state.crossDomainBudgets_[context.target_], *engine,
                context.plan_->crossDomainHops_,
                {context.request_.promptTokens_.value_ + context.expectedOutput_.value_});
    }
    ++context.dispatchCount_;
    ++state.counters_.dispatches_;
    state.exchangesByDispatch_[active.id_] = context.request_.exchange_;
    logRouted(context, view, state, now);
    DispatchRequest effect;
    effect.exchange_ = context.request_.exchange_;
    effect.dispatch_ = active.id_;
    effect.endpoint_ = active.endpoint_;
    effect.address_ = active.path_.front().address_;
    if (engine != nullptr)
        effect.path_ = active.path_;
    effect.timeout_ = context.deadline_ - now;
    effect.organisation_ = context.organisation_;
    effect.priority_ = context.priority_;
    effect.resumeAfter_ = context.lastEvent_ ? context.lastEvent_ : context.request_.resumeAfter_;
    effect.newConnection_ = context.route_.rerunPolicy_ == RerunPolicy::Never;
    effect.stream_ = context.route_.isStream_;
    state.effects_.push_back(std::move(effect));
    context.dispatch_ = std::move(active);
    return {FilterAction::Done, {}};
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

//! True if the planned path has capacity free for the request's rank and its pending prefill is
//! within the limit of that rank.
bool hasCapacityOnPath(const GatewayContext &context, const GatewayLimits &limits,
                       double maxUtilisation)
{
    const double part
            = limits.maxPendingPrefill_.at(static_cast<std::size_t>(rankOf(context.priority_)));
    const double maxPrefill = part * static_cast<double>(context.route_.latencyTarget_.count());
    // A request that alone exceeds its rank's limit may have an empty path, or it would never run.
    const double alone
            = std::min(context.plan_->ownUtilisation_, limits.rankRoom_.maxUtilisation_.front());
    return context.plan_->utilisation_ <= std::max(maxUtilisation, alone)
           && static_cast<double>(context.plan_->pendingPrefill_.count()) <= maxPrefill;
}

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
