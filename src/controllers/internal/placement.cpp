#include "controllers/placement.h"

#include <algorithm>

#include "policy/placement.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Time beyond the expected load time for which another lease holder waits for a load.
constexpr Duration LoadSlack = std::chrono::milliseconds(1500);

std::string rangeText(const LayerRange &layers)
{
    return std::to_string(layers.first_.value_) + "-" + std::to_string(layers.end_.value_);
}

Duration loadTime(const EngineSpec &engine, const LayerRange &layers)
{
    const auto count = static_cast<std::int64_t>(layers.end_.value_ - layers.first_.value_);
    return engine.loadTime_ * count / std::max<std::int64_t>(1, engine.layers_);
}

bool isInProgress(const PlacementStep &step)
{
    return step.phase_ != PlacementPhase::Idle;
}

std::size_t stepsInProgress(const PlacementState &state)
{
    return static_cast<std::size_t>(
            std::count_if(state.steps_.begin(), state.steps_.end(),
                          [](const auto &entry) { return isInProgress(entry.second); }));
}

std::vector<PlacementNode> placementNodes(const PlacementState &state, const TargetName &target,
                                          const EndpointListState &list, const FleetUse &use,
                                          TimePoint now)
{
    std::vector<PlacementNode> nodes;
    for (const auto &[id, known] : list.endpoints_) {
        if (known.listed_.target_ != target)
            continue;
        PlacementNode node {id, known.listed_.domain_, known.listed_.accelerator_,
                            known.listed_.layers_};
        node.available_ = known.listed_.state_ == ListedState::Ready && !use.lost_.contains(id);
        node.assignable_ = node.available_ && now >= known.pausedUntil_;
        const auto load = use.loads_.find(id);
        if (load != use.loads_.end()) {
            node.kvUsed_ = load->second.kvUsed_;
            node.begun_ = load->second.begun_;
        }
        const auto step = state.steps_.find(id);
        if (step != state.steps_.end()) {
            if (isInProgress(step->second))
                node.layers_ = step->second.targetLayers_;
            node.assignable_ = node.assignable_ && !isInProgress(step->second)
                               && now >= step->second.backoffUntil_;
        }
        const auto move = state.peerMoves_.find(id);
        if (move != state.peerMoves_.end() && now < move->second.expectedEnd_
            && (step == state.steps_.end() || !isInProgress(step->second))) {
            node.layers_ = move->second.layers_;
            node.assignable_ = false;
        }
        nodes.push_back(std::move(node));
    }
    return nodes;
}

void backOff(const PlacementState &state, PlacementStep &step, TimePoint now)
{
    step.phase_ = PlacementPhase::Idle;
    step.backoffUntil_ = now + state.limits_.failureBackoff_;
}

void requestReport(PlacementState &state, const KnownEndpoint &known, PlacementStep &step,
                   TimePoint now)
{
    step.lastActionAt_ = now;
    state.effects_.push_back(RequestStatusReport {known.listed_.id_, known.listed_.address_});
}

void logStep(PlacementState &state, const char *event, const EndpointId &endpoint,
             const PlacementStep &step)
{
    state.effects_.push_back(
            logEvent(LogLevel::Info, LogLine(event)
                                             .add("endpoint", endpoint)
                                             .add("layers", rangeText(step.targetLayers_))
                                             .add("orders", step.acceptedOrders_)
                                             .add("reason", step.reason_)));
}

void advanceStep(PlacementState &state, const EngineSpec &engine, const KnownEndpoint &known,
                 PlacementStep &step, TimePoint now)
{
    switch (step.phase_) {
    case PlacementPhase::Idle:
        return;
    case PlacementPhase::AwaitingReport:
    case PlacementPhase::AwaitingOrderResponse:
        if (now - step.lastActionAt_ >= state.limits_.requestTimeout_)
            backOff(state, step, now);
        return;
    case PlacementPhase::Ready:
        step.phase_ = PlacementPhase::AwaitingOrderResponse;
        step.lastActionAt_ = now;
        state.effects_.push_back(SendLoadOrder {known.listed_.id_, known.listed_.address_,
                                                step.targetLayers_, step.acceptedOrders_});
        logStep(state, "placement-order", known.listed_.id_, step);
        return;
    case PlacementPhase::Loading:
        if (known.listed_.layers_ == step.targetLayers_)
            step.phase_ = PlacementPhase::Idle;
        else if (now >= step.checkAfter_
                 && now - step.lastActionAt_ >= state.limits_.requestTimeout_)
            requestReport(state, known, step, now);
        // A load that has not finished three load times and 2 s after checkAfter_ is given up, so
        // that the endpoint can get another order.
        if (now >= step.checkAfter_ + 3 * loadTime(engine, step.targetLayers_)
                           + std::chrono::seconds(2))
            backOff(state, step, now);
        return;
    }
}

void plan(PlacementState &state, const EngineSpec &engine, const TargetName &target,
          const EndpointListState &list, const FleetUse &use, TimePoint now)
{
    const std::size_t busy = stepsInProgress(state);
    if (busy >= engine.concurrentLoads_)
        return;
    const auto moves = planPlacement(engine, placementNodes(state, target, list, use, now),
                                     engine.concurrentLoads_ - busy,
                                     use.hasTraffic_ ? CopyRule::WhenNeeded : CopyRule::Always);
    for (const PlacementMove &move : moves) {
        PlacementStep &step = state.steps_[move.endpoint_];
        step.phase_ = PlacementPhase::AwaitingReport;
        step.targetLayers_ = move.layers_;
        step.reason_ = move.reason_;
        requestReport(state, list.endpoints_.at(move.endpoint_), step, now);
    }
}

