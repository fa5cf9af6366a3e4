#include "policy/fleetwait.h"

#include <algorithm>
#include <cmath>

namespace gypsumcroft {

namespace detail {
namespace {

constexpr Duration Step = std::chrono::milliseconds(100);
constexpr Duration RateWindow = std::chrono::seconds(1);
constexpr double MicrosPerSecond = 1e6;
//! More than any fleet has waiting or starts in a second.
constexpr double MaxTokens = 1e9;
//! Waiting work below what is started in this time, in seconds, is no shortage: requests wait for
//! a moment even while there is capacity.
constexpr double LittleWorkSeconds = 0.1;
//! Longest wait that is estimated; longer ones say no more.
constexpr double MaxWaitSeconds = 60;
constexpr double Whole = 1000;

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

std::int64_t stepAt(TimePoint time)
{
    return time.time_since_epoch() / Step;
}

//! Steps are reused in a circle; those that were passed over had no work.
void advance(WorkRate &rate, std::int64_t step)
{
    const auto steps = static_cast<std::int64_t>(WorkRate::Steps);
    if (step - rate.newestStep_ >= steps)
        rate.tokens_.fill(0);
    else
        for (std::int64_t passed = rate.newestStep_ + 1; passed <= step; ++passed)
            rate.tokens_.at(static_cast<std::size_t>(passed % steps)) = 0;
    rate.newestStep_ = std::max(rate.newestStep_, step);
}

bool isPlausible(double tokens)
{
    return std::isfinite(tokens) && tokens >= 0 && tokens <= MaxTokens;
}

double startedWork(const TargetDemand &demand)
{
    double started = 0;
    for (const RankDemand &rank : demand)
        started += rank.started_;
    return started;
}

double waitingWork(const TargetDemand &demand)
{
    double waiting = 0;
    for (const RankDemand &rank : demand)
        waiting += rank.waiting_;
    return waiting;
}

WaitEstimate estimateOf(double ahead, double rate, double started)
{
    const double seconds
            = ahead <= rate * MaxWaitSeconds ? ahead / std::max(rate, 1.0) : MaxWaitSeconds;
    return {Duration(static_cast<std::int64_t>(seconds * MicrosPerSecond)), ahead, rate, started};
}

} // namespace
} // namespace detail

void addWork(WorkRate &rate, double tokens, TimePoint now)
{
    detail::advance(rate, detail::stepAt(now));
    rate.tokens_.at(static_cast<std::size_t>(rate.newestStep_ % WorkRate::Steps)) += tokens;
}

double tokensPerSecond(const WorkRate &rate, TimePoint now)
{
    WorkRate current = rate;
    detail::advance(current, detail::stepAt(now));
    double total = 0;
    for (std::int64_t age = 1; age < static_cast<std::int64_t>(WorkRate::Steps); ++age) {
        const std::int64_t step = current.newestStep_ - age;
        if (step >= 0)
            total += current.tokens_.at(static_cast<std::size_t>(step % WorkRate::Steps));
    }
    return std::max(0.0, total);
}

void noteArrived(DemandMeter &meter, Rank rank, Tokens work, TimePoint now)
{
    if (!meter.since_)
        meter.since_ = now;
    addWork(meter.arriving_.at(detail::indexOf(rank)), static_cast<double>(work.value_), now);
}

void noteStarted(DemandMeter &meter, Rank rank, Tokens work, TimePoint now)
{
    addWork(meter.started_.at(detail::indexOf(rank)), static_cast<double>(work.value_), now);
}

void noteNotRun(DemandMeter &meter, Rank rank, Tokens work, TimePoint now)
{
    addWork(meter.started_.at(detail::indexOf(rank)), -static_cast<double>(work.value_), now);
}

std::optional<TargetDemand> measuredDemand(const DemandMeter &meter,
                                           const std::array<Tokens, RankCount> &waiting,
                                           TimePoint now)
{
    if (!meter.since_ || now - *meter.since_ < detail::RateWindow)
        return std::nullopt;
    TargetDemand demand;
    for (std::size_t rank = 0; rank < RankCount; ++rank)
        demand[rank] = {static_cast<double>(waiting[rank].value_),
                        tokensPerSecond(meter.arriving_[rank], now),
                        tokensPerSecond(meter.started_[rank], now)};
    return demand;
}

void appendReports(std::vector<RankDemandReport> &reports, const TargetName &target,
                   const TargetDemand &demand)
{
    for (const Rank rank : AllRanks) {
        const RankDemand &own = demand.at(detail::indexOf(rank));
        if (own != RankDemand {})
            reports.push_back({target, rank, own.waiting_, own.arriving_, own.started_});
    }
}

bool isPlausible(const RankDemandReport &report)
{
    return detail::indexOf(report.rank_) < RankCount && detail::isPlausible(report.waitingTokens_)
           && detail::isPlausible(report.arrivingTokensPerSecond_)
           && detail::isPlausible(report.startedTokensPerSecond_);
}

std::size_t removeImplausible(std::vector<RankDemandReport> &reports)
{
    return std::erase_if(reports, [](const auto &report) { return !isPlausible(report); });
}

void addDemand(FleetDemand &sums, const std::vector<RankDemandReport> &reports)
{
    for (const RankDemandReport &report : reports) {
        RankDemand &sum = sums[report.target_].at(detail::indexOf(report.rank_));
        sum.waiting_ += report.waitingTokens_;
        sum.arriving_ += report.arrivingTokensPerSecond_;
        sum.started_ += report.startedTokensPerSecond_;
    }
}

TargetDemand sumOf(const TargetDemand &left, const TargetDemand &right)
{
    TargetDemand sum = left;
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        sum[rank].waiting_ += right[rank].waiting_;
        sum[rank].arriving_ += right[rank].arriving_;
        sum[rank].started_ += right[rank].started_;
    }
    return sum;
}

WaitEstimate expectedFleetWait(const TargetDemand &demand, Rank rank, PerMille minShare)
{
    const double started = detail::startedWork(demand);
    if (started <= 0 || detail::waitingWork(demand) < started * detail::LittleWorkSeconds)
        return {{}, 0, started, started};
    const std::size_t own = detail::indexOf(rank);
    double ahead = demand.at(own).waiting_;
    double left = started;
    for (std::size_t other = 0; other < own; ++other) {
        ahead += demand[other].waiting_;
        left -= demand[other].arriving_;
    }
    const WaitEstimate inOrder = detail::estimateOf(ahead, left, started);
    const WaitEstimate byShare = detail::estimateOf(
            demand.at(own).waiting_, started * minShare.value_ / detail::Whole, started);
    return byShare.wait_ < inOrder.wait_ ? byShare : inOrder;
}

Duration retryDelayFor(Duration wait, Duration allowed, Duration least, Duration timeLeft,
                       Random &random)
{
    constexpr int UsefulPart = 3;
    const Duration base = std::max(least, wait - allowed);
    const auto spread
            = static_cast<std::int64_t>(static_cast<double>(base.count()) / 2 * randomUnit(random));
    return std::min(base + Duration(spread), std::max(least, timeLeft / UsefulPart));
}

} // namespace gypsumcroft
