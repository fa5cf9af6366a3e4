#include "controllers/peers.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gypsumcroft {

namespace detail {
namespace {

void addLoads(EndpointLoads &sums, const std::vector<EndpointLoad> &loads)
{
    for (const EndpointLoad &load : loads)
        addLoad(sums, load);
}

//! What a digest says of the endpoints, as of now.
struct EndpointNews
{
    std::map<EndpointId, LoadedLayersReport> layers_;
    std::map<EndpointId, LayerMoveReport> moves_;
    std::set<EndpointId> down_;
    std::map<EndpointId, std::uint64_t> leaving_;
    std::map<EndpointId, EndpointSpeedReport> speeds_;
};

//! Keeps the newest report of each endpoint's speed.
void addSpeeds(EndpointNews &news, const std::vector<EndpointSpeedReport> &speeds, Duration age)
{
    for (EndpointSpeedReport report : speeds) {
        report.age_ += age;
        const auto [known, isNew] = news.speeds_.emplace(report.endpoint_, report);
        if (!isNew && report.age_ < known->second.age_)
            known->second = report;
    }
}

void addNews(EndpointNews &news, const GatewayDigestMessage &digest, Duration age)
{
    for (LoadedLayersReport report : digest.loadedLayers_) {
        report.age_ += age;
        const auto [known, isNew] = news.layers_.emplace(report.endpoint_, report);
        if (!isNew && report.age_ < known->second.age_)
            known->second = report;
    }
    for (LayerMoveReport move : digest.layerMoves_) {
        move.remainingTime_ -= age;
        if (move.remainingTime_ > Duration())
            news.moves_.emplace(move.endpoint_, move);
    }
    news.down_.insert(digest.downEndpoints_.begin(), digest.downEndpoints_.end());
    for (const LeavingEndpointReport &leaving : digest.leavingEndpoints_) {
        std::uint64_t &incarnation = news.leaving_[leaving.endpoint_];
        incarnation = std::max(incarnation, leaving.incarnation_);
    }
    addSpeeds(news, digest.speeds_, age);
}

//! Demand at the gateways of the own domain, by reports that are recent enough for its sum.
std::vector<RankDemandReport> demandOfDomain(const PeersState &state,
                                             const GatewayDigestMessage &own, TimePoint now)
{
    FleetDemand sums;
    addDemand(sums, own.demand_);
    for (const auto &[instance, peer] : state.peers_) {
        if (now - peer.receivedAt_ <= state.limits_.maxDemandAgeInSum_)
            addDemand(sums, peer.digest_.demand_);
    }
    std::vector<RankDemandReport> reports;
    for (const auto &[target, demand] : sums)
        appendReports(reports, target, demand);
    return reports;
}

} // namespace
} // namespace detail

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

bool applyDomainDigest(PeersState &state, GatewayDigestMessage digest, TimePoint now)
{
    const std::pair order(digest.incarnation_, digest.sequence_);
    auto &newest = state.newestSums_[digest.instance_];
    if (order <= newest)
        return false;
    newest = order;
    PeerDomain &domain = state.domains_[digest.domain_];
    domain.digest_ = std::move(digest);
    domain.receivedAt_ = now;
    return true;
}

GatewayDigestMessage sumOfDomain(const PeersState &state, const GatewayDigestMessage &own,
                                 TimePoint now)
{
    EndpointLoads sums;
    detail::EndpointNews news;
    detail::addLoads(sums, own.loads_);
    detail::addNews(news, own, Duration());
    for (const auto &[instance, peer] : state.peers_) {
        const Duration age = now - peer.receivedAt_;
        if (age > state.limits_.leaveOutAfter_)
            continue;
        detail::addLoads(sums, peer.digest_.loads_);
        detail::addNews(news, peer.digest_, age);
    }
    GatewayDigestMessage sum = own;
    sum.scope_ = DigestScope::Domain;
    sum.storeNews_.reset();
    sum.loads_.clear();
    sum.loadedLayers_.clear();
    sum.layerMoves_.clear();
    sum.leavingEndpoints_.clear();
    sum.speeds_.clear();
    for (const auto &[endpoint, load] : sums)
        sum.loads_.push_back(load);
    for (const auto &[endpoint, report] : news.layers_)
        sum.loadedLayers_.push_back(report);
    for (const auto &[endpoint, move] : news.moves_)
        sum.layerMoves_.push_back(move);
    sum.downEndpoints_.assign(news.down_.begin(), news.down_.end());
    for (const auto &[endpoint, incarnation] : news.leaving_)
        sum.leavingEndpoints_.push_back({endpoint, incarnation});
    sum.demand_ = detail::demandOfDomain(state, own, now);
    for (const auto &[endpoint, speed] : news.speeds_)
        sum.speeds_.push_back(speed);
    return sum;
}

void removeSilentPeers(PeersState &state, TimePoint now)
{
    const auto isSilent = [&](const auto &entry) {
        return now - entry.second.receivedAt_ > state.limits_.removeAfter_;
    };
    std::erase_if(state.peers_, isSilent);
    std::erase_if(state.domains_, isSilent);
    if (state.domains_.empty())
        state.newestSums_.clear();
}

void addLoad(EndpointLoads &sums, const EndpointLoad &load)
{
    EndpointLoad &sum = sums[load.endpoint_];
    sum.endpoint_ = load.endpoint_;
    sum.kvUsed_ += load.kvUsed_;
    sum.pendingPrefill_ += load.pendingPrefill_;
    sum.streams_ += load.streams_;
    sum.begun_ += load.begun_;
    sum.calls_ += load.calls_;
}

std::shared_ptr<const EndpointLoads> totalPeerLoads(const PeersState &state)
{
    auto sums = std::make_shared<EndpointLoads>();
    for (const auto &[instance, peer] : state.peers_)
        detail::addLoads(*sums, peer.digest_.loads_);
    for (const auto &[domain, sum] : state.domains_)
        detail::addLoads(*sums, sum.digest_.loads_);
    return sums;
}

std::shared_ptr<const FleetDemand> totalPeerDemand(const PeersState &state, TimePoint now)
{
    const PeerLimits &limits = state.limits_;
    auto sums = std::make_shared<FleetDemand>();
    for (const auto &[instance, peer] : state.peers_) {
        if (now - peer.receivedAt_ <= limits.maxDemandAge_)
            addDemand(*sums, peer.digest_.demand_);
    }
    for (const auto &[domain, sum] : state.domains_) {
        if (now - sum.receivedAt_ <= limits.maxDemandAge_ - limits.maxDemandAgeInSum_)
            addDemand(*sums, sum.digest_.demand_);
    }
    return sums;
}

} // namespace gypsumcroft
