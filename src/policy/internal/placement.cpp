#include "policy/placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "policy/chains.h"
#include "policy/pathplan.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Every endpoint reserves KV capacity for at least this many requests of typical size.
constexpr double MinRequests = 8;
//! Ratio of the layers that a domain should be able to load to those of the model. The surplus
//! holds second copies, so that a complete path remains when an endpoint is lost.
constexpr double RedundancyFactor = 1.2;
//! Factor between two successive candidate sizes of the reserved KV capacity.
constexpr double ReserveStep = 1.05;

//! Copies of a layer in a failure domain up to which an empty endpoint always loads a further one:
//! two may be lost at once, for instance with a rack.
constexpr std::uint32_t EnoughCopies = 3;
//! Utilisation of a domain's busiest layer above which further copies are loaded. A load takes
//! seconds, so it has to begin well before the layer is full.
constexpr double BusyUtilisation = 0.5;

//! Number of copies of each layer.
using Coverage = std::vector<std::uint32_t>;

//! An endpoint with what its kind means for the plan.
struct PlannedNode : PlacementNode
{
    //! Layers that it may load by the plan of its domain; 0 for an unknown kind.
    std::uint32_t capacity_ = 0;
    double decodeFactor_ = 0;
};

struct PlanningState
{
    const EngineSpec &engine_;
    std::vector<PlannedNode> nodes_;
    //! Domains whose endpoints load complete copies of the model.
    std::map<FailureDomainId, ChainPlan> chains_;
    std::map<FailureDomainId, Coverage> byDomain_;
    Coverage allDomains_;
    CopyRule copies_ = CopyRule::Always;
    //! Domains whose busiest layer is above BusyUtilisation.
    std::set<FailureDomainId> busyDomains_;
};

const AcceleratorSpec *acceleratorOf(const EngineSpec &engine, const PlacementNode &node)
{
    const auto found = engine.accelerators_.find(node.kind_);
    return found == engine.accelerators_.end() ? nullptr : &found->second;
}

std::uint32_t capacityOf(const EngineSpec &engine, const PlacementNode &node, Tokens kvTokens)
{
    const AcceleratorSpec *kind = acceleratorOf(engine, node);
    return kind == nullptr ? 0 : layersThatFit(engine, *kind, kvTokens);
}

//! The endpoints with what they may load by the plan of their domain.
std::vector<PlannedNode> plannedNodes(const EngineSpec &engine, std::vector<PlacementNode> nodes,
                                      const std::map<FailureDomainId, ChainPlan> &chains,
                                      Tokens reservedTokens)
{
    std::vector<PlannedNode> planned;
    planned.reserve(nodes.size());
    for (PlacementNode &node : nodes) {
        const auto plan = chains.find(node.domain_);
        const Tokens kvTokens = plan == chains.end() ? reservedTokens : plan->second.kvTokens_;
        const AcceleratorSpec *kind = acceleratorOf(engine, node);
        planned.push_back({std::move(node),
                           kind == nullptr ? 0 : layersThatFit(engine, *kind, kvTokens),
                           kind == nullptr ? 0 : kind->decodeFactor_});
    }
    return planned;
}

Tokens tokensOf(double count)
{
    return {static_cast<std::int64_t>(count)};
}

//! Least KV capacity that an endpoint reserves.
Tokens minTokens(const EngineSpec &engine)
{
    return tokensOf(MinRequests * typicalRequestTokens(engine));
}

//! Total number of layers that the endpoints of each domain can load.
std::map<FailureDomainId, std::uint32_t>
layersByDomain(const EngineSpec &engine, const std::vector<PlacementNode> &nodes, Tokens kvTokens)
{
    std::map<FailureDomainId, std::uint32_t> layers;
    for (const PlacementNode &node : nodes)
        layers[node.domain_] += capacityOf(engine, node, kvTokens);
    return layers;
}

