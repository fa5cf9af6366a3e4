#include "gateway/internal/storereads.h"

#include <algorithm>
#include <utility>

#include "gateway/internal/controleffects.h"
#include "gateway/internal/digests.h"

namespace gypsumcroft {

namespace detail {

namespace {

void onPlatformResponse(GatewayControl &state, TimePoint now)
{
    if (state.platformReachable_)
        return;
    state.platformReachable_ = true;
    state.effects_.emplace_back(
            logEvent(LogLevel::Info,
                     LogLine("dependency-regained")
                             .add("dependency", "platform-store")
                             .add("config_age_ms",
                                  desiredStateAge(state.routes_, now).value_or(Duration()))));
}

ReaderRole readerRole(const GatewayControl &state, TimePoint now)
{
    return {domainRank(state.members_, now), hasNeighbours(state.members_, now)};
}

void logReading(GatewayControl &state, const ReaderRole &role, TimePoint now)
{
    const bool reads = role.rank_ == 0 || now < state.relay_.config_.readOnUntil_
                       || now < state.relay_.list_.readOnUntil_;
    if (std::exchange(state.readsStore_, reads) == reads)
        return;
    state.effects_.emplace_back(logEvent(
            LogLevel::Info,
            LogLine("store-reader")
                    .add("reads", reads ? "yes" : "no")
                    .add("rank", std::uint64_t {role.rank_})
                    .add("config_age_ms", desiredStateAge(state.routes_, now).value_or(Duration()))
                    .add("list_age_ms", now - state.endpoints_.confirmedAt_.value_or(now))));
}

} // namespace

void readStore(GatewayControl &state, TimePoint now)
{
    const ReaderRole role = readerRole(state, now);
    const StoreRelayLimits &limits = state.relay_.limits_;
    StoreRead &config = state.relay_.config_;
    // A waiting read confirms only at its end, too late for what is already old.
    const bool isRecent = config.confirmedAt_ && !config.behindUntil_
                          && now - *config.confirmedAt_ < limits.takeOverAfter_;
    if (takeDueRead(config, limits, role, desiredStateAge(state.routes_, now), now)) {
        ReadDesiredState read;
        if (isRecent)
            read.wait_ = role.hasListeners_ ? limits.sharedInterval_ : limits.ownConfigWait_;
        config.wait_ = read.wait_.value_or(Duration());
        state.effects_.emplace_back(read);
    }
    const auto listedAt = state.endpoints_.confirmedAt_;
    const auto listAge = listedAt ? std::optional(now - *listedAt) : std::nullopt;
    if (takeDueRead(state.relay_.list_, limits, role, listAge, now))
        state.effects_.emplace_back(ReadEndpointList {});
    logReading(state, role, now);
}

namespace {

//! Interval until the next read by this process.
Duration readInterval(const GatewayControl &state, const StoreRead &read, TimePoint now)
{
    const StoreRelayLimits &limits = state.relay_.limits_;
    const ReaderRole role = readerRole(state, now);
    if (role.rank_ > 0 && now >= read.readOnUntil_)
        return limits.minInterval_;
    return role.hasListeners_ ? limits.sharedInterval_ : limits.ownInterval_;
}

std::vector<ListedEndpoint> listOf(const StoreRelayState &relay)
{
    std::vector<ListedEndpoint> listed;
    for (const auto &[id, endpoint] : relay.listed_)
        listed.push_back(endpoint);
    return listed;
}

//! True if a request to the store that was sent then would have been answered by now. A process
//! that is behind can't tell.
bool storeKeptSilent(const GatewayControl &state, TimePoint sentAt, TimePoint now)
{
    const GatewayBounds &bounds = state.bounds_;
    return now - sentAt
           >= bounds.storeSilentAfter_ + bounds.turnsOfRead_ * currentDelay(state.loopDelay_, now);
}

} // namespace

bool isUnavailable(const GatewayControl &state, const StoreRead &read, TimePoint now)
{
    return read.failed_
           || (read.inFlight_ && storeKeptSilent(state, read.sentAt_ + read.wait_, now));
}

namespace {

//! Notes a failed read. One that failed late in a process that is behind says nothing about the
//! platform.
void noteReadFailure(GatewayControl &state, StoreRead &read, TimePoint now)
{
    if (now - read.sentAt_ < state.bounds_.refusedWithin_
        || storeKeptSilent(state, read.sentAt_ + read.wait_, now))
        read.failed_ = true;
    state.viewStale_ = true;
    onReadFailed(read, state.relay_.limits_, readerRole(state, now), now);
}

void confirmState(GatewayControl &state, TimePoint requestedAt)
{
    state.relay_.config_.failed_ = false;
    confirmDesiredState(state.routes_, requestedAt);
}

void applyList(GatewayControl &state, TimePoint requestedAt, TimePoint now)
{
    state.relay_.list_.failed_ = false;
    const bool changed
            = applyEndpointList(state.endpoints_, listOf(state.relay_), requestedAt, now);
    emitLog(state, state.endpoints_.log_);
    state.viewStale_ = true;
    if (changed)
        rebuildEndpointIndex(state);
}

} // namespace

void takeStoreNews(GatewayControl &state, const StoreNews &news, TimePoint now)
{
    const auto version = state.routes_.table_ ? std::optional(state.routes_.table_->state_.version_)
                                              : std::nullopt;
    const RelayedNews relayed
            = applyStoreNews(state.relay_, news, state.members_.self_, version, now);
    if (relayed.configConfirmedAt_ && *relayed.configConfirmedAt_ <= now) {
        confirmState(state, *relayed.configConfirmedAt_);
        state.viewStale_ = true;
    }
    const auto known = state.endpoints_.confirmedAt_;
    const bool isNewer = relayed.listConfirmedAt_ && *relayed.listConfirmedAt_ <= now
                         && (!known || *relayed.listConfirmedAt_ > *known);
    if (isNewer)
        applyList(state, *relayed.listConfirmedAt_, now);
    if (state.relay_.config_.behindUntil_)
        readStore(state, now);
}

} // namespace detail

void onDesiredState(GatewayControl &state, DesiredState desired, TimePoint requestedAt,
                    TimePoint now)
{
    detail::onPlatformResponse(state, now);
    detail::confirmState(state, requestedAt);
    const ConfigVersion version = desired.version_;
    const std::size_t routes = desired.routes_.size();
    const bool taken = applyDesiredState(state.routes_, std::move(desired), now);
    if (taken)
        state.effects_.emplace_back(
                logEvent(LogLevel::Info, LogLine("config-in-force")
                                                 .add("version", version)
                                                 .add("routes", std::uint64_t {routes})
                                                 .add("asked_ms_ago", now - requestedAt)));
    detail::publishView(state);
}

void onDesiredStateConfirmed(GatewayControl &state, TimePoint requestedAt, TimePoint now)
{
    detail::onPlatformResponse(state, now);
    detail::confirmState(state, requestedAt);
    detail::publishView(state);
}

void onDesiredStateRead(GatewayControl &state, TimePoint confirmedAt, TimePoint now)
{
    StoreRead &read = state.relay_.config_;
    const bool isOwnTask = detail::readerRole(state, now).rank_ == 0 || now < read.readOnUntil_;
    onReadAnswered(read, state.relay_.limits_, confirmedAt,
                   isOwnTask ? Duration()
                             : minReadInterval(state.relay_.limits_,
                                               state.bounds_.freshness_.maxStateAge_),
                   now);
    detail::sendStoreNews(state, now);
    detail::readStore(state, now);
}

void onDesiredStateReadFailed(GatewayControl &state, const std::string &reason, TimePoint now)
{
    onPlatformRequestFailed(state, "config", reason, now);
    detail::noteReadFailure(state, state.relay_.config_, now);
}

void onEndpointList(GatewayControl &state, const std::vector<ListedEndpoint> &listed,
                    LogOffset offset, TimePoint requestedAt, TimePoint now)
{
    detail::onPlatformResponse(state, now);
    StoreRead &read = state.relay_.list_;
    onReadAnswered(read, state.relay_.limits_, requestedAt, detail::readInterval(state, read, now),
                   now);
    if (!noteListRead(state.relay_, listed, offset, now))
        return;
    detail::applyList(state, requestedAt, now);
    read.nextAt_ = std::min(read.nextAt_, nextListPoll(state.endpoints_, now));
    detail::sendStoreNews(state, now);
}

void onEndpointListFailed(GatewayControl &state, const std::string &reason, TimePoint now)
{
    onPlatformRequestFailed(state, "endpoints", reason, now);
    detail::noteReadFailure(state, state.relay_.list_, now);
    onListPollFailed(state.endpoints_, reason, now);
    detail::emitLog(state, state.endpoints_.log_);
}

void onPlatformRequestFailed(GatewayControl &state, const std::string &question,
                             const std::string &reason, TimePoint now)
{
    if (!state.platformReachable_)
        return;
    state.platformReachable_ = false;
    state.effects_.emplace_back(
            logEvent(LogLevel::Warning,
                     LogLine("dependency-lost")
                             .add("dependency", "platform-store")
                             .add("question", question)
                             .add("reason", reason)
                             .add("config_age_ms",
                                  desiredStateAge(state.routes_, now).value_or(Duration()))));
}

} // namespace gypsumcroft
