//! Controller of the other gateways: collects the endpoint loads that they report in their digests.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/messages.h"
#include "core/units.h"
#include "policy/fleetwait.h"

namespace gypsumcroft {

using EndpointLoads = std::unordered_map<EndpointId, EndpointLoad>;

struct PeerLimits
{
    //! Time without a digest after which a peer is removed and its load no longer counts.
    Duration removeAfter_ = std::chrono::milliseconds(1500);
    //! The same for a peer's part in the sum over the domain, which takes longer to arrive.
    Duration leaveOutAfter_ = std::chrono::milliseconds(1000);
    //! Time for which a gateway's demand counts, and the part of it for which it may enter the sum
    //! over its domain: the sum itself takes the rest to reach the other domains.
    Duration maxDemandAge_ = std::chrono::milliseconds(1500);
    Duration maxDemandAgeInSum_ = std::chrono::milliseconds(700);
};

struct PeerGateway
{
    GatewayDigestMessage digest_;
    TimePoint receivedAt_;
};

//! Sum over another failure domain, from one of its gateways.
struct PeerDomain
{
    GatewayDigestMessage digest_;
    TimePoint receivedAt_;
};

struct PeersState
{
    PeerLimits limits_;
    //! Gateways of the own failure domain.
    std::map<InstanceId, PeerGateway> peers_;
    std::map<FailureDomainId, PeerDomain> domains_;
    //! Incarnation and sequence number of the newest sum of each sender.
    std::map<InstanceId, std::pair<Incarnation, std::uint64_t>> newestSums_;
};

//! Stores a peer's digest if it is newer than the stored one. Returns true if it was stored.
bool applyDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now);

//! Stores the sum over another domain unless this or a later one of its sender is known. Returns
//! true if it was stored. Two senders of one domain replace each other's sums.
bool applyDomainDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now);

//! Sum over the own domain: the given own digest and the peers' last ones.
GatewayDigestMessage sumOfDomain(const PeersState &state, const GatewayDigestMessage &own,
                                 TimePoint now);

void removeSilentPeers(PeersState &state, TimePoint now);

//! Adds the load of one report to the sum of its endpoint.
void addLoad(EndpointLoads &sums, const EndpointLoad &load);

//! Load on each endpoint, summed over all peers and the other domains.
std::shared_ptr<const EndpointLoads> totalPeerLoads(const PeersState &state);

//! Demand for each target, summed over all peers and the other domains.
std::shared_ptr<const FleetDemand> totalPeerDemand(const PeersState &state, TimePoint now);

} // namespace gypsumcroft
