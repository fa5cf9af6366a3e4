#include "soak/plan.h"

#include <algorithm>

#include "core/random.h"

namespace gypsumcroft::lab {

namespace detail {

using std::chrono::milliseconds;
using enum FaultKind;
using enum FaultPlace;

constexpr std::uint32_t MinGateways = 2;
constexpr std::uint32_t MaxGateways = 6;
constexpr std::uint32_t CallersPerGateway = 3;
constexpr std::uint32_t MaxMoreCallers = 6;
constexpr std::uint32_t MinModelServers = 4;
constexpr std::uint32_t MinPlainServers = 2;
constexpr std::uint32_t MaxMoreServers = 3;
constexpr milliseconds MinWork {5};
constexpr milliseconds MaxWork {60};
constexpr milliseconds MinEventGap {5};
constexpr milliseconds MaxEventGap {80};
//! The first and the last part of a run are calm.
constexpr milliseconds CalmStart {500};
constexpr milliseconds CalmEnd {2000};
//! One series begins in each such span, on average.
constexpr milliseconds SpanOfSeries {1200};

//! One kind of series: how many faults, how long each, how far apart.
struct SeriesKind
{
    FaultKind kind_;
    FaultPlace place_;
    std::uint32_t weight_;
    std::uint32_t maxCount_;
    std::uint32_t minMs_;
    std::uint32_t maxMs_;
    std::uint32_t maxGapMs_;
};

const SeriesKind SeriesTable[] = {
        {Pause, Gateway, 8, 30, 5, 60, 120},
        {Pause, Gateway, 3, 2, 300, 4000, 1000},
        {Stop, Gateway, 3, 2, 10, 1000, 6000},
        {Kill, Gateway, 2, 2, 10, 1000, 3000},
        {Delay, CallerLink, 2, 2, 500, 3000, 1000},
        {Reset, CallerLink, 2, 5, 1, 200, 600},
        {Truncate, CallerLink, 1, 2, 100, 600, 1000},
        {HoldRequests, CallerLink, 1, 2, 200, 2000, 1000},
        {HoldAnswers, CallerLink, 1, 2, 200, 2000, 1000},
        {Delay, EndpointLink, 3, 2, 500, 3000, 1000},
        {Reset, EndpointLink, 3, 4, 1, 1500, 1000},
        {HoldRequests, EndpointLink, 2, 2, 200, 3000, 1000},
        {HoldAnswers, EndpointLink, 2, 2, 200, 3000, 1000},
        {Silence, EndpointLink, 2, 2, 500, 6000, 1000},
        {Truncate, EndpointLink, 2, 3, 100, 1000, 1000},
        {AnswerTwice, EndpointLink, 4, 3, 500, 4000, 1000},
        {AnswerTwiceUnnamed, EndpointLink, 2, 3, 500, 4000, 1000},
        {EndlessHead, EndpointLink, 1, 2, 200, 1500, 1000},
        {EndlessBody, EndpointLink, 1, 2, 200, 1500, 1000},
        {Delay, StoreLink, 1, 2, 500, 5000, 1000},
        {Silence, StoreLink, 1, 2, 500, 6000, 1000},
        {Reset, StoreLink, 1, 2, 500, 5000, 1000},
        {NewState, Operator, 2, 6, 0, 1, 500},
        {RevokeKey, Operator, 2, 3, 0, 1, 1500},
};

namespace {

Duration between(Random &random, Duration low, Duration high)
{
    const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Duration(static_cast<std::int64_t>(randomBelow(random, span)));
}

const SeriesKind &drawKind(Random &random)
{
    std::uint64_t sum = 0;
    for (const SeriesKind &kind : SeriesTable)
        sum += kind.weight_;
    std::uint64_t rest = randomBelow(random, sum);
    for (const SeriesKind &kind : SeriesTable) {
        if (rest < kind.weight_)
            return kind;
        rest -= kind.weight_;
    }
    return SeriesTable[0];
}

std::uint32_t drawTarget(Random &random, const SoakPlan &plan, const SeriesKind &kind)
{
    constexpr std::uint64_t OneInEverywhere = 4;
    const bool everywhere = kind.kind_ == Pause && randomBelow(random, OneInEverywhere) == 0;
    const bool oneStore = kind.place_ == StoreLink && randomBelow(random, OneInEverywhere) == 0;
    if (kind.place_ == Operator || everywhere || (kind.place_ == StoreLink && !oneStore))
        return Everywhere;
    const std::uint32_t endpoints = plan.modelServers_ + plan.plainServers_;
    return static_cast<std::uint32_t>(
            randomBelow(random, kind.place_ == EndpointLink ? endpoints : plan.gateways_));
}

void addSeries(Random &random, SoakPlan &plan)
{
    const SeriesKind &kind = drawKind(random);
    const Duration end = plan.length_ - CalmEnd;
    const std::uint32_t target = drawTarget(random, plan, kind);
    const std::uint64_t count = 1 + randomBelow(random, kind.maxCount_);
    Duration at = between(random, CalmStart, end);
    for (std::uint64_t i = 0; i < count && at < end; ++i) {
        const Duration drawn
                = between(random, milliseconds(kind.minMs_), milliseconds(kind.maxMs_));
        const Duration length = std::min(drawn, end - at);
        plan.faults_.push_back({kind.kind_, kind.place_, target, at, length});
        at += length + between(random, milliseconds(1), milliseconds(kind.maxGapMs_));
    }
}

} // namespace
} // namespace detail

SoakPlan makePlan(std::uint64_t seed, Duration length)
{
    Random random {seed};
    const auto between = [&](std::uint32_t low, std::uint32_t high) {
        return low + static_cast<std::uint32_t>(randomBelow(random, high - low + 1));
    };
    SoakPlan plan;
    plan.seed_ = seed;
    plan.length_ = std::max<Duration>(length, detail::CalmStart + detail::CalmEnd);
    plan.gateways_ = between(detail::MinGateways, detail::MaxGateways);
    plan.callers_ = plan.gateways_ * detail::CallersPerGateway + between(0, detail::MaxMoreCallers);
    plan.modelServers_ = detail::MinModelServers + between(0, detail::MaxMoreServers);
    plan.plainServers_ = detail::MinPlainServers + between(0, detail::MaxMoreServers);
    plan.longestWork_ = detail::between(random, detail::MinWork, detail::MaxWork);
    plan.eventGap_ = detail::between(random, detail::MinEventGap, detail::MaxEventGap);
    const auto series = plan.length_ / Duration(detail::SpanOfSeries) + 1;
    for (std::int64_t i = 0; i < series; ++i)
        detail::addSeries(random, plan);
    std::stable_sort(plan.faults_.begin(), plan.faults_.end(),
                     [](const Fault &left, const Fault &right) { return left.at_ < right.at_; });
    return plan;
}

std::string_view nameOf(FaultKind kind)
{
    static constexpr std::string_view Names[]
            = {"pause",          "stop",         "kill",         "delay",     "reset",
               "hold-requests",  "hold-answers", "silence",      "truncate",  "answer-twice",
               "answer-unnamed", "endless-head", "endless-body", "new-state", "revoke-key"};
    return Names[static_cast<std::size_t>(kind)];
}

std::string_view nameOf(FaultPlace place)
{
    static constexpr std::string_view Names[]
            = {"gateway", "caller-link", "store-link", "endpoint-link", "operator"};
    return Names[static_cast<std::size_t>(place)];
}

} // namespace gypsumcroft::lab
