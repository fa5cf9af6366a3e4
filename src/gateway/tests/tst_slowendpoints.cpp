// Fleets of gateways in front of endpoints one of which becomes slow and recovers: streams over two
// endpoints each, digests with loss and delay, and status reports with or without a pace.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>

#include "filters/gatewayfilters.h"
#include "gateway/control.h"
#include "gateway/traffic.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int SlowFromMs = 4000;
constexpr int SlowUntilMs = 10'000;
constexpr int EndMs = 18'000;
constexpr int StepMs = 8;
constexpr int TokensPerEvent = 3;
constexpr std::uint64_t EventsPerStream = 20;

struct SlowCase
{
    const char *name_;
    std::size_t gateways_;
    std::size_t domains_;
    //! Interval between two requests at one gateway.
    int requestMs_;
    double factor_;
    double digestLoss_;
    int digestDelayMs_;
    //! Status reports carry the pace.
    bool reportsPace_;
    //! Largest part of all paths that may use the slow endpoint while it is slow.
    double mostWhileSlow_;
    //! Status reports that all gateways may request.
    std::size_t mostReports_;
};

std::ostream &operator<<(std::ostream &out, const SlowCase &test)
{
    return out << test.name_;
}

const SlowCase SlowCases[] = {
        {"one gateway", 1, 1, 20, 8, 0, 0, true, 0.05, 20},
        {"twelve gateways", 12, 1, 200, 8, 0, 5, true, 0.05, 80},
        {"twelve gateways without paces", 12, 1, 200, 8, 0, 5, false, 0.05, 80},
        {"a factor of 3", 12, 1, 200, 3, 0, 5, true, 0.05, 80},
        {"a third of the digests is lost", 12, 1, 200, 8, 0.33, 5, true, 0.05, 80},
        {"digests are late", 12, 1, 200, 8, 0, 600, true, 0.05, 80},
        {"all digests are lost", 12, 1, 200, 8, 1, 0, true, 0.05, 150},
        {"forty gateways of two domains", 40, 2, 600, 8, 0, 5, true, 0.05, 80},
};

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

DesiredState desired()
{
    DesiredState state;
    state.version_ = {1};
    RouteRule route;
    route.name_ = {"quote"};
    route.host_ = "desk";
    route.pathPrefix_ = "/quote/";
    route.rerunPolicy_ = RerunPolicy::Resume;
    route.isStream_ = true;
    route.timeout_ = seconds(20);
    route.latencyTarget_ = milliseconds(600);
    route.eventGapTarget_ = milliseconds(300);
    route.maxAttempts_ = 2;
    route.targets_ = {{{"model"}, 1}};
    state.routes_ = {route};
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1'000'000};
    model.engine_->kvBytesPerToken_ = {400};
    model.engine_->prefillTokensPerSecond_ = 100'000;
    model.engine_->decodeStepTime_ = milliseconds(StepMs);
    model.engine_->slots_ = 192;
    model.engine_->accelerators_[{"k"}] = {{4'000'000}, 1, 1};
    state.targets_ = {model};
    return state;
}

//! In each domain three endpoints with the first half of the layers and three with the second.
std::vector<ListedEndpoint> listed(std::size_t domains)
{
    std::vector<ListedEndpoint> all;
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::uint32_t i = 0; i < 6; ++i) {
            ListedEndpoint made;
            made.id_ = {"d" + std::to_string(domain) + "-m" + std::to_string(i)};
            made.target_ = {"model"};
            made.address_ = {"10.1.0." + std::to_string(domain + 1),
                             static_cast<std::uint16_t>(1000 + i)};
            made.domain_ = {"domain-" + std::to_string(domain)};
            made.slots_ = 192;
            made.accelerator_ = {"k"};
            made.incarnation_ = 5;
            made.layers_ = i < 3 ? LayerRange {{0}, {2}} : LayerRange {{2}, {4}};
            all.push_back(made);
        }
    }
    return all;
}

const EndpointId SlowEndpoint {"d0-m0"};

struct Stream
{
    LayerPath path_;
    std::uint64_t events_ = 0;
};

struct Gateway
{
    GatewayControl control_;
    GatewayTraffic traffic_;
    GatewayView view_;
    std::map<DispatchId, Stream> streams_;
    std::uint64_t nextExchange_ = 1;
};

//! Streams in progress on the slow endpoint and on all.
struct StreamCount
{
    std::size_t all_ = 0;
    std::size_t slow_ = 0;
};

//! Paths that were taken in one interval of time.
struct PathCount
{
    std::size_t all_ = 0;
    std::size_t slow_ = 0;
};

