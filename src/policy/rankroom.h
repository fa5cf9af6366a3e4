//! Capacity limits by rank: less urgent requests leave a part of each path free, so that more
//! urgent ones find capacity at once.
#pragma once

#include <array>
#include <optional>

#include "core/routes.h"
#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! Minimum share of a target's work by rank: keeps the less urgent ranks served under overload.
inline constexpr std::array<PerMille, RankCount> RankMinShares
        = {PerMille {0}, PerMille {80}, PerMille {80}};

struct RankRoomLimits
{
    //! Highest utilisation of a path to which a request of each rank may raise it.
    std::array<double, RankCount> maxUtilisation_ = {1.0, 0.93, 0.85};
    //! A rank of which a gateway has started nothing for this long is not limited for one request.
    //! A gateway that gets requests of one rank only can't see that the rank's share is too small.
    Duration maxHold_ = std::chrono::seconds(2);
};

//! Ranks that the requests of a target may have.
using RanksPresent = std::array<bool, RankCount>;

//! What a gateway has served to a rank of one target.
struct RankService
{
    bool belowMinShare_ = false;
    //! Work of the request that waits.
    Tokens work_;
    //! Work of all ranks that was started since a request of the rank was, that one included.
    Tokens startedSince_;
    //! When a request of the rank was started last.
    std::optional<TimePoint> startedAt_;
};

Rank rankOf(Priority priority);

//! True if requests of the rank must leave capacity to more urgent ones: a more urgent rank is
//! present, and the rank got its minimum share. It didn't if the request is less than that share of
//! what was started since the rank's last request, whatever the rank had before: it would wait
//! until that is forgotten.
bool isLimited(const RankRoomLimits &limits, const RanksPresent &present, Rank rank,
               const RankService &service, TimePoint now);

//! Highest utilisation of a path to which a request of the rank may raise it.
double maxUtilisation(const RankRoomLimits &limits, const RanksPresent &present, Rank rank,
                      const RankService &service, TimePoint now);

} // namespace gypsumcroft
