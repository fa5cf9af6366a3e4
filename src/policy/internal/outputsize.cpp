#include "policy/outputsize.h"

#include <algorithm>
#include <cmath>

namespace gypsumcroft {

namespace detail {
namespace {

//! Responses over which the means of a route and of an organisation reach back.
constexpr double RouteMemory = 128;
constexpr double OrganisationMemory = 64;
//! Responses that outweigh what is assumed beforehand.
constexpr double RoutePrior = 8;
constexpr double OrganisationPrior = 8;
//! Variance of hints in logarithms that is taken for noise: below it they say nothing.
constexpr double HintNoise = 0.02;
//! Largest length relative to the predicted one that counts, so that one response doesn't decide
//! the mean.
constexpr double MaxFactor = 10;
//! Largest difference of an organisation from its route, as a logarithm.
constexpr double MaxOffset = 2;
constexpr double MaxTokensPerEvent = 64;
//! Hints per event count within this factor of the decode steps per event.
constexpr double HintTolerance = 2;

void add(ForgettingMean &mean, double value, double memory)
{
    ++mean.count_;
    mean.mean_ += (value - mean.mean_) / std::min<double>(mean.count_, memory);
}

//! The mean, drawn towards what is assumed beforehand while there are few samples.
double blend(const ForgettingMean &mean, double assumed, double prior)
{
    if (mean.count_ == 0)
        return assumed;
    const double weight = mean.count_ / (mean.count_ + prior);
    return weight * mean.mean_ + (1 - weight) * assumed;
}

double logOf(Tokens tokens)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, tokens.value_)));
}

//! How far the length follows the hint: 1 if they are proportional, 0 if hints say nothing.
double hintSlope(const RouteOutputs &route)
{
    return std::clamp(route.covariance_.mean_ / (route.hintVariance_.mean_ + HintNoise), 0.0, 1.0);
}

//! Predicted logarithm of the length, without regard to the organisation.
double predictedLog(const RouteOutputs &route, std::optional<Tokens> hint, Tokens typical)
{
    const double usual = typical.value_ > 0 ? logOf(typical) : hint ? logOf(*hint) : 0;
    if (!hint)
        return blend(route.length_, usual, typical.value_ > 0 ? RoutePrior : 0.0);
    const double byHint
            = route.hintedLength_.mean_ + hintSlope(route) * (logOf(*hint) - route.hint_.mean_);
    const ForgettingMean learned {byHint, route.hintedLength_.count_};
    return blend(learned, logOf(*hint), RoutePrior);
}

double offsetOf(const OutputSizes &sizes, const OutputKey &key)
{
    const auto found = sizes.organisations_.find(key);
    return found == sizes.organisations_.end() ? 0
                                               : blend(found->second.offset_, 0, OrganisationPrior);
}

void learnHint(RouteOutputs &route, double hint, double length)
{
    const double fromHint = hint - (route.hint_.count_ == 0 ? hint : route.hint_.mean_);
    add(route.hint_, hint, RouteMemory);
    add(route.hintedLength_, length, RouteMemory);
    add(route.hintVariance_, fromHint * (hint - route.hint_.mean_), RouteMemory);
    add(route.covariance_, fromHint * (length - route.hintedLength_.mean_), RouteMemory);
}

//! Forgets what was used longest ago if there is no room for one more key.
template <typename Map>
void makeRoom(Map &map, const typename Map::key_type &key, std::size_t most)
{
    if (map.size() < most || map.contains(key))
        return;
    map.erase(std::min_element(map.begin(), map.end(), [](const auto &left, const auto &right) {
        return left.second.lastAt_ < right.second.lastAt_;
    }));
}

} // namespace
} // namespace detail

Tokens expectedOutput(const OutputSizes &sizes, const OutputKey &key, std::optional<Tokens> hint,
                      Tokens limit, Tokens typical)
{
    const RouteOutputs unknown;
    const auto found = sizes.routes_.find(key.route_);
    const RouteOutputs &route = found == sizes.routes_.end() ? unknown : found->second;
    if (!hint && typical.value_ <= 0 && route.length_.count_ == 0)
        return limit;
    const double factor = detail::blend(route.meanFactor_, 1, detail::RoutePrior);
    const double length
            = factor
              * std::exp(detail::predictedLog(route, hint, typical) + detail::offsetOf(sizes, key));
    const double most = limit.value_ > 0 ? static_cast<double>(limit.value_) : 1e9;
    return {static_cast<std::int64_t>(std::lround(std::clamp(length, 1.0, std::max(1.0, most))))};
}

std::optional<double> tokensPerEvent(const OutputSizes &sizes, const RouteName &route,
                                     std::optional<double> stepsPerEvent)
{
    const auto found = sizes.routes_.find(route);
    const auto byHints
            = found == sizes.routes_.end() ? std::nullopt : medianOf(found->second.hintPerEvent_);
    if (!byHints && !stepsPerEvent)
        return std::nullopt;
    const double steps = stepsPerEvent.value_or(*byHints);
    const double hints = byHints.value_or(steps);
    const bool agree = std::max(hints / steps, steps / hints) <= detail::HintTolerance;
    return std::clamp(agree ? hints : steps, 1.0, detail::MaxTokensPerEvent);
}

void learnOutput(OutputSizes &sizes, const OutputKey &key, std::optional<Tokens> hint,
                 std::uint64_t events, std::optional<double> stepsPerEvent, TimePoint now)
{
    detail::makeRoom(sizes.routes_, key.route_, sizes.maxRoutes_);
    RouteOutputs &route = sizes.routes_[key.route_];
    route.lastAt_ = now;
    if (hint)
        learnRatio(route.hintPerEvent_,
                   std::exp(detail::logOf(*hint)) / static_cast<double>(events), now);
    const auto perEvent = tokensPerEvent(sizes, key.route_, stepsPerEvent);
    if (!perEvent)
        return;
    const double length = std::log(*perEvent * static_cast<double>(events));
    // What was predicted before this response, so that the regression doesn't explain itself.
    const double predicted = detail::predictedLog(route, hint, {}) + detail::offsetOf(sizes, key);
    const bool isKnown = (hint ? route.hintedLength_ : route.length_).count_ > 0;
    detail::add(route.length_, length, detail::RouteMemory);
    if (hint)
        detail::learnHint(route, detail::logOf(*hint), length);
    if (!isKnown)
        return;
    detail::add(route.meanFactor_, std::min(std::exp(length - predicted), detail::MaxFactor),
                detail::RouteMemory);
    detail::makeRoom(sizes.organisations_, key, sizes.maxOrganisations_);
    OrganisationOutputs &organisation = sizes.organisations_[key];
    organisation.lastAt_ = now;
    const double offset = std::clamp(length - detail::predictedLog(route, hint, {}),
                                     -detail::MaxOffset, detail::MaxOffset);
    detail::add(organisation.offset_, offset, detail::OrganisationMemory);
}

} // namespace gypsumcroft
