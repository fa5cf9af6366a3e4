#include <algorithm>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/chains.h"
#include "policy/pathplan.h"
#include "policy/placement.h"

using namespace gypsumcroft;

namespace {

constexpr std::uint64_t Gigabyte = 1'000'000'000;

struct Kind
{
    double gigabytes_;
    double decodeFactor_;
    std::uint32_t endpoints_;
};

//! One failure domain: its endpoints and the model.
struct DomainCase
{
    const char *name_;
    std::vector<Kind> kinds_;
    double kvBytesPerToken_;
    std::uint32_t chains_;
    friend std::ostream &operator<<(std::ostream &out, const DomainCase &test)
    {
        return out << test.name_;
    }
};

const DomainCase DomainCases[] = {
        {"two kinds of large and many small ones",
         {{36, 3.1, 2}, {21.6, 16, 12}, {14.4, 15, 5}},
         328'000,
         2},
        {"one very large endpoint",
         {{72, 1.4, 1}, {36, 3.1, 1}, {21.6, 16, 8}, {14.4, 15, 10}},
         328'000,
         2},
        {"mostly small ones", {{36, 3.1, 2}, {21.6, 16, 6}, {14.4, 15, 11}}, 328'000, 2},
        {"three kinds with much memory", {{72, 2.4, 3}, {43, 5.6, 4}, {21.6, 16, 9}}, 590'000, 2},
        {"one kind", {{43, 5.6, 14}}, 590'000, 2},
        {"a hundred endpoints", {{72, 2.4, 10}, {21.6, 16, 90}}, 590'000, 10},
        {"memory for one copy only", {{72, 2.4, 1}, {14.4, 5.3, 6}, {21.6, 16, 6}}, 590'000, 0},
        {"not even one copy", {{21.6, 16, 3}}, 590'000, 0},
        {"no endpoint", {}, 590'000, 0},
};

EngineSpec engineOf(const DomainCase &test)
{
    EngineSpec engine;
    engine.layers_ = 80;
    engine.layerBytes_ = {1'750'000'000};
    engine.kvBytesPerToken_ = {static_cast<std::uint64_t>(test.kvBytesPerToken_)};
    engine.slots_ = 192;
    engine.decodeStepTime_ = std::chrono::microseconds(850);
    engine.decodeStepTimePerSequence_ = std::chrono::microseconds(2);
    engine.typicalPrompt_ = {760};
    engine.typicalOutput_ = {154};
    for (std::size_t i = 0; i < test.kinds_.size(); ++i) {
        const Kind &kind = test.kinds_[i];
        engine.accelerators_[{"kind" + std::to_string(i)}]
                = {{static_cast<std::uint64_t>(kind.gigabytes_ * static_cast<double>(Gigabyte))},
                   kind.decodeFactor_,
                   kind.decodeFactor_};
    }
    return engine;
}

std::vector<PlacementNode> fleetOf(const DomainCase &test)
{
    std::vector<PlacementNode> nodes;
    for (std::size_t i = 0; i < test.kinds_.size(); ++i) {
        for (std::uint32_t n = 0; n < test.kinds_[i].endpoints_; ++n) {
            const std::string kind = "kind" + std::to_string(i);
            nodes.push_back({{kind + "-" + std::to_string(n)}, {"a"}, {kind}, std::nullopt});
        }
    }
    return nodes;
}

std::vector<KindCount> countsOf(const EngineSpec &engine, const DomainCase &test)
{
    std::vector<KindCount> counts;
    for (std::size_t i = 0; i < test.kinds_.size(); ++i)
        counts.push_back(
                {engine.accelerators_.at({"kind" + std::to_string(i)}), test.kinds_[i].endpoints_});
    return counts;
}

//! Requests that the layer with the least KV capacity has room for, at most one set of slots for
//! each copy.
double capacityOf(const EngineSpec &engine, const std::vector<PlacementNode> &nodes)
{
    const double slotTokens = engine.slots_ * 914.0;
    std::vector<double> layers(engine.layers_);
    for (const PlacementNode &node : nodes) {
        if (!node.layers_)
            continue;
        const std::uint32_t count = node.layers_->end_.value_ - node.layers_->first_.value_;
        const double tokens
                = kvCapacity(engine, engine.accelerators_.at(node.kind_), count) / count;
        for (std::uint32_t i = node.layers_->first_.value_; i < node.layers_->end_.value_; ++i)
            layers[i] += std::min(tokens, slotTokens);
    }
    return layers.empty() ? 0 : *std::min_element(layers.begin(), layers.end());
}

//! No placement of whole copies carries more: as many copies as all layers that fit together make,
//! for the best reserve of KV capacity.
double bestCapacity(const EngineSpec &engine, const std::vector<KindCount> &kinds)
{
    double best = 0;
    for (double tokens = engine.slots_ * 914.0; tokens > 8 * 914.0; tokens /= 1.005) {
        std::uint32_t layers = 0;
        for (const KindCount &kind : kinds)
            layers += kind.endpoints_
                      * layersThatFit(engine, kind.kind_, {static_cast<std::int64_t>(tokens)});
        const std::uint32_t copies = layers / engine.layers_;
        best = std::max(best, copies * tokens);
    }
    return best;
}

//! Loads the fleet as a placer does that orders a few loads at a time.
std::vector<PlacementNode> loadAll(const EngineSpec &engine, std::vector<PlacementNode> nodes)
{
    constexpr std::size_t LoadsAtOnce = 6;
    for (auto moves = planPlacement(engine, nodes, LoadsAtOnce); !moves.empty();
         moves = planPlacement(engine, nodes, LoadsAtOnce)) {
        for (const PlacementMove &move : moves) {
            for (PlacementNode &node : nodes) {
                if (node.endpoint_ == move.endpoint_)
                    node.layers_ = move.layers_;
            }
        }
    }
    return nodes;
}

} // namespace

BOOST_DATA_TEST_CASE(completeCopiesArePlanned, DomainCases, test)
{
    const EngineSpec engine = engineOf(test);
    const auto plan = planChains(engine, countsOf(engine, test), {8 * 914});
    BOOST_TEST((plan ? plan->chains_ : 0) == test.chains_);
    if (plan)
        BOOST_TEST(completeChains(engine, countsOf(engine, test), plan->kvTokens_)
                   == plan->chains_);
}

// Ranges of different sizes that were placed one by one overlapped: a domain with 1.9 copies of the
// average layer had one copy of some, and carried half of what its endpoints could.
BOOST_DATA_TEST_CASE(placedCopiesCarryWhatTheEndpointsCan, DomainCases, test)
{
    if (test.chains_ == 0)
        return;
    const EngineSpec engine = engineOf(test);
    const auto nodes = loadAll(engine, fleetOf(test));
    BOOST_TEST(capacityOf(engine, nodes) >= 0.9 * bestCapacity(engine, countsOf(engine, test)));
}

// An endpoint that comes back empty, or is gone for good, must not cost the domain a layer.
BOOST_DATA_TEST_CASE(copiesAreRepaired, DomainCases, test)
{
    if (test.chains_ == 0)
        return;
    const EngineSpec engine = engineOf(test);
    const auto loaded = loadAll(engine, fleetOf(test));
    const double before = capacityOf(engine, loaded);
    for (std::size_t lost = 0; lost < loaded.size(); ++lost) {
        auto nodes = loaded;
        nodes[lost].layers_.reset();
        BOOST_TEST(capacityOf(engine, loadAll(engine, nodes)) >= 0.9 * before);
        nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(lost));
        BOOST_TEST(capacityOf(engine, loadAll(engine, nodes)) > 0);
    }
}
