#include "policy/pathplan.h"

#include <algorithm>
#include <limits>

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
//! its slots, and above the request's limit additionally with the excess.
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

//! By index of the failure domain.
using PartialPaths = std::vector<PartialPath>;

double delayMs(const EngineSpec &engine, const FailureDomainId &from, const FailureDomainId &to)
{
    if (from == to)
        return 0;
    auto found = engine.domainDelays_.find({from, to});
    if (found == engine.domainDelays_.end())
        found = engine.domainDelays_.find({to, from});
    return found == engine.domainDelays_.end() ? 1.0 : toMilliseconds(found->second);
}

//! What a node costs a request: fixed, and for each layer that it runs.
struct NodeCost
{
    double fixedMs_ = 0;
    double msPerLayer_ = 0;
    //! Utilisation of the KV capacity without the request.
    double utilisation_ = 0;
    double utilisationPerLayer_ = 0;
};

NodeCost nodeCost(const EngineSpec &engine, const PathNode &node, const PathDemand &demand)
{
    const double layers = engine.layers_;
    const double read = toMilliseconds(
            prefillTime(engine, node.prefillFactor_, engine.layers_, demand.prompt_));
    const double step = decodeStepMs(engine, node.decodeFactor_, engine.layers_, node.streams_);
    NodeCost cost;
    cost.fixedMs_ = toMilliseconds(node.pendingPrefill_) + toMilliseconds(node.penalty_);
    cost.msPerLayer_ = (read + step * WeightedDecodeSteps) / layers;
    cost.utilisation_ = node.kvCapacity_ <= 0 ? 1 : node.kvUsed_ / node.kvCapacity_;
    cost.utilisationPerLayer_
            = node.kvCapacity_ <= 0
                      ? 0
                      : static_cast<double>(demand.prompt_.value_ + demand.answer_.value_)
                                / node.kvCapacity_;
    return cost;
}

//! Utilisation of the slots of a path's first endpoint.
double slotUtilisationWith(const PathNode &node)
{
    return node.slots_ == 0 ? 0 : (node.begun_ + 1) / node.slots_;
}

