//! Rendezvous hashing: all processes pick the same members without communication.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace gypsumcroft {

//! Returns the member with the highest weight for this key, or nothing if there are no members.
std::optional<EndpointId> rendezvous(std::uint64_t key, const std::vector<EndpointId> &members);

//! An endpoint and its failure domain.
struct SubsetMember
{
    EndpointId endpoint_;
    FailureDomainId domain_;
};

//! Picks up to count members for an entry, spread evenly over failure domains.
std::vector<EndpointId> pickSubset(const InstanceId &entry,
                                   const std::vector<SubsetMember> &members, std::size_t count);

} // namespace gypsumcroft
