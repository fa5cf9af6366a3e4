#include "controllers/peers.h"

#include <tuple>

namespace gypsumcroft {

bool applyDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now)
{
    PeerGateway &peer = state.peers_[digest.instance_];
    const auto order = [](const GatewayDigestMessage &message) {
        return std::tuple(message.incarnation_, message.sequence_);
    };
    if (order(digest) <= order(peer.digest_))
        return false;
    peer.digest_ = std::move(digest);
    peer.receivedAt_ = now;
    return true;
}

void removeSilentPeers(PeersState &state, TimePoint now)
{
    std::erase_if(state.peers_, [&](const auto &entry) {
        return now - entry.second.receivedAt_ > state.limits_.removeAfter_;
    });
}

std::shared_ptr<const EndpointLoads> totalPeerLoads(const PeersState &state)
{
    auto sums = std::make_shared<EndpointLoads>();
    for (const auto &[instance, peer] : state.peers_) {
        for (const EndpointLoad &share : peer.digest_.loads_) {
            EndpointLoad &sum = (*sums)[share.endpoint_];
            sum.kvUsed_ += share.kvUsed_;
            sum.pendingPrefill_ += share.pendingPrefill_;
            sum.streams_ += share.streams_;
            sum.calls_ += share.calls_;
        }
    }
    return sums;
}

} // namespace gypsumcroft
