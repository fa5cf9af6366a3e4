#include "filters/candidates.h"

#include <algorithm>

#include "pathchoice.h"

namespace gypsumcroft {

namespace detail {
namespace {

const char *reasonRuledOut(const GatewayView &view, const EngineSpec *engine,
                           const EndpointUsage &usage, const ListedEndpoint &listed, TimePoint now)
{
    if (const char *reason = reasonUnusable(view, usage, listed, now))
        return reason;
    if (engine == nullptr)
        return "";
    if (!listed.layers_)
        return "no layers loaded";
    return engine->accelerators_.contains(listed.accelerator_) ? "" : "unknown accelerator";
}

void takeNode(Candidate &candidate, const PathNode &node, const EngineSpec &engine)
{
    const auto kind = engine.accelerators_.find(candidate.listed_.accelerator_);
    candidate.slowdown_ = node.decodeFactor_ / kind->second.decodeFactor_;
    candidate.streams_ = node.streams_;
    candidate.begun_ = node.begun_;
    candidate.pendingPrefill_ = node.pendingPrefill_;
    candidate.kvUsed_ = node.kvUsed_;
    candidate.kvCapacity_ = node.kvCapacity_;
    candidate.penalty_ = node.penalty_;
}

} // namespace
} // namespace detail

std::vector<Candidate> candidatesOf(const GatewayContext &context, const GatewayView &view,
                                    GatewayTraffic &state, TimePoint now)
{
    std::vector<Candidate> candidates;
    const auto found = view.endpoints_->byTarget_.find(context.target_);
    if (found == view.endpoints_->byTarget_.end())
        return candidates;
    const EngineSpec *engine = detail::engineOf(context, view);
    std::vector<PathNode> nodes;
    if (engine != nullptr)
        nodes = detail::pathNodes(context, view, *engine, state, now);
    for (const std::size_t index : found->second) {
        Candidate candidate;
        candidate.listed_ = view.endpoints_->endpoints_[index];
        const EndpointUsage &usage = state.endpointUsage_[candidate.listed_.id_];
        candidate.ruledOut_ = detail::reasonRuledOut(view, engine, usage, candidate.listed_, now);
        const auto peers = view.peerLoads_->find(candidate.listed_.id_);
        candidate.calls_
                = usage.load_.calls_ + (peers == view.peerLoads_->end() ? 0 : peers->second.calls_);
        const auto node = std::find_if(nodes.begin(), nodes.end(), [&](const PathNode &known) {
            return known.endpoint_ == candidate.listed_.id_;
        });
        if (node != nodes.end())
            detail::takeNode(candidate, *node, *engine);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

double utilisationLimitOf(const GatewayContext &context, const GatewayView &view,
                          const GatewayTraffic &state, TimePoint now)
{
    return detail::maxUtilisationOf(context, view, state, now);
}

} // namespace gypsumcroft
