#include "controllers/storerelay.h"

#include <algorithm>
#include <string>

#include "core/hash.h"

namespace gypsumcroft {

namespace detail {
namespace {

std::string textOf(const ListedEndpoint &endpoint)
{
    const LayerRange layers = endpoint.layers_.value_or(LayerRange {});
    std::string text;
    for (const std::string &part :
         {endpoint.id_.value_, endpoint.target_.value_, endpoint.address_.host_,
          endpoint.domain_.value_, endpoint.accelerator_.value_, endpoint.model_})
        text.append(part).push_back('\n');
    for (const std::uint64_t part :
         {std::uint64_t {endpoint.address_.port_}, std::uint64_t {endpoint.slots_},
          static_cast<std::uint64_t>(endpoint.state_),
          static_cast<std::uint64_t>(endpoint.layers_.has_value()),
          std::uint64_t {layers.first_.value_}, std::uint64_t {layers.end_.value_},
          endpoint.modelVersion_, endpoint.incarnation_})
        text.append(std::to_string(part)).push_back('\n');
    return text;
}

ListedEndpointUpdate updateOf(const ListedEndpoint &endpoint)
{
    return {endpoint.id_,    endpoint.state_,        endpoint.layers_,
            endpoint.model_, endpoint.modelVersion_, endpoint.incarnation_};
}

ListedEndpoint updated(ListedEndpoint endpoint, const ListedEndpointUpdate &update)
{
    endpoint.state_ = update.state_;
    endpoint.layers_ = update.layers_;
    endpoint.model_ = update.model_;
    endpoint.modelVersion_ = update.modelVersion_;
    endpoint.incarnation_ = update.incarnation_;
    return endpoint;
}

EndpointListChanges changesBetween(const std::map<EndpointId, ListedEndpoint> &before,
                                   const std::map<EndpointId, ListedEndpoint> &after)
{
    EndpointListChanges changes;
    for (const auto &[id, endpoint] : after) {
        const auto earlier = before.find(id);
        const std::string text = textOf(endpoint);
        if (earlier != before.end() && textOf(earlier->second) == text)
            continue;
        const ListedEndpointUpdate update = updateOf(endpoint);
        if (earlier != before.end() && textOf(updated(earlier->second, update)) == text)
            changes.updated_.push_back(update);
        else
            changes.changed_.push_back(endpoint);
    }
    for (const auto &[id, endpoint] : before) {
        if (!after.contains(id))
            changes.removed_.push_back(id);
    }
    return changes;
}

//! Latest time of this process's clock at which the sender can have asked the store, if it asked
//! that long before it sent its news.
std::optional<TimePoint> askedAt(const StoreNews &news, std::optional<Duration> age,
                                 const Address &self)
{
    const auto echo = std::find_if(news.echoes_.begin(), news.echoes_.end(),
                                   [&](const DigestEcho &entry) { return entry.to_ == self; });
    if (!age || echo == news.echoes_.end())
        return std::nullopt;
    // The echoed digest was sent before the sender of the news received it, so the time between
    // its arrival and the question to the store may be added to its sending time.
    return TimePoint(echo->sentAt_ + echo->heldFor_ - *age);
}

//! Adds a change to those that digests carry.
void addChange(StoreRelayState &state, EndpointListChanges changes, TimePoint now)
{
    std::vector<ListChange> &known = state.listChanges_;
    if (!known.empty() && known.back().changes_.toHash_ != changes.fromHash_)
        known.clear();
    known.push_back({std::move(changes), now});
    std::size_t entries = 0;
    for (const ListChange &change : known)
        entries += entriesOf(change.changes_);
    const auto isOld = [&](const ListChange &change) {
        return now - change.readAt_ > state.limits_.changesFor_;
    };
    while (known.size() > 1 && (entries > state.limits_.maxChanges_ || isOld(known.front()))) {
        entries -= entriesOf(known.front().changes_);
        known.erase(known.begin());
    }
    if (entries > state.limits_.maxChanges_)
        known.clear();
}

//! Brings the list to the newer one of the news. Returns false if that is impossible.
bool takeList(StoreRelayState &state, const StoreNews &news)
{
    const auto first = std::find_if(news.listChanges_.begin(), news.listChanges_.end(),
                                    [&](const EndpointListChanges &changes) {
                                        return changes.fromHash_ == state.listHash_;
                                    });
    if (first == news.listChanges_.end())
        return false;
    auto listed = state.listed_;
    for (auto changes = first; changes != news.listChanges_.end(); ++changes) {
        for (const ListedEndpoint &endpoint : changes->changed_)
            listed[endpoint.id_] = endpoint;
        for (const ListedEndpointUpdate &update : changes->updated_) {
            const auto known = listed.find(update.endpoint_);
            if (known != listed.end())
                known->second = updated(std::move(known->second), update);
        }
        for (const EndpointId &endpoint : changes->removed_)
            listed.erase(endpoint);
    }
    const std::uint64_t hash = listHash(listed);
    if (hash != news.listHash_)
        return false;
    state.listed_ = std::move(listed);
    state.listHash_ = hash;
    state.listOffset_ = news.listOffset_;
    return true;
}

//! The newest changes of the list, as many as digests carry now. A gateway that has the list before
//! the last change needs no more.
std::vector<EndpointListChanges> changesToCarry(const StoreRelayState &state,
                                                std::size_t maxEntries, TimePoint now)
{
    const std::vector<ListChange> &changes = state.listChanges_;
    std::vector<EndpointListChanges> carried;
    if (changes.empty() || changes.back().changes_.toHash_ != state.listHash_)
        return carried;
    std::size_t entries = 0;
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        const std::size_t size = entriesOf(change->changes_);
        const bool lasts = change == changes.rbegin() && size <= state.limits_.maxLastingChanges_;
        entries += size;
        if (entries > maxEntries || (!lasts && now - change->readAt_ > state.limits_.changesFor_))
            break;
        carried.push_back(change->changes_);
    }
    std::reverse(carried.begin(), carried.end());
    return carried;
}

Duration takeOverAge(const StoreRelayLimits &limits, std::size_t rank)
{
    const std::size_t before = rank == 0 ? 0 : rank - 1;
    const std::size_t steps = std::min(before, limits.lastStep_);
    return limits.takeOverAfter_ + limits.takeOverStep_ * static_cast<std::int64_t>(steps)
           + limits.takeOverSpread_ * static_cast<std::int64_t>(before - steps);
}

} // namespace
} // namespace detail

