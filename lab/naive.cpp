#include "naive.h"

#include <algorithm>

namespace gypsumcroft::lab {

namespace detail {

constexpr Duration NaiveRetryDelay = std::chrono::milliseconds(50);
constexpr Duration NaiveStall = std::chrono::seconds(3);

//! A random endpoint for each stage in turn; nothing if a stage has none.
Route randomRoute(NaiveEntry &state, const RoutingView &view, const TargetName &model)
{
    Route route;
    const auto found = view.byTarget_.find(model);
    if (found == view.byTarget_.end())
        return route;
    LayerIndex layer;
    LayerIndex end {1};
    while (layer < end) {
        std::vector<const EndpointView *> fitting;
        for (const std::size_t index : found->second) {
            const EndpointView &endpoint = view.endpoints_[index];
            if (endpoint.report_.layers_.first_ == layer)
                fitting.push_back(&endpoint);
        }
        if (fitting.empty())
            return {};
        const EndpointView &chosen = *fitting[randomBelow(state.random_, fitting.size())];
        route.push_back({chosen.endpoint_, chosen.agent_, chosen.report_.layers_});
        layer = chosen.report_.layers_.end_;
        end = chosen.report_.modelLayers_;
    }
    return route;
}

void end(NaiveEntry &state, const RequestId &id)
{
    const auto found = state.requests_.find(id);
    if (found == state.requests_.end())
        return;
    for (const RouteHop &hop : found->second.route_)
        state.effects_.push_back(
                SendMessage {hop.agent_, EndStreamMessage {id, found->second.epoch_}});
    state.inFlight_ -= found->second.waiting_ ? 0 : 1;
    state.requests_.erase(found);
}

void fail(NaiveEntry &state, NaiveRequest &request, TimePoint now)
{
    for (const RouteHop &hop : request.route_)
        state.effects_.push_back(
                SendMessage {hop.agent_, EndStreamMessage {request.request_.id_, request.epoch_}});
    request.route_.clear();
    --state.inFlight_;
    request.waiting_ = true;
    request.retryAt_ = now + NaiveRetryDelay;
    state.order_.push_back(request.request_.id_);
}

void start(NaiveEntry &state, const RoutingView &view, NaiveRequest &request, TimePoint now)
{
    Route route = randomRoute(state, view, request.work_.target_);
    if (route.empty())
        return;
    ++state.attempts_;
    ++state.inFlight_;
    ++request.epoch_.value_;
    request.waiting_ = false;
    request.progressAt_ = now;
    request.route_ = route;
    StepMessage step;
    step.plan_.request_ = request.request_.id_;
    step.plan_.epoch_ = request.epoch_;
    step.plan_.entry_ = state.address_;
    step.plan_.route_ = std::move(route);
    step.plan_.maxTokens_ = {request.request_.maxTokens_.value_or(64)};
    step.inputs_.push_back(request.request_.body_);
    step.inputs_.insert(step.inputs_.end(), request.tokens_.begin(), request.tokens_.end());
    state.effects_.push_back(SendMessage {step.plan_.route_.front().agent_, std::move(step)});
}

} // namespace detail

void naiveRequest(NaiveEntry &state, const RoutingView &view, CallerRequest request, TimePoint now)
{
    const auto work = view.config_->templates_.find(request.template_);
    if (work == view.config_->templates_.end())
        return;
    NaiveRequest &added = state.requests_[request.id_];
    added.work_ = work->second;
    added.deadline_ = now + work->second.responseTimeout_;
    added.progressAt_ = now;
    state.order_.push_back(request.id_);
    added.request_ = std::move(request);
    naiveTick(state, view, now);
}

void naiveToken(NaiveEntry &state, const TokenMessage &token, TimePoint now)
{
    const auto found = state.requests_.find(token.request_);
    if (found == state.requests_.end())
        return;
    NaiveRequest &request = found->second;
    if (request.waiting_ || request.epoch_ != token.epoch_
        || request.tokens_.size() != token.index_.value_)
        return;
    request.tokens_.push_back(token.text_);
    request.progressAt_ = now;
    state.effects_.push_back(DeliverToken {token.request_, token.index_, token.text_});
    if (!token.last_)
        return;
    state.effects_.push_back(
            FinishTokenStream {token.request_, static_cast<std::uint32_t>(request.tokens_.size())});
    detail::end(state, token.request_);
}

void naiveFailed(NaiveEntry &state, const StreamFailedMessage &failure, TimePoint now)
{
    const auto found = state.requests_.find(failure.request_);
    if (found != state.requests_.end() && !found->second.waiting_
        && found->second.epoch_ == failure.epoch_)
        detail::fail(state, found->second, now);
}

void naiveAgentDown(NaiveEntry &state, const Address &agent, TimePoint now)
{
    for (auto &[id, request] : state.requests_) {
        const bool uses = std::any_of(request.route_.begin(), request.route_.end(),
                                      [&](const RouteHop &hop) { return hop.agent_ == agent; });
        if (!request.waiting_ && uses)
            detail::fail(state, request, now);
    }
}

void naiveTick(NaiveEntry &state, const RoutingView &view, TimePoint now)
{
    std::vector<RequestId> expired;
    for (auto &[id, request] : state.requests_) {
        if (request.tokens_.empty() && now >= request.deadline_)
            expired.push_back(id);
        else if (!request.waiting_ && now - request.progressAt_ >= detail::NaiveStall)
            detail::fail(state, request, now);
    }
    for (const RequestId &id : expired) {
        state.effects_.push_back(
                DeliverRefusal {id, {RefusalCode::Expired, RunState::Unknown, "", {}}, {}});
        detail::end(state, id);
    }
    while (!state.order_.empty() && state.inFlight_ < state.mostInFlight_) {
        const RequestId id = state.order_.front();
        const auto found = state.requests_.find(id);
        if (found != state.requests_.end() && found->second.waiting_) {
            if (now < found->second.retryAt_)
                return;
            detail::start(state, view, found->second, now);
            if (found->second.waiting_)
                return;
        }
        state.order_.pop_front();
    }
}

} // namespace gypsumcroft::lab
