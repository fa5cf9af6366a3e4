#include "policy/subset.h"

#include <algorithm>
#include <map>

#include "core/hash.h"

namespace gypsumcroft {

std::optional<EndpointId> rendezvous(std::uint64_t key, const std::vector<EndpointId> &members)
{
    std::optional<EndpointId> best;
    std::uint64_t bestWeight = 0;
    for (const EndpointId &member : members) {
        const std::uint64_t weight = mixHash(key, hashText(member.value_));
        const bool better = !best || weight > bestWeight
                            || (weight == bestWeight && member.value_ < best->value_);
        if (!better)
            continue;
        best = member;
        bestWeight = weight;
    }
    return best;
}

std::vector<EndpointId> pickSubset(const InstanceId &entry,
                                   const std::vector<SubsetMember> &members, std::size_t count)
{
    using Weighted = std::pair<std::uint64_t, EndpointId>;
    const std::uint64_t key = hashText(entry.value_);
    std::map<FailureDomainId, std::vector<Weighted>> domains;
    for (const SubsetMember &member : members)
        domains[member.domain_].push_back(
                {mixHash(key, hashText(member.endpoint_.value_)), member.endpoint_});
    for (auto &[domain, weighted] : domains)
        std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<EndpointId> subset;
    for (std::size_t round = 0; subset.size() < std::min(count, members.size()); ++round) {
        for (const auto &[domain, weighted] : domains) {
            if (round < weighted.size() && subset.size() < count)
                subset.push_back(weighted[round].second);
        }
    }
    return subset;
}

} // namespace gypsumcroft
