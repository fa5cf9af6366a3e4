#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "policy/pathplan.h"

using namespace gypsumcroft;

namespace {

EngineSpec engineOf(std::uint32_t layers)
{
    EngineSpec engine;
    engine.layers_ = layers;
    engine.layerBytes_ = {1'000'000};
    engine.kvBytesPerToken_ = {10'000};
    engine.activationBytesPerToken_ = {1000};
    engine.decodeStepTime_ = std::chrono::microseconds(1000);
    engine.prefillTokensPerSecond_ = 100'000;
    engine.linkBytesPerSecond_ = 1e9;
    engine.crossDomainBytesPerSecond_ = 1e8;
    engine.domainDelays_[{{"a"}, {"b"}}] = std::chrono::microseconds(750);
    return engine;
}

PathNode node(const char *name, const char *domain, std::uint32_t first, std::uint32_t end,
              double factor = 1)
{
    PathNode made {{name}, {"127.0.0.1", 1}, {domain}, {{first}, {end}}};
    made.decodeFactor_ = made.prefillFactor_ = factor;
    made.kvCapacity_ = 1e9;
    return made;
}

std::string textOf(const std::optional<PlannedPath> &plan)
{
    if (!plan)
        return "none";
    std::string text;
    for (const PathSegment &part : plan->path_)
        text += (text.empty() ? "" : " ") + part.endpoint_.value_ + "="
                + std::to_string(part.layers_.first_.value_) + "-"
                + std::to_string(part.layers_.end_.value_);
    return text;
}

struct PathCase
{
    const char *name_;
    std::vector<PathNode> nodes_;
    const char *path_;
};

std::ostream &operator<<(std::ostream &out, const PathCase &test)
{
    return out << test.name_;
}

PathNode withPenalty(PathNode base, int milliseconds)
{
    base.penalty_ = std::chrono::milliseconds(milliseconds);
    return base;
}

PathNode withTaken(PathNode base, double taken)
{
    base.kvUsed_ = taken;
    return base;
}

PathNode withReading(PathNode base, int milliseconds)
{
    base.pendingPrefill_ = std::chrono::milliseconds(milliseconds);
    return base;
}

PathNode withSlots(PathNode base, std::uint32_t slots, double begun)
{
    base.slots_ = slots;
    base.begun_ = begun;
    return base;
}

const PathCase PathCases[] = {
        {"no nodes", {}, "none"},
        {"one node has all layers", {node("x", "a", 0, 10)}, "x=0-10"},
        {"a layer is missing", {node("x", "a", 0, 4), node("y", "a", 5, 10)}, "none"},
        {"two segments", {node("x", "a", 0, 4), node("y", "a", 4, 10)}, "x=0-4 y=4-10"},
        {"overlapping nodes run each layer once",
         {node("x", "a", 0, 6), node("y", "a", 4, 10, 2)},
         "x=0-6 y=6-10"},
        {"faster one of two copies",
         {node("x", "a", 0, 10, 3), node("y", "a", 0, 10, 1)},
         "y=0-10"},
        {"node that failed recently is avoided",
         {withPenalty(node("x", "a", 0, 10), 400), node("y", "a", 0, 10, 2)},
         "y=0-10"},
        {"node that failed recently is used if no other has the layers",
         {withPenalty(node("x", "a", 0, 10), 5000)},
         "x=0-10"},
        {"slower node in the domain preferred to a cross-domain hop",
         {node("x", "a", 0, 5), node("y", "b", 5, 10), node("z", "a", 5, 10, 2)},
         "x=0-5 z=5-10"},
        {"cross-domain hop if the domain lacks layers",
         {node("x", "a", 0, 5), node("y", "b", 5, 10)},
         "x=0-5 y=5-10"},
        {"whole request in another domain preferred to a cross-domain hop",
         {node("x", "a", 0, 5), node("y", "b", 5, 10), node("z", "b", 0, 5)},
         "z=0-5 y=5-10"},
        {"full node is avoided",
         {withTaken(node("x", "a", 0, 10), 1.5e9), node("y", "a", 0, 10, 3)},
         "y=0-10"},
        {"first node without a free slot is avoided",
         {withSlots(node("x", "a", 0, 10), 192, 200), withSlots(node("y", "a", 0, 10, 3), 192, 10)},
         "y=0-10"},
        {"slots count at the first node only",
         {withSlots(node("x", "a", 0, 5), 192, 10), withSlots(node("y", "a", 5, 10), 192, 400),
          withSlots(node("z", "a", 5, 10, 3), 192, 10)},
         "x=0-5 y=5-10"},
        {"no limit of slots",
         {withSlots(node("x", "a", 0, 10), 0, 400), node("y", "a", 0, 10, 3)},
         "x=0-10"},
        {"node with a long pending prefill is avoided",
         {withReading(node("x", "a", 0, 10), 300), node("y", "a", 0, 10, 2)},
         "y=0-10"},
};

//! Calls found for every valid path.
void enumerate(const EngineSpec &engine, const std::vector<PathNode> &nodes, std::uint32_t layer,
               std::vector<bool> &used, const std::function<void()> &found)
{
    if (layer == engine.layers_)
        return found();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const PathNode &next = nodes[i];
        if (used[i] || next.layers_.first_.value_ > layer || next.layers_.end_.value_ <= layer)
            continue;
        used[i] = true;
        for (std::uint32_t end = layer + 1; end <= next.layers_.end_.value_; ++end)
            enumerate(engine, nodes, end, used, found);
        used[i] = false;
    }
}

} // namespace

