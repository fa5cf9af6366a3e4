#include "policy/pathplan.h"

#include <algorithm>
#include <limits>
#include <map>

namespace gypsumcroft {

namespace detail {
namespace {

//! Maximum number of endpoints in a path that endpoints accept.
constexpr std::size_t MaxSegments = 32;
//! Decode steps that are weighed against the prefill time: the first event and some after it.
constexpr double WeightedDecodeSteps = 10;
//! Fixed cost of a hop in ms.
constexpr double HopMs = 0.3;
//! Extra cost of a cross-domain hop in ms: the links between failure domains are shared and charged
//! for.
constexpr double CrossDomainHopMs = 200;
//! Cost of a full endpoint in ms. It grows with the square of the utilisation of its KV capacity or
//! its slots, and above 1 additionally with the excess.
constexpr double FullEndpointMs = 60;
constexpr double OverloadMs = 2000;
constexpr double MsPerSecond = 1000;

constexpr double Unreached = std::numeric_limits<double>::infinity();

//! Cheapest path to a layer boundary whose last endpoint is in a given failure domain.
struct PartialPath
{
    double cost_ = Unreached;
    double fill_ = 0;
    std::size_t node_ = 0;
    std::uint32_t firstLayer_ = 0;
    //! The partial path that this one extends; null at its first endpoint.
    const PartialPath *previous_ = nullptr;
    std::size_t segments_ = 0;
};

using PartialPaths = std::map<FailureDomainId, PartialPath>;

double delayMs(const EngineSpec &engine, const FailureDomainId &from, const FailureDomainId &to)
{
    if (from == to)
        return 0;
    auto found = engine.domainDelays_.find({from, to});
    if (found == engine.domainDelays_.end())
        found = engine.domainDelays_.find({to, from});
    return found == engine.domainDelays_.end() ? 1.0 : toMilliseconds(found->second);
}

double utilisationWith(const PathNode &node, std::uint32_t count, const PathDemand &demand)
{
    if (node.kvCapacity_ <= 0)
        return 1;
    const double need = static_cast<double>(demand.prompt_.value_ + demand.answer_.value_) * count;
    return (node.kvUsed_ + need) / node.kvCapacity_;
}

//! Utilisation of the slots of a path's first endpoint.
double slotUtilisationWith(const PathNode &node)
{
    return node.slots_ == 0 ? 0 : (node.begun_ + 1) / node.slots_;
}

double utilisationMs(double utilisation)
{
    return FullEndpointMs * utilisation * utilisation
           + (utilisation > 1 ? OverloadMs * (utilisation - 1) : 0);
}

//! Cost in ms of running count layers on a node with the given KV utilisation. It only grows with
//! count.
double segmentMs(const EngineSpec &engine, const PathNode &node, std::uint32_t count,
                 double utilisation, const PathDemand &demand)
{
    const double share = static_cast<double>(count) / engine.layers_;
    const double read
            = toMilliseconds(prefillTime(engine, node.prefillFactor_, count, demand.prompt_));
    const double step = (toMilliseconds(engine.decodeStepTime_)
                         + toMilliseconds(engine.decodeStepTimePerSequence_) * node.streams_)
                        * node.decodeFactor_ * share;
    return read + toMilliseconds(node.pendingPrefill_) + step * WeightedDecodeSteps
           + utilisationMs(utilisation) + toMilliseconds(node.penalty_);
}

double hopMs(const EngineSpec &engine, const FailureDomainId &from, const FailureDomainId &to,
             const PathDemand &demand)
{
    const double bytes = static_cast<double>(demand.prompt_.value_)
                         * static_cast<double>(engine.activationBytesPerToken_.value_);
    double cost = HopMs;
    if (engine.linkBytesPerSecond_ > 0)
        cost += bytes / engine.linkBytesPerSecond_ * MsPerSecond;
    if (from == to)
        return cost;
    if (engine.crossDomainBytesPerSecond_ > 0)
        cost += bytes / engine.crossDomainBytesPerSecond_ * MsPerSecond;
    return cost + CrossDomainHopMs + delayMs(engine, from, to) * WeightedDecodeSteps;
}

bool contains(const PartialPath &partial, std::size_t node)
{
    for (const PartialPath *part = &partial; part != nullptr; part = part->previous_) {
        if (part->node_ == node)
            return true;
    }
    return false;
}

std::vector<std::uint32_t> boundariesOf(const EngineSpec &engine,
                                        const std::vector<PathNode> &nodes)
{
    std::vector<std::uint32_t> boundaries {0, engine.layers_};
    for (const PathNode &node : nodes) {
        boundaries.push_back(node.layers_.first_.value_);
        boundaries.push_back(node.layers_.end_.value_);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    while (!boundaries.empty() && boundaries.back() > engine.layers_)
        boundaries.pop_back();
    return boundaries;
}

struct Search
{
    const EngineSpec &engine_;
    const std::vector<PathNode> &nodes_;
    const PathDemand &demand_;
    std::vector<std::uint32_t> boundaries_;
    std::vector<PartialPaths> cheapest_;
};

//! Extends a partial path by every endpoint that has loaded the next layer, up to every boundary
//! within the endpoint's range.
void extend(Search &search, std::size_t at, const PartialPath *before, double cost,
            double highestUtilisation)
{
    const std::uint32_t layer = search.boundaries_[at];
    for (std::size_t n = 0; n < search.nodes_.size(); ++n) {
        const PathNode &node = search.nodes_[n];
        if (node.layers_.first_.value_ > layer || node.layers_.end_.value_ <= layer)
            continue;
        if (before != nullptr && !search.demand_.allowCrossDomain_
            && search.nodes_[before->node_].domain_ != node.domain_)
            continue;
        if (before != nullptr && (before->segments_ >= MaxSegments || contains(*before, n)))
            continue;
        const double slots = before == nullptr ? slotUtilisationWith(node) : 0;
        const double hop = before == nullptr
                                   ? delayMs(search.engine_, search.demand_.from_, node.domain_)
                                             + utilisationMs(slots)
                                   : hopMs(search.engine_, search.nodes_[before->node_].domain_,
                                           node.domain_, search.demand_);
        for (std::size_t to = at + 1;
             to < search.boundaries_.size() && search.boundaries_[to] <= node.layers_.end_.value_;
             ++to) {
            const std::uint32_t count = search.boundaries_[to] - layer;
            const double utilisation = utilisationWith(node, count, search.demand_);
            const double highest = std::max({highestUtilisation, utilisation, slots});
            const double total
                    = cost + hop
                      + segmentMs(search.engine_, node, count, utilisation, search.demand_);
            PartialPath &best = search.cheapest_[to][node.domain_];
            if (total < best.cost_)
                best = {total, highest, n,
                        layer, before,  before == nullptr ? 1 : before->segments_ + 1};
        }
    }
}

PlannedPath pathOf(const Search &search, const PartialPath &last)
{
    PlannedPath planned;
    planned.cost_ = Duration(static_cast<std::int64_t>(last.cost_ * MsPerSecond));
    planned.utilisation_ = last.fill_;
    std::uint32_t end = search.engine_.layers_;
    for (const PartialPath *part = &last; part != nullptr; part = part->previous_) {
        const PathNode &node = search.nodes_[part->node_];
        planned.pendingPrefill_ = std::max(planned.pendingPrefill_, node.pendingPrefill_);
        if (part->previous_ != nullptr
            && search.nodes_[part->previous_->node_].domain_ != node.domain_)
            ++planned.crossDomainHops_;
        planned.path_.push_back({node.endpoint_, node.address_, {{part->firstLayer_}, {end}}});
        end = part->firstLayer_;
    }
    std::reverse(planned.path_.begin(), planned.path_.end());
    return planned;
}

} // namespace
} // namespace detail

std::optional<PlannedPath> planPath(const EngineSpec &engine, const std::vector<PathNode> &nodes,
                                    const PathDemand &demand)
{
    detail::Search search {engine, nodes, demand, detail::boundariesOf(engine, nodes), {}};
    search.cheapest_.resize(search.boundaries_.size());
    detail::extend(search, 0, nullptr, 0, 0);
    for (std::size_t at = 1; at + 1 < search.boundaries_.size(); ++at) {
        for (const auto &[domain, partial] : search.cheapest_[at])
            detail::extend(search, at, &partial, partial.cost_, partial.fill_);
    }
    const detail::PartialPath *best = nullptr;
    for (const auto &[domain, partial] : search.cheapest_.back()) {
        if (best == nullptr || partial.cost_ < best->cost_)
            best = &partial;
    }
    if (best == nullptr || search.boundaries_.back() != engine.layers_)
        return std::nullopt;
    return detail::pathOf(search, *best);
}

double kvCapacity(const EngineSpec &engine, const AcceleratorSpec &kind, std::uint32_t count)
{
    const double weights = static_cast<double>(engine.layerBytes_.value_) * count;
    const double perTokenLayer
            = static_cast<double>(engine.kvBytesPerToken_.value_) / std::max(1U, engine.layers_);
    const double left = static_cast<double>(kind.memory_.value_) - weights;
    return left <= 0 || perTokenLayer <= 0 ? 0 : left / perTokenLayer;
}

Duration prefillTime(const EngineSpec &engine, double prefillFactor, std::uint32_t count,
                     Tokens prompt)
{
    const double share = static_cast<double>(count) / std::max(1U, engine.layers_);
    const double seconds = static_cast<double>(prompt.value_)
                           / std::max(1.0, engine.prefillTokensPerSecond_) * prefillFactor * share;
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace gypsumcroft