void countCopies(PlanningState &state, const PlacementNode &node, int change)
{
    if (!node.layers_ || !node.available_)
        return;
    Coverage &domain = state.byDomain_[node.domain_];
    const std::uint32_t end = std::min(node.layers_->end_.value_, state.engine_.layers_);
    for (std::uint32_t layer = node.layers_->first_.value_; layer < end; ++layer) {
        domain[layer] += static_cast<std::uint32_t>(change);
        state.allDomains_[layer] += static_cast<std::uint32_t>(change);
    }
}

//! KV capacity and slots that a domain has for each layer, and the part of them in use.
struct LayerUse
{
    double capacity_ = 0;
    double used_ = 0;
};

//! Utilisation of the busiest layer of a domain. A request takes a slot at its first endpoint only,
//! so the slots count for the first layer.
double busiestLayer(const EngineSpec &engine, const std::vector<PlannedNode> &nodes,
                    const FailureDomainId &domain)
{
    std::vector<LayerUse> layers(engine.layers_);
    LayerUse slots;
    for (const PlannedNode &node : nodes) {
        const AcceleratorSpec *kind = acceleratorOf(engine, node);
        if (node.domain_ != domain || !node.layers_ || !node.available_ || kind == nullptr)
            continue;
        const std::uint32_t end = std::min(node.layers_->end_.value_, engine.layers_);
        const std::uint32_t first = std::min(node.layers_->first_.value_, end);
        for (std::uint32_t layer = first; layer < end; ++layer) {
            layers[layer].capacity_ += kvCapacity(engine, *kind, end - first) / (end - first);
            layers[layer].used_ += node.kvUsed_ / (end - first);
        }
        if (first == 0)
            slots = {slots.capacity_ + engine.slots_, slots.used_ + node.begun_};
    }
    layers.push_back(slots);
    double busiest = 0;
    for (const LayerUse &layer : layers) {
        if (layer.capacity_ > 0)
            busiest = std::max(busiest, layer.used_ / layer.capacity_);
    }
    return busiest;
}

bool isRedundant(const PlanningState &state, const PlacementNode &node)
{
    const Coverage &domain = state.byDomain_.at(node.domain_);
    const std::uint32_t end = std::min(node.layers_->end_.value_, state.engine_.layers_);
    for (std::uint32_t layer = node.layers_->first_.value_; layer < end; ++layer) {
        if (domain[layer] < 2)
            return false;
    }
    return true;
}

//! Score for loading [first, first + size): layers that are missing in the domain weigh most, then
//! those that are missing in all domains, then those with the fewest copies.
double scoreOf(const PlanningState &state, const Coverage &domain, std::uint32_t first,
               std::uint32_t size)
{
    constexpr double MissingInDomain = 1000;
    constexpr double MissingEverywhere = 100;
    double score = 0;
    for (std::uint32_t layer = first; layer < first + size; ++layer) {
        if (domain[layer] == 0)
            score += MissingInDomain;
        if (state.allDomains_[layer] == 0)
            score += MissingEverywhere;
        score += 1.0 / ((1 + domain[layer]) * (1 + domain[layer]))
                 + 0.01 / (1 + state.allDomains_[layer]);
    }
    return score;
}

//! Returns the range of the given size with the highest score, the first of equal ones.
LayerRange bestRange(const PlanningState &state, const Coverage &domain, std::uint32_t size)
{
    constexpr double Tolerance = 1e-9;
    std::uint32_t best = 0;
    double bestScore = -1;
    for (std::uint32_t first = 0; first + size <= state.engine_.layers_; ++first) {
        const double score = scoreOf(state, domain, first, size);
        if (score > bestScore + Tolerance) {
            best = first;
            bestScore = score;
        }
    }
    return {{best}, {best + size}};
}

//! Orders fast endpoints first, and endpoints of equal speed by name.
bool precedes(const PlannedNode &left, const PlannedNode &right)
{
    return std::tie(left.decodeFactor_, left.endpoint_)
           < std::tie(right.decodeFactor_, right.endpoint_);
}

//! Layers from the first one with the fewest copies up to the next one with more.
LayerRange thinnestRange(const Coverage &domain)
{
    const auto first = std::min_element(domain.begin(), domain.end());
    const auto end = std::find_if(first, domain.end(),
                                  [&](std::uint32_t copies) { return copies != *first; });
    return {{static_cast<std::uint32_t>(first - domain.begin())},
            {static_cast<std::uint32_t>(end - domain.begin())}};
}

