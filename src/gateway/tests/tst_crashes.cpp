// Fleets of gateways whose callers send requests that crash endpoints, over a network that delays
// and loses digests.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

#include "core/random.h"
#include "filters/gatewayfilters.h"
#include "gateway/control.h"
#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

//! What the requests have in common that crash endpoints.
enum class Cause : std::uint8_t {
    //! The whole content: the same request again and again.
    Content,
    //! A part of the prompt.
    Part,
    //! Either of two parts.
    TwoParts,
};

enum class Trouble : std::uint8_t { None, RestartOne, CutDomain };

struct FleetCase
{
    const char *name_;
    std::size_t gateways_;
    std::size_t domains_;
    int digestDelayMs_;
    double loss_;
    Cause cause_;
    double deadlyPerSecond_;
    Trouble trouble_;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &test)
{
    return out << test.name_;
}

const FleetCase FleetCases[] = {
        {"one gateway, a part", 1, 1, 1, 0, Cause::Part, 3, Trouble::None},
        {"five gateways, a part", 5, 3, 2, 0, Cause::Part, 3, Trouble::None},
        {"five gateways, late and lost digests", 5, 3, 200, 0.3, Cause::Part, 3, Trouble::None},
        {"five gateways, a part in many requests", 5, 3, 2, 0, Cause::Part, 15, Trouble::None},
        {"five gateways, a part in few requests", 5, 3, 2, 0, Cause::Part, 0.8, Trouble::None},
        {"five gateways, two parts", 5, 3, 2, 0, Cause::TwoParts, 5, Trouble::None},
        {"five gateways, one content", 5, 3, 2, 0, Cause::Content, 3, Trouble::None},
        {"five gateways, one content, late and lost digests", 5, 3, 200, 0.3, Cause::Content, 3,
         Trouble::None},
        {"a gateway restarts", 5, 3, 2, 0.05, Cause::Part, 3, Trouble::RestartOne},
        {"a domain is cut off", 6, 3, 2, 0.05, Cause::Part, 3, Trouble::CutDomain},
        {"30 gateways, late and lost digests", 30, 3, 50, 0.1, Cause::Part, 6, Trouble::None},
};

constexpr int StepMs = 5;
constexpr int EndMs = 20000;
constexpr int DeadlyFromMs = 3000;
constexpr int TroubleFromMs = 7000;
constexpr int TroubleUntilMs = 11000;
constexpr int DownMs = 3000;
constexpr int PrefillMs = 150;
constexpr int StreamMs = 400;
constexpr std::size_t Endpoints = 12;
constexpr double SoundPerSecond = 20;
//! Time for which a gateway must have been undisturbed to be bound by the rules.
constexpr int InTouchMs = 3000;

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

struct Run
{
    std::size_t gateway_ = 0;
    DispatchId dispatch_;
    std::size_t endpoint_ = 0;
};

struct SimulatedEndpoint
{
    std::uint64_t incarnation_ = 1;
    int upFromMs_ = 0;
};

struct Arrival
{
    int sentMs_ = 0;
    std::size_t gateway_ = 0;
};

struct Outcome
{
    int sentMs_ = 0;
    bool sound_ = false;
    bool served_ = false;
};

struct Gateway
{
    GatewayControl control_;
    GatewayTraffic traffic_;
    GatewayView view_;
    //! End of the last disturbance.
    int disturbedUntilMs_ = -InTouchMs;
};

struct Fleet
{
    FleetCase test_;
    std::vector<Gateway> gateways_;
    std::vector<SimulatedEndpoint> endpoints_;
    std::multimap<int, std::function<void()>> events_;
    std::map<std::uint64_t, Run> runs_;
    std::map<std::uint64_t, Outcome> outcomes_;
    std::vector<int> crashes_;
    std::vector<Arrival> deadlyArrivals_;
    std::uint64_t exchanges_ = 0;
    std::uint64_t incarnations_ = 0;
    Random random_ {11};
    int nowMs_ = 0;
    bool cut_ = false;
};

std::size_t domainOf(const Fleet &fleet, std::size_t gateway)
{
    return gateway % fleet.test_.domains_;
}

Address addressOf(std::size_t gateway)
{
    return {"10.0.0." + std::to_string(gateway + 1), 7000};
}

