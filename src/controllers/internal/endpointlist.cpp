#include "controllers/endpointlist.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumcroft {

namespace detail {
namespace {

std::string rangeText(const std::optional<LayerRange> &layers)
{
    if (!layers)
        return "none";
    return std::to_string(layers->first_.value_) + "-" + std::to_string(layers->end_.value_);
}

void logEndpoint(EndpointListState &state, const char *event, const ListedEndpoint &endpoint)
{
    state.log_.push_back(logEvent(
            LogLevel::Info,
            LogLine(event)
                    .add("endpoint", endpoint.id_)
                    .add("target", endpoint.target_)
                    .add("domain", endpoint.domain_)
                    .add("state", endpoint.state_ == ListedState::Ready ? "ready" : "draining")
                    .add("layers", rangeText(endpoint.layers_))));
}

bool sameListing(const ListedEndpoint &left, const ListedEndpoint &right)
{
    return left.target_ == right.target_ && left.address_ == right.address_
           && left.state_ == right.state_ && left.layers_ == right.layers_
           && left.slots_ == right.slots_ && left.incarnation_ == right.incarnation_
           && left.modelVersion_ == right.modelVersion_;
}

//! True if the endpoint is leaving in this incarnation.
bool isLeaving(const EndpointListState &state, const ListedEndpoint &listed)
{
    const auto found = state.leaving_.find(listed.id_);
    return found != state.leaving_.end() && found->second.incarnation_ == listed.incarnation_;
}

void forgetLeaving(EndpointListState &state, TimePoint now)
{
    std::erase_if(state.leaving_, [&](const auto &entry) {
        return now - entry.second.since_ > state.limits_.forgetLeavingAfter_;
    });
}

//! True while the list may lag behind the endpoint's own report. Later the list holds, even if it
//! shows an earlier incarnation: the other one came from an entry that has been corrected.
bool reportIsNewer(const EndpointListState &state, const KnownEndpoint &known,
                   TimePoint requestedAt)
{
    return known.reportRequestedAt_
           && requestedAt - *known.reportRequestedAt_ < state.limits_.maxListLag_;
}

bool applyListing(EndpointListState &state, ListedEndpoint listed, TimePoint requestedAt,
                  TimePoint now)
{
    const auto [found, isNew] = state.endpoints_.try_emplace(listed.id_);
    KnownEndpoint &known = found->second;
    known.missingSince_.reset();
    if (isNew) {
        known.firstSeen_ = now;
    } else if (reportIsNewer(state, known, requestedAt)) {
        if (listed.incarnation_ < known.listed_.incarnation_)
            return false;
        if (listed.incarnation_ == known.listed_.incarnation_)
            listed.layers_ = known.listed_.layers_;
    }
    if (isLeaving(state, listed))
        listed.state_ = ListedState::Draining;
    if (listed.incarnation_ != known.listed_.incarnation_)
        known.pausedUntil_ = {};
    if (!isNew && sameListing(known.listed_, listed))
        return false;
    known.listed_ = std::move(listed);
    logEndpoint(state, isNew ? "endpoint-new" : "endpoint-changed", known.listed_);
    return true;
}

Duration listAge(const EndpointListState &state, TimePoint now)
{
    return state.confirmedAt_ ? now - *state.confirmedAt_ : Duration();
}

void logRecovery(EndpointListState &state, TimePoint now)
{
    if (!std::exchange(state.pollFailing_, false))
        return;
    state.log_.push_back(
            logEvent(LogLevel::Info,
                     LogLine("endpoint-list-regained").add("list_age_ms", listAge(state, now))));
}

//! True while an endpoint whose listing expired during an outage of the list may still register
//! again. A listing that was there after the outage did not expire because of it.
bool mayReregister(const EndpointListState &state, const KnownEndpoint &known, TimePoint now)
{
    return known.missingSince_ && state.recoveredAt_ && *known.missingSince_ <= *state.recoveredAt_
           && now - *state.recoveredAt_ < state.limits_.recoveryGracePeriod_;
}

} // namespace
} // namespace detail

