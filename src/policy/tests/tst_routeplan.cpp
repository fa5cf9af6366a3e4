//! Route plan: a table of layouts, and a comparison with a brute-force search.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "policy/routeplan.h"

using namespace gypsumcroft;

namespace {

StageCandidate stage(const std::string &name, std::uint32_t first, std::uint32_t end,
                     std::int64_t cost, std::uint32_t layers = 8, const std::string &version = "1")
{
    return {{name},   {"127.0.0.1", 1}, {version},     {{first}, {end}},
            {layers}, Duration(cost),   Duration(cost)};
}

struct PlanCase
{
    const char *name_;
    std::vector<StageCandidate> candidates_;
    //! Endpoints joined by ">"; empty if there is no route.
    const char *route_;
};

const PlanCase PlanCases[] = {
        {"no candidates", {}, ""},
        {"one endpoint has all layers", {stage("a", 0, 8, 10)}, "a"},
        {"two stages", {stage("b", 4, 8, 10), stage("a", 0, 4, 10)}, "a>b"},
        {"missing layer", {stage("a", 0, 3, 10), stage("b", 4, 8, 10)}, ""},
        {"overlapping ranges are not joined", {stage("a", 0, 5, 10), stage("b", 4, 8, 10)}, ""},
        {"cheaper one of two", {stage("a", 0, 8, 20), stage("b", 0, 8, 10)}, "b"},
        {"splitting can be cheaper",
         {stage("a", 0, 8, 2000), stage("b", 0, 4, 100), stage("c", 4, 8, 100)},
         "b>c"},
        {"link delay can make splitting more expensive",
         {stage("a", 0, 8, 350), stage("b", 0, 4, 100), stage("c", 4, 8, 100)},
         "a"},
        {"versions are not mixed", {stage("a", 0, 4, 10), stage("b", 4, 8, 10, 8, "2")}, ""},
        {"models with different numbers of layers are not joined",
         {stage("a", 0, 4, 10, 8), stage("b", 4, 12, 10, 12)},
         ""},
        {"empty range is ignored", {stage("a", 0, 0, 1), stage("b", 0, 8, 10)}, "b"},
        {"range beyond the model is ignored", {stage("a", 0, 9, 1)}, ""},
};

std::ostream &operator<<(std::ostream &out, const PlanCase &test)
{
    return out << test.name_;
}

std::string textOf(const std::optional<PlannedRoute> &plan)
{
    std::string text;
    if (!plan)
        return text;
    for (const RouteHop &hop : plan->route_)
        text += (text.empty() ? "" : ">") + hop.endpoint_.value_;
    return text;
}

//! Cost of the cheapest continuation of a route from a layer, found by trying every endpoint.
std::optional<Duration> bruteForce(const std::vector<StageCandidate> &candidates,
                                   const LinkTable &links, std::uint32_t layer,
                                   const StageCandidate *previous)
{
    if (previous != nullptr && layer == previous->modelLayers_.value_)
        return Duration::zero();
    std::optional<Duration> best;
    for (const StageCandidate &candidate : candidates) {
        const bool fits = candidate.layers_.first_.value_ == layer
                          && candidate.layers_.end_ > candidate.layers_.first_
                          && candidate.layers_.end_ <= candidate.modelLayers_
                          && (previous == nullptr
                              || (previous->version_ == candidate.version_
                                  && previous->modelLayers_ == candidate.modelLayers_));
        if (!fits)
            continue;
        const auto rest = bruteForce(candidates, links, candidate.layers_.end_.value_, &candidate);
        if (!rest)
            continue;
        Duration cost = candidate.stepCost_ + *rest;
        if (previous != nullptr)
            cost += linkDelay(links, previous->endpoint_, candidate.endpoint_);
        if (!best || cost < *best)
            best = cost;
    }
    return best;
}

} // namespace

BOOST_DATA_TEST_CASE(routeIsTheCheapestCover, PlanCases)
{
    BOOST_TEST(textOf(planRoute(sample.candidates_, {})) == sample.route_);
}

BOOST_AUTO_TEST_CASE(agreesWithBruteForce)
{
    const bool holds = rc::check("route plan agrees with brute force", [] {
        constexpr std::uint32_t Layers = 6;
        std::vector<StageCandidate> candidates;
        LinkTable links;
        const int count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const auto first = *rc::gen::inRange<std::uint32_t>(0, Layers);
            const auto end = *rc::gen::inRange<std::uint32_t>(first + 1, Layers + 1);
            candidates.push_back(stage("e" + std::to_string(i), first, end,
                                       *rc::gen::inRange<std::int64_t>(1, 1000), Layers,
                                       *rc::gen::element<std::string>("1", "2")));
        }
        for (int i = 0; i < count; ++i)
            links.delays_[{"e" + std::to_string(i)}]
                         [{"e" + std::to_string(*rc::gen::inRange(0, count))}]
                    = Duration(*rc::gen::inRange<std::int64_t>(1, 20000));
        const auto plan = planRoute(candidates, links);
        const auto best = bruteForce(candidates, links, 0, nullptr);
        RC_ASSERT(plan.has_value() == best.has_value());
        if (plan)
            RC_ASSERT(plan->cost_ == *best);
    });
    BOOST_TEST(holds);
}
