#include "policy/chains.h"

#include <algorithm>
#include <utility>

#include "policy/placement.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Factor between two successive candidate sizes of the KV capacity.
constexpr double TokensStep = 1.03;

//! Tokens per second of all copies, in units of the endpoints' speed: each runs as many requests at
//! once as its KV capacity and slots allow, and a step takes longer the more there are.
double throughputOf(const EngineSpec &engine, std::uint32_t chains, double kvTokens)
{
    const double batch = std::min<double>(engine.slots_, kvTokens / typicalRequestTokens(engine));
    const double step = toMilliseconds(engine.decodeStepTime_)
                        + toMilliseconds(engine.decodeStepTimePerSequence_) * batch;
    return step <= 0 ? 0 : chains * batch / step;
}

} // namespace
} // namespace detail

double typicalRequestTokens(const EngineSpec &engine)
{
    return static_cast<double>(
            std::max<std::int64_t>(1, engine.typicalPrompt_.value_ + engine.typicalOutput_.value_));
}

std::uint32_t completeChains(const EngineSpec &engine, const std::vector<KindCount> &kinds,
                             Tokens kvTokens)
{
    std::vector<std::pair<std::uint32_t, std::uint32_t>> capacities;
    for (const KindCount &kind : kinds) {
        if (const std::uint32_t capacity = layersThatFit(engine, kind.kind_, kvTokens))
            capacities.emplace_back(capacity, kind.endpoints_);
    }
    // Large ones first, so that little of the last endpoint of a copy is left over.
    std::sort(capacities.rbegin(), capacities.rend());
    std::uint32_t chains = 0;
    std::uint32_t layers = 0;
    for (auto [capacity, endpoints] : capacities) {
        while (endpoints > 0) {
            const std::uint32_t missing = engine.layers_ - layers;
            const std::uint32_t needed = (missing + capacity - 1) / capacity;
            const bool completes = needed <= endpoints;
            layers = completes ? 0 : layers + endpoints * capacity;
            endpoints -= std::min(needed, endpoints);
            chains += completes ? 1 : 0;
        }
    }
    return chains;
}

std::optional<ChainPlan> planChains(const EngineSpec &engine, const std::vector<KindCount> &kinds,
                                    Tokens minTokens)
{
    const auto least = static_cast<double>(minTokens.value_);
    std::optional<ChainPlan> best;
    double bestThroughput = 0;
    for (double tokens = std::max(least, engine.slots_ * typicalRequestTokens(engine));
         tokens >= least; tokens /= detail::TokensStep) {
        const Tokens kvTokens {static_cast<std::int64_t>(tokens)};
        const std::uint32_t chains = completeChains(engine, kinds, kvTokens);
        const double throughput = detail::throughputOf(engine, chains, tokens);
        if (throughput <= bestThroughput)
            continue;
        bestThroughput = throughput;
        best = ChainPlan {chains, kvTokens};
    }
    return best && best->chains_ >= 2 ? best : std::nullopt;
}

} // namespace gypsumcroft