bool applyEndpointList(EndpointListState &state, const std::vector<ListedEndpoint> &listed,
                       TimePoint requestedAt, TimePoint now)
{
    if (state.lastResponseAt_
        && requestedAt - *state.lastResponseAt_ > state.limits_.unavailableAfter_)
        state.recoveredAt_ = now;
    detail::logRecovery(state, now);
    detail::forgetLeaving(state, now);
    state.lastResponseAt_ = now;
    state.confirmedAt_ = requestedAt;
    bool changed = false;
    std::set<EndpointId> seen;
    for (const ListedEndpoint &endpoint : listed) {
        seen.insert(endpoint.id_);
        changed = detail::applyListing(state, endpoint, requestedAt, now) || changed;
    }
    for (auto it = state.endpoints_.begin(); it != state.endpoints_.end();) {
        if (seen.contains(it->first)) {
            ++it;
            continue;
        }
        KnownEndpoint &known = it->second;
        const bool isNews = !known.missingSince_;
        if (isNews)
            known.missingSince_ = now;
        if (detail::mayReregister(state, known, now)) {
            if (isNews)
                detail::logEndpoint(state, "endpoint-missing", known.listed_);
            ++it;
            continue;
        }
        detail::logEndpoint(state, "endpoint-gone", known.listed_);
        it = state.endpoints_.erase(it);
        changed = true;
    }
    return changed;
}

TimePoint nextListPoll(const EndpointListState &state, TimePoint now)
{
    const TimePoint usual = now + state.limits_.pollInterval_;
    const bool awaitsReregistration
            = std::any_of(state.endpoints_.begin(), state.endpoints_.end(), [&](const auto &entry) {
                  return detail::mayReregister(state, entry.second, now);
              });
    return awaitsReregistration
                   ? std::min(usual, *state.recoveredAt_ + state.limits_.recoveryGracePeriod_)
                   : usual;
}

void onListPollFailed(EndpointListState &state, const std::string &reason, TimePoint now)
{
    if (std::exchange(state.pollFailing_, true))
        return;
    state.log_.push_back(
            logEvent(LogLevel::Warning, LogLine("endpoint-list-lost")
                                                .add("reason", reason)
                                                .add("list_age_ms", detail::listAge(state, now))));
}

bool applyLoadedLayers(EndpointListState &state, const EndpointId &endpoint,
                       const std::optional<LayerRange> &layers, std::uint64_t incarnation,
                       TimePoint requestedAt)
{
    const auto found = state.endpoints_.find(endpoint);
    if (found == state.endpoints_.end())
        return false;
    KnownEndpoint &known = found->second;
    if (incarnation != 0 && incarnation < known.listed_.incarnation_)
        return false;
    if (known.reportRequestedAt_ && requestedAt <= *known.reportRequestedAt_)
        return false;
    known.reportRequestedAt_ = requestedAt;
    const bool changed = known.listed_.layers_ != layers;
    known.listed_.layers_ = layers;
    if (incarnation != 0)
        known.listed_.incarnation_ = incarnation;
    if (changed)
        detail::logEndpoint(state, "endpoint-reported", known.listed_);
    return changed;
}

bool markLeaving(EndpointListState &state, const EndpointId &endpoint, std::uint64_t incarnation,
                 bool firstHand, TimePoint now)
{
    const auto known = state.endpoints_.find(endpoint);
    if (known != state.endpoints_.end() && incarnation < known->second.listed_.incarnation_)
        return false;
    LeavingEndpoint &leaving = state.leaving_[endpoint];
    if (incarnation < leaving.incarnation_)
        return false;
    if (incarnation > leaving.incarnation_ || leaving.since_ == TimePoint())
        leaving = {incarnation, now, false};
    leaving.firstHand_ = leaving.firstHand_ || firstHand;
    if (known == state.endpoints_.end())
        return false;
    ListedEndpoint &listed = known->second.listed_;
    if (listed.state_ == ListedState::Draining || listed.incarnation_ != incarnation)
        return false;
    listed.state_ = ListedState::Draining;
    detail::logEndpoint(state, firstHand ? "endpoint-leaving" : "endpoint-leaving-elsewhere",
                        listed);
    return true;
}

std::vector<LeavingEndpointReport> leavingToReport(const EndpointListState &state, TimePoint now)
{
    std::vector<LeavingEndpointReport> reports;
    for (const auto &[endpoint, leaving] : state.leaving_) {
        if (leaving.firstHand_ && now - leaving.since_ < state.limits_.reportLeavingFor_)
            reports.push_back({endpoint, leaving.incarnation_});
    }
    return reports;
}

void markPaused(EndpointListState &state, const EndpointId &endpoint, std::uint64_t incarnation,
                TimePoint until)
{
    const auto known = state.endpoints_.find(endpoint);
    if (known == state.endpoints_.end() || known->second.listed_.incarnation_ != incarnation)
        return;
    known->second.pausedUntil_ = std::max(known->second.pausedUntil_, until);
}

bool isPaused(const EndpointListState &state, const EndpointId &endpoint, TimePoint now)
{
    const auto known = state.endpoints_.find(endpoint);
    return known != state.endpoints_.end() && now < known->second.pausedUntil_;
}

} // namespace gypsumcroft
