#include "policy/routeplan.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace gypsumcroft {

namespace detail {

constexpr std::size_t NoPredecessor = static_cast<std::size_t>(-1);

struct PartialRoute
{
    Duration cost_ = Duration::max();
    std::size_t predecessor_ = NoPredecessor;
};

//! Indexes of candidates by model version and end layer.
using EndIndex = std::map<std::pair<ModelVersion, LayerIndex>, std::vector<std::size_t>>;

bool isValidStage(const StageCandidate &candidate)
{
    return candidate.layers_.first_ < candidate.layers_.end_
           && candidate.layers_.end_ <= candidate.modelLayers_;
}

std::vector<std::size_t> orderByFirstLayer(const std::vector<StageCandidate> &candidates)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isValidStage(candidates[i]))
            order.push_back(i);
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return candidates[left].layers_.first_ < candidates[right].layers_.first_;
    });
    return order;
}

PartialRoute extendRoute(const std::vector<StageCandidate> &candidates, std::size_t index,
                         const std::vector<PartialRoute> &reached, const EndIndex &ends,
                         const LinkTable &links)
{
    const StageCandidate &candidate = candidates[index];
    if (candidate.layers_.first_.value_ == 0)
        return {candidate.stepCost_, NoPredecessor};
    PartialRoute best;
    const auto before = ends.find({candidate.version_, candidate.layers_.first_});
    if (before == ends.end())
        return best;
    for (const std::size_t previous : before->second) {
        if (candidates[previous].modelLayers_ != candidate.modelLayers_)
            continue;
        const Duration cost
                = reached[previous].cost_ + candidate.stepCost_
                  + linkDelay(links, candidates[previous].endpoint_, candidate.endpoint_);
        if (cost < best.cost_)
            best = {cost, previous};
    }
    return best;
}

PlannedRoute routeTo(const std::vector<StageCandidate> &candidates,
                     const std::vector<PartialRoute> &reached, std::size_t last)
{
    PlannedRoute plan;
    plan.version_ = candidates[last].version_;
    plan.cost_ = reached[last].cost_;
    for (std::size_t at = last; at != NoPredecessor; at = reached[at].predecessor_)
        plan.route_.push_back(
                {candidates[at].endpoint_, candidates[at].agent_, candidates[at].layers_});
    std::reverse(plan.route_.begin(), plan.route_.end());
    return plan;
}

//! A class contains the token costs up to this factor, in tenths, above its lowest.
constexpr std::int64_t ClassFactorTenths = 15;

std::vector<SpeedClass> speedClasses(const std::vector<StageCandidate> &candidates)
{
    std::vector<Duration> costs;
    costs.reserve(candidates.size());
    for (const StageCandidate &candidate : candidates)
        costs.push_back(candidate.tokenCost_);
    std::sort(costs.begin(), costs.end());
    std::vector<SpeedClass> classes;
    for (const Duration cost : costs) {
        if (classes.empty() || cost * 10 > classes.back().minTokenCost_ * ClassFactorTenths)
            classes.push_back({cost, cost});
        classes.back().maxTokenCost_ = cost;
    }
    return classes;
}

} // namespace detail

Duration linkDelay(const LinkTable &links, const EndpointId &from, const EndpointId &to)
{
    const auto row = links.delays_.find(from);
    if (row == links.delays_.end())
        return links.defaultDelay_;
    const auto cell = row->second.find(to);
    return cell == row->second.end() ? links.defaultDelay_ : cell->second;
}

std::optional<PlannedRoute> planRoute(const std::vector<StageCandidate> &candidates,
                                      const LinkTable &links)
{
    std::vector<detail::PartialRoute> reached(candidates.size());
    detail::EndIndex ends;
    std::size_t best = detail::NoPredecessor;
    for (const std::size_t index : detail::orderByFirstLayer(candidates)) {
        reached[index] = detail::extendRoute(candidates, index, reached, ends, links);
        if (reached[index].cost_ == Duration::max())
            continue;
        const StageCandidate &candidate = candidates[index];
        ends[{candidate.version_, candidate.layers_.end_}].push_back(index);
        if (candidate.layers_.end_ != candidate.modelLayers_)
            continue;
        if (best == detail::NoPredecessor || reached[index].cost_ < reached[best].cost_)
            best = index;
    }
    if (best == detail::NoPredecessor)
        return std::nullopt;
    return detail::routeTo(candidates, reached, best);
}

bool isInClass(const SpeedClass &speed, Duration tokenCost)
{
    return tokenCost >= speed.minTokenCost_ && tokenCost <= speed.maxTokenCost_;
}

std::vector<SpeedClass> coveringClasses(const std::vector<StageCandidate> &candidates)
{
    std::vector<SpeedClass> covering;
    for (const SpeedClass &speed : detail::speedClasses(candidates)) {
        std::vector<StageCandidate> members;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(members),
                     [&](const StageCandidate &candidate) {
                         return isInClass(speed, candidate.tokenCost_);
                     });
        if (planRoute(members, {}))
            covering.push_back(speed);
    }
    if (covering.empty())
        covering.push_back({Duration::zero(), Duration::max()});
    return covering;
}

} // namespace gypsumcroft
