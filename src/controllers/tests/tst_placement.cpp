#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "controllers/placement.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

EngineSpec engine()
{
    EngineSpec made;
    made.layers_ = 4;
    made.layerBytes_ = {1'000'000'000};
    made.kvBytesPerToken_ = {40'000};
    made.slots_ = 8;
    made.typicalPrompt_ = {800};
    made.typicalOutput_ = {200};
    made.loadTime_ = seconds(4);
    made.concurrentLoads_ = 2;
    made.accelerators_[{"half"}] = {{2'200'000'000}, 1, 1};
    return made;
}

ListedEndpoint listed(const char *id, std::optional<LayerRange> layers = {})
{
    ListedEndpoint endpoint;
    endpoint.id_ = {id};
    endpoint.target_ = {"model"};
    endpoint.address_ = {id, 8000};
    endpoint.domain_ = {"a"};
    endpoint.accelerator_ = {"half"};
    endpoint.layers_ = layers;
    return endpoint;
}

LayerRange range(std::uint32_t first, std::uint32_t end)
{
    return {{first}, {end}};
}

enum class Event { Tick, Report, Silent, Begun, Conflict, NoAnswer };

struct Step
{
    int atMs_;
    Event event_;
    const char *endpoint_;
    EndpointStatusReport report_;
    const char *effects_;
};

struct PlacementCase
{
    const char *name_;
    std::vector<ListedEndpoint> listed_;
    std::set<EndpointId> lost_;
    std::vector<Step> steps_;
};

std::ostream &operator<<(std::ostream &out, const PlacementCase &test)
{
    return out << test.name_;
}

std::string takeText(PlacementState &state)
{
    std::string text;
    for (const PlacementEffect &effect : state.effects_) {
        if (const auto *ask = std::get_if<RequestStatusReport>(&effect))
            text += "ask " + ask->endpoint_.value_ + " ";
        if (const auto *order = std::get_if<SendLoadOrder>(&effect))
            text += "order " + order->endpoint_.value_ + " "
                    + std::to_string(order->layers_.first_.value_) + "-"
                    + std::to_string(order->layers_.end_.value_) + " after "
                    + std::to_string(order->expectedOrders_.value_) + " ";
    }
    state.effects_.clear();
    return text;
}

const PlacementCase PlacementCases[] = {
        {"no plan while endpoints of a new fleet are still being listed",
         {listed("x")},
         {},
         {{500, Event::Tick, "", {}, ""}, {1500, Event::Tick, "", {}, "ask x "}}},
        {"an order carries the number of orders that the endpoint has accepted",
         {listed("x"), listed("y", range(2, 4))},
         {},
         {{0, Event::Tick, "", {}, "ask x "},
          {5, Event::Report, "x", {{3}, false, {}, 0}, ""},
          {100, Event::Tick, "", {}, "order x 0-2 after 3 "},
          {105, Event::Begun, "x", {}, ""},
          {200, Event::Tick, "", {}, ""},
          {800, Event::Tick, "", {}, "ask x "},
          {805, Event::Report, "x", {{4}, false, range(0, 2), 0}, ""}}},
        {"an endpoint that does not respond is asked again only after a delay",
         {listed("x"), listed("y", range(2, 4))},
         {},
         {{0, Event::Tick, "", {}, "ask x "},
          {450, Event::Silent, "x", {}, ""},
          {1900, Event::Tick, "", {}, ""},
          {2000, Event::Tick, "", {}, "ask x "}}},
        {"after a conflict the endpoint is asked again",
         {listed("x"), listed("y", range(2, 4))},
         {},
         {{0, Event::Tick, "", {}, "ask x "},
          {5, Event::Report, "x", {{3}, false, {}, 0}, ""},
          {100, Event::Tick, "", {}, "order x 0-2 after 3 "},
          {105, Event::Conflict, "x", {}, ""},
          {1700, Event::Tick, "", {}, "ask x "},
          {1705, Event::Report, "x", {{4}, false, {}, 0}, ""},
          {1800, Event::Tick, "", {}, "order x 0-2 after 4 "}}},
        {"an order without a response may have been executed: the endpoint's report decides",
         {listed("x"), listed("y", range(2, 4))},
         {},
         {{0, Event::Tick, "", {}, "ask x "},
          {5, Event::Report, "x", {{0}, false, {}, 0}, ""},
          {100, Event::Tick, "", {}, "order x 0-2 after 0 "},
          {550, Event::NoAnswer, "x", {}, ""},
          {2100, Event::Tick, "", {}, "ask x "},
          {2105, Event::Report, "x", {{1}, false, range(0, 2), 0}, ""}}},
        {"no more concurrent loads than the engine's limit",
         {listed("v"), listed("w"), listed("x"), listed("y", range(2, 4))},
         {},
         {{0, Event::Tick, "", {}, "ask v ask w "}, {100, Event::Tick, "", {}, ""}}},
        {"a lost endpoint's layers go to an endpoint whose own layers are loaded elsewhere too",
         {listed("w", range(0, 2)), listed("x", range(0, 2)), listed("y", range(2, 4))},
         {{"y"}},
         {{0, Event::Tick, "", {}, "ask x "}}},
        {"no orders while all layers are loaded",
         {listed("x", range(0, 2)), listed("y", range(2, 4))},
         {},
         {{0, Event::Tick, "", {}, ""}, {5000, Event::Tick, "", {}, ""}}},
};

} // namespace

BOOST_DATA_TEST_CASE(layersArePlacedByOrders, PlacementCases, test)
{
    EndpointListState list;
    applyEndpointList(list, test.listed_, at(0), at(0));
    PlacementState state;
    state.lastPlanAt_ = at(-1000);
    for (const Step &step : test.steps_) {
        const EndpointId endpoint {step.endpoint_};
        const TimePoint now = at(step.atMs_);
        switch (step.event_) {
        case Event::Tick:
            tickPlacement(state, engine(), {"model"}, list, {test.lost_, {}, false}, now);
            break;
        case Event::Report:
            onEndpointReport(state, endpoint, step.report_, now);
            break;
        case Event::Silent:
            onEndpointReport(state, endpoint, std::nullopt, now);
            break;
        case Event::Begun:
            onOrderOutcome(state, engine(), endpoint, OrderOutcome::Started, now);
            break;
        case Event::Conflict:
            onOrderOutcome(state, engine(), endpoint, OrderOutcome::Conflict, now);
            break;
        case Event::NoAnswer:
            onOrderOutcome(state, engine(), endpoint, OrderOutcome::Unknown, now);
            break;
        }
        BOOST_TEST(takeText(state) == step.effects_, "at " << step.atMs_ << " ms");
    }
}

namespace {

struct HandoverCase
{
    const char *name_;
    int takenOverMs_;
    const char *effects_;
};

std::ostream &operator<<(std::ostream &out, const HandoverCase &test)
{
    return out << test.name_;
}

// The previous lease holder ordered x to load layers 0-2 at 100 ms; the load takes 2 s. y holds
// layers 2-4.
const HandoverCase HandoverCases[] = {
        {"the next lease holder waits for a running load", 1000, ""},
        {"it stops waiting once the load is overdue", 3700, "ask x "},
};

} // namespace

BOOST_DATA_TEST_CASE(nextLeaseHolderWaitsForRunningLoads, HandoverCases, test)
{
    EndpointListState list;
    applyEndpointList(list, {listed("x"), listed("y", range(2, 4))}, at(0), at(0));
    PlacementState before;
    before.lastPlanAt_ = at(-1000);
    tickPlacement(before, engine(), {"model"}, list, {}, at(0));
    onEndpointReport(before, {"x"}, EndpointStatusReport {}, at(5));
    tickPlacement(before, engine(), {"model"}, list, {}, at(100));
    onOrderOutcome(before, engine(), {"x"}, OrderOutcome::Started, at(105));
    PlacementState after;
    after.lastPlanAt_ = at(-1000);
    applyPeerMoves(after, movesInProgress(before, at(200)), at(200));
    tickPlacement(after, engine(), {"model"}, list, {}, at(test.takenOverMs_));
    BOOST_TEST(takeText(after) == test.effects_);
    stopPlacement(before);
    BOOST_TEST(movesInProgress(before, at(200)).size() == 1U);
}