bool takeDueRead(StoreRead &read, const StoreRelayLimits &limits, const ReaderRole &role,
                 std::optional<Duration> age, TimePoint now)
{
    if (read.inFlight_ && now - read.sentAt_ < limits.lostAfter_)
        return false;
    if (now < read.nextAt_)
        return false;
    const bool isStale = !age || *age >= detail::takeOverAge(limits, role.rank_);
    if (age && isStale && role.rank_ > 0)
        read.readOnUntil_ = now + limits.readOnFor_;
    const bool isBehind = read.behindUntil_ && now >= *read.behindUntil_;
    if (role.rank_ > 0 && !isStale && !isBehind && now >= read.readOnUntil_)
        return false;
    read.inFlight_ = true;
    read.sentAt_ = now;
    return true;
}

void onReadAnswered(StoreRead &read, const StoreRelayLimits &limits, TimePoint requestedAt,
                    Duration interval, TimePoint now)
{
    read.inFlight_ = false;
    read.failures_ = 0;
    read.behindUntil_.reset();
    read.newerToldAt_.reset();
    // What is known ages during this read and, presumably as long, during the next one.
    const Duration slowness = std::max(Duration(), now - requestedAt - limits.quickRead_);
    read.nextAt_ = now + std::max(Duration(), interval - 2 * slowness);
    read.confirmedAt_ = std::max(read.confirmedAt_.value_or(requestedAt), requestedAt);
}

void onReadFailed(StoreRead &read, const StoreRelayLimits &limits, const ReaderRole &role,
                  TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 8;
    const bool isReader = role.rank_ < limits.readers_;
    const Duration most = isReader ? limits.maxReaderRetryDelay_ : limits.maxRetryDelay_;
    const std::uint32_t doublings = std::min(read.failures_++, MaxDoublings);
    read.inFlight_ = false;
    read.nextAt_ = now + std::min(most, limits.retryDelay_ * (std::int64_t {1} << doublings));
}

Duration minReadInterval(const StoreRelayLimits &limits, Duration inForceWithin)
{
    const auto part = limits.minIntervalPart_ * static_cast<double>(inForceWithin.count());
    return std::max(limits.minInterval_, Duration(static_cast<std::int64_t>(part)));
}

