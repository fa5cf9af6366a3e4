// What an endpoint says about further requests is obeyed by every request, retry and resumption.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/control.h"
#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

RouteRule route(const char *prefix, const char *target, RerunPolicy rerun, bool stream)
{
    RouteRule made;
    made.name_ = {prefix};
    made.host_ = "desk";
    made.pathPrefix_ = prefix;
    made.rerunPolicy_ = rerun;
    made.isStream_ = stream;
    made.timeout_ = seconds(20);
    made.latencyTarget_ = seconds(5);
    made.maxAttempts_ = 3;
    made.targets_ = {{{target}, 1}};
    return made;
}

DesiredState desired()
{
    DesiredState state;
    state.version_ = {1};
    state.routes_ = {route("/book/", "desk", RerunPolicy::Never, false),
                     route("/look/", "desk", RerunPolicy::FromStart, false),
                     route("/quote/", "model", RerunPolicy::Resume, true)};
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1'000'000};
    model.engine_->kvBytesPerToken_ = {4000};
    model.engine_->prefillTokensPerSecond_ = 100'000;
    model.engine_->decodeStepTime_ = milliseconds(1);
    model.engine_->accelerators_[{"k"}] = {{8'000'000}, 1, 1};
    state.targets_ = {{{"desk"}, "", 0, {}}, model};
    return state;
}

ListedEndpoint endpoint(const char *id, const char *target, std::uint16_t port,
                        std::uint64_t incarnation)
{
    ListedEndpoint made;
    made.id_ = {id};
    made.target_ = {target};
    made.address_ = {"127.0.0.1", port};
    made.domain_ = {"a"};
    made.slots_ = 4;
    made.accelerator_ = {"k"};
    if (made.target_.value_ == "model")
        made.layers_ = LayerRange {{0}, {4}};
    made.incarnation_ = incarnation;
    return made;
}

GatewayView viewWith(std::uint64_t incarnation)
{
    EndpointListState list;
    applyEndpointList(list,
                      {endpoint("d1", "desk", 1, incarnation), endpoint("d2", "desk", 2, 1),
                       endpoint("m1", "model", 3, incarnation), endpoint("m2", "model", 4, 1)},
                      at(0), at(0));
    GatewayView view;
    view.table_ = buildRouteTable(desired());
    view.endpoints_ = buildEndpointIndex(list);
    view.stateConfirmedAt_ = at(0);
    view.domain_ = {"a"};
    view.retry_.slack_ = 100;
    return view;
}

GatewayRequest request(std::uint64_t exchange, const std::string &path)
{
    GatewayRequest made;
    made.exchange_ = {exchange};
    made.id_ = {"r" + std::to_string(exchange)};
    made.host_ = "desk";
    made.path_ = path;
    made.timeout_ = seconds(20);
    made.promptTokens_ = {100};
    made.expectedOutput_ = {100};
    return made;
}

//! Endpoints of the dispatches since the last call.
std::string takeSends(GatewayTraffic &state)
{
    std::string sends;
    for (const GatewayEffect &effect : state.effects_) {
        if (const auto *send = std::get_if<DispatchRequest>(&effect))
            sends += (sends.empty() ? "" : " ") + send->endpoint_.value_;
    }
    state.effects_.clear();
    return sends;
}

EndpointNotice leaving()
{
    return {true, {}, ""};
}

EndpointNotice pause(int ms)
{
    return {false, milliseconds(ms), ""};
}

struct NoticeCase
{
    const char *name_;
    const char *path_;
    //! Response to the first request, which goes to d1 or m1.
    std::uint16_t status_;
    bool notRun_;
    bool events_;
    EndpointNotice notice_;
    //! Later requests, at these times, and the incarnation of the endpoint in the list then.
    std::vector<int> laterMs_;
    std::uint64_t incarnation_;
    //! How many of them the endpoint may get. The first request's retry must go elsewhere.
    bool gets_;
};

std::ostream &operator<<(std::ostream &out, const NoticeCase &test)
{
    return out << test.name_;
}

