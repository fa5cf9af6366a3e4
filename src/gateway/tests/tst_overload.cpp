// A process that gets more requests than its own processor time carries, in virtual time: each turn
// of its loop takes as long as what it does in it.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start {seconds(1000)};
constexpr Duration LatencyTarget = milliseconds(500);
constexpr Duration ServiceTime = milliseconds(100);
//! Processor time of the steps of a request, and of each request in progress in a turn.
constexpr Duration ReadCost = microseconds(40);
constexpr Duration SendCost = microseconds(1000);
constexpr Duration AnswerCost = microseconds(900);
constexpr Duration TurnCost = microseconds(100);
//! Requests a second that keep the process busy for nine tenths of the time.
constexpr int FullLoad = 460;
constexpr Duration CalmTime = seconds(3);

DesiredState desired()
{
    RouteRule route;
    route.name_ = {"/look/"};
    route.host_ = "desk";
    route.pathPrefix_ = "/look/";
    route.rerunPolicy_ = RerunPolicy::FromStart;
    route.timeout_ = seconds(5);
    route.latencyTarget_ = LatencyTarget;
    route.maxAttempts_ = 2;
    route.targets_ = {{{"desk"}, 1}};
    DesiredState state;
    state.version_ = {1};
    state.routes_ = {route};
    state.targets_ = {{{"desk"}, "", 0, {}}};
    return state;
}

GatewayView viewOfOneLargeEndpoint()
{
    ListedEndpoint endpoint;
    endpoint.id_ = {"d1"};
    endpoint.target_ = {"desk"};
    endpoint.address_ = {"127.0.0.1", 1};
    endpoint.domain_ = {"a"};
    endpoint.slots_ = 100'000;
    EndpointListState list;
    applyEndpointList(list, {endpoint}, Start, Start);
    GatewayView view;
    view.table_ = buildRouteTable(desired());
    view.endpoints_ = buildEndpointIndex(list);
    view.domain_ = {"a"};
    return view;
}

//! A gateway's traffic on a loop that is as slow as its work, and what became of its requests.
struct BusyGateway
{
    GatewayTraffic traffic_;
    GatewayView view_ = viewOfOneLargeEndpoint();
    TimePoint now_ = Start;
    TimePoint tickDueAt_ = Start;
    std::uint64_t requests_ = 0;
    std::map<ExchangeId, TimePoint> sentAt_;
    std::multimap<TimePoint, DispatchId> answers_;
    //! Answers within the latency target, by the second in which the request was sent.
    std::map<int, int> inTime_;
};

int secondOf(TimePoint time)
{
    return static_cast<int>((time - Start) / seconds(1));
}

void performEffects(BusyGateway &gateway)
{
    for (const GatewayEffect &effect : std::exchange(gateway.traffic_.effects_, {})) {
        if (const auto *send = std::get_if<DispatchRequest>(&effect)) {
            gateway.now_ += SendCost;
            gateway.answers_.emplace(gateway.now_ + ServiceTime, send->dispatch_);
        } else if (const auto *deliver = std::get_if<DeliverResponse>(&effect)) {
            gateway.now_ += AnswerCost;
            const TimePoint sentAt = gateway.sentAt_.at(deliver->exchange_);
            if (gateway.now_ - sentAt <= LatencyTarget)
                ++gateway.inTime_[secondOf(sentAt)];
        }
    }
}

void readRequest(BusyGateway &gateway, TimePoint sentAt)
{
    GatewayRequest request;
    request.exchange_ = {++gateway.requests_};
    request.id_ = {std::to_string(gateway.requests_)};
    request.host_ = "desk";
    request.path_ = "/look/x";
    gateway.sentAt_[request.exchange_] = sentAt;
    gateway.now_ += ReadCost;
    onGatewayRequest(gateway.traffic_, gateway.view_, std::move(request), gateway.now_);
    performEffects(gateway);
}