struct Fleet
{
    SlowCase test_;
    std::vector<Gateway> gateways_;
    std::map<Address, std::size_t> byAddress_;
    std::multimap<TimePoint, std::function<void(TimePoint)>> events_;
    Random random_ {7};
    std::size_t reports_ = 0;
    //! By interval of CountMs.
    std::map<int, PathCount> paths_ {};
    //! By time in ms.
    std::map<int, StreamCount> streams_ {};
    std::string log_ {};
};

constexpr int CountMs = 250;

int msOf(TimePoint now)
{
    return static_cast<int>(toMilliseconds(now - at(0)));
}

double slowdownOf(const Fleet &fleet, const EndpointId &endpoint, TimePoint now)
{
    const bool isSlow = endpoint == SlowEndpoint && now >= at(SlowFromMs) && now < at(SlowUntilMs);
    return isSlow ? fleet.test_.factor_ : 1;
}

Duration gapOf(const Fleet &fleet, const LayerPath &path, TimePoint now)
{
    double ms = 0;
    for (const PathSegment &part : path)
        ms += StepMs * TokensPerEvent * 0.5 * slowdownOf(fleet, part.endpoint_, now);
    return Duration(static_cast<std::int64_t>(ms * 1000));
}

void carryOutTraffic(Fleet &fleet, std::size_t index, TimePoint now);
void carryOutControl(Fleet &fleet, std::size_t index, TimePoint now);

void runStream(Fleet &fleet, std::size_t index, DispatchId dispatch, TimePoint now)
{
    Gateway &gateway = fleet.gateways_[index];
    const auto found = gateway.streams_.find(dispatch);
    if (found == gateway.streams_.end())
        return;
    Stream &stream = found->second;
    if (++stream.events_ <= EventsPerStream) {
        onDispatchEvents(gateway.traffic_, gateway.view_, dispatch, EventId {stream.events_}, now);
        fleet.events_.emplace(now + gapOf(fleet, stream.path_, now),
                              [&fleet, index, dispatch](TimePoint then) {
                                  runStream(fleet, index, dispatch, then);
                              });
    } else {
        gateway.streams_.erase(found);
        onDispatchDone(gateway.traffic_, gateway.view_, dispatch, now);
    }
    carryOutTraffic(fleet, index, now);
}

bool usesSlow(const LayerPath &path)
{
    return std::any_of(path.begin(), path.end(),
                       [](const PathSegment &part) { return part.endpoint_ == SlowEndpoint; });
}

void countPath(Fleet &fleet, const LayerPath &path, TimePoint now)
{
    PathCount &count = fleet.paths_[msOf(now) / CountMs];
    ++count.all_;
    count.slow_ += usesSlow(path);
}

void startStream(Fleet &fleet, std::size_t index, const DispatchRequest &send, TimePoint now)
{
    countPath(fleet, send.path_, now);
    Gateway &gateway = fleet.gateways_[index];
    gateway.streams_[send.dispatch_] = {send.path_, 0};
    EndpointResponseHead head;
    head.success_ = head.eventStream_ = true;
    fleet.events_.emplace(now + milliseconds(50),
                          [&fleet, index, dispatch = send.dispatch_, head](TimePoint then) {
                              Gateway &one = fleet.gateways_[index];
                              if (!one.streams_.contains(dispatch))
                                  return;
                              onDispatchHead(one.traffic_, one.view_, dispatch, head, then);
                              runStream(fleet, index, dispatch, then);
                          });
}

void carryOutTraffic(Fleet &fleet, std::size_t index, TimePoint now)
{
    Gateway &gateway = fleet.gateways_[index];
    const std::vector<GatewayEffect> effects = std::move(gateway.traffic_.effects_);
    gateway.traffic_.effects_.clear();
    for (const GatewayEffect &effect : effects) {
        if (const auto *send = std::get_if<DispatchRequest>(&effect))
            startStream(fleet, index, *send, now);
        else if (const auto *cancel = std::get_if<CancelDispatch>(&effect))
            gateway.streams_.erase(cancel->dispatch_);
        else if (const auto *probe = std::get_if<RequestProbe>(&effect))
            onProbeRequested(gateway.control_, *probe, now);
        else if (const auto *event = std::get_if<LogEvent>(&effect))
            fleet.log_ += event->text_ + "\n";
    }
    carryOutControl(fleet, index, now);
}

void answerReport(Fleet &fleet, std::size_t index, const EndpointId &endpoint, TimePoint now)
{
    ++fleet.reports_;
    fleet.events_.emplace(now + milliseconds(20), [&fleet, index, endpoint, now](TimePoint then) {
        GatewayControl &control = fleet.gateways_[index].control_;
        EndpointStatusReport report;
        report.incarnation_ = 5;
        report.layers_ = control.endpoints_.endpoints_.at(endpoint).listed_.layers_;
        if (fleet.test_.reportsPace_)
            report.pace_ = slowdownOf(fleet, endpoint, then);
        onReportResponse(control, endpoint, report, now, then);
        carryOutControl(fleet, index, then);
    });
}

