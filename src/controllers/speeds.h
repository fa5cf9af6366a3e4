//! Controller of the endpoints' speeds: keeps the newest slowdown of each endpoint, shares those of
//! slow endpoints, and decides which endpoints are asked for a status report.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "controllers/endpointlist.h"
#include "controllers/probes.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/random.h"
#include "policy/endpointspeed.h"

namespace gypsumcroft {

struct SpeedAskLimits
{
    //! Time after a measurement of an endpoint, here or elsewhere, in which it isn't asked; doubles
    //! with each consecutive report of the usual speed up to the maximum. Without that, a general
    //! overload would have all gateways ask all endpoints.
    Duration minInterval_ = std::chrono::seconds(1);
    Duration maxInterval_ = std::chrono::seconds(8);
    //! A slow endpoint is asked again when its last measurement is this old, to see whether it is
    //! over, and later by up to the spread, so that one gateway's answer spares the others'
    //! questions.
    Duration confirmAfter_ = std::chrono::seconds(2);
    Duration confirmSpread_ = std::chrono::milliseconds(800);
    //! Time for which a gateway that found an endpoint slow itself asks again.
    Duration confirmFor_ = std::chrono::seconds(30);
    //! Minimum time between two log lines on invalid speeds.
    Duration invalidLogInterval_ = std::chrono::seconds(1);
};

struct SpeedAsk
{
    TimePoint askedAt_;
    //! Consecutive reports of the usual speed.
    std::uint32_t usualReports_ = 0;
    //! Last time that this gateway found the endpoint slow itself.
    std::optional<TimePoint> foundSlowAt_;
    Duration spread_ {};
    //! The endpoint's reports carry its speed, so that no estimate is needed.
    bool reportsSpeed_ = false;
};

struct SpeedsState
{
    SpeedLimits limits_;
    SpeedAskLimits askLimits_;
    EndpointSpeeds known_;
    std::map<EndpointId, SpeedAsk> asks_;
    //! Endpoints that count as slow.
    std::set<EndpointId> slow_;
    TimePoint invalidLoggedAt_;
    std::vector<RequestStatusReport> reportRequests_;
    std::vector<LogEvent> log_;
};

//! Asks an endpoint on the path of a slow stream for a report, unless it was measured recently.
void requestSpeedCheck(SpeedsState &state, const EndpointListState &list,
                       const EndpointId &endpoint, TimePoint now);

//! Takes the speed in a status report. Returns true if the known speeds changed.
bool takeReportedSpeed(SpeedsState &state, const EndpointId &endpoint, std::uint64_t incarnation,
                       std::optional<double> pace, Random &random, TimePoint now);

//! Takes estimates of endpoints whose reports carry no speed. Returns true if the known speeds
//! changed.
bool takeEstimatedSpeeds(SpeedsState &state, const std::vector<EstimatedSpeed> &estimates,
                         TimePoint now);

//! Takes the speeds of a digest; those that are invalid, too old or of another incarnation are
//! dropped. Returns true if the known speeds changed.
bool takeSpeedReports(SpeedsState &state, const EndpointListState &list,
                      const std::vector<EndpointSpeedReport> &reports, TimePoint now);

//! Asks slow endpoints again and forgets old speeds. Returns true if the known speeds changed.
bool tickSpeeds(SpeedsState &state, const EndpointListState &list, TimePoint now);

//! Speeds that this gateway measured itself, of endpoints that are slow or have just recovered.
std::vector<EndpointSpeedReport> speedsToReport(const SpeedsState &state, TimePoint now);

std::shared_ptr<const EndpointSpeeds> speedsToPublish(const SpeedsState &state);

} // namespace gypsumcroft
