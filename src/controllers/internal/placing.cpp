#include "controllers/placing.h"

#include <algorithm>

#include "policy/placement.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Time beyond the expected load time for which another lease holder waits for a load.
constexpr Duration LoadSlack = std::chrono::milliseconds(1500);

std::string rangeName(const LayerRange &layers)
{
    return std::to_string(layers.first_.value_) + "-" + std::to_string(layers.end_.value_);
}

Duration loadTime(const EngineSpec &engine, const LayerRange &layers)
{
    const auto count = static_cast<std::int64_t>(layers.end_.value_ - layers.first_.value_);
    return engine.loadTime_ * count / std::max<std::int64_t>(1, engine.layers_);
}

bool isUnderWay(const PlacingStep &step)
{
    return step.phase_ != PlacingPhase::Idle;
}

std::size_t underWay(const PlacingState &state)
{
    return static_cast<std::size_t>(
            std::count_if(state.steps_.begin(), state.steps_.end(),
                          [](const auto &entry) { return isUnderWay(entry.second); }));
}

std::vector<PlacementNode> nodesOf(const PlacingState &state, const TargetName &target,
                                   const EndpointListState &list, const std::set<EndpointId> &lost,
                                   TimePoint now)
{
    std::vector<PlacementNode> nodes;
    for (const auto &[id, known] : list.endpoints_) {
        if (known.listed_.target_ != target)
            continue;
        PlacementNode node {id, known.listed_.domain_, known.listed_.kind_, known.listed_.layers_};
        node.counts_ = known.listed_.state_ == ListedState::Ready && !lost.contains(id);
        node.orderable_ = node.counts_;
        const auto step = state.steps_.find(id);
        if (step != state.steps_.end()) {
            if (isUnderWay(step->second))
                node.layers_ = step->second.goal_;
            node.orderable_ = node.orderable_ && !isUnderWay(step->second)
                              && now >= step->second.restUntil_;
        }
        const auto move = state.announced_.find(id);
        if (move != state.announced_.end() && now < move->second.until_
            && (step == state.steps_.end() || !isUnderWay(step->second))) {
            node.layers_ = move->second.layers_;
            node.orderable_ = false;
        }
        nodes.push_back(std::move(node));
    }
    return nodes;
}

void rest(const PlacingState &state, PlacingStep &step, TimePoint now)
{
    step.phase_ = PlacingPhase::Idle;
    step.restUntil_ = now + state.limits_.restAfterFailure_;
}

void ask(PlacingState &state, const KnownEndpoint &known, PlacingStep &step, TimePoint now)
{
    step.since_ = now;
    state.effects_.push_back(AskEndpoint {known.listed_.id_, known.listed_.address_});
}

void logStep(PlacingState &state, const char *event, const EndpointId &endpoint,
             const PlacingStep &step)
{
    state.effects_.push_back(logEvent(LogLevel::Info, LogLine(event)
                                                              .add("endpoint", endpoint)
                                                              .add("layers", rangeName(step.goal_))
                                                              .add("orders", step.orders_)
                                                              .add("reason", step.reason_)));
}

void goOn(PlacingState &state, const EngineSpec &engine, const KnownEndpoint &known,
          PlacingStep &step, TimePoint now)
{
    switch (step.phase_) {
    case PlacingPhase::Idle:
        return;
    case PlacingPhase::Asking:
    case PlacingPhase::Ordering:
        if (now - step.since_ >= state.limits_.askAgainAfter_)
            rest(state, step, now);
        return;
    case PlacingPhase::Ready:
        step.phase_ = PlacingPhase::Ordering;
        step.since_ = now;
        state.effects_.push_back(
                OrderLayers {known.listed_.id_, known.listed_.address_, step.goal_, step.orders_});
        logStep(state, "placement-order", known.listed_.id_, step);
        return;
    case PlacingPhase::Loading:
        if (known.listed_.layers_ == step.goal_)
            step.phase_ = PlacingPhase::Idle;
        else if (now >= step.dueAt_ && now - step.since_ >= state.limits_.askAgainAfter_)
            ask(state, known, step, now);
        // Give up a load that has not finished three load times and 2 s after it was first due.
        if (now >= step.dueAt_ + 3 * loadTime(engine, step.goal_) + std::chrono::seconds(2))
            rest(state, step, now);
        return;
    }
}