EndpointId endpointId(std::size_t index)
{
    return {"e" + std::to_string(index)};
}

std::size_t endpointIndex(const EndpointId &id)
{
    return std::stoul(id.value_.substr(1));
}

DesiredState desiredState()
{
    RouteRule route;
    route.name_ = {"quote"};
    route.host_ = "desk";
    route.pathPrefix_ = "/quote/";
    route.rerunPolicy_ = RerunPolicy::Resume;
    route.isStream_ = true;
    route.timeout_ = seconds(10);
    route.latencyTarget_ = milliseconds(500);
    route.maxAttempts_ = 2;
    route.targets_ = {{{"model"}, 1}};
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1'000'000};
    model.engine_->kvBytesPerToken_ = {400};
    model.engine_->prefillTokensPerSecond_ = 100'000;
    model.engine_->decodeStepTime_ = milliseconds(1);
    model.engine_->slots_ = 64;
    model.engine_->accelerators_[{"k"}] = {{8'000'000}, 1, 1};
    DesiredState state;
    state.version_ = {1};
    state.routes_ = {route};
    state.targets_ = {model};
    return state;
}

std::vector<ListedEndpoint> listedEndpoints(const Fleet &fleet)
{
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 0; i < fleet.endpoints_.size(); ++i) {
        ListedEndpoint endpoint;
        endpoint.id_ = endpointId(i);
        endpoint.target_ = {"model"};
        endpoint.address_ = {"10.1.0.1", static_cast<std::uint16_t>(8000 + i)};
        endpoint.domain_ = {"domain-" + std::to_string(i % fleet.test_.domains_)};
        endpoint.slots_ = 64;
        endpoint.accelerator_ = {"k"};
        endpoint.layers_ = LayerRange {{0}, {4}};
        endpoint.incarnation_ = fleet.endpoints_[i].incarnation_;
        listed.push_back(std::move(endpoint));
    }
    return listed;
}

void start(Fleet &fleet, std::size_t index)
{
    Gateway &gateway = fleet.gateways_[index];
    gateway.control_ = {};
    gateway.traffic_ = {};
    GatewayControl &control = gateway.control_;
    control.self_ = {"gateway-" + std::to_string(index)};
    control.incarnation_ = {++fleet.incarnations_};
    control.members_.self_ = addressOf(index);
    control.members_.domain_ = {"domain-" + std::to_string(domainOf(fleet, index))};
    control.bounds_.retry_.slack_ = 200;
    control.crashes_.blame_.seed_ = index;
    gateway.traffic_.random_ = {index};
    onDesiredState(control, desiredState(), at(fleet.nowMs_), at(fleet.nowMs_));
    onEndpointList(control, listedEndpoints(fleet), {1}, at(fleet.nowMs_), at(fleet.nowMs_));
}

void later(Fleet &fleet, int delayMs, std::function<void()> event)
{
    fleet.events_.emplace(fleet.nowMs_ + delayMs, std::move(event));
}

void carryOutTraffic(Fleet &fleet, std::size_t index);

//! Runs an event of a gateway's traffic that is still the same process.
void withTraffic(Fleet &fleet, std::size_t index, Incarnation incarnation,
                 const std::function<void(Gateway &, TimePoint)> &event)
{
    Gateway &gateway = fleet.gateways_[index];
    if (gateway.control_.incarnation_ != incarnation)
        return;
    event(gateway, at(fleet.nowMs_));
    carryOutTraffic(fleet, index);
}

void loseRun(Fleet &fleet, std::uint64_t id, DispatchFailure failure)
{
    const Run run = fleet.runs_.at(id);
    fleet.runs_.erase(id);
    const Incarnation incarnation = fleet.gateways_[run.gateway_].control_.incarnation_;
    later(fleet, 1, [&fleet, run, incarnation, failure] {
        withTraffic(fleet, run.gateway_, incarnation, [&](Gateway &gateway, TimePoint now) {
            onDispatchFailed(gateway.traffic_, gateway.view_, run.dispatch_, failure, "lost", now);
        });
    });
}

