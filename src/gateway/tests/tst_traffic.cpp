#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

RouteRule route(const char *prefix, const char *target, RerunPolicy repeat, bool stream)
{
    RouteRule made;
    made.name_ = {prefix};
    made.host_ = "desk";
    made.pathPrefix_ = prefix;
    made.rerunPolicy_ = repeat;
    made.isStream_ = stream;
    made.timeout_ = milliseconds(3000);
    made.latencyTarget_ = milliseconds(400);
    made.maxAttempts_ = 2;
    made.targets_ = {{{target}, 1}};
    return made;
}

DesiredState desired()
{
    DesiredState state;
    state.version_ = {1};
    state.routes_ = {route("/book/", "desk", RerunPolicy::Never, false),
                     route("/look/", "desk", RerunPolicy::FromStart, false),
                     route("/quote/", "model", RerunPolicy::Resume, true),
                     route("/open/", "desk", RerunPolicy::FromStart, false),
                     route("/gone/", "nobody", RerunPolicy::FromStart, false)};
    state.routes_[3].allowAnonymous_ = true;
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1'000'000};
    model.engine_->kvBytesPerToken_ = {4000};
    model.engine_->prefillTokensPerSecond_ = 100'000;
    model.engine_->decodeStepTime_ = milliseconds(1);
    model.engine_->accelerators_[{"k"}] = {{4'000'000}, 1, 1};
    state.targets_ = {{{"desk"}, "", 0, {}}, model, {{"nobody"}, "", 0, {}}};
    state.organisations_ = {{{"firm"}, {"key"}, {}}};
    return state;
}

ListedEndpoint endpoint(const char *id, const char *target, std::uint16_t port,
                        std::optional<LayerRange> layers = {})
{
    ListedEndpoint made;
    made.id_ = {id};
    made.target_ = {target};
    made.address_ = {"127.0.0.1", port};
    made.domain_ = {"a"};
    made.slots_ = 1;
    made.accelerator_ = {"k"};
    made.layers_ = layers;
    return made;
}

GatewayView viewAt(int confirmedMs)
{
    EndpointListState list;
    const LayerRange all {{0}, {4}};
    applyEndpointList(list,
                      {endpoint("d1", "desk", 1), endpoint("d2", "desk", 2),
                       endpoint("m1", "model", 3, all), endpoint("m2", "model", 4, all)},
                      at(0), at(0));
    GatewayView view;
    view.table_ = buildRouteTable(desired());
    view.endpoints_ = buildEndpointIndex(list);
    view.stateConfirmedAt_ = at(confirmedMs);
    view.freshness_.maxKeyAge_ = seconds(5);
    view.domain_ = {"a"};
    view.retry_.slack_ = 100;
    return view;
}

GatewayRequest request(std::uint64_t exchange, const std::string &path, const char *key = "key")
{
    GatewayRequest made;
    made.exchange_ = {exchange};
    made.id_ = {"r" + std::to_string(exchange)};
    made.host_ = "desk";
    made.path_ = path;
    if (*key != '\0')
        made.apiKey_ = key;
    made.timeout_ = seconds(2);
    made.promptTokens_ = {100};
    made.expectedOutput_ = {100};
    return made;
}

std::string textOf(const GatewayEffect &effect)
{
    if (const auto *request = std::get_if<DispatchRequest>(&effect))
        return "send " + request->endpoint_.value_
               + (request->resumeAfter_ ? " after " + std::to_string(request->resumeAfter_->value_)
                                        : "")
               + (request->newConnection_ ? " fresh" : "");
    if (std::holds_alternative<CancelDispatch>(effect))
        return "cancel";
    if (std::holds_alternative<DeliverResponse>(effect))
        return "deliver";
    if (std::holds_alternative<BeginStream>(effect))
        return "begin";
    if (std::holds_alternative<ForwardEvents>(effect))
        return "forward";
    if (std::holds_alternative<FinishStream>(effect))
        return "finish";
    if (std::holds_alternative<AbortResponse>(effect))
        return "abort";
    if (const auto *refusal = std::get_if<RefuseRequest>(&effect))
        return "refuse " + std::string(gatewayRefusalName(refusal->refusal_));
    if (const auto *probe = std::get_if<RequestProbe>(&effect))
        return "probe " + probe->endpoint_.value_;
    if (const auto *notice = std::get_if<EndpointNoticeSeen>(&effect))
        return "notice " + notice->endpoint_.value_;
    return "";
}

