#include "gateway/internal/digests.h"

#include <algorithm>
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
    part.demand_.clear();
    part.loadedLayers_.clear();
    part.layerMoves_.clear();
    part.downEndpoints_.clear();
    part.storeNews_.reset();
    part.speeds_.clear();
    return part;
}

//! Encoded sizes in bytes, for the budget of digests.
constexpr double LoadBytes = 32;
constexpr double ReportBytes = 64;
constexpr double ListEntryBytes = 250;
constexpr double FixedBytes = 600;
//! Gateways that get the same copy of a digest with news of the store.
constexpr std::size_t RecipientsOfCopy = 8;

double timesPerSecond(Duration interval)
{
    constexpr double MicrosPerSecond = 1e6;
    return MicrosPerSecond / static_cast<double>(std::max<std::int64_t>(1, interval.count()));
}

std::size_t listEntriesOf(const GatewayDigestMessage &digest)
{
    std::size_t entries = 0;
    if (!digest.storeNews_)
        return entries;
    for (const EndpointListChanges &changes : digest.storeNews_->listChanges_)
        entries += entriesOf(changes);
    return entries;
}

double sizeOf(const GatewayDigestMessage &digest)
{
    const std::size_t echoes = digest.storeNews_ ? digest.storeNews_->echoes_.size() : 0;
    const std::size_t reports = digest.loadedLayers_.size() + digest.layerMoves_.size()
                                + digest.members_.size() + digest.traits_.size()
                                + digest.speeds_.size() + digest.demand_.size()
                                + std::min(echoes, RecipientsOfCopy);
    return FixedBytes + LoadBytes * static_cast<double>(digest.loads_.size())
           + ReportBytes * static_cast<double>(reports)
           + ListEntryBytes * static_cast<double>(listEntriesOf(digest));
}

//! Entries of list changes that one digest may carry, so that repeating them to all gateways of the
//! domain stays within the budget.
std::size_t maxListChanges(const GatewayControl &state, TimePoint now)
{
    // Digests at their usual interval and one after each read of the desired state and the list.
    const double perSecond = timesPerSecond(state.bounds_.digestInterval_)
                             + 2 * timesPerSecond(state.relay_.limits_.sharedInterval_);
    const auto recipients = static_cast<double>(
            std::max<std::size_t>(1, relayRecipients(state.members_, now).size()));
    return static_cast<std::size_t>(digestBytesPerSecond(state.members_)
                                    / (perSecond * recipients * ListEntryBytes));
}

//! The same for the digest right after a read, which tells of its changes first. It may take more
//! of the link than the repetitions: a list that each neighbour has to read takes much more of
//! theirs.
std::size_t maxListChangesAfterRead(const GatewayControl &state, TimePoint now)
{
    constexpr double Burst = 3;
    const double bytes = Burst * digestBytesPerSecond(state.members_)
                         / timesPerSecond(state.relay_.limits_.sharedInterval_);
    const auto recipients = static_cast<double>(
            std::max<std::size_t>(1, relayRecipients(state.members_, now).size()));
    const auto entries = static_cast<std::size_t>(bytes / (recipients * ListEntryBytes));
    return std::max(maxListChanges(state, now),
                    std::min(entries, state.relay_.limits_.maxChanges_));
}

GatewayDigestMessage makeDigest(GatewayControl &state, std::size_t maxListEntries, TimePoint now)
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
    digest.capacity_ = state.members_.capacity_;
    digest.sequence_ = ++state.digestSequence_;
    digest.members_ = takeMembersToName(state.members_, now);
    digest.traits_
            = reportTraits(state.crashes_.blame_, state.crashes_.limits_.maxTraitsInDigest_, now);
    digest.loads_ = state.ownLoads_;
    digest.demand_ = state.ownDemand_;
    digest.loadedLayers_ = recentReports(state, now);
    digest.downEndpoints_ = {down.begin(), down.end()};
    digest.leavingEndpoints_ = leavingToReport(state.endpoints_, now);
    digest.speeds_ = speedsToReport(state.speeds_, now);
    for (const auto &[target, placing] : state.placement_) {
        const auto moves = movesInProgress(placing, now);
        digest.layerMoves_.insert(digest.layerMoves_.end(), moves.begin(), moves.end());
    }
    // What a gateway reads for itself alone is no news to those that have a reader.
    if (state.routes_.table_ && !state.members_.stopping_ && state.readsStore_)
        digest.storeNews_ = storeNews(state.relay_, state.routes_.table_->state_.version_,
                                      maxListEntries, now);
    return digest;
}

} // namespace

void sendTo(GatewayControl &state, std::vector<Address> recipients, GatewayDigestMessage digest)
{
    if (!recipients.empty())
        state.effects_.emplace_back(SendDigest {std::move(recipients), std::move(digest)});
}

namespace {

//! Sends a digest of this domain. Each copy has the echoes for its recipients only: those for all
//! would grow with the square of a domain's gateways.
void sendToNeighbours(GatewayControl &state, const std::vector<Address> &recipients,
                      GatewayDigestMessage digest)
{
    if (!digest.storeNews_)
        return sendTo(state, recipients, std::move(digest));
    std::map<Address, DigestEcho> echoes;
    for (const DigestEcho &echo : std::exchange(digest.storeNews_->echoes_, {}))
        echoes[echo.to_] = echo;
    for (std::size_t first = 0; first < recipients.size(); first += RecipientsOfCopy) {
        const auto begin = recipients.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = begin
                         + static_cast<std::ptrdiff_t>(
                                 std::min(RecipientsOfCopy, recipients.size() - first));
        GatewayDigestMessage copy = digest;
        for (const Address &recipient : std::vector<Address>(begin, end)) {
            if (const auto echo = echoes.find(recipient); echo != echoes.end())
                copy.storeNews_->echoes_.push_back(echo->second);
        }
        sendTo(state, {begin, end}, std::move(copy));
    }
}

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

namespace {

//! Time until the next digest: the usual interval, or longer where that many bytes each interval
//! would take more of the link than digests may.
Duration pauseAfter(const GatewayControl &state, double bytes)
{
    constexpr double MicrosPerSecond = 1e6;
    const Duration needed(static_cast<std::int64_t>(bytes / digestBytesPerSecond(state.members_)
                                                    * MicrosPerSecond));
    return std::clamp(needed, state.bounds_.digestInterval_, state.bounds_.maxDigestInterval_);
}

} // namespace

void sendDigests(GatewayControl &state, TimePoint now)
{
    GatewayDigestMessage digest = makeDigest(state, maxListChanges(state, now), now);
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
    state.digestPause_ = pauseAfter(state, sizeOf(digest) * static_cast<double>(recipients.size()));
    sendToNeighbours(state, recipients, std::move(digest));
}

void sendStoreNews(GatewayControl &state, TimePoint now)
{
    if (!state.readsStore_)
        return;
    sendToNeighbours(state, relayRecipients(state.members_, now),
                     makeDigest(state, maxListChangesAfterRead(state, now), now));
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
