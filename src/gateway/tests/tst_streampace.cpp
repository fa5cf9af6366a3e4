// When the gaps of a stream lead to a request for its endpoints' speeds, and which slowdowns move
// paths.

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

GatewayView viewOf(const std::vector<std::string> &names)
{
    DesiredState state;
    state.version_ = {1};
    RouteRule route;
    route.name_ = {"quote"};
    route.host_ = "desk";
    route.pathPrefix_ = "/";
    route.rerunPolicy_ = RerunPolicy::Resume;
    route.isStream_ = true;
    route.timeout_ = seconds(60);
    route.latencyTarget_ = seconds(5);
    route.eventGapTarget_ = milliseconds(300);
    route.maxAttempts_ = 2;
    route.targets_ = {{{"model"}, 1}};
    state.routes_ = {route};
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1000};
    model.engine_->kvBytesPerToken_ = {4};
    model.engine_->prefillTokensPerSecond_ = 1e6;
    model.engine_->decodeStepTime_ = milliseconds(10);
    model.engine_->accelerators_[{"k"}] = {{4'000'000}, 1, 1};
    state.targets_ = {model};
    std::vector<ListedEndpoint> listed;
    for (const std::string &name : names) {
        ListedEndpoint endpoint;
        endpoint.id_ = {name};
        endpoint.target_ = {"model"};
        endpoint.address_ = {"127.0.0.1", static_cast<std::uint16_t>(listed.size() + 1)};
        endpoint.domain_ = {"a"};
        endpoint.accelerator_ = {"k"};
        endpoint.incarnation_ = 5;
        endpoint.layers_ = LayerRange {{0}, {4}};
        listed.push_back(endpoint);
    }
    EndpointListState list;
    applyEndpointList(list, listed, at(0), at(0));
    GatewayView view;
    view.table_ = buildRouteTable(state);
    view.endpoints_ = buildEndpointIndex(list);
    view.stateConfirmedAt_ = at(0);
    view.freshness_.maxStateAge_ = seconds(1000);
    view.freshness_.maxListAge_ = seconds(1000);
    view.domain_ = {"a"};
    return view;
}

void know(GatewayView &view, const char *name, const EndpointSpeed &speed)
{
    auto speeds = std::make_shared<EndpointSpeeds>(*view.speeds_);
    (*speeds)[{name}] = speed;
    view.speeds_ = speeds;
}

DispatchId begin(GatewayTraffic &state, const GatewayView &view, std::uint64_t exchange, int ms)
{
    GatewayRequest request;
    request.exchange_ = {exchange};
    request.id_ = {std::to_string(exchange)};
    request.host_ = "desk";
    request.path_ = "/x";
    request.timeout_ = seconds(60);
    request.promptTokens_ = {100};
    request.expectedOutput_ = {100};
    onGatewayRequest(state, view, request, at(ms));
    const DispatchId dispatch = state.requests_.at({exchange}).dispatch_.value().id_;
    EndpointResponseHead head;
    head.success_ = head.eventStream_ = true;
    onDispatchHead(state, view, dispatch, head, at(ms));
    return dispatch;
}

std::size_t takeSpeedRequests(GatewayTraffic &state)
{
    std::size_t requests = 0;
    for (const GatewayEffect &effect : state.effects_) {
        const auto *probe = std::get_if<RequestProbe>(&effect);
        requests += probe != nullptr && probe->forSpeed_;
    }
    state.effects_.clear();
    return requests;
}

enum class Trouble : std::uint8_t {
    None,
    //! The process is held up until the slow events arrive.
    HeldUp,
    //! Its loop is late by most of each gap.
    LateLoop,
    //! It is overloaded.
    Overloaded,
    //! The endpoint has just reported its usual speed.
    ReportedUsual,
    //! It has reported it too long ago.
    ReportedLongAgo,
    //! Its former process has reported it.
    OtherIncarnation,
};

struct PaceCase
{
    const char *name_;
    int gapMs_;
    int events_;
    Trouble trouble_;
    std::size_t requests_;
};

std::ostream &operator<<(std::ostream &out, const PaceCase &test)
{
    return out << test.name_;
}

//! After 100 events with gaps of 30 ms.
const PaceCase PaceCases[] = {
        {"usual gaps", 30, 40, Trouble::None, 0},
        {"a gap above the target", 301, 1, Trouble::None, 1},
        {"a gap just within it", 299, 1, Trouble::None, 0},
        {"twice the usual gap and more, over several events", 70, 4, Trouble::None, 1},
        {"fewer events", 70, 3, Trouble::None, 0},
        {"at most one request a second", 150, 19, Trouble::None, 2},
        {"gaps above the target while the process was held up", 400, 1, Trouble::HeldUp, 0},
        {"long gaps of a late loop", 150, 8, Trouble::LateLoop, 0},
        {"long gaps of an overloaded process", 350, 8, Trouble::Overloaded, 0},
        {"the endpoint reported its usual speed", 150, 8, Trouble::ReportedUsual, 0},
        {"it reported it long ago", 150, 8, Trouble::ReportedLongAgo, 1},
        {"its former process reported it", 150, 8, Trouble::OtherIncarnation, 1},
};

