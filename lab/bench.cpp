//! Costs of single decisions and of control, and their slopes. Prints a line a figure; no bounds.
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>

#include <unistd.h>

#include "agent/control.h"
#include "entry/control.h"
#include "entry/traffic.h"
#include "fleet.h"
#include "policy/claims.h"
#include "policy/fairqueue.h"
#include "policy/pathplan.h"
#include "policy/placement.h"
#include "policy/routeplan.h"
#include "policy/subset.h"
#include "wire/codec.h"

using namespace gypsumcroft;

namespace {

//! Median time of one call, in microseconds, over repeated rounds.
double microseconds(const std::function<void()> &action, int perRound)
{
    constexpr int Rounds = 9;
    std::vector<double> times;
    for (int round = 0; round < Rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < perRound; ++i)
            action();
        const std::chrono::duration<double, std::micro> took
                = std::chrono::steady_clock::now() - begin;
        times.push_back(took.count() / perRound);
    }
    std::sort(times.begin(), times.end());
    return times[Rounds / 2];
}

double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

void print(const std::string &name, double value)
{
    std::cout << "name=" << name << " value=" << value << std::endl;
}

HeartbeatMessage heartbeat(int number)
{
    HeartbeatMessage message;
    message.endpoint_ = {"stage-" + std::to_string(number)};
    message.instance_ = {"host-" + std::to_string(number)};
    message.domain_ = {"d" + std::to_string(number % 9)};
    message.agent_ = {"10.0.0.1", static_cast<std::uint16_t>(number % 60000)};
    message.state_ = EndpointState::Ready;
    message.report_.kind_ = EndpointKind::Stage;
    message.report_.target_ = {"panels"};
    message.report_.version_ = {"1"};
    const auto stage = static_cast<std::uint32_t>(number % 4);
    message.report_.layers_ = {{stage * 2}, {stage * 2 + 2}};
    message.report_.modelLayers_ = {8};
    message.report_.slots_ = {32};
    message.report_.costPerToken_ = std::chrono::milliseconds(number % 3 == 0 ? 8 : 16);
    for (int link = 0; link < 8; ++link)
        message.links_.push_back({{"stage-" + std::to_string(number + link)}, Duration(300)});
    return message;
}

EntryControl controlWith(int members)
{
    EntryControl control;
    for (int i = 0; i < members; ++i)
        onHeartbeat(control, heartbeat(i), TimePoint(std::chrono::seconds(1)));
    control.effects_.clear();
    return control;
}

void benchRoutes(int members)
{
    const EntryControl control = controlWith(members);
    const RoutingView view = viewOf(control);
    std::vector<StageCandidate> candidates;
    for (const EndpointView &endpoint : view.endpoints_)
        candidates.push_back(stageCandidate(endpoint));
    const std::string suffix = "." + std::to_string(members);
    const int rounds = members > 500 ? 20 : 500;
    print("route_plan_us" + suffix,
          microseconds([&] { planRoute(candidates, view.links_); }, rounds));
    print("view_build_us" + suffix, microseconds([&] { viewOf(control); }, rounds));
    EntryControl busy = control;
    std::uint64_t sequence = 1;
    print("heartbeat_us" + suffix, microseconds(
                                           [&] {
                                               HeartbeatMessage next = heartbeat(1);
                                               next.sequence_ = ++sequence;
                                               onHeartbeat(busy, next, TimePoint {});
                                           },
                                           1000));
    std::vector<SubsetMember> all;
    all.reserve(static_cast<std::size_t>(members));
    for (int i = 0; i < members; ++i)
        all.push_back({{"stage-" + std::to_string(i)}, {"d" + std::to_string(i % 9)}});
    print("subset_us" + suffix, microseconds([&] { pickSubset({"entry"}, all, 48); }, rounds));
}

void benchQueue(int organisations)
{
    FairQueue queue;
    int number = 0;
    const auto push = [&] {
        ++number;
        pushRequest(queue, {{"r" + std::to_string(number)},
                            {"o" + std::to_string(number % organisations)},
                            {"c" + std::to_string(number % 7)},
                            AllRanks[static_cast<std::size_t>(number) % 3],
                            {50},
                            1,
                            TimePoint::max()});
    };
    for (int i = 0; i < 4000; ++i)
        push();
    const CanDispatch anything = [](const QueuedRequest &) { return true; };
    print("queue_push_pop_us." + std::to_string(organisations), microseconds(
                                                                        [&] {
                                                                            push();
                                                                            popRequest(queue,
                                                                                       anything);
                                                                        },
                                                                        2000));
    print("work_ahead_us." + std::to_string(organisations),
          microseconds(
                  [&] {
                      workAhead(queue,
                                {{"x"}, {"o1"}, {"c1"}, Rank::Standard, {50}, 1, TimePoint {}});
                  },
                  500));
}

void benchLedger()
{
    constexpr std::uint64_t Keys = 500000;
    const double before = residentMegabytes();
    ClaimLedger ledger;
    std::uint64_t offset = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; i <= Keys; ++i) {
        const KeyHash key {i * 0x9e3779b97f4a7c15, i};
        applyClaims(ledger, {++offset}, {1000},
                    {Claim {key, {i}, {i}, {"booking-1"}, {i}, std::chrono::hours(24)},
                     ClaimOutcome {key, {i}, {200, R"({"confirmed":true,"number":123456})"}}});
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    print("ledger_bytes_per_key", (residentMegabytes() - before) * 1e6 / Keys);
    print("ledger_apply_us", took.count() / Keys);
}