std::string takeText(GatewayTraffic &state)
{
    std::string text;
    for (const GatewayEffect &effect : state.effects_) {
        const std::string one = textOf(effect);
        if (!one.empty())
            text += (text.empty() ? "" : ", ") + one;
    }
    state.effects_.clear();
    return text;
}

//! What happens to the newest dispatch, or to exchange 1.
enum class Event {
    Nothing,
    Tick,
    Disconnected,
    Ok,
    //! A successful head that begins no event stream.
    OkWithoutEvents,
    //! A success that is not the endpoint's.
    Foreign,
    Events,
    Done,
    NotRun,
    Status500,
    NotSent,
    ConnectionLost,
    ProtocolError,
    //! The first model endpoint did not respond to a probe; a tick follows.
    Down,
    //! The process ends.
    Stop
};

struct Step
{
    int atMs_;
    Event event_;
    const char *effects_;
};

struct TrafficCase
{
    const char *name_;
    const char *path_;
    const char *key_;
    int confirmedMs_;
    const char *first_;
    std::vector<Step> steps_;
};

std::ostream &operator<<(std::ostream &out, const TrafficCase &test)
{
    return out << test.name_;
}

const TrafficCase TrafficCases[] = {
        {"a booking",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{20, Event::Ok, ""}, {21, Event::Done, "deliver"}}},
        {"a booking that may have run is not retried",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{20, Event::ConnectionLost, "probe d1, refuse failed"}}},
        {"a booking that was not run fails over after a delay",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{20, Event::NotRun, "probe d1"},
          {21, Event::Tick, ""},
          {200, Event::Tick, "send d2 fresh"},
          {220, Event::Ok, ""},
          {221, Event::Done, "deliver"}}},
        {"a booking that could not be sent fails over at once",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{2, Event::NotSent, "probe d1, send d2 fresh"}}},
        {"an endpoint's failure response to a booking is forwarded",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{20, Event::Status500, "deliver"}}},
        {"a booking that reaches the caller's timeout",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{1999, Event::Tick, ""}, {2000, Event::Tick, "cancel, refuse timed-out"}}},
        {"a lookup is retried after a lost connection, up to its maximum attempts",
         "/look/x",
         "key",
         0,
         "send d1",
         {{20, Event::ConnectionLost, "probe d1, send d2"},
          {40, Event::ConnectionLost, "probe d2, refuse failed"}}},
        {"a lookup is retried after a failure response; the second one is forwarded",
         "/look/x",
         "key",
         0,
         "send d1",
         {{20, Event::Status500, "send d2"}, {40, Event::Status500, "deliver"}}},
        {"a malformed response",
         "/look/x",
         "key",
         0,
         "send d1",
         {{20, Event::ProtocolError, "probe d1, send d2"}}},
        {"a caller that disconnects",
         "/look/x",
         "key",
         0,
         "send d1",
         {{20, Event::Disconnected, "cancel"}}},
        {"a stream",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {80, Event::Events, "forward"},
          {99, Event::Done, "finish"}}},
        {"a stream whose connection is lost fails over",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {70, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {90, Event::Ok, ""},
          {91, Event::Events, "forward"},
          {99, Event::Done, "finish"}}},
        {"a stalled stream fails over",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {451, Event::Tick, ""},
          {452, Event::Tick, "probe m1"},
          {1551, Event::Tick, ""},
          {1552, Event::Tick, "cancel, send m2 after 51"}}},
        {"a stalled stream whose endpoint is down fails over at once",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {452, Event::Tick, "probe m1"},
          {480, Event::Down, "cancel, send m2 after 51"}}},
        {"a booking without a response does not fail over",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{1900, Event::Tick, ""}}},
        {"a stream without a first event fails over from the start",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{401, Event::Tick, "probe m1"},
          {1500, Event::Tick, ""},
          {1501, Event::Tick, "cancel, send m2"}}},
        {"a stream whose connection is lost twice is aborted",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {70, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {90, Event::ConnectionLost, "probe m2, abort"}}},
        {"a queued request when the process ends was not run",
         "/gone/x",
         "key",
         0,
         "",
         {{500, Event::Stop, "refuse stopping"}}},
        {"a booking that waits for its retry when the process ends was not run",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{20, Event::NotRun, "probe d1"}, {21, Event::Stop, "refuse stopping"}}},
        {"a booking at an endpoint when the process ends may have run",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{500, Event::Stop, "cancel, refuse failed"}}},
        {"a stream without an event when the process ends",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""}, {60, Event::Stop, "cancel, refuse failed"}}},
        {"a stream when the process ends",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {60, Event::Stop, "cancel, abort"}}},
        {"a booking with another program's success may have run",
         "/book/x",
         "key",
         0,
         "send d1 fresh",
         {{20, Event::Foreign, "cancel, probe d1, refuse failed"}}},
        {"a lookup with another program's success is repeated elsewhere",
         "/look/x",
         "key",
         0,
         "send d1",
         {{20, Event::Foreign, "cancel, probe d1, send d2"},
          {40, Event::Ok, ""},
          {41, Event::Done, "deliver"}}},
        {"a stream with another program's success after a part of it",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {60, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {70, Event::Foreign, "cancel, probe m2, abort"}}},
        {"no such route", "/none/x", "key", 0, "refuse unknown-route", {}},
        {"no such route in a state that is too old", "/none/x", "key", -1801, "refuse unready", {}},
        {"no key", "/book/x", "", 0, "refuse unauthorised", {}},
        {"an unknown key", "/book/x", "other", 0, "refuse unauthorised", {}},
        {"an unknown key in a state that is too old",
         "/book/x",
         "other",
         -1801,
         "refuse unready",
         {}},
        {"a key that may have been revoked", "/book/x", "key", -4501, "refuse unready", {}},
        {"no key is needed", "/open/x", "", -60000, "send d1", {}},
        {"a broken stream whose next endpoint responds with an error",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {70, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {90, Event::Status500, "abort"}}},
        {"a broken stream whose next endpoint rejects it",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {70, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {90, Event::NotRun, "probe m2"},
          {2000, Event::Tick, "send m1 after 51, probe m1, cancel, abort"}}},
        {"a broken stream whose next endpoint responds with something else than events",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {70, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {90, Event::OkWithoutEvents, ""},
          {91, Event::Done, "probe m2, abort"}}},
        {"a broken stream whose next endpoint has no more events",
         "/quote/x",
         "key",
         0,
         "send m1",
         {{50, Event::Ok, ""},
          {51, Event::Events, "begin, forward"},
          {70, Event::ConnectionLost, "probe m1, send m2 after 51"},
          {90, Event::Ok, ""},
          {91, Event::Done, "finish"}}},
        {"no endpoint", "/gone/x", "key", 0, "", {{1281, Event::Tick, "refuse overloaded"}}},
};

