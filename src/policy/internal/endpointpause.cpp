#include "policy/endpointpause.h"

#include <algorithm>

namespace gypsumcroft {

Duration pauseTime(Duration requested, const EndpointPauseLimits &limits, Random &random)
{
    const Duration pause = std::clamp(requested, Duration(), limits.maxPause_);
    const double spread = std::min(static_cast<double>(pause.count()) * limits.spreadPart_,
                                   static_cast<double>(limits.maxSpread_.count()));
    return pause + Duration(static_cast<std::int64_t>(spread * randomUnit(random)));
}

} // namespace gypsumcroft