const NoticeCase NoticeCases[] = {
        {"no notice", "/look/", 200, false, false, {}, {100, 2000}, 1, true},
        {"leaving, said with a success",
         "/look/",
         200,
         false,
         false,
         leaving(),
         {1, 3000},
         1,
         false},
        {"leaving, said with an error",
         "/look/",
         500,
         false,
         false,
         leaving(),
         {1, 3000},
         1,
         false},
        {"leaving, said with a refusal",
         "/book/",
         503,
         true,
         false,
         leaving(),
         {600, 9000},
         1,
         false},
        {"leaving, said with a wrong instance",
         "/look/",
         421,
         true,
         false,
         leaving(),
         {1, 9000},
         1,
         false},
        {"leaving, said at the head of a stream",
         "/quote/",
         200,
         false,
         true,
         leaving(),
         {60, 5000},
         1,
         false},
        {"leaving, and started again since",
         "/look/",
         200,
         false,
         false,
         leaving(),
         {100, 3000},
         2,
         true},
        {"a pause, before its end",
         "/book/",
         503,
         true,
         false,
         pause(4000),
         {50, 600, 3999},
         1,
         false},
        {"a pause, after its end and the spread",
         "/book/",
         503,
         true,
         false,
         pause(4000),
         {5001},
         1,
         true},
        {"a pause with a fraction", "/look/", 503, true, false, pause(1500), {1499}, 1, false},
        {"a pause, and started again since",
         "/look/",
         503,
         true,
         false,
         pause(4000),
         {600},
         2,
         true},
        {"a pause of no time", "/look/", 503, true, false, pause(0), {700}, 1, true},
        {"a pause longer than a day",
         "/look/",
         503,
         true,
         false,
         pause(100'000'000),
         {599'999},
         1,
         false},
        {"a pause longer than a day is cut",
         "/look/",
         503,
         true,
         false,
         pause(100'000'000),
         {601'001},
         1,
         true},
        {"a stream refused with a pause",
         "/quote/",
         503,
         true,
         false,
         pause(4000),
         {50, 3999},
         1,
         false},
        {"both", "/look/", 503, true, false, {true, milliseconds(1000), ""}, {9000}, 1, false},
};

} // namespace

BOOST_DATA_TEST_CASE(noticesAreObeyed, NoticeCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewWith(1);
    onGatewayRequest(state, view, request(1, test.path_), at(0));
    const std::string first = takeSends(state);
    BOOST_REQUIRE(first.size() == 2);
    EndpointResponseHead head;
    head.success_ = test.status_ == 200;
    head.notRun_ = test.notRun_;
    head.status_ = test.status_;
    head.notice_ = test.notice_;
    onDispatchHead(state, view, {1}, head, at(0));
    if (test.events_)
        onDispatchEvents(state, view, {1}, EventId {1}, at(0));
    onDispatchDone(state, view, {1}, at(0));
    onGatewayTick(state, view, at(0));
    BOOST_TEST(takeSends(state).find(first) == std::string::npos);

    bool gets = false;
    std::uint64_t exchange = 10;
    for (const int ms : test.laterMs_) {
        view = viewWith(test.incarnation_);
        view.stateConfirmedAt_ = at(ms);
        // A retry of the first request, and enough others that an endpoint without them is chosen.
        onGatewayTick(state, view, at(ms));
        for (int i = 0; i < 8; ++i)
            onGatewayRequest(state, view, request(exchange++, test.path_), at(ms));
        gets = gets || takeSends(state).find(first) != std::string::npos;
    }
    BOOST_TEST(gets == test.gets_);
}

namespace {

struct AllCase
{
    const char *name_;
    EndpointNotice notice_;
    int atMs_;
    const char *sends_;
};

std::ostream &operator<<(std::ostream &out, const AllCase &test)
{
    return out << test.name_;
}

const AllCase AllCases[] = {
        {"all pause: nothing is sent meanwhile", pause(3000), 2999, ""},
        {"all pause: the waiting request is sent afterwards", pause(3000), 3025, "d1"},
        {"all leave: nothing is sent any more", leaving(), 4000, ""},
};

} // namespace

// With no other endpoint left, a request waits; it doesn't go to one that wants none.
BOOST_DATA_TEST_CASE(noticesOfAllEndpoints, AllCases, test)
{
    GatewayTraffic state;
    state.limits_.pause_.spreadPart_ = 0;
    const GatewayView view = viewWith(1);
    EndpointResponseHead head;
    head.notRun_ = true;
    head.status_ = 503;
    head.notice_ = test.notice_;
    onGatewayRequest(state, view, request(1, "/look/"), at(0));
    onDispatchHead(state, view, {1}, head, at(0));
    onDispatchDone(state, view, {1}, at(0));
    onGatewayTick(state, view, at(400));
    BOOST_TEST(takeSends(state) == "d1 d2");
    onDispatchHead(state, view, {2}, head, at(400));
    onDispatchDone(state, view, {2}, at(400));
    for (int ms = 425; ms <= test.atMs_; ms += 25)
        onGatewayTick(state, view, at(ms));
    BOOST_TEST(takeSends(state) == test.sends_);
}

namespace {

GatewayControl controlWith(std::uint64_t incarnation)
{
    GatewayControl control;
    control.members_.self_ = {"10.0.0.1", 7000};
    onDesiredState(control, desired(), at(0), at(0));
    onEndpointList(control, {endpoint("m1", "model", 3, incarnation)}, {}, at(0), at(0));
    return control;
}

struct ListedCase
{
    const char *name_;
    std::uint64_t noticedIncarnation_;
    //! The list after the notice; 0 for none.
    std::uint64_t listedIncarnation_;
    bool leaving_;
};

std::ostream &operator<<(std::ostream &out, const ListedCase &test)
{
    return out << test.name_;
}

const ListedCase ListedCases[] = {
        {"the list still shows it as ready", 5, 5, true},
        {"its entry expires and comes back", 5, 0, true},
        {"it has started again", 5, 6, false},
        {"late news of an earlier incarnation", 4, 5, false},
};

} // namespace

// In control, and at the gateways that get its digest, an endpoint that is leaving counts as
// draining until the list shows a later incarnation.
BOOST_DATA_TEST_CASE(leavingOutlastsTheList, ListedCases, test)
{
    GatewayControl control = controlWith(5);
    onEndpointNotice(control, {{"m1"}, test.noticedIncarnation_, true, {}}, at(10));
    if (test.listedIncarnation_ == 0)
        onEndpointList(control, {}, {}, at(20), at(20));
    const std::uint64_t last = test.listedIncarnation_ == 0 ? 5 : test.listedIncarnation_;
    onEndpointList(control, {endpoint("m1", "model", 3, last)}, {}, at(30), at(30));
    const auto state = [](const GatewayControl &of) {
        return gatewayViewOf(of, at(40)).endpoints_->endpoints_.at(0).state_;
    };
    const ListedState expected = test.leaving_ ? ListedState::Draining : ListedState::Ready;
    BOOST_TEST((state(control) == expected));

    GatewayControl peer = controlWith(last);
    peer.members_.self_ = {"10.0.0.2", 7000};
    GatewayDigestMessage hello;
    hello.instance_ = {"peer"};
    hello.gateway_ = peer.members_.self_;
    hello.sequence_ = 1;
    onGatewayDigest(control, hello, at(290));
    onGatewayControlTick(control, at(300));
    for (const GatewayControlEffect &effect : control.effects_) {
        if (const auto *send = std::get_if<SendDigest>(&effect))
            onGatewayDigest(peer, send->digest_, at(301));
    }
    BOOST_TEST((state(peer) == expected));
}

// While an endpoint is paused, control sends it neither probes nor report requests.
BOOST_AUTO_TEST_CASE(pausedEndpointsAreNotProbed)
{
    GatewayControl control = controlWith(5);
    control.effects_.clear();
    onControlNotice(control, {"m1"}, pause(2000), at(0));
    const auto asked = [&](int ms) {
        onProbeRequested(control, {"m1"}, at(ms));
        onGatewayControlTick(control, at(ms));
        bool found = false;
        for (const GatewayControlEffect &effect : control.effects_)
            found = found || std::holds_alternative<RequestStatusReport>(effect);
        control.effects_.clear();
        return found;
    };
    BOOST_TEST(!asked(10));
    BOOST_TEST(!asked(1990));
    BOOST_TEST(gatewayViewOf(control, at(1990)).pausedUntil_.size() == 1U);
    BOOST_TEST(asked(2600));
    BOOST_TEST(gatewayViewOf(control, at(2600)).pausedUntil_.empty());
}

namespace {

//! A gateway with one reader's news of the list at time 0, and what it finds out afterwards.
struct ListAgeCase
{
    const char *name_;
    int nowMs_;
    //! How late the loop's ticks are.
    int lateMs_;
    //! The read of the list that is asked for when the news is old fails after this time; -1: it
    //! has no end yet.
    int failedAfterMs_;
    bool dispatches_;
    bool ready_;
    //! The process is held up for this time, after which its ticks are still to come.
    int heldUpMs_ = 0;
};

std::ostream &operator<<(std::ostream &out, const ListAgeCase &test)
{
    return out << test.name_;
}

const ListAgeCase ListAgeCases[] = {
        {"news is recent", 1700, 0, -1, true, true},
        {"news is old, the store has not had time to answer", 1850, 0, -1, false, true},
        {"news is old, and the store refuses this gateway", 1950, 0, 10, true, true},
        {"news is old, and the store is silent", 2300, 0, -1, true, true},
        {"news is old, and the store was silent until the read was given up", 2600, 0, 700, true,
         true},
        {"news is old, and a late loop gave the read up", 2600, 300, 700, false, true},
        {"news is very old, and a late loop gave the read up", 3100, 300, 700, false, false},
        {"a hold-up that begins with the read in flight", 1850, 0, -1, false, false, 2000},
};

} // namespace

// By a list that this gateway could know better, no request is dispatched.
BOOST_DATA_TEST_CASE(oldListIsUsedOnlyIfThereIsNoNewerOne, ListAgeCases, test)
{
    constexpr int ReadAtMs = 1800;
    GatewayControl control;
    control.members_.domain_ = {"a"};
    control.relay_.limits_.ownInterval_ = milliseconds(ReadAtMs);
    control.endpoints_.limits_.pollInterval_ = milliseconds(ReadAtMs);
    onDesiredState(control, desired(), at(0), at(0));
    onEndpointList(control, {endpoint("d1", "desk", 1, 1)}, {1}, at(0), at(0));
    for (int ms = 100; ms <= test.nowMs_; ms += 50) {
        noteTick(control.loopDelay_, milliseconds(test.lateMs_));
        onGatewayControlTick(control, at(ms));
        onDesiredStateConfirmed(control, at(ms), at(ms));
        const StoreRead &read = control.relay_.list_;
        if (test.failedAfterMs_ >= 0 && read.inFlight_
            && at(ms) - read.sentAt_ >= milliseconds(test.failedAfterMs_))
            onEndpointListFailed(control, "failed", at(ms));
    }
    const TimePoint end = at(test.nowMs_ + test.heldUpMs_);
    const GatewayView view = gatewayViewOf(control, end);
    GatewayTraffic traffic;
    onGatewayRequest(traffic, view, request(1, "/book/x"), end);
    BOOST_TEST((takeSends(traffic) == "d1") == test.dispatches_);
    BOOST_TEST(isGatewayReady(control, end) == test.ready_);
}

// A request that waits for the list is refused, as not run, before its caller loses its time.
BOOST_AUTO_TEST_CASE(requestIsRefusedWhenTheListStaysOld)
{
    GatewayView view = viewWith(1);
    view.listConfirmedAt_ = at(0);
    GatewayTraffic traffic;
    onGatewayRequest(traffic, view, request(1, "/look/x"), at(3000));
    BOOST_TEST(takeSends(traffic).empty());
    for (int ms = 3025; ms <= 6700; ms += 25)
        onGatewayTick(traffic, view, at(ms));
    BOOST_TEST(traffic.requests_.size() == 1U);
    onGatewayTick(traffic, view, at(6800));
    BOOST_TEST(traffic.requests_.empty());
    BOOST_TEST(traffic.counters_.refused_ == 1U);
}

namespace {

//! A queued request whose gateway is held up, and when the list is confirmed afterwards.
struct HoldUpCase
{
    const char *name_;
    int listedMs_;
    const char *sends_;
    std::uint64_t refused_;
};

std::ostream &operator<<(std::ostream &out, const HoldUpCase &test)
{
    return out << test.name_;
}

const HoldUpCase HoldUpCases[] = {
        {"the list comes", 6030, "d1", 0},
        {"the list doesn't come", 0, "", 1},
};

} // namespace

// The time of a hold-up doesn't use up the time in which the list can still come.
BOOST_DATA_TEST_CASE(queuedRequestOutlastsAHoldUp, HoldUpCases, test)
{
    GatewayView view = viewWith(1);
    view.listConfirmedAt_ = at(0);
    GatewayTraffic traffic;
    onGatewayRequest(traffic, view, request(1, "/look/x"), at(1900));
    onGatewayTick(traffic, view, at(1925));
    onGatewayTick(traffic, view, at(6000));
    BOOST_TEST(traffic.requests_.size() == 1U);
    view.listConfirmedAt_ = at(test.listedMs_);
    for (int ms = 6025; ms <= 6525; ms += 25)
        onGatewayTick(traffic, view, at(ms));
    BOOST_TEST(takeSends(traffic) == test.sends_);
    BOOST_TEST(traffic.counters_.refused_ == test.refused_);
}

// What is learned between the decision and the sending of a dispatch takes it back.
BOOST_AUTO_TEST_CASE(dispatchIsTakenBackBeforeItIsSent)
{
    GatewayView view = viewWith(1);
    GatewayTraffic traffic;
    onGatewayRequest(traffic, view, request(1, "/look/x"), at(0));
    BOOST_REQUIRE(takeSends(traffic) == "d1");
    const DispatchId first = traffic.exchangesByDispatch_.begin()->first;
    BOOST_TEST(confirmDispatch(traffic, view, first, at(1)));
    EndpointListState list;
    ListedEndpoint draining = endpoint("d1", "desk", 1, 1);
    draining.state_ = ListedState::Draining;
    applyEndpointList(list, {draining, endpoint("d2", "desk", 2, 1)}, at(2), at(2));
    view.endpoints_ = buildEndpointIndex(list);
    BOOST_TEST(!confirmDispatch(traffic, view, first, at(3)));
    BOOST_TEST(takeSends(traffic) == "d2");
    BOOST_TEST(!confirmDispatch(traffic, view, first, at(4)));
}
