//! Fleets of the brief's sizes and seeded open-loop loads, run in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fleet.h"

namespace gypsumcroft::lab {

//! A fleet of 40 model servers in ten four-stage pipelines and 3 plain services.
struct FleetShape
{
    std::string name_;
    bool mixedKinds_ = true;
    //! Links between some stages a hundred times slower than the rest.
    bool slowLinks_ = false;
    Duration callerDelay_ = std::chrono::milliseconds(1);
    std::uint32_t entries_ = 3;
};

FleetShape trivediFleet(bool mixedKinds);
FleetShape nileFleet(bool mixedKinds);

//! Requests of one kind from one organisation.
struct LoadSpec
{
    std::string work_;
    std::string organisation_;
    std::string caller_;
    double perSecond_ = 0;
    Duration from_ {};
    Duration to_ {};
    //! Mean length of answers; lengths are heavy-tailed.
    double meanTokens_ = 40;
};

struct WorkloadOptions
{
    FleetShape shape_;
    std::uint64_t seed_ = 1;
    bool naive_ = false;
    std::vector<LoadSpec> loads_;
    Duration length_ = std::chrono::seconds(30);
    std::array<PerMille, RankCount> floors_ {};
    Duration quotePatience_ = std::chrono::milliseconds(570);
    Duration answerPatience_ = std::chrono::seconds(10);
    Duration summaryPatience_ = std::chrono::hours(8);
    Duration reportLag_ {};
    double datagramLoss_ = 0;
    //! Shares of the entries in the arrivals; empty: equal.
    std::vector<double> entryShares_;
    //! Called with the fleet once it is up, to schedule faults; times are from the load's start.
    std::function<void(Fleet &, TimePoint start)> prepare_;
    //! Times at which the tokens delivered so far are counted.
    std::vector<Duration> samples_;
};

struct WorkloadResult
{
    std::vector<CallerRecord> records_;
    TimePoint start_;
    //! Tokens delivered by each of the sample times.
    std::vector<std::uint64_t> tokensAt_;
    //! Tokens by rank at each of the sample times.
    std::vector<std::array<std::uint64_t, RankCount>> rankTokensAt_;
    std::uint64_t attempts_ = 0;
};

WorkloadResult runWorkload(const WorkloadOptions &options);

//! Tokens a second that the fleet can give at most: the maximum flow over the layer graph.
//! Endpoints in dead_ count for nothing.
double fleetBound(const FleetShape &shape, const std::vector<std::string> &dead = {});

//! Endpoint names and failure domains of a shape.
std::vector<std::pair<std::string, std::string>> stagesOf(const FleetShape &shape);

Rank rankOf(const std::string &work);

//! Loads of a normal day: ten organisations, two of them large, at a share of the bound.
std::vector<LoadSpec> normalDay(double tokensPerSecond, Duration length);

} // namespace gypsumcroft::lab
