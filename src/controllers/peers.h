//! Controller of the other gateways: collects the endpoint loads that they report in their digests.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

using EndpointLoads = std::unordered_map<EndpointId, EndpointLoad>;

struct PeerLimits
{
    //! Time without a digest after which a peer is removed and its load no longer counts.
    Duration removeAfter_ = std::chrono::milliseconds(1500);
    //! Maximum number of recipients of one digest.
    std::size_t maxRecipients_ = 64;
};

struct PeerGateway
{
    GatewayDigestMessage digest_;
    TimePoint receivedAt_;
};

struct PeersState
{
    PeerLimits limits_;
    std::map<InstanceId, PeerGateway> peers_;
    //! Gateway addresses from the platform; some of them may not have sent a digest yet.
    std::vector<Address> listedAddresses_;
};

//! Stores a peer's digest if it is newer than the stored one. Returns true if it was stored.
bool applyDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now);

void removeSilentPeers(PeersState &state, TimePoint now);

//! Recipients of this process's digest with the given sequence number: the known peers and the
//! addresses from the platform, without self. Peers in other failure domains and addresses that
//! sent no digest yet get every third one only: traffic between domains is expensive, and a peer
//! mostly uses endpoints of its own domain.
std::vector<Address> digestRecipients(const PeersState &state, const Address &self,
                                      const FailureDomainId &domain, std::uint64_t sequence);

//! Load on each endpoint, summed over all peers.
std::shared_ptr<const EndpointLoads> totalPeerLoads(const PeersState &state);

} // namespace gypsumcroft
