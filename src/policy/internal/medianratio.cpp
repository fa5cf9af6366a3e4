#include "policy/medianratio.h"

#include <algorithm>
#include <cmath>

namespace gypsumcroft {

namespace detail {
namespace {

//! Samples after which the median counts as known.
constexpr std::uint32_t MinSamples = 16;
//! Largest shift of the median by one sample and, of all samples together, in a second. The
//! second bounds how fast a deviation that lasts for seconds becomes the usual.
constexpr double MaxShift = 0.1;
constexpr double MaxShiftPerSecond = 0.05;
//! Samples that may shift it by more, to get near the median at all.
constexpr std::uint32_t FirstSamples = 32;

} // namespace
} // namespace detail

void learnRatio(MedianRatio &median, double ratio, TimePoint now)
{
    if (!std::isfinite(ratio) || ratio <= 0)
        return;
    const double sample = std::log(ratio);
    ++median.samples_;
    const double seconds = toMilliseconds(now - median.lastAt_) / 1000;
    median.lastAt_ = now;
    if (median.samples_ == 1) {
        median.logRatio_ = sample;
        return;
    }
    const double step = median.samples_ <= detail::FirstSamples
                                ? 1.0 / median.samples_
                                : std::min(detail::MaxShift, detail::MaxShiftPerSecond * seconds);
    median.logRatio_ += std::clamp(sample - median.logRatio_, -step, step);
}

std::optional<double> medianOf(const MedianRatio &median)
{
    if (median.samples_ < detail::MinSamples)
        return std::nullopt;
    return std::exp(median.logRatio_);
}

} // namespace gypsumcroft
