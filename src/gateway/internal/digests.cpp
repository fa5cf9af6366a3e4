#include "gateway/internal/digests.h"

#include <utility>

namespace gypsumcroft::detail {

namespace {

std::vector<LoadedLayersReport> recentReports(const GatewayControl &state, TimePoint now)
{
    std::vector<LoadedLayersReport> reports;
    for (const auto &[endpoint, known] : state.endpoints_.endpoints_) {
        if (!known.reportRequestedAt_
            || now - *known.reportRequestedAt_ > state.bounds_.reportForwardTime_)
            continue;
        reports.push_back({endpoint, known.listed_.layers_.has_value(),
                           known.listed_.layers_.value_or(LayerRange {}),
                           known.listed_.incarnation_, now - *known.reportRequestedAt_});
    }
    return reports;
}

//! The part of a digest that gateways of other domains use directly.
GatewayDigestMessage membersOnly(const GatewayDigestMessage &digest)
{
    GatewayDigestMessage part = digest;
    part.loads_.clear();
    part.loadedLayers_.clear();
    part.layerMoves_.clear();
    part.downEndpoints_.clear();
    part.storeNews_.reset();
    part.speeds_.clear();
    return part;
}

} // namespace

GatewayDigestMessage makeDigest(GatewayControl &state, TimePoint now)
{
    const auto down = downEndpoints(state.probes_);
    GatewayDigestMessage digest;
    digest.sentAt_ = now.time_since_epoch();
    digest.settled_ = membersSettled(state.members_, now);
    digest.stopping_ = state.members_.stopping_;
    digest.instance_ = state.self_;
    digest.gateway_ = state.members_.self_;
    digest.incarnation_ = state.incarnation_;
    digest.domain_ = state.members_.domain_;
    digest.sequence_ = ++state.digestSequence_;
    digest.members_ = takeMembersToName(state.members_, now);
    digest.traits_
            = reportTraits(state.crashes_.blame_, state.crashes_.limits_.maxTraitsInDigest_, now);
    digest.loads_ = state.ownLoads_;
    digest.loadedLayers_ = recentReports(state, now);
    digest.downEndpoints_ = {down.begin(), down.end()};
    digest.leavingEndpoints_ = leavingToReport(state.endpoints_, now);
    digest.speeds_ = speedsToReport(state.speeds_, now);
    for (const auto &[target, placing] : state.placement_) {
        const auto moves = movesInProgress(placing, now);
        digest.layerMoves_.insert(digest.layerMoves_.end(), moves.begin(), moves.end());
    }
    if (state.routes_.table_ && !state.members_.stopping_)
        digest.storeNews_ = storeNews(state.relay_, state.routes_.table_->state_.version_, now);
    return digest;
}

void sendTo(GatewayControl &state, std::vector<Address> recipients, GatewayDigestMessage digest)
{
    if (!recipients.empty())
        state.effects_.emplace_back(SendDigest {std::move(recipients), std::move(digest)});
}

namespace {

//! Sends the sum over this domain to the other domains, if this process speaks for it.
void sendDomainDigest(GatewayControl &state, const GatewayDigestMessage &own, TimePoint now)
{
    auto others = domainDigestRecipients(state.members_, now);
    if (others.empty())
        return;
    GatewayDigestMessage sum = sumOfDomain(state.peers_, own, now);
    sum.members_ = takeNeighboursToName(state.members_, now);
    sendTo(state, std::move(others), std::move(sum));
}

} // namespace

void sendDigests(GatewayControl &state, TimePoint now)
{
    GatewayDigestMessage digest = makeDigest(state, now);
    auto reported = std::make_shared<EndpointLoads>();
    for (const EndpointLoad &load : state.ownLoads_)
        reported->emplace(load.endpoint_, load);
    state.reportedLoads_ = std::move(reported);
    state.viewStale_ = true;
    constexpr std::uint64_t DomainDigestPeriod = 2;
    if (digest.sequence_ % DomainDigestPeriod == 0)
        sendDomainDigest(state, digest, now);
    sendTo(state, searchRecipients(state.members_, digest.sequence_, now), membersOnly(digest));
    auto recipients = digestRecipients(state.members_, digest.sequence_, now);
    sendTo(state, std::move(recipients), std::move(digest));
}

void sendStoreNews(GatewayControl &state, TimePoint now)
{
    sendTo(state, relayRecipients(state.members_, now), makeDigest(state, now));
}

void sendCrashNews(GatewayControl &state, const std::vector<RequestTrait> &traits, TimePoint now)
{
    GatewayDigestMessage news;
    news.scope_ = DigestScope::CrashNews;
    news.instance_ = state.self_;
    news.domain_ = state.members_.domain_;
    news.gateway_ = state.members_.self_;
    news.incarnation_ = state.incarnation_;
    news.traits_ = reportTraits(state.crashes_.blame_, traits, now);
    sendTo(state, relayRecipients(state.members_, now), news);
    sendTo(state, domainDigestRecipients(state.members_, now), std::move(news));
}

void relayCrashNews(GatewayControl &state, GatewayDigestMessage news, TimePoint now)
{
    if (news.domain_ == state.members_.domain_)
        return sendTo(state, domainDigestRecipients(state.members_, now), std::move(news));
    news.scope_ = DigestScope::RelayedCrashNews;
    sendTo(state, relayRecipients(state.members_, now), std::move(news));
}

} // namespace gypsumcroft::detail
