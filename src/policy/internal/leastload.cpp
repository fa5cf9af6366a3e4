#include "policy/leastload.h"

#include <algorithm>
#include <tuple>

namespace gypsumcroft {

std::optional<ServiceChoice> chooseLeastLoaded(const std::vector<ServiceNode> &nodes)
{
    const auto cost = [](const ServiceNode &node) {
        const double load = static_cast<double>(node.load_) / std::max(1U, node.slots_);
        return std::tuple(node.coolingDown_, load, !node.sameDomain_);
    };
    const auto best = std::min_element(
            nodes.begin(), nodes.end(),
            [&](const auto &left, const auto &right) { return cost(left) < cost(right); });
    if (best == nodes.end())
        return std::nullopt;
    return ServiceChoice {best->index_, static_cast<std::int64_t>(best->slots_) - best->load_};
}

} // namespace gypsumcroft