//! Ticks as a process that isn't held up would have between the last tick and now.
void tickUntil(GatewayTraffic &state, const GatewayView &view, TimePoint now)
{
    for (TimePoint tick = std::max(state.lastTickAt_, at(0)) + GatewayTickInterval; tick < now;
         tick += GatewayTickInterval)
        onGatewayTick(state, view, tick);
}

void apply(GatewayTraffic &state, GatewayView &view, Event event, int ms)
{
    const TimePoint now = at(ms);
    tickUntil(state, view, now);
    const DispatchId dispatch {state.nextDispatch_ - 1};
    EndpointResponseHead head;
    head.success_ = true;
    head.status_ = 200;
    switch (event) {
    case Event::Nothing:
        return;
    case Event::Tick:
        return onGatewayTick(state, view, now);
    case Event::Disconnected:
        return onGatewayCallerDisconnected(state, view, {1}, now);
    case Event::Ok:
        head.eventStream_ = true;
        return onDispatchHead(state, view, dispatch, head, now);
    case Event::OkWithoutEvents:
        return onDispatchHead(state, view, dispatch, head, now);
    case Event::Foreign:
        head.success_ = false;
        head.foreign_ = true;
        return onDispatchHead(state, view, dispatch, head, now);
    case Event::Events:
        return onDispatchEvents(state, view, dispatch, EventId {static_cast<std::uint64_t>(ms)},
                                now);
    case Event::Done:
        return onDispatchDone(state, view, dispatch, now);
    case Event::NotRun:
        head = {false, true, {}, false, {}, 503, {}};
        onDispatchHead(state, view, dispatch, head, now);
        return onDispatchDone(state, view, dispatch, now);
    case Event::Status500:
        head = {false, false, {}, false, {}, 500, {}};
        onDispatchHead(state, view, dispatch, head, now);
        return onDispatchDone(state, view, dispatch, now);
    case Event::NotSent:
        return onDispatchFailed(state, view, dispatch, DispatchFailure::NotSent, "refused", now);
    case Event::ConnectionLost:
        return onDispatchFailed(state, view, dispatch, DispatchFailure::ConnectionLost, "reset",
                                now);
    case Event::Down:
        view.downEndpoints_.insert({"m1"});
        return onGatewayTick(state, view, now);
    case Event::Stop:
        return onGatewayStop(state, now);
    case Event::ProtocolError:
        return onDispatchFailed(state, view, dispatch, DispatchFailure::ProtocolError, "no answer",
                                now);
    }
}

} // namespace