void crash(Fleet &fleet, std::size_t endpoint)
{
    fleet.crashes_.push_back(fleet.nowMs_);
    ++fleet.endpoints_[endpoint].incarnation_;
    fleet.endpoints_[endpoint].upFromMs_ = fleet.nowMs_ + DownMs;
    std::vector<std::uint64_t> lost;
    for (const auto &[id, run] : fleet.runs_) {
        if (run.endpoint_ == endpoint)
            lost.push_back(id);
    }
    for (const std::uint64_t id : lost)
        loseRun(fleet, id, DispatchFailure::ConnectionLost);
}

//! The first event of a sound run, and then its end.
void answer(Fleet &fleet, std::uint64_t id)
{
    const Run run = fleet.runs_.at(id);
    const Incarnation incarnation = fleet.gateways_[run.gateway_].control_.incarnation_;
    withTraffic(fleet, run.gateway_, incarnation, [&](Gateway &gateway, TimePoint now) {
        EndpointResponseHead head;
        head.success_ = true;
        head.eventStream_ = true;
        onDispatchHead(gateway.traffic_, gateway.view_, run.dispatch_, head, now);
        onDispatchEvents(gateway.traffic_, gateway.view_, run.dispatch_, EventId {1}, now);
    });
    later(fleet, StreamMs, [&fleet, id, run, incarnation] {
        if (fleet.runs_.erase(id) == 0)
            return;
        withTraffic(fleet, run.gateway_, incarnation, [&](Gateway &gateway, TimePoint now) {
            onDispatchDone(gateway.traffic_, gateway.view_, run.dispatch_, now);
        });
    });
}

void dispatch(Fleet &fleet, std::size_t index, const DispatchRequest &request)
{
    static std::uint64_t runs = 0;
    const std::uint64_t id = ++runs;
    const std::size_t endpoint = endpointIndex(request.endpoint_);
    fleet.runs_[id] = {index, request.dispatch_, endpoint};
    if (fleet.nowMs_ < fleet.endpoints_[endpoint].upFromMs_)
        return loseRun(fleet, id, DispatchFailure::NotSent);
    const bool sound = fleet.outcomes_.at(request.exchange_.value_).sound_;
    if (!sound)
        fleet.deadlyArrivals_.push_back({fleet.nowMs_, index});
    later(fleet, PrefillMs, [&fleet, id, endpoint, sound] {
        if (!fleet.runs_.contains(id))
            return;
        if (sound)
            answer(fleet, id);
        else
            crash(fleet, endpoint);
    });
}

bool isCut(const Fleet &fleet, std::size_t from, std::size_t to)
{
    return fleet.cut_ && (domainOf(fleet, from) == 0) != (domainOf(fleet, to) == 0);
}

void carryOutControl(Fleet &fleet, std::size_t index);

void withControl(Fleet &fleet, std::size_t index, Incarnation incarnation,
                 const std::function<void(GatewayControl &, TimePoint)> &event)
{
    GatewayControl &control = fleet.gateways_[index].control_;
    if (control.incarnation_ != incarnation)
        return;
    event(control, at(fleet.nowMs_));
    carryOutControl(fleet, index);
}

bool isCrashNews(const GatewayDigestMessage &digest)
{
    return digest.scope_ == DigestScope::CrashNews
           || digest.scope_ == DigestScope::RelayedCrashNews;
}

void send(Fleet &fleet, std::size_t from, const SendDigest &digest)
{
    // A burst of news to all must not fill slow links.
    if (isCrashNews(digest.digest_))
        BOOST_TEST((digest.digest_.loads_.empty() && digest.digest_.loadedLayers_.empty()
                    && !digest.digest_.storeNews_));
    for (const Address &to : digest.to_) {
        const std::size_t index = std::stoul(to.host_.substr(to.host_.rfind('.') + 1)) - 1;
        if (isCut(fleet, from, index) || randomUnit(fleet.random_) < fleet.test_.loss_)
            continue;
        later(fleet, fleet.test_.digestDelayMs_, [&fleet, index, message = digest.digest_] {
            GatewayControl &control = fleet.gateways_[index].control_;
            onGatewayDigest(control, message, at(fleet.nowMs_));
            carryOutControl(fleet, index);
        });
    }
}