void answerStore(Fleet &fleet, std::size_t index, Duration wait, bool isList, TimePoint now)
{
    fleet.events_.emplace(
            now + wait + milliseconds(20), [&fleet, index, isList, now](TimePoint then) {
                GatewayControl &control = fleet.gateways_[index].control_;
                if (isList) {
                    onEndpointList(control, listed(fleet.test_.domains_), {1}, now, then);
                } else {
                    onDesiredState(control, desired(), now, then);
                    onDesiredStateRead(control, then, then);
                }
                carryOutControl(fleet, index, then);
            });
}

void sendDigest(Fleet &fleet, const SendDigest &send, TimePoint now)
{
    for (const Address &to : send.to_) {
        if (randomUnit(fleet.random_) < fleet.test_.digestLoss_)
            continue;
        const std::size_t index = fleet.byAddress_.at(to);
        fleet.events_.emplace(now + milliseconds(fleet.test_.digestDelayMs_),
                              [&fleet, index, digest = send.digest_](TimePoint then) {
                                  onGatewayDigest(fleet.gateways_[index].control_, digest, then);
                                  carryOutControl(fleet, index, then);
                              });
    }
}

void carryOutControl(Fleet &fleet, std::size_t index, TimePoint now)
{
    Gateway &gateway = fleet.gateways_[index];
    const std::vector<GatewayControlEffect> effects = std::move(gateway.control_.effects_);
    gateway.control_.effects_.clear();
    for (const GatewayControlEffect &effect : effects) {
        if (std::holds_alternative<JoinGroup>(effect)) {
            onJoinResponse(gateway.control_, {1}, index == 0, now, now);
            onPartitionShare(gateway.control_, 1,
                             static_cast<std::uint32_t>(fleet.gateways_.size()));
        } else if (std::holds_alternative<RequestPeerAddresses>(effect)) {
            std::vector<Address> all;
            for (const auto &[address, other] : fleet.byAddress_)
                all.push_back(address);
            onPeersListed(gateway.control_, all, static_cast<std::uint32_t>(all.size()));
        } else if (const auto *read = std::get_if<ReadDesiredState>(&effect)) {
            answerStore(fleet, index, read->wait_.value_or(Duration()), false, now);
        } else if (std::holds_alternative<ReadEndpointList>(effect)) {
            answerStore(fleet, index, {}, true, now);
        } else if (const auto *ask = std::get_if<RequestStatusReport>(&effect)) {
            answerReport(fleet, index, ask->endpoint_, now);
        } else if (const auto *send = std::get_if<SendDigest>(&effect)) {
            sendDigest(fleet, *send, now);
        } else if (std::holds_alternative<GatewayViewChanged>(effect)) {
            gateway.view_ = gatewayViewOf(gateway.control_, now);
        } else if (const auto *event = std::get_if<LogEvent>(&effect)) {
            fleet.log_ += event->text_ + "\n";
        }
    }
}

void every(Fleet &fleet, TimePoint from, Duration interval,
           const std::function<void(TimePoint)> &action)
{
    fleet.events_.emplace(from, [&fleet, interval, action](TimePoint now) {
        action(now);
        every(fleet, now + interval, interval, action);
    });
}

void sendRequest(Fleet &fleet, std::size_t index, TimePoint now)
{
    Gateway &gateway = fleet.gateways_[index];
    GatewayRequest request;
    request.exchange_ = {gateway.nextExchange_++};
    request.id_ = {std::to_string(index) + "-" + std::to_string(request.exchange_.value_)};
    request.host_ = "desk";
    request.path_ = "/quote/x";
    request.timeout_ = seconds(20);
    request.promptTokens_ = {100};
    request.expectedOutput_ = {60};
    onGatewayRequest(gateway.traffic_, gateway.view_, request, now);
    carryOutTraffic(fleet, index, now);
}