BOOST_DATA_TEST_CASE(eachRequestHasOneOutcome, TrafficCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(test.confirmedMs_);
    onGatewayRequest(state, view, request(1, test.path_, test.key_), at(0));
    BOOST_TEST(takeText(state) == test.first_);
    for (const Step &step : test.steps_) {
        apply(state, view, step.event_, step.atMs_);
        BOOST_TEST(takeText(state) == step.effects_, "at " << step.atMs_ << " ms");
    }
}

// Guards against leaks in the endpoint loads: whatever a request's outcome, its load is released.
BOOST_DATA_TEST_CASE(loadsAreReleased, TrafficCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(test.confirmedMs_);
    onGatewayRequest(state, view, request(1, test.path_, test.key_), at(0));
    for (const Step &step : test.steps_)
        apply(state, view, step.event_, step.atMs_);
    onGatewayTick(state, view, at(60000));
    BOOST_TEST(isGatewayIdle(state));
    BOOST_TEST(state.exchangesByDispatch_.empty());
    for (const auto &[id, usage] : state.endpointUsage_) {
        BOOST_TEST(usage.load_.calls_ == 0U);
        BOOST_TEST(usage.load_.streams_ == 0U);
        BOOST_TEST(usage.load_.kvUsed_ == 0);
        BOOST_TEST(usage.load_.pendingPrefill_.count() == 0);
    }
}

//! Two requests, with the same id or different ones.
struct RepeatedIdCase
{
    const char *name_;
    const char *firstId_;
    const char *secondId_;
    bool firstEnds_;
    std::uint64_t repeated_;
};

std::ostream &operator<<(std::ostream &out, const RepeatedIdCase &test)
{
    return out << test.name_;
}

const RepeatedIdCase RepeatedIdCases[] = {
        {"two ids", "r1", "r2", false, 0},
        {"the same id, both in progress", "r1", "r1", false, 1},
        {"the same id, the first has ended", "r1", "r1", true, 0},
        {"no ids", "", "", false, 0},
};

// An id that two requests in progress share is counted and logged with the connection and ordinal
// of both, and both requests are served.
BOOST_DATA_TEST_CASE(repeatedIdIsReported, RepeatedIdCases, test)
{
    GatewayTraffic state;
    const GatewayView view = viewAt(0);
    GatewayRequest first = request(1, "/look/");
    first.id_ = {test.firstId_};
    first.connection_ = {7};
    first.ordinal_ = {3};
    GatewayRequest second = request(2, "/look/");
    second.id_ = {test.secondId_};
    second.connection_ = {8};
    second.ordinal_ = {1};
    onGatewayRequest(state, view, first, at(0));
    if (test.firstEnds_)
        onGatewayCallerDisconnected(state, view, {1}, at(1));
    onGatewayRequest(state, view, second, at(2));
    std::size_t warnings = 0;
    std::size_t routed = 0;
    for (const GatewayEffect &effect : state.effects_) {
        const auto *event = std::get_if<LogEvent>(&effect);
        if (event == nullptr)
            continue;
        const std::string &text = event->text_;
        if (text.find("event=routed") != std::string::npos)
            routed += text.find(" connection=") != std::string::npos
                      && text.find(" ordinal=") != std::string::npos;
        if (text.find("event=repeated-id") == std::string::npos)
            continue;
        ++warnings;
        BOOST_TEST(text.find("connection=8 ordinal=1 other_connection=7 other_ordinal=3")
                   != std::string::npos);
    }
    BOOST_TEST(routed == 2U);
    BOOST_TEST(warnings == test.repeated_);
    BOOST_TEST(state.counters_.repeatedIds_ == test.repeated_);
    onGatewayTick(state, view, at(60000));
    BOOST_TEST(state.byRequestId_.empty());
}

