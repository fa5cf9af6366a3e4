// What is reserved for a request, and in which order requests wait, follows the lengths that its
// route's responses have had.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "filters/rankdemand.h"
#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t Prompt = 100;
constexpr std::int64_t Typical = 150;

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

RouteRule routeOf(std::uint32_t priority)
{
    RouteRule route;
    route.name_ = {"route-" + std::to_string(priority)};
    route.host_ = "desk";
    route.pathPrefix_ = "/" + std::to_string(priority) + "/";
    route.rerunPolicy_ = RerunPolicy::Resume;
    route.isStream_ = true;
    route.timeout_ = seconds(20);
    route.latencyTarget_ = seconds(5);
    route.maxAttempts_ = 2;
    route.priority_ = {priority};
    route.targets_ = {{{"model"}, 1}};
    return route;
}

GatewayView viewWith(std::uint32_t slots)
{
    DesiredState state;
    state.version_ = {1};
    state.routes_ = {routeOf(0), routeOf(1), routeOf(2)};
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1000};
    model.engine_->kvBytesPerToken_ = {4};
    model.engine_->prefillTokensPerSecond_ = 1e9;
    model.engine_->decodeStepTime_ = milliseconds(8);
    model.engine_->slots_ = slots;
    model.engine_->typicalOutput_ = {Typical};
    model.engine_->accelerators_[{"k"}] = {{4'000'000}, 1, 1};
    state.targets_ = {model};
    ListedEndpoint endpoint;
    endpoint.id_ = {"m"};
    endpoint.target_ = {"model"};
    endpoint.address_ = {"127.0.0.1", 1};
    endpoint.domain_ = {"a"};
    endpoint.slots_ = slots;
    endpoint.accelerator_ = {"k"};
    endpoint.layers_ = LayerRange {{0}, {4}};
    EndpointListState list;
    applyEndpointList(list, {endpoint}, at(0), at(0));
    GatewayView view;
    view.table_ = buildRouteTable(state);
    view.endpoints_ = buildEndpointIndex(list);
    view.stateConfirmedAt_ = at(0);
    view.freshness_.maxStateAge_ = seconds(1000);
    view.freshness_.maxListAge_ = seconds(1000);
    view.domain_ = {"a"};
    return view;
}

GatewayRequest requestOf(std::uint64_t exchange, std::uint32_t priority,
                         std::optional<Tokens> hint = {}, Tokens limit = {})
{
    GatewayRequest request;
    request.exchange_ = {exchange};
    request.id_ = {std::to_string(exchange)};
    request.host_ = "desk";
    request.path_ = "/" + std::to_string(priority) + "/x";
    request.timeout_ = seconds(20);
    request.promptTokens_ = {Prompt};
    request.lengthHint_ = hint;
    request.outputLimit_ = limit;
    request.expectedOutput_ = hint.value_or(limit);
    return request;
}

//! Runs streams of this many events, 24 ms or three decode steps apart.
void runStreams(GatewayTraffic &state, const GatewayView &view, int streams, std::uint64_t events,
                std::optional<Tokens> hint, bool resumed)
{
    EndpointResponseHead head;
    head.success_ = head.eventStream_ = true;
    int ms = 0;
    for (int i = 0; i < streams; ++i) {
        const std::uint64_t exchange = 1000 + static_cast<std::uint64_t>(i);
        GatewayRequest request = requestOf(exchange, 1, hint, {2000});
        if (resumed)
            request.resumeAfter_ = EventId {1};
        onGatewayRequest(state, view, request, at(ms));
        const DispatchId dispatch = state.requests_.at({exchange}).dispatch_.value().id_;
        onDispatchHead(state, view, dispatch, head, at(ms));
        for (std::uint64_t event = 1; event <= events; ++event)
            onDispatchEvents(state, view, dispatch, EventId {event}, at(ms += 24));
        onDispatchDone(state, view, dispatch, at(ms));
    }
    state.effects_.clear();
}

struct LengthCase
{
    const char *name_;
    int streams_;
    std::uint64_t events_;
    std::optional<Tokens> learnedHint_;
    bool resumed_;
    std::optional<Tokens> hint_;
    Tokens limit_;
    std::int64_t least_;
    std::int64_t most_;
};

std::ostream &operator<<(std::ostream &out, const LengthCase &test)
{
    return out << test.name_;
}

const LengthCase LengthCases[] = {
        {"nothing learned, no hint", 0, 0, {}, false, {}, {2000}, Typical, Typical},
        {"nothing learned, a hint", 0, 0, {}, false, Tokens {90}, {2000}, 90, 90},
        {"a caller that says nothing", 40, 20, {}, false, {}, {}, 0, 0},
        {"short responses", 40, 20, {}, false, {}, {2000}, 55, 80},
        {"long responses", 40, 100, {}, false, {}, {2000}, 260, 330},
        {"long responses beyond the limit", 40, 100, {}, false, {}, {120}, 120, 120},
        {"hints that are five times too large",
         60,
         20,
         Tokens {300},
         false,
         Tokens {300},
         {2000},
         50,
         85},
        {"resumed streams say nothing of the length",
         40,
         20,
         {},
         true,
         {},
         {2000},
         Typical,
         Typical},
};

} // namespace