void startGateway(Fleet &fleet, std::size_t index)
{
    Gateway &gateway = fleet.gateways_[index];
    GatewayControl &control = gateway.control_;
    control.self_ = {"gateway-" + std::to_string(index)};
    control.incarnation_ = {1};
    control.random_ = {index + 1};
    gateway.traffic_.random_ = {index + 1};
    control.members_.self_ = {"10.0.0." + std::to_string(index + 1), 7000};
    control.members_.domain_ = {"domain-" + std::to_string(index % fleet.test_.domains_)};
    control.bounds_.retry_.slack_ = 1000;
    fleet.byAddress_[control.members_.self_] = index;
    const auto phase = milliseconds(index * 7 % 100);
    every(fleet, at(0) + phase, GatewayControlInterval, [&fleet, index](TimePoint now) {
        onGatewayControlTick(fleet.gateways_[index].control_, now);
        carryOutControl(fleet, index, now);
    });
    every(fleet, at(0) + phase, GatewayTickInterval, [&fleet, index](TimePoint now) {
        Gateway &one = fleet.gateways_[index];
        onGatewayTick(one.traffic_, one.view_, now);
        carryOutTraffic(fleet, index, now);
    });
    every(fleet, at(0) + phase, milliseconds(150), [&fleet, index](TimePoint now) {
        Gateway &one = fleet.gateways_[index];
        onOwnLoads(one.control_, ownEndpointLoads(one.traffic_, now));
        carryOutControl(fleet, index, now);
    });
    const auto first = at(1000) + phase * fleet.test_.requestMs_ / 100;
    every(fleet, first, milliseconds(fleet.test_.requestMs_),
          [&fleet, index](TimePoint now) { sendRequest(fleet, index, now); });
}

void countStreams(Fleet &fleet, TimePoint now)
{
    StreamCount &count = fleet.streams_[msOf(now)];
    for (const Gateway &gateway : fleet.gateways_) {
        for (const auto &[dispatch, stream] : gateway.streams_) {
            ++count.all_;
            count.slow_ += usesSlow(stream.path_);
        }
    }
}

void runFleet(Fleet &fleet)
{
    every(fleet, at(1000), milliseconds(50), [&fleet](TimePoint now) { countStreams(fleet, now); });
    fleet.gateways_.resize(fleet.test_.gateways_);
    for (std::size_t i = 0; i < fleet.gateways_.size(); ++i)
        startGateway(fleet, i);
    while (!fleet.events_.empty() && fleet.events_.begin()->first < at(EndMs)) {
        const auto next = fleet.events_.extract(fleet.events_.begin());
        next.mapped()(next.key());
    }
}

double slowPart(const Fleet &fleet, int fromMs, int untilMs)
{
    PathCount sum;
    for (const auto &[interval, count] : fleet.paths_) {
        if (interval * CountMs < fromMs || interval * CountMs >= untilMs)
            continue;
        sum.all_ += count.all_;
        sum.slow_ += count.slow_;
    }
    return sum.all_ == 0 ? 0 : static_cast<double>(sum.slow_) / static_cast<double>(sum.all_);
}

//! Largest part of the streams in progress that was on the slow endpoint.
double largestPart(const Fleet &fleet, int fromMs, int untilMs)
{
    double largest = 0;
    for (const auto &[ms, count] : fleet.streams_) {
        if (ms >= fromMs && ms < untilMs && count.all_ > 0)
            largest = std::max(largest,
                               static_cast<double>(count.slow_) / static_cast<double>(count.all_));
    }
    return largest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slowEndpoints)

// Guards against paths that stay on a slow endpoint, or that never come back to it; against
// gateways that all leave and return together in turn; and against a flood of status reports.
BOOST_DATA_TEST_CASE(pathsLeaveAndComeBack, boost::unit_test::data::make(SlowCases), test)
{
    Fleet fleet {test, {}, {}, {}};
    runFleet(fleet);
    const double before = slowPart(fleet, 2000, SlowFromMs);
    const double during = slowPart(fleet, SlowFromMs + 1500, SlowUntilMs);
    const double after = slowPart(fleet, SlowUntilMs + 4500, EndMs);
    const double peakBefore = largestPart(fleet, 2000, SlowFromMs);
    const double peakDuring = largestPart(fleet, SlowFromMs + 4500, SlowUntilMs);
    const double peakAfter = largestPart(fleet, SlowUntilMs, EndMs);
    BOOST_TEST_MESSAGE(test.name_ << ": before " << before << ", during " << during << ", after "
                                  << after << ", peaks " << peakBefore << ", " << peakDuring << ", "
                                  << peakAfter << ", reports " << fleet.reports_);
    BOOST_TEST(before > 0.1);
    BOOST_TEST(during < test.mostWhileSlow_);
    BOOST_TEST(after > 0.5 * before);
    BOOST_TEST(peakDuring < 0.5 * peakBefore);
    BOOST_TEST(peakAfter < 1.6 * peakBefore);
    BOOST_TEST(fleet.reports_ < test.mostReports_);
    BOOST_TEST(fleet.log_.find("endpoint-slow") != std::string::npos);
    BOOST_TEST(fleet.log_.find("endpoint-recovered") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
