//! Rendezvous hashing: every process picks the same members without talking to others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace gypsumcroft {

//! The member with the highest weight for this key; nothing if there are none.
std::optional<EndpointId> rendezvous(std::uint64_t key, const std::vector<EndpointId> &members);

//! A member of a fleet with the failure domain it stands in.
struct SubsetMember
{
    EndpointId endpoint_;
    FailureDomainId domain_;
};

//! Up to count members for an entry, spread evenly over failure domains.
std::vector<EndpointId> pickSubset(const InstanceId &entry,
                                   const std::vector<SubsetMember> &members, std::size_t count);

} // namespace gypsumcroft
