//! Slowdowns of endpoints: how much longer a step takes there than is usual for the endpoint's
//! kind.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "core/ids.h"
#include "core/units.h"

namespace gypsumcroft {

enum class SpeedSource : std::uint8_t {
    //! The endpoint's own status report.
    Report,
    //! The gaps between events of this gateway's streams.
    Gaps,
    //! Another gateway's digest.
    Digest,
};

std::string_view speedSourceName(SpeedSource source);

//! The newest known slowdown of an endpoint; 1 is the usual speed of its kind.
struct EndpointSpeed
{
    std::uint64_t incarnation_ = 0;
    double slowdown_ = 1;
    //! Slowdown that counted when this one was measured.
    double previous_ = 1;
    TimePoint measuredAt_;
    SpeedSource source_ = SpeedSource::Report;
};

//! A slowdown that one gateway's traffic estimated.
struct EstimatedSpeed
{
    EndpointId endpoint_;
    EndpointSpeed speed_;
};

using EndpointSpeeds = std::unordered_map<EndpointId, EndpointSpeed>;

struct SpeedLimits
{
    //! What an endpoint may report; anything else is an error in the report.
    double minReported_ = 0.1;
    double maxReported_ = 100;
    //! Bounds of what counts in a path's cost.
    double minSlowdown_ = 0.5;
    double maxSlowdown_ = 20;
    //! An endpoint counts as slow from the first one on, until it falls below the second.
    double slowFrom_ = 1.5;
    double recoveredBelow_ = 1.25;
    //! An unconfirmed slowdown falls by half in this time, and is forgotten after maxAge_.
    Duration halfLife_ = std::chrono::seconds(3);
    Duration maxAge_ = std::chrono::seconds(5);
    //! After a recovery the former slowdown falls by half in this time, so that the gateways don't
    //! all send to an idle endpoint at once.
    Duration returnHalfLife_ = std::chrono::milliseconds(300);
    //! A status report of this age, or another gateway's measurement, outweighs estimates by gaps.
    Duration settledFor_ = std::chrono::milliseconds(2500);
    //! Gaps of a stream that are judged together: a single one varies with the batch.
    std::uint32_t gapsPerSample_ = 4;
    //! A sample that exceeds the expected gap by this factor calls for a report.
    double suspiciousFactor_ = 2;
    //! Part of a sample's deviation, in logarithms, that is corrected at once.
    double correction_ = 0.3;
    //! Largest deviation of one sample that counts.
    double maxDeviation_ = 8;
};

//! True for a slowdown that an endpoint or a gateway may report.
bool isPlausibleSlowdown(double slowdown, const SpeedLimits &limits);

//! What the slowdown counts in a path's cost; 1 once it is too old.
double slowdownAt(const EndpointSpeed &speed, const SpeedLimits &limits, TimePoint now);

//! Stores a newer measurement. Returns false if an equally new or newer one is known.
bool takeSpeed(EndpointSpeeds &speeds, const EndpointId &endpoint, EndpointSpeed measured,
               const SpeedLimits &limits, TimePoint now);

void forgetOldSpeeds(EndpointSpeeds &speeds, const SpeedLimits &limits, TimePoint now);

//! What one endpoint of a path adds to each step.
struct PathPart
{
    EndpointId endpoint_;
    std::uint64_t incarnation_ = 0;
    //! Time of a decode step at the usual speed of the endpoint's kind.
    double stepMs_ = 0;
    //! Its slowdown according to a recent status report, if there is one.
    std::optional<double> settled_;
};

//! Time of a decode step along the path with the slowdowns that are known or estimated.
double expectedStepMs(const EndpointSpeeds &estimates, std::span<const PathPart> path,
                      const SpeedLimits &limits, TimePoint now);

//! Corrects the estimates of the path's endpoints by a measured step. The deviation is attributed
//! to the endpoints in proportion to their part of the expected step, as in multiplicative
//! algebraic reconstruction; those whose slowdown is settled have no part in it.
void attributeStep(EndpointSpeeds &estimates, std::span<const PathPart> path, double measuredMs,
                   const SpeedLimits &limits, TimePoint now);

//! Gaps between events of one stream that have not been judged yet.
struct GapSample
{
    TimePoint begunAt_;
    std::uint64_t gaps_ = 0;
};

//! Counts events that arrived. Returns the mean gap in ms once there are enough gaps.
std::optional<double> addEvents(GapSample &sample, std::uint64_t events, const SpeedLimits &limits,
                                TimePoint now);

} // namespace gypsumcroft
