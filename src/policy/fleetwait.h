//! How long a new request is expected to wait, by the work that waits, arrives and is started at
//! all gateways.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/random.h"
#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! Work of the last second, in steps of a tenth. The newest step is still being filled.
struct WorkRate
{
    static constexpr std::size_t Steps = 11;
    std::array<double, Steps> tokens_ {};
    std::int64_t newestStep_ = 0;
};

//! Adds work; negative work takes back what was added in vain.
void addWork(WorkRate &rate, double tokens, TimePoint now);

//! Work in the ten last complete steps.
double tokensPerSecond(const WorkRate &rate, TimePoint now);

//! What arrives at one gateway for one target, and what it starts.
struct DemandMeter
{
    std::array<WorkRate, RankCount> arriving_;
    std::array<WorkRate, RankCount> started_;
    //! When the first request arrived; the rates are known a second later.
    std::optional<TimePoint> since_;
};

void noteArrived(DemandMeter &meter, Rank rank, Tokens work, TimePoint now);
void noteStarted(DemandMeter &meter, Rank rank, Tokens work, TimePoint now);
//! Takes back a start that an endpoint refused without running the request.
void noteNotRun(DemandMeter &meter, Rank rank, Tokens work, TimePoint now);

//! Demand of one rank; work in tokens and rates in tokens per second.
struct RankDemand
{
    double waiting_ = 0;
    double arriving_ = 0;
    double started_ = 0;
    bool operator==(const RankDemand &) const = default;
};
using TargetDemand = std::array<RankDemand, RankCount>;
using FleetDemand = std::unordered_map<TargetName, TargetDemand>;

//! Demand at one gateway; nothing until the rates are known.
std::optional<TargetDemand> measuredDemand(const DemandMeter &meter,
                                           const std::array<Tokens, RankCount> &waiting,
                                           TimePoint now);

//! Reports of a target's ranks that have any demand.
void appendReports(std::vector<RankDemandReport> &reports, const TargetName &target,
                   const TargetDemand &demand);

//! False for figures that no gateway can have measured.
bool isPlausible(const RankDemandReport &report);

//! Removes reports that are not plausible; returns how many there were.
std::size_t removeImplausible(std::vector<RankDemandReport> &reports);

//! Adds reports to the sums of their targets. All of them have to be plausible.
void addDemand(FleetDemand &sums, const std::vector<RankDemandReport> &reports);

TargetDemand sumOf(const TargetDemand &left, const TargetDemand &right);

//! Expected wait of a new request and the figures that it comes from.
struct WaitEstimate
{
    Duration wait_ {};
    //! Work that is served before the request, and the rate at which it is.
    double aheadTokens_ = 0;
    double tokensPerSecond_ = 0;
    //! Rate at which work of all ranks is started.
    double startedPerSecond_ = 0;
};

//! Expected wait of a new request of the rank: until the work of this rank and more urgent ones is
//! done at the rate that more urgent arrivals leave, or until that of this rank alone is done at
//! the rank's minimum share, whichever is sooner. Zero if nothing is started, so that no rate is
//! known, and while less work waits than is started in 100 ms.
WaitEstimate expectedFleetWait(const TargetDemand &demand, Rank rank, PerMille minShare);

//! Delay after which a refused caller should come back: when its wait is expected to be as short as
//! allowed, but not earlier than least. Spread over half of its length, so that callers refused
//! together don't come back together. At most a third of the time left: callers don't wait longer.
Duration retryDelayFor(Duration wait, Duration allowed, Duration least, Duration timeLeft,
                       Random &random);

} // namespace gypsumcroft
