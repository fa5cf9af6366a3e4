//! Running median of a ratio, such as that of a measured time to a planned one. Deviations of a few
//! don't move it, however large they are.
#pragma once

#include <cstdint>
#include <optional>

#include "core/units.h"

namespace gypsumcroft {

struct MedianRatio
{
    double logRatio_ = 0;
    std::uint32_t samples_ = 0;
    TimePoint lastAt_;
};

void learnRatio(MedianRatio &median, double ratio, TimePoint now);

//! The ratio; nothing before enough samples were taken.
std::optional<double> medianOf(const MedianRatio &median);

} // namespace gypsumcroft
