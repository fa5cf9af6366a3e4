//! Expected lengths of responses, learned by route and organisation from complete responses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "core/routes.h"
#include "core/units.h"
#include "policy/medianratio.h"

namespace gypsumcroft {

struct OutputKey
{
    RouteName route_;
    OrganisationId organisation_;
    auto operator<=>(const OutputKey &) const = default;
};

//! Mean and count with forgetting.
struct ForgettingMean
{
    double mean_ = 0;
    std::uint32_t count_ = 0;
};

//! What is known of a route's responses; lengths as logarithms of tokens.
struct RouteOutputs
{
    ForgettingMean length_;
    //! Length of responses with a hint, and the regression of length on hint.
    ForgettingMean hintedLength_;
    ForgettingMean hint_;
    ForgettingMean hintVariance_;
    ForgettingMean covariance_;
    //! Mean of the actual lengths relative to those predicted by logarithms. Above 1, because long
    //! responses are further from the middle than short ones.
    ForgettingMean meanFactor_;
    //! Tokens of an event, if hints are right at the median.
    MedianRatio hintPerEvent_;
    TimePoint lastAt_;
};

//! How much longer an organisation's responses are than the route's, as a logarithm.
struct OrganisationOutputs
{
    ForgettingMean offset_;
    TimePoint lastAt_;
};

struct OutputSizes
{
    std::map<RouteName, RouteOutputs> routes_;
    std::map<OutputKey, OrganisationOutputs> organisations_;
    //! Those that were used longest ago are forgotten beyond these numbers.
    std::size_t maxRoutes_ = 1024;
    std::size_t maxOrganisations_ = 4096;
};

//! Expected length of a response, within the limit unless that is 0. Unknown routes have the
//! typical output, or what the hint says.
Tokens expectedOutput(const OutputSizes &sizes, const OutputKey &key, std::optional<Tokens> hint,
                      Tokens limit, Tokens typical);

//! Tokens of an event of the route: hints per event, as long as these agree with the number of
//! decode steps that an event takes within a factor of 2; nothing if neither is known.
std::optional<double> tokensPerEvent(const OutputSizes &sizes, const RouteName &route,
                                     std::optional<double> stepsPerEvent);

//! Learns from a complete response of this number of events.
void learnOutput(OutputSizes &sizes, const OutputKey &key, std::optional<Tokens> hint,
                 std::uint64_t events, std::optional<double> stepsPerEvent, TimePoint now);

} // namespace gypsumcroft
