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
};

//! Stores a peer's digest if it is newer than the stored one. Returns true if it was stored.
bool applyDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now);

void removeSilentPeers(PeersState &state, TimePoint now);

//! Load on each endpoint, summed over all peers.
std::shared_ptr<const EndpointLoads> totalPeerLoads(const PeersState &state);

} // namespace gypsumcroft