// Each of the two endpoints runs one request and queues two; the seventh request waits in the
// gateway until one of them is done.
BOOST_AUTO_TEST_CASE(requestsWaitForCapacity)
{
    GatewayTraffic state;
    const GatewayView view = viewAt(0);
    for (std::uint64_t i = 1; i <= 6; ++i)
        onGatewayRequest(state, view, request(i, "/look/x"), at(0));
    takeText(state);
    onGatewayRequest(state, view, request(7, "/look/x"), at(0));
    BOOST_TEST(takeText(state) == "");
    EndpointResponseHead head;
    head.success_ = true;
    onDispatchHead(state, view, {1}, head, at(30));
    onDispatchDone(state, view, {1}, at(30));
    BOOST_TEST(takeText(state) == "deliver, send d1");
}

// A request that can no longer meet its latency target lets one go first that still can.
BOOST_AUTO_TEST_CASE(overdueRequestsYield)
{
    GatewayTraffic state;
    const GatewayView view = viewAt(0);
    for (std::uint64_t i = 1; i <= 7; ++i)
        onGatewayRequest(state, view, request(i, "/look/x"), at(0));
    onGatewayTick(state, view, at(301));
    onGatewayRequest(state, view, request(8, "/look/x"), at(310));
    takeText(state);
    EndpointResponseHead head;
    head.success_ = true;
    onDispatchHead(state, view, {1}, head, at(320));
    onDispatchDone(state, view, {1}, at(320));
    takeText(state);
    BOOST_TEST(state.requests_.at({7}).queued_);
    BOOST_TEST(!state.requests_.at({8}).queued_);
}

//! What the log says about the connection of a dispatch that has ended.
struct ConnectionCase
{
    const char *name_;
    DispatchConnection connection_;
    Event ending_;
    const char *line_;
};

std::ostream &operator<<(std::ostream &out, const ConnectionCase &test)
{
    return out << test.name_;
}

const ConnectionCase ConnectionCases[] = {
        {"answered on a new connection",
         {false, 0},
         Event::Done,
         "endpoint_connection=fresh strays=0"},
        {"answered after an unmatched response",
         {true, 1},
         Event::Done,
         "endpoint_connection=kept strays=1"},
        {"failed after an unmatched response",
         {true, 1},
         Event::ProtocolError,
         "endpoint_connection=kept strays=1"},
};

BOOST_DATA_TEST_CASE(logNamesTheConnection, ConnectionCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(0);
    onGatewayRequest(state, view, request(1, "/look/x"), at(0));
    onDispatchConnection(state, {1}, test.connection_);
    if (test.ending_ == Event::Done)
        apply(state, view, Event::Ok, 10);
    state.effects_.clear();
    apply(state, view, test.ending_, 20);
    std::string lines;
    for (const GatewayEffect &effect : state.effects_) {
        if (const auto *event = std::get_if<LogEvent>(&effect))
            lines += event->text_ + "\n";
    }
    BOOST_TEST(lines.find(test.line_) != std::string::npos, lines);
}