void carryOutControl(Fleet &fleet, std::size_t index)
{
    Gateway &gateway = fleet.gateways_[index];
    const Incarnation incarnation = gateway.control_.incarnation_;
    const TimePoint sentAt = at(fleet.nowMs_);
    const auto effects = std::exchange(gateway.control_.effects_, {});
    for (const GatewayControlEffect &effect : effects) {
        if (const auto *digest = std::get_if<SendDigest>(&effect)) {
            send(fleet, index, *digest);
        } else if (std::holds_alternative<GatewayViewChanged>(effect)) {
            gateway.view_ = gatewayViewOf(gateway.control_, sentAt);
        } else if (std::holds_alternative<RequestPeerAddresses>(effect)) {
            std::vector<Address> listed;
            for (std::size_t i = 0; i < fleet.gateways_.size(); ++i)
                listed.push_back(addressOf(i));
            onPeersListed(gateway.control_, std::move(listed), 64);
        } else if (const auto *check = std::get_if<CheckEndpoint>(&effect)) {
            later(fleet, 2, [&fleet, index, incarnation, sentAt, id = check->endpoint_] {
                const SimulatedEndpoint &endpoint = fleet.endpoints_[endpointIndex(id)];
                EndpointSighting sighting {EndpointCheckResult::Gone};
                if (fleet.nowMs_ >= endpoint.upFromMs_)
                    sighting = {EndpointCheckResult::Responded, endpoint.incarnation_};
                withControl(fleet, index, incarnation, [&](GatewayControl &control, TimePoint now) {
                    onEndpointChecked(control, id, sighting, sentAt, now);
                });
            });
        }
    }
}

void noteOutcome(Fleet &fleet, ExchangeId exchange, bool served)
{
    fleet.outcomes_.at(exchange.value_).served_ = served;
}

void carryOutTraffic(Fleet &fleet, std::size_t index)
{
    Gateway &gateway = fleet.gateways_[index];
    const TimePoint now = at(fleet.nowMs_);
    const auto effects = std::exchange(gateway.traffic_.effects_, {});
    for (const GatewayEffect &effect : effects) {
        if (const auto *request = std::get_if<DispatchRequest>(&effect))
            dispatch(fleet, index, *request);
        else if (const auto *finish = std::get_if<FinishStream>(&effect))
            noteOutcome(fleet, finish->exchange_, true);
        else if (const auto *loss = std::get_if<DispatchLost>(&effect))
            onDispatchLost(gateway.control_, *loss, now);
        else if (const auto *answered = std::get_if<TraitAnswered>(&effect))
            onTraitAnswered(gateway.control_, *answered, now);
    }
    carryOutControl(fleet, index);
}

void request(Fleet &fleet, std::size_t index, bool sound)
{
    const std::uint64_t id = ++fleet.exchanges_;
    fleet.outcomes_[id] = {fleet.nowMs_, sound, false};
    GatewayRequest made;
    made.exchange_ = {id};
    made.id_ = {"r" + std::to_string(id)};
    made.host_ = "desk";
    made.path_ = "/quote/x";
    made.timeout_ = seconds(10);
    made.promptTokens_ = {100};
    made.expectedOutput_ = {100};
    made.content_ = {id};
    made.promptParts_ = {{"opening"}, {"own" + std::to_string(id)}};
    const bool second = fleet.test_.cause_ == Cause::TwoParts && id % 2 == 0;
    if (!sound && fleet.test_.cause_ == Cause::Content)
        made.content_ = {0};
    else if (!sound)
        made.promptParts_.insert(made.promptParts_.begin() + 1, {second ? "second" : "deadly"});
    withTraffic(fleet, index, fleet.gateways_[index].control_.incarnation_,
                [&](Gateway &gateway, TimePoint now) {
                    onGatewayRequest(gateway.traffic_, gateway.view_, std::move(made), now);
                });
}

bool isDue(Fleet &fleet, double perSecond)
{
    return randomUnit(fleet.random_) < perSecond * StepMs / 1000;
}

void causeTrouble(Fleet &fleet)
{
    const bool begins = fleet.nowMs_ == TroubleFromMs;
    if (fleet.test_.trouble_ == Trouble::RestartOne && begins) {
        start(fleet, 0);
        fleet.gateways_[0].disturbedUntilMs_ = fleet.nowMs_;
    }
    if (fleet.test_.trouble_ != Trouble::CutDomain)
        return;
    fleet.cut_ = fleet.nowMs_ >= TroubleFromMs && fleet.nowMs_ < TroubleUntilMs;
    for (std::size_t i = 0; fleet.cut_ && i < fleet.gateways_.size(); ++i)
        fleet.gateways_[i].disturbedUntilMs_ = fleet.nowMs_;
}

