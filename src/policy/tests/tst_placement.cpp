#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "policy/pathplan.h"
#include "policy/placement.h"

using namespace gypsumcroft;

namespace {

EngineSpec engineOf(std::uint32_t layers)
{
    EngineSpec engine;
    engine.layers_ = layers;
    engine.layerBytes_ = {1'000'000'000};
    engine.kvBytesPerToken_ = {layers * 10'000ULL};
    engine.slots_ = 100;
    engine.typicalPrompt_ = {800};
    engine.typicalOutput_ = {200};
    engine.accelerators_[{"big"}] = {{9'000'000'000}, 1, 1};
    engine.accelerators_[{"small"}] = {{3'000'000'000}, 4, 4};
    return engine;
}

//! In any fleet a big endpoint has KV capacity beside three of four layers, a small one beside one.
EngineSpec engineOfFixedCapacity()
{
    EngineSpec engine = engineOf(4);
    engine.slots_ = 8;
    engine.accelerators_[{"big"}].memory_ = {3'300'000'000};
    engine.accelerators_[{"small"}].memory_ = {1'100'000'000};
    return engine;
}

PlacementNode node(const char *name, const char *domain, const char *kind)
{
    return {{name}, {domain}, {kind}, std::nullopt, true, true};
}

PlacementNode holds(PlacementNode base, std::uint32_t first, std::uint32_t end)
{
    base.layers_ = LayerRange {{first}, {end}};
    return base;
}

PlacementNode leaving(PlacementNode base)
{
    base.available_ = base.assignable_ = false;
    return base;
}

PlacementNode busy(PlacementNode base)
{
    base.assignable_ = false;
    return base;
}

std::string textOf(const std::vector<PlacementMove> &moves)
{
    std::string text;
    for (const PlacementMove &move : moves)
        text += (text.empty() ? "" : " ") + move.endpoint_.value_ + "="
                + std::to_string(move.layers_.first_.value_) + "-"
                + std::to_string(move.layers_.end_.value_);
    return text;
}

struct PlacementCase
{
    const char *name_;
    std::vector<PlacementNode> nodes_;
    std::size_t limit_;
    const char *moves_;
};

std::ostream &operator<<(std::ostream &out, const PlacementCase &test)
{
    return out << test.name_;
}

const PlacementCase PlacementCases[] = {
        {"no endpoints", {}, 6, ""},
        {"empty endpoints, the fastest first",
         {node("s1", "a", "small"), node("s2", "a", "small"), node("b1", "a", "big")},
         6,
         "b1=0-3 s1=3-4 s2=0-1"},
        {"not more moves than the limit",
         {node("s1", "a", "small"), node("b1", "a", "big")},
         1,
         "b1=0-3"},
        {"no moves in a complete domain",
         {holds(node("b1", "a", "big"), 0, 3), holds(node("s1", "a", "small"), 3, 4),
          holds(node("s2", "a", "small"), 0, 1)},
         6,
         ""},
        {"new endpoint loads the layers with the fewest copies",
         {holds(node("b1", "a", "big"), 0, 3), holds(node("s1", "a", "small"), 3, 4),
          holds(node("s2", "a", "small"), 0, 1), node("s3", "a", "small")},
         6,
         "s3=1-2"},
        {"leaving endpoint is replaced by one with redundant layers",
         {holds(node("b1", "a", "big"), 0, 3), leaving(holds(node("s1", "a", "small"), 3, 4)),
          holds(node("s2", "a", "small"), 0, 1)},
         6,
         "s2=3-4"},
        {"empty endpoint is preferred as replacement",
         {holds(node("b1", "a", "big"), 0, 3), leaving(holds(node("s1", "a", "small"), 3, 4)),
          holds(node("s2", "a", "small"), 0, 1), node("s3", "a", "small")},
         6,
         "s3=3-4"},
        {"no endpoint is available as replacement",
         {holds(node("b1", "a", "big"), 0, 3), leaving(holds(node("s1", "a", "small"), 3, 4))},
         6,
         ""},
        {"endpoint that must not get a load order is not moved",
         {holds(node("b1", "a", "big"), 0, 3), leaving(holds(node("s1", "a", "small"), 3, 4)),
          busy(holds(node("s2", "a", "small"), 0, 1))},
         6,
         ""},
        {"each domain separately",
         {node("b1", "a", "big"), node("b2", "b", "big")},
         6,
         "b1=0-3 b2=1-4"},
        {"unknown accelerator kind gets no layers", {node("u1", "a", "unknown")}, 6, ""},
};

struct CapacityCase
{
    const char *name_;
    std::vector<PlacementNode> nodes_;
    std::uint32_t layersOfBig_;
};

std::ostream &operator<<(std::ostream &out, const CapacityCase &test)
{
    return out << test.name_;
}

struct CopyCase
{
    const char *name_;
    CopyRule rule_;
    std::uint32_t copies_;
    double kvUsedByEach_;
    double begunByEach_;
    std::size_t moves_;
    friend std::ostream &operator<<(std::ostream &out, const CopyCase &test)
    {
        return out << test.name_;
    }
};

//! Empty endpoints of a fleet that has every layer so many times. Guards against loads without end
//! once callers pay for them: a fleet of a thousand endpoints made 747 in half a minute.
const CopyCase CopyCases[] = {
        {"before the first request all are loaded", CopyRule::Always, 5, 0, 0, 4},
        {"few copies are not enough", CopyRule::WhenNeeded, 2, 0, 0, 1},
        {"enough copies and little use", CopyRule::WhenNeeded, 3, 0, 0, 0},
        {"KV capacity in use", CopyRule::WhenNeeded, 3, 25'000, 0, 4},
        {"slots in use", CopyRule::WhenNeeded, 3, 0, 5, 4},
        {"less than half in use", CopyRule::WhenNeeded, 3, 10'000, 3, 0},
};

const CapacityCase CapacityCases[] = {
        {"many endpoints: KV capacity for all slots",
         {node("b1", "a", "big"), node("b2", "a", "big"), node("b3", "a", "big")},
         4},
        {"few endpoints: more layers each", {node("b1", "a", "big")}, 8},
        {"domain that can't load the model is ignored",
         {node("b1", "a", "big"), node("b2", "a", "big"), node("b3", "a", "big"),
          node("s1", "b", "small")},
         4},
};

} // namespace

BOOST_DATA_TEST_CASE(movesArePlanned, PlacementCases, test)
{
    BOOST_TEST(textOf(planPlacement(engineOfFixedCapacity(), test.nodes_, test.limit_))
               == test.moves_);
}

BOOST_DATA_TEST_CASE(copiesAreLoadedWhereNeeded, CopyCases, test)
{
    EngineSpec engine = engineOfFixedCapacity();
    engine.accelerators_[{"big"}].memory_ = {4'400'000'000};
    std::vector<PlacementNode> nodes;
    for (std::uint32_t i = 0; i < test.copies_; ++i) {
        PlacementNode loaded = holds(node(("l" + std::to_string(i)).c_str(), "a", "big"), 0, 4);
        loaded.kvUsed_ = test.kvUsedByEach_;
        loaded.begun_ = test.begunByEach_;
        nodes.push_back(loaded);
    }
    for (const char *empty : {"e1", "e2", "e3", "e4"})
        nodes.push_back(node(empty, "a", "big"));
    BOOST_TEST(planPlacement(engine, nodes, 100, test.rule_).size() == test.moves_);
}

BOOST_DATA_TEST_CASE(reservedCapacityFollowsTheFleet, CapacityCases, test)
{
    const EngineSpec engine = engineOf(8);
    const Tokens kvTokens = kvTokensToReserve(engine, test.nodes_);
    BOOST_TEST(layersThatFit(engine, engine.accelerators_.at({"big"}), kvTokens)
               == test.layersOfBig_);
}

BOOST_AUTO_TEST_CASE(movesFitAndLoseNoLayer)
{
    BOOST_TEST(rc::check("moves fit, move an endpoint once and lose no layer of a domain", [] {
        const auto layers = *rc::gen::inRange<std::uint32_t>(1, 13);
        const EngineSpec engine = engineOf(layers);
        std::vector<PlacementNode> nodes;
        const auto count = *rc::gen::inRange(0, 10);
        for (int i = 0; i < count; ++i) {
            PlacementNode made
                    = node(("n" + std::to_string(i)).c_str(), *rc::gen::element("a", "b"),
                           *rc::gen::element("big", "small"));
            if (*rc::gen::inRange(0, 2) == 1) {
                const auto first = *rc::gen::inRange<std::uint32_t>(0, layers);
                made = holds(made, first, *rc::gen::inRange(first + 1, layers + 1));
            }
            made.available_ = made.assignable_ = *rc::gen::inRange(0, 5) > 0;
            nodes.push_back(made);
        }
        const auto moves = planPlacement(engine, nodes, 100);
        std::map<EndpointId, int> moved;
        std::vector<PlacementNode> after = nodes;
        for (const PlacementMove &move : moves) {
            RC_ASSERT(++moved[move.endpoint_] == 1);
            for (PlacementNode &entry : after) {
                if (entry.endpoint_ != move.endpoint_)
                    continue;
                RC_ASSERT(entry.assignable_);
                const std::uint32_t size = move.layers_.end_.value_ - move.layers_.first_.value_;
                const double capacity
                        = kvCapacity(engine, engine.accelerators_.at(entry.kind_), size);
                RC_ASSERT(capacity > 0);
                RC_ASSERT(move.layers_.end_.value_ <= layers);
                entry.layers_ = move.layers_;
            }
        }
        // A domain loses no layer by the moves.
        for (const char *domain : {"a", "b"}) {
            for (std::uint32_t layer = 0; layer < layers; ++layer) {
                const auto covered = [&](const std::vector<PlacementNode> &fleet) {
                    return std::any_of(fleet.begin(), fleet.end(), [&](const auto &entry) {
                        return entry.domain_.value_ == domain && entry.available_ && entry.layers_
                               && entry.layers_->first_.value_ <= layer
                               && layer < entry.layers_->end_.value_;
                    });
                };
                RC_ASSERT(!covered(nodes) || covered(after));
            }
        }
    }));
}