namespace {

//! A stream whose gateway is frozen, or whose endpoint is silent, after its first event at 100 ms.
struct SilenceCase
{
    const char *name_;
    int frozenMs_;
    //! Silence of the endpoint after the gateway runs again, with ticks all the while.
    int silentMs_;
    Duration latencyTarget_;
    Duration eventGapTarget_;
    bool failsOver_;
};

std::ostream &operator<<(std::ostream &out, const SilenceCase &test)
{
    return out << test.name_;
}

const SilenceCase SilenceCases[] = {
        {"frozen for 1 s", 1000, 100, milliseconds(400), milliseconds(250), false},
        {"frozen for 2 s", 2000, 100, milliseconds(400), milliseconds(250), false},
        {"frozen for 5 s", 5000, 100, milliseconds(400), milliseconds(250), false},
        {"frozen for 5 s and the endpoint is silent", 5000, 1600, milliseconds(400),
         milliseconds(250), true},
        {"a slow stream within its caller's patience", 0, 1400, milliseconds(400),
         milliseconds(250), false},
        {"a silent stream", 0, 1600, milliseconds(400), milliseconds(250), true},
        {"a slow stream of a caller that waits 4.8 s for the next event", 0, 3500,
         milliseconds(1200), milliseconds(300), false},
        {"a silent stream of such a caller", 0, 3700, milliseconds(1200), milliseconds(300), true},
        {"a slow stream with long pauses", 0, 5900, milliseconds(400), milliseconds(1000), false},
};

} // namespace

// A gateway that was itself held up takes no endpoint for silent, and a stream that is slow but
// sound is not cut.
BOOST_DATA_TEST_CASE(soundStreamsAreNotCut, SilenceCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(0);
    DesiredState rules = desired();
    rules.routes_[2].latencyTarget_ = test.latencyTarget_;
    rules.routes_[2].eventGapTarget_ = test.eventGapTarget_;
    rules.routes_[2].timeout_ = seconds(20);
    view.table_ = buildRouteTable(rules);
    GatewayRequest stream = request(1, "/quote/x");
    stream.timeout_ = seconds(20);
    onGatewayRequest(state, view, stream, at(0));
    apply(state, view, Event::Ok, 50);
    apply(state, view, Event::Events, 100);
    takeText(state);
    const int thawedMs = 100 + test.frozenMs_;
    if (test.frozenMs_ > 0)
        onGatewayTick(state, view, at(thawedMs));
    tickUntil(state, view, at(thawedMs + test.silentMs_));
    BOOST_TEST((takeText(state).find("cancel") != std::string::npos) == test.failsOver_);
}

namespace {

//! Streams that begin at the two model endpoints for other gateways, of four slots each, and where
//! a burst of five streams that all arrive here at once begins.
struct SlotCase
{
    const char *name_;
    std::uint32_t begunAtFirst_;
    std::uint32_t begunAtSecond_;
    const char *sends_;
};

std::ostream &operator<<(std::ostream &out, const SlotCase &test)
{
    return out << test.name_;
}

const SlotCase SlotCases[] = {
        {"all slots free", 0, 0, "send m1, send m2, send m1, send m2, send m1"},
        {"the first endpoint is full", 4, 0, "send m2, send m2, send m2, send m2"},
        {"the second endpoint is nearly full", 0, 3, "send m1, send m1, send m1, send m2, send m1"},
        {"both are full", 4, 4, ""},
        {"both are over-full", 9, 9, ""},
};

} // namespace

// What finds no free slot waits here, where ranks and deadlines decide, and not at the endpoint.
BOOST_DATA_TEST_CASE(streamsTakeFreeSlots, SlotCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(0);
    DesiredState rules = desired();
    rules.targets_[1].engine_->slots_ = 4;
    rules.targets_[1].engine_->prefillTokensPerSecond_ = 1e9;
    rules.targets_[1].engine_->accelerators_[{"k"}].memory_ = {40'000'000};
    view.table_ = buildRouteTable(rules);
    EndpointLoads peers;
    peers[{"m1"}] = {{"m1"}, 0, {}, 0, test.begunAtFirst_, 0};
    peers[{"m2"}] = {{"m2"}, 0, {}, 0, test.begunAtSecond_, 0};
    view.peerLoads_ = std::make_shared<const EndpointLoads>(peers);
    for (std::uint64_t i = 1; i <= 5; ++i)
        onGatewayRequest(state, view, request(i, "/quote/x"), at(0));
    BOOST_TEST(takeText(state) == test.sends_);
    // The rest follows as soon as slots are free.
    const std::size_t sent = state.exchangesByDispatch_.size();
    view.peerLoads_ = std::make_shared<const EndpointLoads>();
    onGatewayTick(state, view, at(25));
    BOOST_TEST(state.exchangesByDispatch_.size() == 5U);
    BOOST_TEST(sent <= 5U);
}

