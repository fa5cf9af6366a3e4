#include "dispatching.h"

#include <algorithm>
#include <utility>

#include "filters/pathspeed.h"
#include "pathchoice.h"

namespace gypsumcroft::detail {

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

namespace {

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

} // namespace

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

} // namespace gypsumcroft::detail