bool noteListRead(StoreRelayState &state, const std::vector<ListedEndpoint> &listed,
                  LogOffset offset, TimePoint now)
{
    if (offset < state.listOffset_)
        return false;
    state.listOffset_ = offset;
    std::map<EndpointId, ListedEndpoint> after;
    for (const ListedEndpoint &endpoint : listed)
        after[endpoint.id_] = endpoint;
    EndpointListChanges changes = detail::changesBetween(state.listed_, after);
    if (changes.changed_.empty() && changes.updated_.empty() && changes.removed_.empty())
        return true;
    changes.fromHash_ = state.listHash_;
    state.listed_ = std::move(after);
    state.listHash_ = changes.toHash_ = listHash(state.listed_);
    detail::addChange(state, std::move(changes), now);
    return true;
}

Duration noteClock(StoreRelayState &state, const GatewayDigestMessage &digest, TimePoint now)
{
    const Duration offset = now.time_since_epoch() - digest.sentAt_;
    const auto [known, isNew] = state.clocks_.try_emplace(digest.gateway_);
    HeardClock &clock = known->second;
    const Duration leastOffset = isNew ? offset : std::min(clock.leastOffset_, offset);
    // Late digests of an earlier time would only make the news look older.
    clock = {digest.sentAt_, now, leastOffset};
    std::erase_if(state.clocks_, [&](const auto &entry) {
        return now - entry.second.receivedAt_ > state.limits_.newsFor_;
    });
    return offset - leastOffset;
}

std::optional<StoreNews> storeNews(const StoreRelayState &state, ConfigVersion version,
                                   std::size_t maxChanges, TimePoint now)
{
    const auto age = [&](const StoreRead &read) -> std::optional<Duration> {
        if (!read.confirmedAt_ || now - *read.confirmedAt_ > state.limits_.newsFor_)
            return std::nullopt;
        return now - *read.confirmedAt_;
    };
    StoreNews news;
    news.configVersion_ = version;
    news.configAge_ = age(state.config_);
    news.listHash_ = state.listHash_;
    news.listOffset_ = state.listOffset_;
    news.listAge_ = age(state.list_);
    if (!news.configAge_ && !news.listAge_)
        return std::nullopt;
    if (news.listAge_)
        news.listChanges_ = detail::changesToCarry(state, maxChanges, now);
    for (const auto &[address, clock] : state.clocks_)
        news.echoes_.push_back({address, clock.sentAt_, now - clock.receivedAt_});
    return news;
}

RelayedNews applyStoreNews(StoreRelayState &state, const StoreNews &news, const Address &self,
                           std::optional<ConfigVersion> version, TimePoint now)
{
    RelayedNews relayed;
    const auto configAsked = detail::askedAt(news, news.configAge_, self);
    const auto listAsked = detail::askedAt(news, news.listAge_, self);
    if (news.configAge_ && (!version || news.configVersion_ > *version)) {
        state.config_.behindUntil_ = now;
        if (configAsked)
            state.config_.newerToldAt_
                    = std::max(state.config_.newerToldAt_.value_or(*configAsked), *configAsked);
    } else if (version && news.configVersion_ == *version) {
        relayed.configConfirmedAt_ = configAsked;
    }
    if (!listAsked)
        return relayed;
    const bool isSame = state.listHash_ == news.listHash_;
    if (isSame)
        state.listOffset_ = std::max(state.listOffset_, news.listOffset_);
    // An older list is no news. One that can't be derived from the own one is read.
    const bool isNewer = news.listOffset_ > state.listOffset_;
    if (isSame || (isNewer && detail::takeList(state, news))) {
        relayed.listConfirmedAt_ = listAsked;
        state.list_.behindUntil_.reset();
    } else if (isNewer && !state.list_.behindUntil_) {
        state.list_.behindUntil_ = now + state.limits_.listBehindWait_;
    }
    return relayed;
}

bool isToldElsewhere(const StoreRead &read, const StoreRelayLimits &limits, TimePoint now)
{
    return read.newerToldAt_ && now - *read.newerToldAt_ < limits.takeOverAfter_;
}

std::size_t entriesOf(const EndpointListChanges &changes)
{
    // Encoded, an update or a removal takes a quarter of an entry or less.
    constexpr std::size_t PartsOfEntry = 4;
    const std::size_t parts = changes.updated_.size() + changes.removed_.size();
    return changes.changed_.size() + (parts + PartsOfEntry - 1) / PartsOfEntry;
}

std::uint64_t listHash(const std::map<EndpointId, ListedEndpoint> &listed)
{
    std::uint64_t hash = 0;
    for (const auto &[id, endpoint] : listed)
        hash = mixHash(hash, hashText(detail::textOf(endpoint)));
    return hash;
}

} // namespace gypsumcroft
