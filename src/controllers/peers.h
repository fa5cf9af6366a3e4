//! Controller of the other gateways: what their requests hold of the endpoints.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

using EndpointShares = std::unordered_map<EndpointId, EndpointShare>;

struct PeerLimits
{
    //! A peer that was silent for so long holds nothing any more.
    Duration forgottenAfter_ = std::chrono::milliseconds(1500);
    //! Digests go to this many peers at most.
    std::size_t most_ = 64;
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
    //! Addresses from the platform, of gateways that may not have been heard of yet.
    std::vector<Address> introduced_;
};

//! Takes a peer's digest in unless a newer one is known. True if it was taken.
bool applyDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now);

void forgetSilentPeers(PeersState &state, TimePoint now);

//! Where this process's digest with this sequence number goes: peers that were heard of and those
//! introduced, without self. Peers in other domains get every third one: bytes between domains are
//! dear, and most of what they hold is their own domain's.
std::vector<Address> digestTargets(const PeersState &state, const Address &self,
                                   const FailureDomainId &domain, std::uint64_t sequence);

//! What all peers together hold of each endpoint.
std::shared_ptr<const EndpointShares> sharesOfPeers(const PeersState &state);

} // namespace gypsumcroft