//! A request during a planned stop that dispatches nothing new from 2.8 s on.
struct StoppingCase
{
    const char *name_;
    const char *path_;
    int arrivesMs_;
    //! The service has room from then on.
    int roomFromMs_;
    const char *effects_;
};

std::ostream &operator<<(std::ostream &out, const StoppingCase &test)
{
    return out << test.name_;
}

const StoppingCase StoppingCases[] = {
        {"before the last dispatch", "/book/x", 2700, 0, "send d1 fresh"},
        {"after it", "/book/x", 2801, 0, "refuse stopping"},
        {"after it, may be repeated", "/look/x", 2801, 0, "refuse stopping"},
        {"a stream after it", "/quote/x", 5000, 0, "refuse stopping"},
        {"queued until after it", "/book/x", 2700, 2900, "refuse stopping"},
};

BOOST_DATA_TEST_CASE(lateRequestsOfAPlannedStopAreRefusedAsNotRun, StoppingCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(0);
    GatewayView full = view;
    full.downEndpoints_ = {{"d1"}, {"d2"}};
    stopDispatching(state, at(2800));
    const auto viewAtMs = [&](int ms) { return ms < test.roomFromMs_ ? full : view; };
    onGatewayRequest(state, viewAtMs(test.arrivesMs_), request(1, test.path_), at(test.arrivesMs_));
    std::string effects = takeText(state);
    for (int ms = test.arrivesMs_ + 25; effects.empty() && ms < 4000; ms += 25) {
        onGatewayTick(state, viewAtMs(ms), at(ms));
        effects = takeText(state);
    }
    BOOST_TEST(effects == test.effects_);
}

namespace {

//! Desired states with and without organisations, and what a caller gets.
struct KeyCase
{
    const char *name_;
    bool keysRequired_;
    bool hasOrganisation_;
    const char *path_;
    const char *key_;
    const char *effects_;
};

std::ostream &operator<<(std::ostream &out, const KeyCase &test)
{
    return out << test.name_;
}

const KeyCase KeyCases[] = {
        {"no keys in use", false, false, "/book/x", "any", "send d1 fresh"},
        {"the last organisation was taken away", true, false, "/book/x", "key",
         "refuse unauthorised"},
        {"the last organisation was taken away, no key", true, false, "/book/x", "",
         "refuse unauthorised"},
        {"the last organisation was taken away, a route without keys", true, false, "/open/x", "",
         "send d1"},
        {"an organisation's key", true, true, "/book/x", "key", "send d1 fresh"},
        {"another key", true, true, "/book/x", "other", "refuse unauthorised"},
};

} // namespace

BOOST_DATA_TEST_CASE(onlyKeysOfOrganisationsAreLetIn, KeyCases, test)
{
    DesiredState state = desired();
    state.keysRequired_ = test.keysRequired_;
    if (!test.hasOrganisation_)
        state.organisations_.clear();
    GatewayView view = viewAt(0);
    view.table_ = buildRouteTable(state);
    GatewayTraffic traffic;
    onGatewayRequest(traffic, view, request(1, test.path_, test.key_), at(0));
    BOOST_TEST(takeText(traffic) == test.effects_);
}

