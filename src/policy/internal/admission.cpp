#include "policy/admission.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

constexpr Duration RateInterval = std::chrono::milliseconds(500);
constexpr double RateSmoothing = 0.3;
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr double MicrosPerSecond = 1e6;
constexpr int ServiceSmoothing = 16;
constexpr int ServiceDeviations = 3;
constexpr Duration MaxWaitMargin = std::chrono::milliseconds(150);

} // namespace detail

void recordDrained(DrainRate &rate, Tokens work, TimePoint now)
{
    if (rate.countedTokens_ == 0 && !rate.known_)
        rate.intervalStart_ = now;
    rate.countedTokens_ += work.value_;
    const Duration span = now - rate.intervalStart_;
    if (span < detail::RateInterval)
        return;
    const double measured = static_cast<double>(rate.countedTokens_) * detail::MicrosPerSecond
                            / static_cast<double>(span.count());
    rate.tokensPerSecond_
            = rate.known_ ? rate.tokensPerSecond_
                                    + detail::RateSmoothing * (measured - rate.tokensPerSecond_)
                          : measured;
    rate.known_ = true;
    rate.countedTokens_ = 0;
    rate.intervalStart_ = now;
}

Duration expectedWait(const DrainRate &rate, Tokens ahead)
{
    if (!rate.known_ || rate.tokensPerSecond_ <= 0 || ahead.value_ <= 0)
        return Duration::zero();
    const double seconds = static_cast<double>(ahead.value_) / rate.tokensPerSecond_;
    return Duration(static_cast<std::int64_t>(seconds * detail::MicrosPerSecond));
}

void recordServiceTime(ServiceTime &service, Duration measured)
{
    if (!service.known_) {
        service = {measured, measured / 2, true};
        return;
    }
    const Duration difference = measured - service.mean_;
    service.mean_ += difference / detail::ServiceSmoothing;
    service.deviation_
            += (std::chrono::abs(difference) - service.deviation_) / detail::ServiceSmoothing;
}

Duration serviceTimeBound(const ServiceTime &service)
{
    return service.mean_ + detail::ServiceDeviations * service.deviation_;
}

Duration serviceTimeBudget(Duration responseTimeout)
{
    return responseTimeout - std::min(responseTimeout / 2, detail::MaxWaitMargin);
}

AdmissionDecision admit(const DrainRate &rate, Tokens ahead, const ServiceTime &service,
                        Duration responseTimeout)
{
    AdmissionDecision verdict;
    verdict.expectedWait_ = expectedWait(rate, ahead);
    //! The actual wait may exceed the expected one, so a part of the spare time is left as a
    //! margin.
    const Duration spare = std::max(Duration::zero(), responseTimeout - serviceTimeBound(service));
    const Duration allowed = spare - std::min(spare / 2, detail::MaxWaitMargin);
    verdict.admitted_ = verdict.expectedWait_ <= allowed;
    if (!verdict.admitted_)
        verdict.retryAfter_ = std::max(detail::MinRetryAfter, verdict.expectedWait_ - allowed);
    return verdict;
}

} // namespace gypsumcroft