//! Returns whether a plan may be made. The endpoints of a new fleet are listed one after another;
//! a plan for the first few would assign layers badly, so the first plan waits for the rest.
bool mayPlan(const PlacementState &state, const TargetName &target, const EndpointListState &list,
             TimePoint now)
{
    TimePoint first = TimePoint::max();
    TimePoint last = TimePoint::min();
    for (const auto &[id, known] : list.endpoints_) {
        if (known.listed_.target_ != target)
            continue;
        if (known.listed_.layers_)
            return true;
        first = std::min(first, known.firstSeen_);
        last = std::max(last, known.firstSeen_);
    }
    return now >= last + state.limits_.settleTime_
           || now >= first + state.limits_.maxFirstPlanDelay_;
}

} // namespace
} // namespace detail

void tickPlacement(PlacementState &state, const EngineSpec &engine, const TargetName &target,
                   const EndpointListState &list, const FleetUse &use, TimePoint now)
{
    std::erase_if(state.steps_,
                  [&](const auto &entry) { return !list.endpoints_.contains(entry.first); });
    for (auto &[id, step] : state.steps_)
        detail::advanceStep(state, engine, list.endpoints_.at(id), step, now);
    if (now - state.lastPlanAt_ < state.limits_.planInterval_)
        return;
    state.lastPlanAt_ = now;
    if (detail::mayPlan(state, target, list, now))
        detail::plan(state, engine, target, list, use, now);
}

void stopPlacement(PlacementState &state)
{
    std::erase_if(state.steps_, [](const auto &entry) {
        return entry.second.phase_ != PlacementPhase::Loading
               && entry.second.phase_ != PlacementPhase::AwaitingOrderResponse;
    });
}

std::vector<LayerMoveReport> movesInProgress(const PlacementState &state, TimePoint now)
{
    std::vector<LayerMoveReport> moves;
    for (const auto &[endpoint, step] : state.steps_) {
        if (step.phase_ == PlacementPhase::Loading && now < step.expectedEnd_)
            moves.push_back({endpoint, step.targetLayers_, step.expectedEnd_ - now});
    }
    return moves;
}

void applyPeerMoves(PlacementState &state, const std::vector<LayerMoveReport> &moves, TimePoint now)
{
    std::erase_if(state.peerMoves_,
                  [&](const auto &entry) { return now >= entry.second.expectedEnd_; });
    for (const LayerMoveReport &move : moves)
        state.peerMoves_[move.endpoint_] = {move.layers_, now + move.remainingTime_};
}

void onEndpointReport(PlacementState &state, const EndpointId &endpoint,
                      const std::optional<EndpointStatusReport> &report, TimePoint now)
{
    const auto found = state.steps_.find(endpoint);
    if (found == state.steps_.end())
        return;
    PlacementStep &step = found->second;
    if (!report) {
        if (step.phase_ == PlacementPhase::AwaitingReport)
            detail::backOff(state, step, now);
        return;
    }
    if (report->layers_ == step.targetLayers_) {
        step.phase_ = PlacementPhase::Idle;
        return;
    }
    if (step.phase_ == PlacementPhase::Loading && !report->busy_ && now >= step.checkAfter_)
        detail::backOff(state, step, now);
    if (step.phase_ != PlacementPhase::AwaitingReport)
        return;
    if (report->busy_)
        return detail::backOff(state, step, now);
    step.phase_ = PlacementPhase::Ready;
    step.acceptedOrders_ = report->acceptedOrders_;
}

void onOrderOutcome(PlacementState &state, const EngineSpec &engine, const EndpointId &endpoint,
                    OrderOutcome outcome, TimePoint now)
{
    const auto found = state.steps_.find(endpoint);
    if (found == state.steps_.end()
        || found->second.phase_ != PlacementPhase::AwaitingOrderResponse)
        return;
    PlacementStep &step = found->second;
    static constexpr const char *Names[] = {"begun", "holds", "conflict", "refused", "unknown"};
    state.effects_.push_back(
            logEvent(LogLevel::Info, LogLine("placement-outcome")
                                             .add("endpoint", endpoint)
                                             .add("layers", detail::rangeText(step.targetLayers_))
                                             .add("outcome", Names[static_cast<int>(outcome)])
                                             .add("ms", now - step.lastActionAt_)));
    if (outcome != OrderOutcome::Started && outcome != OrderOutcome::AlreadyLoaded)
        return detail::backOff(state, step, now);
    step.phase_ = PlacementPhase::Loading;
    step.lastActionAt_ = now;
    step.expectedEnd_ = now + detail::loadTime(engine, step.targetLayers_) + detail::LoadSlack;
    step.checkAfter_ = outcome == OrderOutcome::AlreadyLoaded
                               ? now
                               : now + detail::loadTime(engine, step.targetLayers_) / 10;
}

} // namespace gypsumcroft
