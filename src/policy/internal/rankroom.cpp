#include "policy/rankroom.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

bool isDue(Rank rank, const RankService &service)
{
    constexpr std::int64_t Whole = 1000;
    const std::int64_t share = RankMinShares.at(static_cast<std::size_t>(rank)).value_;
    return service.startedSince_.value_ * share > service.work_.value_ * Whole;
}

} // namespace
} // namespace detail

Rank rankOf(Priority priority)
{
    return AllRanks.at(std::min<std::size_t>(priority.value_, RankCount - 1));
}

bool isLimited(const RankRoomLimits &limits, const RanksPresent &present, Rank rank,
               const RankService &service, TimePoint now)
{
    const auto end = present.begin() + static_cast<std::ptrdiff_t>(rank);
    if (std::find(present.begin(), end, true) == end || service.belowMinShare_
        || detail::isDue(rank, service))
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