double utilisationMs(double utilisation, const PathDemand &demand)
{
    const double excess = std::max(0.0, utilisation - demand.maxUtilisation_);
    return FullEndpointMs * utilisation * utilisation + OverloadMs * excess;
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

//! Failure domains of the nodes, in order, with what a hop between them costs in ms.
struct Domains
{
    std::vector<FailureDomainId> names_;
    //! Index into names_ of each node.
    std::vector<std::size_t> ofNode_;
    //! Cost of reaching each domain from the gateway.
    std::vector<double> entryMs_;
    //! Cost of a hop from the domain of the row to that of the column.
    std::vector<std::vector<double>> hopMs_;
};

Domains domainsOf(const EngineSpec &engine, const std::vector<PathNode> &nodes,
                  const PathDemand &demand)
{
    Domains domains;
    for (const PathNode &node : nodes)
        domains.names_.push_back(node.domain_);
    std::sort(domains.names_.begin(), domains.names_.end());
    domains.names_.erase(std::unique(domains.names_.begin(), domains.names_.end()),
                         domains.names_.end());
    for (const PathNode &node : nodes) {
        const auto found
                = std::lower_bound(domains.names_.begin(), domains.names_.end(), node.domain_);
        domains.ofNode_.push_back(static_cast<std::size_t>(found - domains.names_.begin()));
    }
    for (const FailureDomainId &from : domains.names_) {
        domains.entryMs_.push_back(delayMs(engine, demand.from_, from));
        std::vector<double> &row = domains.hopMs_.emplace_back();
        for (const FailureDomainId &to : domains.names_)
            row.push_back(hopMs(engine, from, to, demand));
    }
    return domains;
}

//! What running a node's layers from the current boundary to a later one costs.
struct Segment
{
    std::size_t to_ = 0;
    double utilisation_ = 0;
    double cost_ = 0;
};

struct Search
{
    const EngineSpec &engine_;
    const std::vector<PathNode> &nodes_;
    const PathDemand &demand_;
    Domains domains_;
    std::vector<NodeCost> costs_;
    std::vector<std::uint32_t> boundaries_;
    std::vector<PartialPaths> cheapest_;
};

//! A node that has loaded the layer after a boundary, and its place among the segments that begin
//! there.
struct Start
{
    std::size_t node_ = 0;
    std::size_t firstSegment_ = 0;
    std::size_t endSegment_ = 0;
};

struct Starts
{
    std::vector<Start> nodes_;
    std::vector<Segment> segments_;
};

//! Fills starts, which is reused for each boundary, with what can begin at this one.
void findStarts(const Search &search, std::size_t at, Starts &starts)
{
    const std::uint32_t layer = search.boundaries_[at];
    starts.nodes_.clear();
    starts.segments_.clear();
    for (std::size_t n = 0; n < search.nodes_.size(); ++n) {
        const LayerRange &layers = search.nodes_[n].layers_;
        if (layers.first_.value_ > layer || layers.end_.value_ <= layer)
            continue;
        const NodeCost &cost = search.costs_[n];
        const std::size_t first = starts.segments_.size();
        for (std::size_t to = at + 1;
             to < search.boundaries_.size() && search.boundaries_[to] <= layers.end_.value_; ++to) {
            const double count = search.boundaries_[to] - layer;
            const double utilisation = cost.utilisation_ + cost.utilisationPerLayer_ * count;
            starts.segments_.push_back({to, utilisation,
                                        cost.fixedMs_ + cost.msPerLayer_ * count
                                                + utilisationMs(utilisation, search.demand_)});
        }
        starts.nodes_.push_back({n, first, starts.segments_.size()});
    }
}

//! Extends a partial path by every endpoint that has loaded the next layer, up to every boundary
//! within the endpoint's range.
void extend(Search &search, std::size_t at, const Starts &starts, const PartialPath *before)
{
    const double cost = before == nullptr ? 0 : before->cost_;
    const double fill = before == nullptr ? 0 : before->fill_;
    const std::size_t segments = before == nullptr ? 1 : before->segments_ + 1;
    if (segments > MaxSegments)
        return;
    for (const Start &start : starts.nodes_) {
        const std::size_t domain = search.domains_.ofNode_[start.node_];
        const std::size_t from
                = before == nullptr ? domain : search.domains_.ofNode_[before->node_];
        if (from != domain && !search.demand_.allowCrossDomain_)
            continue;
        if (before != nullptr && contains(*before, start.node_))
            continue;
        const double slots
                = before == nullptr ? slotUtilisationWith(search.nodes_[start.node_]) : 0;
        const double hop = before == nullptr ? search.domains_.entryMs_[domain]
                                                       + utilisationMs(slots, search.demand_)
                                             : search.domains_.hopMs_[from][domain];
        for (std::size_t i = start.firstSegment_; i < start.endSegment_; ++i) {
            const Segment &segment = starts.segments_[i];
            const double total = cost + hop + segment.cost_;
            PartialPath &best = search.cheapest_[segment.to_][domain];
            if (total >= best.cost_)
                continue;
            best = {total,       std::max({fill, segment.utilisation_, slots}),
                    start.node_, search.boundaries_[at],
                    before,      segments};
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
        planned.ownUtilisation_ = std::max(planned.ownUtilisation_,
                                           search.costs_[part->node_].utilisationPerLayer_
                                                   * static_cast<double>(end - part->firstLayer_));
        if (part->previous_ == nullptr && node.slots_ > 0)
            planned.ownUtilisation_ = std::max(planned.ownUtilisation_, 1.0 / node.slots_);
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
    detail::Search search {engine, nodes,
                           demand, detail::domainsOf(engine, nodes, demand),
                           {},     detail::boundariesOf(engine, nodes),
                           {}};
    for (const PathNode &node : nodes)
        search.costs_.push_back(detail::nodeCost(engine, node, demand));
    search.cheapest_.assign(search.boundaries_.size(),
                            detail::PartialPaths(search.domains_.names_.size()));
    detail::Starts starts;
    detail::findStarts(search, 0, starts);
    detail::extend(search, 0, starts, nullptr);
    for (std::size_t at = 1; at + 1 < search.boundaries_.size(); ++at) {
        detail::findStarts(search, at, starts);
        for (const detail::PartialPath &partial : search.cheapest_[at]) {
            if (partial.segments_ > 0)
                detail::extend(search, at, starts, &partial);
        }
    }
    const detail::PartialPath *best = nullptr;
    for (const detail::PartialPath &partial : search.cheapest_.back()) {
        if (partial.segments_ > 0 && (best == nullptr || partial.cost_ < best->cost_))
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

double decodeStepMs(const EngineSpec &engine, double decodeFactor, std::uint32_t count,
                    std::uint32_t streams)
{
    const double whole = toMilliseconds(engine.decodeStepTime_)
                         + toMilliseconds(engine.decodeStepTimePerSequence_) * streams;
    return whole * decodeFactor * count / std::max(1U, engine.layers_);
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