void apply(GatewayTraffic &state, GatewayView &view, Trouble trouble, const PaceCase &test, int ms)
{
    const int thenMs = ms + test.gapMs_;
    if (trouble == Trouble::HeldUp) {
        onGatewayTick(state, view, at(ms));
        onGatewayTick(state, view, at(thenMs));
    }
    if (trouble == Trouble::LateLoop)
        noteTick(state.loopDelay_, milliseconds(test.gapMs_ * 2));
    if (trouble == Trouble::Overloaded)
        state.loopWindow_.size_ = 100;
    if (trouble == Trouble::ReportedUsual)
        know(view, "m", {5, 1, 1, at(ms), SpeedSource::Report});
    if (trouble == Trouble::ReportedLongAgo)
        know(view, "m", {5, 1, 1, at(ms - 2600), SpeedSource::Digest});
    if (trouble == Trouble::OtherIncarnation)
        know(view, "m", {4, 1, 1, at(ms), SpeedSource::Digest});
}

} // namespace

BOOST_AUTO_TEST_SUITE(streamPace)

// Guards against endpoints that are asked because this process itself is late, or asked without
// end, and against slow streams whose endpoints nobody asks.
BOOST_DATA_TEST_CASE(slowStreamsLeadToReports, boost::unit_test::data::make(PaceCases), test)
{
    GatewayTraffic state;
    GatewayView view = viewOf({"m"});
    const DispatchId dispatch = begin(state, view, 1, 0);
    std::uint64_t event = 1;
    int ms = 50;
    for (; event <= 101; ++event)
        onDispatchEvents(state, view, dispatch, EventId {event}, at(ms += 30));
    BOOST_TEST(takeSpeedRequests(state) == 0U);
    apply(state, view, test.trouble_, test, ms);
    takeSpeedRequests(state);
    for (int i = 0; i < test.events_; ++i)
        onDispatchEvents(state, view, dispatch, EventId {event++}, at(ms += test.gapMs_));
    BOOST_TEST(takeSpeedRequests(state) == test.requests_);
}

// Guards against events that arrive together, of which the gaps look short, and against the ids of
// another count that make them look long.
BOOST_AUTO_TEST_CASE(eventsThatArriveTogetherCountEach)
{
    GatewayTraffic state;
    const GatewayView view = viewOf({"m"});
    const DispatchId dispatch = begin(state, view, 1, 0);
    int ms = 50;
    for (std::uint64_t event = 1; event <= 200; ++event)
        onDispatchEvents(state, view, dispatch, EventId {event}, at(ms += 30));
    for (std::uint64_t event = 204; event <= 400; event += 4)
        onDispatchEvents(state, view, dispatch, EventId {event}, at(ms += 120));
    BOOST_TEST(takeSpeedRequests(state) == 0U);
}

namespace {

struct ChoiceCase
{
    const char *name_;
    EndpointSpeed speed_;
    //! Estimate by this gateway's own gaps; 0 for none.
    double estimate_;
    const char *endpoint_;
};

std::ostream &operator<<(std::ostream &out, const ChoiceCase &test)
{
    return out << test.name_;
}

//! What is known of a, at 6 s; nothing is known of b, which comes second.
const ChoiceCase ChoiceCases[] = {
        {"usual", {5, 1, 1, at(5000), SpeedSource::Report}, 0, "a"},
        {"slow by its report", {5, 4, 1, at(5000), SpeedSource::Report}, 0, "b"},
        {"slow by a digest", {5, 4, 1, at(5000), SpeedSource::Digest}, 0, "b"},
        {"slow too long ago", {5, 4, 1, at(900), SpeedSource::Report}, 0, "a"},
        {"slow as another incarnation", {4, 4, 1, at(5000), SpeedSource::Report}, 0, "a"},
        {"slow by gaps", {5, 1, 1, at(0), SpeedSource::Report}, 3, "b"},
        {"a little slow by gaps", {5, 1, 1, at(0), SpeedSource::Report}, 1.4, "a"},
        {"slow by gaps, but usual by its report", {5, 1, 1, at(5000), SpeedSource::Report}, 3, "a"},
};

} // namespace

// Guards against paths that follow noise, old news or news of a former process, and against
// estimates that outweigh a report.
BOOST_DATA_TEST_CASE(slowdownsMovePaths, boost::unit_test::data::make(ChoiceCases), test)
{
    GatewayTraffic state;
    GatewayView view = viewOf({"a", "b"});
    know(view, "a", test.speed_);
    if (test.estimate_ > 0)
        state.estimatedSpeeds_[{"a"}]
                = {5, test.estimate_, test.estimate_, at(6000), SpeedSource::Gaps};
    begin(state, view, 1, 6000);
    BOOST_TEST(state.requests_.at({1}).dispatch_.value().endpoint_.value_ == test.endpoint_);
}

BOOST_AUTO_TEST_SUITE_END()