BOOST_DATA_TEST_CASE(cheapestPathIsChosen, PathCases, test)
{
    const PathDemand demand {{"a"}, {800}, {200}};
    BOOST_TEST(textOf(planPath(engineOf(10), test.nodes_, demand)) == test.path_);
}

namespace {

struct UtilisationCase
{
    const char *name_;
    std::vector<PathNode> nodes_;
    double utilisation_;
};

std::ostream &operator<<(std::ostream &out, const UtilisationCase &test)
{
    return out << test.name_;
}

// 1000 tokens take 1e-6 of the KV capacity for each layer.
const UtilisationCase UtilisationCases[] = {
        {"KV capacity", {withTaken(node("x", "a", 0, 10), 4.9999e8)}, 0.5},
        {"slots of the first node", {withSlots(node("x", "a", 0, 10), 4, 2)}, 0.75},
        {"no free slot", {withSlots(node("x", "a", 0, 10), 4, 4)}, 1.25},
        {"slots of a later node",
         {withSlots(node("x", "a", 0, 5), 4, 0), withSlots(node("y", "a", 5, 10), 4, 9)},
         0.25},
};

} // namespace

BOOST_DATA_TEST_CASE(utilisationOfThePath, UtilisationCases, test)
{
    const auto plan = planPath(engineOf(10), test.nodes_, {{"a"}, {800}, {200}});
    BOOST_REQUIRE(plan.has_value());
    BOOST_TEST(plan->utilisation_ == test.utilisation_, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(everyPathRunsEachLayerOnceInOrder)
{
    BOOST_TEST(rc::check(
            "a path is contiguous, uses loaded layers only, and is found if one exists", [] {
                const auto layers = *rc::gen::inRange<std::uint32_t>(1, 7);
                std::vector<PathNode> nodes;
                const auto count = *rc::gen::inRange<std::size_t>(0, 6);
                for (std::size_t i = 0; i < count; ++i) {
                    const auto first = *rc::gen::inRange<std::uint32_t>(0, layers);
                    const auto end = *rc::gen::inRange<std::uint32_t>(first + 1, layers + 1);
                    nodes.push_back(node(("n" + std::to_string(i)).c_str(),
                                         *rc::gen::element("a", "b"), first, end,
                                         *rc::gen::inRange(1, 5)));
                }
                const EngineSpec engine = engineOf(layers);
                const auto plan = planPath(engine, nodes, {{"a"}, {500}, {100}});
                bool possible = false;
                std::vector<bool> used(nodes.size());
                enumerate(engine, nodes, 0, used, [&] { possible = true; });
                RC_ASSERT(plan.has_value() == possible);
                if (!plan)
                    return;
                std::uint32_t layer = 0;
                std::set<EndpointId> seen;
                for (const PathSegment &part : plan->path_) {
                    RC_ASSERT(part.layers_.first_.value_ == layer);
                    RC_ASSERT(part.layers_.end_.value_ > layer);
                    RC_ASSERT(seen.insert(part.endpoint_).second);
                    const auto held
                            = std::find_if(nodes.begin(), nodes.end(), [&](const auto &entry) {
                                  return entry.endpoint_ == part.endpoint_;
                              });
                    RC_ASSERT(held->layers_.first_ <= part.layers_.first_);
                    RC_ASSERT(held->layers_.end_ >= part.layers_.end_);
                    layer = part.layers_.end_.value_;
                }
                RC_ASSERT(layer == layers);
            }));
}
