#include "controllers/speeds.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

void logSpeed(SpeedsState &state, const char *event, const EndpointId &endpoint,
              const EndpointSpeed &speed, TimePoint now)
{
    state.log_.push_back(
            logEvent(LogLevel::Info, LogLine(event)
                                             .add("endpoint", endpoint)
                                             .add("factor", speed.slowdown_)
                                             .add("source", speedSourceName(speed.source_))
                                             .add("age_ms", now - speed.measuredAt_)));
}

//! Logs when an endpoint begins or ceases to count as slow.
void noteChange(SpeedsState &state, const EndpointId &endpoint, const EndpointSpeed &speed,
                TimePoint now)
{
    if (speed.slowdown_ >= state.limits_.slowFrom_ && state.slow_.insert(endpoint).second)
        logSpeed(state, "endpoint-slow", endpoint, speed, now);
    else if (speed.slowdown_ < state.limits_.recoveredBelow_ && state.slow_.erase(endpoint) > 0)
        logSpeed(state, "endpoint-recovered", endpoint, speed, now);
}

bool take(SpeedsState &state, const EndpointId &endpoint, const EndpointSpeed &speed, TimePoint now)
{
    if (!takeSpeed(state.known_, endpoint, speed, state.limits_, now))
        return false;
    noteChange(state, endpoint, speed, now);
    return true;
}

void logInvalid(SpeedsState &state, const EndpointId &endpoint, SpeedSource source, double value,
                TimePoint now)
{
    if (now - state.invalidLoggedAt_ < state.askLimits_.invalidLogInterval_)
        return;
    state.invalidLoggedAt_ = now;
    state.log_.push_back(logEvent(LogLevel::Warning, LogLine("speed-dropped")
                                                             .add("endpoint", endpoint)
                                                             .add("source", speedSourceName(source))
                                                             .add("factor", value)));
}

void ask(SpeedsState &state, const EndpointListState &list, const EndpointId &endpoint,
         TimePoint now)
{
    const auto known = list.endpoints_.find(endpoint);
    if (known == list.endpoints_.end() || isPaused(list, endpoint, now))
        return;
    state.asks_[endpoint].askedAt_ = now;
    state.reportRequests_.push_back({endpoint, known->second.listed_.address_});
}

Duration askInterval(const SpeedsState &state, const EndpointId &endpoint)
{
    constexpr std::uint32_t MaxDoublings = 6;
    const auto found = state.asks_.find(endpoint);
    const std::uint32_t doublings
            = found == state.asks_.end() ? 0 : std::min(found->second.usualReports_, MaxDoublings);
    return std::min(state.askLimits_.minInterval_ * (1U << doublings),
                    state.askLimits_.maxInterval_);
}

//! True if the endpoint's own report or another gateway told its speed within the time.
bool isSettled(const SpeedsState &state, const EndpointId &endpoint, Duration within, TimePoint now)
{
    const auto known = state.known_.find(endpoint);
    return known != state.known_.end() && known->second.source_ != SpeedSource::Gaps
           && now - known->second.measuredAt_ < within;
}

//! True if the endpoint's speed was told, or asked for in vain, within the time.
bool isKnownSince(const SpeedsState &state, const EndpointId &endpoint, Duration within,
                  TimePoint now)
{
    if (isSettled(state, endpoint, within, now))
        return true;
    const auto asked = state.asks_.find(endpoint);
    return asked != state.asks_.end() && now - asked->second.askedAt_ < within;
}

//! True if this gateway found the endpoint slow itself and the last measurement is old.
bool isConfirmationDue(const SpeedsState &state, const EndpointId &endpoint, const SpeedAsk &asked,
                       TimePoint now)
{
    const SpeedAskLimits &limits = state.askLimits_;
    return asked.foundSlowAt_ && now - *asked.foundSlowAt_ < limits.confirmFor_
           && state.slow_.contains(endpoint)
           && !isKnownSince(state, endpoint, limits.confirmAfter_ + asked.spread_, now);
}

} // namespace
} // namespace detail

void requestSpeedCheck(SpeedsState &state, const EndpointListState &list,
                       const EndpointId &endpoint, TimePoint now)
{
    if (!detail::isKnownSince(state, endpoint, detail::askInterval(state, endpoint), now))
        detail::ask(state, list, endpoint, now);
}