BOOST_AUTO_TEST_SUITE(outputSizes)

// Guards against shares of the queue's work that follow a wrong hint instead of what was learned,
// and against reservations that are not released whole when the estimate has changed meanwhile.
BOOST_DATA_TEST_CASE(expectedLengthsFollowResponses, boost::unit_test::data::make(LengthCases),
                     test)
{
    GatewayTraffic state;
    const GatewayView view = viewWith(4);
    runStreams(state, view, test.streams_, test.events_, test.learnedHint_, test.resumed_);
    onGatewayRequest(state, view, requestOf(1, 1, test.hint_, test.limit_), at(100'000));
    const GatewayContext &context = state.requests_.at({1});
    BOOST_TEST(context.expectedOutput_.value_ >= test.least_);
    BOOST_TEST(context.expectedOutput_.value_ <= test.most_);
    BOOST_TEST(workOf(context).value_ == Prompt + context.expectedOutput_.value_);
    const ActiveDispatch &dispatch = context.dispatch_.value();
    BOOST_TEST(dispatch.reservedTokens_.value_
               == Prompt + context.request_.expectedOutput_.value_ / 2);
    const double used = state.endpointUsage_.at({"m"}).load_.kvUsed_;
    BOOST_TEST(used == 4.0 * static_cast<double>(dispatch.reservedTokens_.value_));
    // What was reserved is released whole, whatever has been learned meanwhile.
    runStreams(state, view, 20, 50, {}, false);
    onGatewayCallerDisconnected(state, view, {1}, at(200'000));
    BOOST_TEST(state.endpointUsage_.at({"m"}).load_.kvUsed_ == 0);
}

namespace {

struct Waiting
{
    std::uint32_t priority_;
    std::int64_t hint_;
};

struct OrderCase
{
    const char *name_;
    std::vector<Waiting> waiting_;
    //! Priorities in the order of the dispatches.
    std::vector<std::uint32_t> order_;
};

std::ostream &operator<<(std::ostream &out, const OrderCase &test)
{
    return out << test.name_;
}

const OrderCase OrderCases[] = {
        {"the urgent one came last", {{2, 100}, {1, 100}, {0, 100}}, {0, 1, 2}},
        {"the urgent one is large", {{2, 10}, {1, 50}, {0, 1500}}, {0, 1, 2}},
        {"the urgent one is small", {{2, 1500}, {1, 500}, {0, 10}}, {0, 1, 2}},
        {"two of a rank", {{1, 1500}, {2, 10}, {1, 10}, {0, 900}}, {0, 1, 1, 2}},
};

//! Ends the running stream and what follows it, one after the other. Returns the priorities of
//! those that followed, in order.
std::vector<std::uint32_t> drain(GatewayTraffic &state, const GatewayView &view, int fromMs)
{
    EndpointResponseHead head;
    head.success_ = head.eventStream_ = true;
    std::vector<std::uint32_t> order;
    for (int ms = fromMs; !state.exchangesByDispatch_.empty(); ms += 20) {
        const auto [dispatch, running] = *state.exchangesByDispatch_.begin();
        order.push_back(state.requests_.at(running).priority_.value_);
        onDispatchHead(state, view, dispatch, head, at(ms));
        onDispatchEvents(state, view, dispatch, EventId {1}, at(ms));
        onDispatchDone(state, view, dispatch, at(ms));
    }
    order.erase(order.begin());
    return order;
}

} // namespace

// Guards against expected lengths that decide across ranks: a short request of a less urgent rank
// must not go before a long one of a more urgent rank. The less urgent ranks have had their minimum
// shares before.
BOOST_DATA_TEST_CASE(ranksHold, boost::unit_test::data::make(OrderCases), test)
{
    GatewayTraffic state;
    const GatewayView view = viewWith(1);
    std::uint64_t exchange = 0;
    const auto send = [&](std::uint32_t priority, std::int64_t hint, int ms) {
        ++exchange;
        onGatewayRequest(state, view, requestOf(exchange, priority, Tokens {hint}, {2000}), at(ms));
    };
    for (const std::uint32_t priority : {0U, 1U, 2U})
        send(priority, 2000, 0);
    drain(state, view, 100);
    send(0, 10, 1000);
    for (const Waiting &one : test.waiting_)
        send(one.priority_, one.hint_, 1010);
    BOOST_TEST(drain(state, view, 1100) == test.order_, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