std::uint32_t sizeOf(const LayerRange &range)
{
    return range.end_.value_ - range.first_.value_;
}

//! Orders the endpoints for a range that is to be filled: the smallest that can load all of it
//! first, then the largest. So little capacity is left over where a copy ends.
bool fitsBetter(const PlanningState &state, const PlannedNode &left, const PlannedNode &right,
                std::uint32_t size)
{
    const auto place = [&](const PlannedNode &node) {
        const bool fills = node.capacity_ >= size;
        return std::pair(!fills, fills ? node.capacity_ : state.engine_.layers_ - node.capacity_);
    };
    const auto leftPlace = place(left);
    const auto rightPlace = place(right);
    return leftPlace != rightPlace ? leftPlace < rightPlace : precedes(left, right);
}

//! Returns the empty endpoint to load next, or null.
PlannedNode *emptyNode(PlanningState &state, const FailureDomainId &domain)
{
    const bool inChains = state.chains_.contains(domain);
    const std::uint32_t size = sizeOf(thinnestRange(state.byDomain_.at(domain)));
    PlannedNode *best = nullptr;
    for (PlannedNode &node : state.nodes_) {
        if (node.domain_ != domain || node.layers_ || !node.available_ || !node.assignable_
            || node.capacity_ == 0)
            continue;
        if (best == nullptr
            || (inChains ? fitsBetter(state, node, *best, size) : precedes(node, *best)))
            best = &node;
    }
    return best;
}

//! Returns an endpoint whose layers all have another copy in its domain, the slowest first.
PlannedNode *redundantNode(PlanningState &state, const FailureDomainId &domain)
{
    PlannedNode *best = nullptr;
    for (PlannedNode &node : state.nodes_) {
        if (node.domain_ != domain || !node.layers_ || !node.available_ || !node.assignable_
            || node.capacity_ == 0 || !isRedundant(state, node))
            continue;
        if (best == nullptr || precedes(*best, node))
            best = &node;
    }
    return best;
}

bool hasMissingLayer(const Coverage &domain)
{
    return std::find(domain.begin(), domain.end(), 0U) != domain.end();
}

//! Layers that the endpoint should load next. In a domain with complete copies it fills the first
//! range with the fewest copies and goes no further, so that copies end where others do.
LayerRange rangeFor(const PlanningState &state, const PlannedNode &node)
{
    const Coverage &domain = state.byDomain_.at(node.domain_);
    const std::uint32_t size = std::min(node.capacity_, state.engine_.layers_);
    if (!state.chains_.contains(node.domain_))
        return bestRange(state, domain, size);
    const LayerRange thinnest = thinnestRange(domain);
    return {thinnest.first_, {thinnest.first_.value_ + std::min(size, sizeOf(thinnest))}};
}

PlacementMove move(PlanningState &state, PlannedNode &node, const char *reason)
{
    countCopies(state, node, -1);
    node.layers_ = rangeFor(state, node);
    node.assignable_ = false;
    countCopies(state, node, 1);
    return {node.endpoint_, *node.layers_, reason};
}

//! Chain plans of the domains that are large enough for more than one copy of the model.
std::map<FailureDomainId, ChainPlan> planChainsByDomain(const EngineSpec &engine,
                                                        const std::vector<PlacementNode> &nodes)
{
    std::map<FailureDomainId, std::map<AcceleratorKind, std::uint32_t>> counts;
    for (const PlacementNode &node : nodes) {
        if (node.available_ && acceleratorOf(engine, node) != nullptr)
            ++counts[node.domain_][node.kind_];
    }
    std::map<FailureDomainId, ChainPlan> plans;
    for (const auto &[domain, kinds] : counts) {
        std::vector<KindCount> fleet;
        for (const auto &[kind, count] : kinds)
            fleet.push_back({engine.accelerators_.at(kind), count});
        if (const auto plan = planChains(engine, fleet, minTokens(engine)))
            plans.emplace(domain, *plan);
    }
    return plans;
}