bool takeReportedSpeed(SpeedsState &state, const EndpointId &endpoint, std::uint64_t incarnation,
                       std::optional<double> pace, Random &random, TimePoint now)
{
    if (!pace)
        return false;
    if (!isPlausibleSlowdown(*pace, state.limits_)) {
        detail::logInvalid(state, endpoint, SpeedSource::Report, *pace, now);
        return false;
    }
    SpeedAsk &asked = state.asks_[endpoint];
    asked.reportsSpeed_ = true;
    if (*pace >= state.limits_.slowFrom_) {
        asked.foundSlowAt_ = now;
        asked.usualReports_ = 0;
        const auto spread = static_cast<std::uint64_t>(state.askLimits_.confirmSpread_.count());
        asked.spread_ = Duration(static_cast<std::int64_t>(randomBelow(random, spread)));
    } else {
        ++asked.usualReports_;
    }
    return detail::take(state, endpoint, {incarnation, *pace, 1, now, SpeedSource::Report}, now);
}

bool takeEstimatedSpeeds(SpeedsState &state, const std::vector<EstimatedSpeed> &estimates,
                         TimePoint now)
{
    bool changed = false;
    for (const EstimatedSpeed &estimate : estimates) {
        const auto asked = state.asks_.find(estimate.endpoint_);
        const bool reports = asked != state.asks_.end() && asked->second.reportsSpeed_;
        if (reports || detail::isSettled(state, estimate.endpoint_, state.limits_.settledFor_, now))
            continue;
        changed = detail::take(state, estimate.endpoint_, estimate.speed_, now) || changed;
    }
    return changed;
}

bool takeSpeedReports(SpeedsState &state, const EndpointListState &list,
                      const std::vector<EndpointSpeedReport> &reports, TimePoint now)
{
    bool changed = false;
    for (const EndpointSpeedReport &report : reports) {
        if (!isPlausibleSlowdown(report.slowdown_, state.limits_) || report.age_ < Duration()) {
            detail::logInvalid(state, report.endpoint_, SpeedSource::Digest, report.slowdown_, now);
            continue;
        }
        const auto known = list.endpoints_.find(report.endpoint_);
        if (report.age_ > state.limits_.maxAge_ || known == list.endpoints_.end()
            || known->second.listed_.incarnation_ != report.incarnation_)
            continue;
        const EndpointSpeed speed {report.incarnation_, report.slowdown_, 1, now - report.age_,
                                   SpeedSource::Digest};
        changed = detail::take(state, report.endpoint_, speed, now) || changed;
    }
    return changed;
}

bool tickSpeeds(SpeedsState &state, const EndpointListState &list, TimePoint now)
{
    const auto isUnlisted
            = [&](const auto &entry) { return !list.endpoints_.contains(entry.first); };
    std::erase_if(state.asks_, isUnlisted);
    for (const auto &[endpoint, asked] : state.asks_) {
        if (detail::isConfirmationDue(state, endpoint, asked, now))
            detail::ask(state, list, endpoint, now);
    }
    // Without a measurement an endpoint counts as usual again.
    for (const auto &[endpoint, speed] : state.known_) {
        if (now - speed.measuredAt_ > state.limits_.maxAge_ && state.slow_.erase(endpoint) > 0)
            detail::logSpeed(state, "endpoint-recovered", endpoint, speed, now);
    }
    const std::size_t before = state.known_.size();
    forgetOldSpeeds(state.known_, state.limits_, now);
    std::erase_if(state.known_, isUnlisted);
    std::erase_if(state.slow_,
                  [&](const EndpointId &endpoint) { return !state.known_.contains(endpoint); });
    return state.known_.size() != before;
}

std::vector<EndpointSpeedReport> speedsToReport(const SpeedsState &state, TimePoint now)
{
    std::vector<EndpointSpeedReport> reports;
    for (const auto &[endpoint, speed] : state.known_) {
        const auto asked = state.asks_.find(endpoint);
        const bool wasSlow = asked != state.asks_.end() && asked->second.foundSlowAt_
                             && now - *asked->second.foundSlowAt_ < state.askLimits_.confirmFor_;
        const bool isSlow = state.slow_.contains(endpoint);
        const Duration age = now - speed.measuredAt_;
        if (speed.source_ != SpeedSource::Digest && (isSlow || wasSlow)
            && age <= state.limits_.maxAge_)
            reports.push_back({endpoint, speed.incarnation_, speed.slowdown_, age});
    }
    return reports;
}

std::shared_ptr<const EndpointSpeeds> speedsToPublish(const SpeedsState &state)
{
    return std::make_shared<EndpointSpeeds>(state.known_);
}

} // namespace gypsumcroft