void step(Fleet &fleet)
{
    while (!fleet.events_.empty() && fleet.events_.begin()->first <= fleet.nowMs_) {
        const auto event = std::move(fleet.events_.begin()->second);
        fleet.events_.erase(fleet.events_.begin());
        event();
    }
    for (std::size_t i = 0; i < fleet.gateways_.size(); ++i) {
        Gateway &gateway = fleet.gateways_[i];
        const TimePoint now = at(fleet.nowMs_);
        if (fleet.nowMs_ % 1000 == 0) {
            onDesiredStateConfirmed(gateway.control_, now, now);
            onEndpointList(gateway.control_, listedEndpoints(fleet),
                           {static_cast<std::uint64_t>(fleet.nowMs_ + 1)}, now, now);
        }
        if (fleet.nowMs_ % 100 == 0) {
            onOwnLoads(gateway.control_, ownEndpointLoads(gateway.traffic_, now));
            onGatewayControlTick(gateway.control_, now);
        }
        carryOutControl(fleet, i);
        if (fleet.nowMs_ % 25 == 0) {
            onGatewayTick(gateway.traffic_, gateway.view_, now);
            carryOutTraffic(fleet, i);
        }
        if (isDue(fleet, SoundPerSecond / static_cast<double>(fleet.gateways_.size())))
            request(fleet, i, true);
        if (fleet.nowMs_ >= DeadlyFromMs
            && isDue(fleet,
                     fleet.test_.deadlyPerSecond_ / static_cast<double>(fleet.gateways_.size())))
            request(fleet, i, false);
    }
}

//! Requests that reach endpoints later than the stable window after the crash of the given number,
//! sent by gateways in touch.
std::size_t lateArrivals(const Fleet &fleet, std::size_t crash)
{
    if (fleet.crashes_.size() < crash)
        return 0;
    std::size_t late = 0;
    for (const Arrival &arrival : fleet.deadlyArrivals_)
        late += arrival.sentMs_ > fleet.crashes_[crash - 1] + InTouchMs
                                && arrival.sentMs_
                                           > fleet.gateways_[arrival.gateway_].disturbedUntilMs_
                                                     + InTouchMs
                        ? 1
                        : 0;
    return late;
}

double servedPart(const Fleet &fleet, int fromMs, int untilMs)
{
    double sent = 0;
    double served = 0;
    for (const auto &[id, outcome] : fleet.outcomes_) {
        const bool isMeant
                = outcome.sound_ && outcome.sentMs_ >= fromMs && outcome.sentMs_ < untilMs;
        sent += isMeant ? 1 : 0;
        served += isMeant && outcome.served_ ? 1 : 0;
    }
    return sent > 0 ? served / sent : 0;
}

} // namespace

BOOST_DATA_TEST_CASE(requestsThatCrashEndpointsAreStoppedAndOthersServed, FleetCases, test)
{
    constexpr std::size_t MaxLateArrivals = 3;
    Fleet fleet {test, {}, {}, {}, {}, {}, {}, {}};
    fleet.gateways_.resize(test.gateways_);
    fleet.endpoints_.resize(Endpoints);
    for (std::size_t i = 0; i < test.gateways_; ++i)
        start(fleet, i);
    for (; fleet.nowMs_ < EndMs; fleet.nowMs_ += StepMs) {
        causeTrouble(fleet);
        step(fleet);
    }
    BOOST_TEST_MESSAGE(
            test << ": " << fleet.crashes_.size() << " crashes, " << fleet.deadlyArrivals_.size()
                 << " arrivals, served before " << servedPart(fleet, 0, DeadlyFromMs - 1000)
                 << ", after "
                 << servedPart(fleet, fleet.crashes_.back() + 2 * InTouchMs, EndMs - 1500));
    const std::size_t reference = test.cause_ == Cause::Content ? 3 : 5;
    const std::size_t parts = test.cause_ == Cause::TwoParts ? 2 : 1;
    BOOST_REQUIRE(fleet.crashes_.size() >= 3);
    BOOST_TEST(lateArrivals(fleet, reference * parts) <= MaxLateArrivals);
    const std::size_t last = std::min(fleet.crashes_.size(), 5 * parts);
    BOOST_TEST(servedPart(fleet, fleet.crashes_[last - 1] + 2 * InTouchMs, EndMs - 1500)
               >= servedPart(fleet, 0, DeadlyFromMs - 1000) / 2);
    BOOST_TEST(servedPart(fleet, 0, DeadlyFromMs - 1000) > 0.95);
}