void plan(PlacingState &state, const EngineSpec &engine, const TargetName &target,
          const EndpointListState &list, const std::set<EndpointId> &lost, TimePoint now)
{
    const std::size_t busy = underWay(state);
    if (busy >= engine.loadsAtOnce_)
        return;
    const auto moves = planPlacement(engine, nodesOf(state, target, list, lost, now),
                                     engine.loadsAtOnce_ - busy);
    for (const PlacementMove &move : moves) {
        PlacingStep &step = state.steps_[move.endpoint_];
        step.phase_ = PlacingPhase::Asking;
        step.goal_ = move.layers_;
        step.reason_ = move.reason_;
        ask(state, list.endpoints_.at(move.endpoint_), step, now);
    }
}

//! Returns whether a plan may be made. The endpoints of a new fleet are listed one after another;
//! a plan for the first few would assign layers badly, so the first plan waits for the rest.
bool mayPlan(const PlacingState &state, const TargetName &target, const EndpointListState &list,
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
    return now >= last + state.limits_.quietBeforePlan_
           || now >= first + state.limits_.firstPlanWithin_;
}

} // namespace
} // namespace detail

void tickPlacing(PlacingState &state, const EngineSpec &engine, const TargetName &target,
                 const EndpointListState &list, const std::set<EndpointId> &lost, TimePoint now)
{
    std::erase_if(state.steps_,
                  [&](const auto &entry) { return !list.endpoints_.contains(entry.first); });
    for (auto &[id, step] : state.steps_)
        detail::goOn(state, engine, list.endpoints_.at(id), step, now);
    if (now - state.plannedAt_ < state.limits_.planEvery_)
        return;
    state.plannedAt_ = now;
    if (detail::mayPlan(state, target, list, now))
        detail::plan(state, engine, target, list, lost, now);
}

void stopPlacing(PlacingState &state)
{
    std::erase_if(state.steps_, [](const auto &entry) {
        return entry.second.phase_ != PlacingPhase::Loading
               && entry.second.phase_ != PlacingPhase::Ordering;
    });
}

std::vector<MoveReport> movesUnderWay(const PlacingState &state, TimePoint now)
{
    std::vector<MoveReport> moves;
    for (const auto &[endpoint, step] : state.steps_) {
        if (step.phase_ == PlacingPhase::Loading && now < step.endsBy_)
            moves.push_back({endpoint, step.goal_, step.endsBy_ - now});
    }
    return moves;
}

void announceMoves(PlacingState &state, const std::vector<MoveReport> &moves, TimePoint now)
{
    std::erase_if(state.announced_, [&](const auto &entry) { return now >= entry.second.until_; });
    for (const MoveReport &move : moves)
        state.announced_[move.endpoint_] = {move.layers_, now + move.left_};
}

void onEndpointReport(PlacingState &state, const EndpointId &endpoint,
                      const std::optional<EndpointReportFacts> &report, TimePoint now)
{
    const auto found = state.steps_.find(endpoint);
    if (found == state.steps_.end())
        return;
    PlacingStep &step = found->second;
    if (!report) {
        if (step.phase_ == PlacingPhase::Asking)
            detail::rest(state, step, now);
        return;
    }
    if (report->layers_ == step.goal_) {
        step.phase_ = PlacingPhase::Idle;
        return;
    }
    if (step.phase_ == PlacingPhase::Loading && !report->busy_ && now >= step.dueAt_)
        detail::rest(state, step, now);
    if (step.phase_ != PlacingPhase::Asking)
        return;
    if (report->busy_)
        return detail::rest(state, step, now);
    step.phase_ = PlacingPhase::Ready;
    step.orders_ = report->orders_;
}

void onOrderOutcome(PlacingState &state, const EngineSpec &engine, const EndpointId &endpoint,
                    OrderOutcome outcome, TimePoint now)
{
    const auto found = state.steps_.find(endpoint);
    if (found == state.steps_.end() || found->second.phase_ != PlacingPhase::Ordering)
        return;
    PlacingStep &step = found->second;
    static constexpr const char *Names[] = {"begun", "holds", "conflict", "refused", "unknown"};
    state.effects_.push_back(
            logEvent(LogLevel::Info, LogLine("placement-outcome")
                                             .add("endpoint", endpoint)
                                             .add("layers", detail::rangeName(step.goal_))
                                             .add("outcome", Names[static_cast<int>(outcome)])
                                             .add("ms", now - step.since_)));
    if (outcome != OrderOutcome::Begun && outcome != OrderOutcome::Holds)
        return detail::rest(state, step, now);
    step.phase_ = PlacingPhase::Loading;
    step.since_ = now;
    step.endsBy_ = now + detail::loadTime(engine, step.goal_) + detail::LoadSlack;
    step.dueAt_ = outcome == OrderOutcome::Holds ? now
                                                 : now + detail::loadTime(engine, step.goal_) / 10;
}

} // namespace gypsumcroft
