#include "policy/endpointspeed.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gypsumcroft {

namespace detail {
namespace {

double halvings(Duration age, Duration halfLife)
{
    const double part = toMilliseconds(std::max(age, Duration())) / toMilliseconds(halfLife);
    return std::exp2(-part);
}

double clampedSlowdown(double slowdown, const SpeedLimits &limits)
{
    return std::clamp(slowdown, limits.minSlowdown_, limits.maxSlowdown_);
}

//! Slowdown of a part: settled, or estimated for the same incarnation.
double slowdownOf(const EndpointSpeeds &estimates, const PathPart &part, const SpeedLimits &limits,
                  TimePoint now)
{
    if (part.settled_)
        return clampedSlowdown(*part.settled_, limits);
    const auto found = estimates.find(part.endpoint_);
    return found == estimates.end() || found->second.incarnation_ != part.incarnation_
                   ? 1
                   : slowdownAt(found->second, limits, now);
}

} // namespace
} // namespace detail

std::string_view speedSourceName(SpeedSource source)
{
    static constexpr std::array<std::string_view, 3> Names = {"report", "gaps", "digest"};
    return Names.at(static_cast<std::size_t>(source));
}

bool isPlausibleSlowdown(double slowdown, const SpeedLimits &limits)
{
    return std::isfinite(slowdown) && slowdown >= limits.minReported_
           && slowdown <= limits.maxReported_;
}

double slowdownAt(const EndpointSpeed &speed, const SpeedLimits &limits, TimePoint now)
{
    const Duration age = now - speed.measuredAt_;
    if (age > limits.maxAge_)
        return 1;
    const double measured = detail::clampedSlowdown(speed.slowdown_, limits);
    const double kept = 1 + (measured - 1) * detail::halvings(age, limits.halfLife_);
    if (speed.previous_ <= measured)
        return kept;
    return kept + (speed.previous_ - measured) * detail::halvings(age, limits.returnHalfLife_);
}

bool takeSpeed(EndpointSpeeds &speeds, const EndpointId &endpoint, EndpointSpeed measured,
               const SpeedLimits &limits, TimePoint now)
{
    const auto [known, isNew] = speeds.try_emplace(endpoint, measured);
    if (isNew)
        return true;
    EndpointSpeed &speed = known->second;
    const bool isLater = measured.incarnation_ == speed.incarnation_
                                 ? measured.measuredAt_ > speed.measuredAt_
                                 : measured.incarnation_ > speed.incarnation_;
    if (!isLater)
        return false;
    measured.previous_
            = measured.incarnation_ == speed.incarnation_ ? slowdownAt(speed, limits, now) : 1;
    speed = measured;
    return true;
}

void forgetOldSpeeds(EndpointSpeeds &speeds, const SpeedLimits &limits, TimePoint now)
{
    std::erase_if(speeds, [&](const auto &entry) {
        return now - entry.second.measuredAt_ > limits.maxAge_;
    });
}

double expectedStepMs(const EndpointSpeeds &estimates, std::span<const PathPart> path,
                      const SpeedLimits &limits, TimePoint now)
{
    double expected = 0;
    for (const PathPart &part : path)
        expected += part.stepMs_ * detail::slowdownOf(estimates, part, limits, now);
    return expected;
}

void attributeStep(EndpointSpeeds &estimates, std::span<const PathPart> path, double measuredMs,
                   const SpeedLimits &limits, TimePoint now)
{
    double settled = 0;
    double open = 0;
    double largest = 0;
    for (const PathPart &part : path) {
        const double ms = part.stepMs_ * detail::slowdownOf(estimates, part, limits, now);
        (part.settled_ ? settled : open) += ms;
        if (!part.settled_)
            largest = std::max(largest, ms);
    }
    if (largest <= 0 || !std::isfinite(measuredMs))
        return;
    const double deviation = std::clamp((measuredMs - settled) / open, 1 / limits.maxDeviation_,
                                        limits.maxDeviation_);
    for (const PathPart &part : path) {
        if (part.settled_)
            continue;
        const double before = detail::slowdownOf(estimates, part, limits, now);
        const double share = part.stepMs_ * before / largest;
        const double after = detail::clampedSlowdown(
                before * std::pow(deviation, limits.correction_ * share), limits);
        estimates[part.endpoint_] = {part.incarnation_, after, after, now, SpeedSource::Gaps};
    }
}

std::optional<double> addEvents(GapSample &sample, std::uint64_t events, const SpeedLimits &limits,
                                TimePoint now)
{
    if (sample.begunAt_ == TimePoint()) {
        sample = {now, 0};
        return std::nullopt;
    }
    sample.gaps_ += events;
    if (sample.gaps_ < limits.gapsPerSample_)
        return std::nullopt;
    const double gap = toMilliseconds(now - sample.begunAt_) / static_cast<double>(sample.gaps_);
    sample = {now, 0};
    return gap;
}

} // namespace gypsumcroft