namespace {

//! What a lost dispatch and the checks of its endpoint lead to.
struct CheckCase
{
    const char *name_;
    std::vector<EndpointSighting> checks_;
    ListedState state_;
    bool blamed_;
};

std::ostream &operator<<(std::ostream &out, const CheckCase &test)
{
    return out << test.name_;
}

constexpr EndpointSighting Gone {EndpointCheckResult::Gone, 0};
constexpr EndpointSighting Silent {EndpointCheckResult::Silent, 0};

const CheckCase CheckCases[] = {
        {"connections are refused", {Gone}, ListedState::Ready, true},
        {"it runs", {{EndpointCheckResult::Responded, 5}}, ListedState::Ready, false},
        {"it runs and doesn't name its incarnation",
         {{EndpointCheckResult::Responded, 0}},
         ListedState::Ready,
         false},
        {"it has started again", {{EndpointCheckResult::Responded, 6}}, ListedState::Ready, true},
        {"it is slow", {Silent, Silent}, ListedState::Ready, false},
        {"it is slow and then runs",
         {Silent, {EndpointCheckResult::Responded, 5}},
         ListedState::Ready,
         false},
        {"it is silent and then has started again",
         {Silent, {EndpointCheckResult::Responded, 6}},
         ListedState::Ready,
         true},
        {"it was leaving", {Gone}, ListedState::Draining, false},
};

} // namespace

BOOST_DATA_TEST_CASE(onlyTheEndOfAnEndpointIsACrash, CheckCases, test)
{
    EndpointListState list;
    ListedEndpoint listed;
    listed.id_ = {"e"};
    listed.incarnation_ = 5;
    listed.state_ = test.state_;
    applyEndpointList(list, {listed}, at(0), at(0));
    CrashesState state;
    onDispatchLost(state, list, {{"e"}, 5, at(100), at(200), {{7}}}, at(201));
    int ms = 210;
    for (const EndpointSighting &sighting : test.checks_) {
        const bool asked = !std::exchange(state.checks_, {}).empty();
        BOOST_TEST(asked == (test.state_ == ListedState::Ready));
        onEndpointChecked(state, list, {"e"}, sighting, at(ms), at(ms + 5));
        ms += 100;
        tickCrashes(state, list, at(ms));
    }
    BOOST_TEST(state.blame_.traits_.contains({7}) == test.blamed_);
    BOOST_TEST(state.news_.empty() != test.blamed_);
}

// A suspect request that has to wait for another one must not keep larger requests from being
// dispatched.
BOOST_AUTO_TEST_CASE(heldSuspectDoesNotBlockOthers)
{
    Fleet fleet {FleetCases[0], {}, {}, {}, {}, {}, {}, {}};
    fleet.gateways_.resize(1);
    fleet.endpoints_.resize(Endpoints);
    start(fleet, 0);
    carryOutControl(fleet, 0);
    Gateway &gateway = fleet.gateways_[0];
    const auto dispatchesAfter = [&](std::uint64_t id, std::uint64_t content, std::int64_t tokens) {
        GatewayRequest made;
        made.exchange_ = {id};
        made.id_ = {"r" + std::to_string(id)};
        made.host_ = "desk";
        made.path_ = "/quote/x";
        made.promptTokens_ = {tokens};
        made.expectedOutput_ = {100};
        made.content_ = {content};
        onGatewayRequest(gateway.traffic_, gateway.view_, made, at(10));
        return gateway.traffic_.counters_.dispatches_;
    };
    BOOST_REQUIRE(dispatchesAfter(1, 7, 100) == 1);
    const RequestTrait trait = gateway.traffic_.requests_.at({1}).traits_.front();
    auto verdicts = std::make_shared<BlameVerdicts>();
    verdicts->traits_[trait].crashes_ = 1;
    gateway.view_.blame_ = verdicts;
    BOOST_TEST(dispatchesAfter(2, 7, 100) == 1U);
    BOOST_TEST(dispatchesAfter(3, 8, 200) == 2U);
}