bool mayLoadCopy(const PlanningState &state, const FailureDomainId &domain)
{
    const Coverage &coverage = state.byDomain_.at(domain);
    return state.copies_ == CopyRule::Always || state.busyDomains_.contains(domain)
           || *std::min_element(coverage.begin(), coverage.end()) < EnoughCopies;
}

//! Returns the most urgent move of a domain, or nothing if none is needed or no endpoint can be
//! moved.
std::optional<PlacementMove> nextMove(PlanningState &state, const FailureDomainId &domain)
{
    const bool gap = hasMissingLayer(state.byDomain_.at(domain));
    if (!gap && !mayLoadCopy(state, domain))
        return std::nullopt;
    if (PlannedNode *node = emptyNode(state, domain))
        return move(state, *node, gap ? "gap" : "copy");
    if (!gap)
        return std::nullopt;
    PlannedNode *node = redundantNode(state, domain);
    if (node == nullptr)
        return std::nullopt;
    return move(state, *node, "gap-by-copy");
}

} // namespace
} // namespace detail

std::uint32_t layersThatFit(const EngineSpec &engine, const AcceleratorSpec &kind, Tokens kvTokens)
{
    const double perLayer = static_cast<double>(engine.layerBytes_.value_)
                            + static_cast<double>(kvTokens.value_)
                                      * static_cast<double>(engine.kvBytesPerToken_.value_)
                                      / std::max(1U, engine.layers_);
    if (perLayer <= 0)
        return 0;
    const auto layers
            = static_cast<std::uint32_t>(static_cast<double>(kind.memory_.value_) / perLayer);
    return std::min(layers, engine.layers_);
}

Tokens kvTokensToReserve(const EngineSpec &engine, const std::vector<PlacementNode> &nodes)
{
    const double request = typicalRequestTokens(engine);
    const double least = detail::MinRequests * request;
    double kvTokens = std::max(least, engine.slots_ * request);
    const auto possible = detail::layersByDomain(engine, nodes, detail::tokensOf(least));
    while (kvTokens > least) {
        const auto layers = detail::layersByDomain(engine, nodes, detail::tokensOf(kvTokens));
        const bool enough = std::all_of(possible.begin(), possible.end(), [&](const auto &entry) {
            return entry.second < engine.layers_
                   || layers.at(entry.first) >= detail::RedundancyFactor * engine.layers_;
        });
        if (enough)
            break;
        kvTokens /= detail::ReserveStep;
    }
    return detail::tokensOf(std::max(kvTokens, least));
}

std::vector<PlacementMove> planPlacement(const EngineSpec &engine, std::vector<PlacementNode> nodes,
                                         std::size_t limit, CopyRule copies)
{
    const auto chains = detail::planChainsByDomain(engine, nodes);
    const Tokens kvTokens = kvTokensToReserve(engine, nodes);
    detail::PlanningState state {engine,
                                 detail::plannedNodes(engine, std::move(nodes), chains, kvTokens),
                                 chains,
                                 {},
                                 detail::Coverage(engine.layers_),
                                 copies,
                                 {}};
    for (const detail::PlannedNode &node : state.nodes_)
        state.byDomain_.try_emplace(node.domain_, engine.layers_);
    for (const detail::PlannedNode &node : state.nodes_)
        detail::countCopies(state, node, 1);
    for (const auto &[domain, coverage] : state.byDomain_) {
        if (copies == CopyRule::WhenNeeded
            && detail::busiestLayer(engine, state.nodes_, domain) > detail::BusyUtilisation)
            state.busyDomains_.insert(domain);
    }
    std::vector<PlacementMove> moves;
    bool moved = true;
    while (moved && moves.size() < limit) {
        moved = false;
        for (const auto &[domain, coverage] : state.byDomain_) {
            if (moves.size() >= limit)
                break;
            if (auto next = detail::nextMove(state, domain)) {
                moves.push_back(std::move(*next));
                moved = true;
            }
        }
    }
    return moves;
}

} // namespace gypsumcroft