namespace {

//! What becomes known of the desired state while a request awaits it.
enum class StateNews {
    None,
    //! The state is confirmed.
    Confirmed,
    //! A newer state, of which the request's key is no longer a part.
    KeyRevoked,
    //! A newer state, in which the request's route is new.
    RouteAdded,
    //! A newer state without the request's route.
    RouteRemoved,
    //! The platform doesn't tell the state any more.
    Unavailable,
    CallerLeft,
    ProcessEnds,
};

struct StaleStateCase
{
    const char *name_;
    const char *path_;
    //! When the desired state was confirmed.
    int confirmedMs_;
    bool available_;
    const char *first_;
    int newsMs_;
    StateNews news_;
    const char *effects_;
    //! The request is still in progress afterwards.
    bool inProgress_;
};

std::ostream &operator<<(std::ostream &out, const StaleStateCase &test)
{
    return out << test.name_;
}

const StaleStateCase StaleStateCases[] = {
        {"confirmed", "/book/x", -4501, true, "", 20, StateNews::Confirmed, "send d1 fresh", true},
        {"the key is revoked", "/book/x", -4501, true, "", 20, StateNews::KeyRevoked,
         "refuse unauthorised", false},
        {"the route is new", "/new/x", -1801, true, "", 20, StateNews::RouteAdded, "send d1", true},
        {"the route isn't known", "/new/x", -1801, true, "", 20, StateNews::Confirmed,
         "refuse unknown-route", false},
        {"no news yet", "/book/x", -4501, true, "", 500, StateNews::None, "", true},
        {"no news in time", "/book/x", -4501, true, "", 501, StateNews::None, "refuse unready",
         false},
        {"the platform falls silent", "/book/x", -4501, true, "", 20, StateNews::Unavailable,
         "refuse unready", false},
        {"the platform is silent", "/book/x", -4501, false, "refuse unready", 20, StateNews::None,
         "", false},
        {"the caller leaves", "/book/x", -4501, true, "", 20, StateNews::CallerLeft, "", false},
        {"the process ends", "/book/x", -4501, true, "", 20, StateNews::ProcessEnds,
         "refuse stopping", false},
        {"a fresh state", "/book/x", -1800, true, "send d1 fresh", 20, StateNews::None, "", true},
        {"the route may be an old one", "/book/x", -1801, true, "", 20, StateNews::Confirmed,
         "send d1 fresh", true},
        {"the route may be an old one, without a key", "/open/x", -1801, true, "", 20,
         StateNews::Confirmed, "send d1", true},
        {"the route was taken away", "/open/x", -1801, true, "", 20, StateNews::RouteRemoved,
         "refuse unknown-route", false},
        {"the route may be an old one, no news in time", "/open/x", -1801, true, "", 501,
         StateNews::None, "refuse unready", false},
        {"the route may be an old one, the platform falls silent", "/book/x", -1801, true, "", 20,
         StateNews::Unavailable, "send d1 fresh", true},
        {"the route may be an old one, the platform is silent", "/book/x", -4500, false,
         "send d1 fresh", 20, StateNews::None, "", true},
};

void applyNews(GatewayTraffic &state, GatewayView &view, StateNews news, int ms)
{
    DesiredState newer = desired();
    newer.version_ = {2};
    if (news == StateNews::KeyRevoked)
        newer.organisations_ = {{{"firm"}, {"other"}, {}}};
    if (news == StateNews::RouteAdded)
        newer.routes_.push_back(route("/new/", "desk", RerunPolicy::FromStart, false));
    if (news == StateNews::RouteRemoved)
        std::erase_if(newer.routes_, [](const auto &known) { return known.allowAnonymous_; });
    const bool isNewer = news == StateNews::KeyRevoked || news == StateNews::RouteAdded
                         || news == StateNews::RouteRemoved;
    if (isNewer)
        view.table_ = buildRouteTable(newer);
    if (isNewer || news == StateNews::Confirmed)
        view.stateConfirmedAt_ = at(ms);
    view.stateAvailable_ = view.stateAvailable_ && news != StateNews::Unavailable;
    if (news == StateNews::CallerLeft)
        onGatewayCallerDisconnected(state, view, {1}, at(ms));
    if (news == StateNews::ProcessEnds)
        onGatewayStop(state, at(ms));
    onGatewayTick(state, view, at(ms));
}

} // namespace

// A process that was held up, or that reads slowly, has a stale state for the moment that its
// question to the platform takes. Its requests must be neither refused nor served by the old state
// meanwhile: requests were sent by routes that a state confirmed long before had taken away.
BOOST_DATA_TEST_CASE(requestsAwaitAStateThatCanBeHad, StaleStateCases, test)
{
    GatewayTraffic state;
    GatewayView view = viewAt(test.confirmedMs_);
    view.stateAvailable_ = test.available_;
    onGatewayRequest(state, view, request(1, test.path_), at(0));
    BOOST_TEST(takeText(state) == test.first_);
    for (int ms = 25; ms < test.newsMs_; ms += 25)
        onGatewayTick(state, view, at(ms));
    applyNews(state, view, test.news_, test.newsMs_);
    BOOST_TEST(takeText(state) == test.effects_);
    BOOST_TEST(isGatewayIdle(state) != test.inProgress_);
}