void takeAnswers(BusyGateway &gateway, TimePoint turn)
{
    while (!gateway.answers_.empty() && gateway.answers_.begin()->first <= turn) {
        const DispatchId dispatch = gateway.answers_.begin()->second;
        gateway.answers_.erase(gateway.answers_.begin());
        EndpointResponseHead head;
        head.success_ = true;
        onDispatchHead(gateway.traffic_, gateway.view_, dispatch, head, gateway.now_);
        onDispatchDone(gateway.traffic_, gateway.view_, dispatch, gateway.now_);
        performEffects(gateway);
    }
}

void tickIfDue(BusyGateway &gateway)
{
    if (gateway.now_ < gateway.tickDueAt_)
        return;
    onLoopTick(gateway.traffic_, gateway.now_ - gateway.tickDueAt_, gateway.now_);
    onGatewayTick(gateway.traffic_, gateway.view_, gateway.now_);
    performEffects(gateway);
    gateway.tickDueAt_ = gateway.now_ + GatewayTickInterval;
}

struct OverloadCase
{
    const char *name_;
    int timesFullLoad_;
    int seconds_;
};

std::ostream &operator<<(std::ostream &out, const OverloadCase &test)
{
    return out << test.name_;
}

const OverloadCase OverloadCases[] = {
        {"as much as can be served", 1, 10},     {"twice as much for 3 s", 2, 3},
        {"twice as much for 10 s", 2, 10},       {"twice as much for 30 s", 2, 30},
        {"four times as much for 3 s", 4, 3},    {"four times as much for 10 s", 4, 10},
        {"four times as much for 30 s", 4, 30},  {"eight times as much for 3 s", 8, 3},
        {"eight times as much for 10 s", 8, 10}, {"eight times as much for 30 s", 8, 30},
};

//! Plays calm traffic, the load, and calm traffic again.
BusyGateway play(const OverloadCase &test)
{
    BusyGateway gateway;
    const TimePoint loadFrom = Start + CalmTime;
    const TimePoint loadUntil = loadFrom + seconds(test.seconds_);
    const TimePoint end = loadUntil + CalmTime + seconds(2);
    TimePoint nextSent = Start;
    while (gateway.now_ < end) {
        const TimePoint turn = gateway.now_;
        gateway.now_ += TurnCost;
        tickIfDue(gateway);
        takeAnswers(gateway, turn);
        while (nextSent <= turn) {
            readRequest(gateway, nextSent);
            const bool isLoad = nextSent >= loadFrom && nextSent < loadUntil;
            const int rate = isLoad ? FullLoad * test.timesFullLoad_ : FullLoad / 2;
            nextSent += Duration(seconds(1)) / rate;
        }
    }
    return gateway;
}

} // namespace

// Overload may not feed on itself: what can be served in time is served in time, whatever is asked
// for beyond that, and two seconds after the load nothing of it is left.
BOOST_DATA_TEST_CASE(overloadLeavesWhatCanBeServed, OverloadCases, test)
{
    constexpr double LeastPart = 0.9;
    const BusyGateway gateway = play(test);
    const int calmSeconds = static_cast<int>(CalmTime / seconds(1));
    const int loadEnds = calmSeconds + test.seconds_;
    int served = 0;
    for (int second = calmSeconds; second < loadEnds; ++second)
        served += gateway.inTime_.contains(second) ? gateway.inTime_.at(second) : 0;
    BOOST_TEST(served >= LeastPart * FullLoad * test.seconds_);
    BOOST_TEST(gateway.inTime_.at(loadEnds + 2) >= FullLoad / 2 - 1);
}

// Other processes may take the processor, so that every tick is late whatever this one does.
BOOST_AUTO_TEST_CASE(lateTicksStillBeginRequests)
{
    constexpr int Ticks = 100;
    constexpr Duration Late = milliseconds(200);
    BusyGateway gateway;
    for (int i = 0; i < Ticks; ++i) {
        gateway.now_ = gateway.tickDueAt_ + Late;
        const TimePoint turn = gateway.now_;
        readRequest(gateway, turn);
        tickIfDue(gateway);
        takeAnswers(gateway, turn);
    }
    BOOST_TEST(gateway.traffic_.counters_.dispatches_ >= Ticks - 1);
    BOOST_TEST(gateway.traffic_.counters_.refused_ == 0U);
}
