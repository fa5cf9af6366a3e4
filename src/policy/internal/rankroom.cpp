#include "policy/rankroom.h"

#include <algorithm>

namespace gypsumcroft {

Rank rankOf(Priority priority)
{
    return AllRanks.at(std::min<std::size_t>(priority.value_, RankCount - 1));
}

bool isLimited(const RankRoomLimits &limits, const RanksPresent &present, Rank rank,
               const RankService &service, TimePoint now)
{
    const auto end = present.begin() + static_cast<std::ptrdiff_t>(rank);
    if (std::find(present.begin(), end, true) == end || service.belowMinShare_)
        return false;
    return service.startedAt_ && now - *service.startedAt_ < limits.maxHold_;
}

double maxUtilisation(const RankRoomLimits &limits, const RanksPresent &present, Rank rank,
                      const RankService &service, TimePoint now)
{
    return isLimited(limits, present, rank, service, now)
                   ? limits.maxUtilisation_.at(static_cast<std::size_t>(rank))
                   : limits.maxUtilisation_.front();
}

} // namespace gypsumcroft