void benchBytes()
{
    print("heartbeat_bytes", static_cast<double>(encodeDatagram(heartbeat(1)).size()));
    DigestMessage digest;
    digest.instance_ = {"entry-1"};
    digest.entry_ = {"10.0.0.1", 7000};
    print("digest_bytes", static_cast<double>(encodeDatagram(digest).size()));
    for (int i = 0; i < 64; ++i)
        digest.demand_.push_back({{"organisation-" + std::to_string(i)}, 100});
    print("digest_bytes.64_organisations", static_cast<double>(encodeDatagram(digest).size()));
    StepMessage step;
    step.plan_.request_ = {"entry-1-123456-1"};
    for (int i = 0; i < 4; ++i)
        step.plan_.route_.push_back({{"stage-1-" + std::to_string(i)}, {"10.0.0.1", 7000}, {}});
    step.inputs_ = {"0123456789abcdef"};
    print("step_bytes.4_hops", static_cast<double>(encodeFrame(step).size()));
    print("step_encode_decode_us", microseconds(
                                           [&] {
                                               const std::string frame = encodeFrame(step);
                                               decodePayload(*decodeFrameHeader(frame),
                                                             frame.substr(FrameHeaderBytes));
                                           },
                                           500));
}

//! A model of 80 layers on three kinds of accelerator in nine failure domains.
EngineSpec gatewayEngine()
{
    EngineSpec engine;
    engine.layers_ = 80;
    engine.layerBytes_ = {1'750'000'000};
    engine.kvBytesPerToken_ = {590'000};
    engine.activationBytesPerToken_ = {29'500};
    engine.slots_ = 192;
    engine.decodeStepTime_ = Duration(1020);
    engine.prefillTokensPerSecond_ = 164'000;
    engine.typicalPrompt_ = {774};
    engine.typicalOutput_ = {210};
    engine.accelerators_ = {{{"a"}, {{72'000'000'000}, 2.4, 3.2}},
                            {{"b"}, {{14'400'000'000}, 5.3, 7.9}},
                            {{"c"}, {{21'600'000'000}, 16, 8.2}}};
    return engine;
}

std::vector<PlacementNode> gatewayFleet(int members)
{
    static constexpr const char *Kinds[] = {"a", "b", "b", "b", "b", "c", "c", "c", "c"};
    const int domains = members < 300 ? 3 : 9;
    std::vector<PlacementNode> nodes;
    for (int i = 0; i < members; ++i) {
        PlacementNode node;
        node.endpoint_ = {"i-" + std::to_string(i)};
        node.domain_ = {"d" + std::to_string(i % domains)};
        node.kind_ = {Kinds[i / domains % 9]};
        nodes.push_back(std::move(node));
    }
    return nodes;
}

void benchGateway(int members)
{
    const EngineSpec engine = gatewayEngine();
    std::vector<PlacementNode> fleet = gatewayFleet(members);
    const std::string suffix = "." + std::to_string(members);
    std::vector<PlacementMove> moves;
    print("place_all_us" + suffix,
          microseconds([&] { moves = planPlacement(engine, fleet, fleet.size()); }, 1));
    std::vector<PathNode> nodes;
    for (const PlacementMove &move : moves) {
        for (PlacementNode &node : fleet) {
            if (node.endpoint_ == move.endpoint_)
                node.layers_ = move.layers_;
        }
    }
    for (const PlacementNode &node : fleet) {
        const AcceleratorSpec &kind = engine.accelerators_.at(node.kind_);
        PathNode path {node.endpoint_, {"10.0.0.1", 80}, node.domain_, *node.layers_};
        path.decodeFactor_ = kind.decodeFactor_;
        path.prefillFactor_ = kind.prefillFactor_;
        path.kvCapacity_
                = kvCapacity(engine, kind, node.layers_->end_.value_ - node.layers_->first_.value_);
        nodes.push_back(std::move(path));
    }
    print("place_none_us" + suffix,
          microseconds([&] { planPlacement(engine, fleet, engine.concurrentLoads_); }, 3));
    const PathDemand demand {{"d0"}, {774}, {105}, false};
    print("path_plan_us" + suffix, microseconds([&] { planPath(engine, nodes, demand); }, 10));
    GatewayDigestMessage digest;
    digest.instance_ = {"gateway-1"};
    for (const PlacementNode &node : fleet)
        digest.loads_.push_back({node.endpoint_, 1e6, Duration(5000), 10, 0});
    print("gateway_digest_bytes" + suffix, static_cast<double>(encodeDatagram(digest).size()));
}

} // namespace

int main()
{
    for (const int members : {43, 300, 3100})
        benchRoutes(members);
    for (const int organisations : {10, 420})
        benchQueue(organisations);
    for (const int members : {43, 300, 3100})
        benchGateway(members);
    benchLedger();
    benchBytes();
}
