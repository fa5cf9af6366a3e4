//! Gateways of one domain in front of endpoints with limited room, in virtual time. The gateways
//! see each other's load by digests that come late and are lost in part. For tst_rankroom.cpp.
#pragma once

#include <array>
#include <functional>
#include <map>

#include "core/random.h"
#include "filters/gatewayfilters.h"
#include "gateway/control.h"
#include "gateway/traffic.h"

namespace gypsumcroft::rankfleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr int StepMs = 5;
inline constexpr int DigestDelayMs = 200;
inline constexpr double DigestLoss = 0.2;
inline constexpr int CallerTimeoutMs = 20'000;
inline constexpr std::size_t Endpoints = 8;
inline constexpr std::uint32_t SlotsOfEndpoint = 64;
inline constexpr int PrefillMs = 150;
//! Time between the events of a stream, and how many follow the first one.
inline constexpr int EventGapMs = 950;
inline constexpr int FurtherEvents = 3;
//! Requests a second that the endpoints can carry.
inline constexpr double Capacity
        = 1000.0 * Endpoints * SlotsOfEndpoint / (PrefillMs + FurtherEvents * EventGapMs);

//! The kinds of request, one for each rank.
struct Kind
{
    const char *path_;
    int latencyTargetMs_;
};
inline constexpr std::array<Kind, RankCount> Kinds
        = {{{"/draft/", 500}, {"/summary/", 600}, {"/backfile/", 1200}}};

//! Requests a second of each rank from a time on.
struct Load
{
    int fromMs_;
    std::array<double, RankCount> perSecond_;
};

struct FleetCase
{
    const char *name_;
    std::size_t gateways_;
    std::vector<Load> loads_;
    int endMs_;
    //! Callers come back after this time, whatever they are told; zero to do as they are told.
    Duration constantRetryAfter_ {};
    std::uint64_t seed_ = 11;
};

inline std::ostream &operator<<(std::ostream &out, const FleetCase &test)
{
    return out << test.name_;
}

struct Gateway
{
    GatewayControl control_;
    GatewayTraffic traffic_;
    GatewayView view_;
};

//! A request and its retry, if there was one.
struct Call
{
    std::size_t rank_ = 0;
    int sentMs_ = 0;
    int arrivedMs_ = 0;
    bool retried_ = false;
    int firstEventMs_ = -1;
    bool refused_ = false;
};

struct SeenRefusal
{
    int atMs_ = 0;
    std::size_t rank_ = 0;
    int waitedMs_ = 0;
    Duration retryAfter_ {};
    //! Part of all slots in use.
    double fill_ = 0;
    //! Refused for its expected wait.
    bool onArrival_ = false;
};

struct Fleet
{
    FleetCase test_;
    std::vector<Gateway> gateways_;
    std::array<std::uint32_t, Endpoints> running_ {};
    std::multimap<int, std::function<void()>> events_;
    std::map<std::uint64_t, Call> calls_;
    std::map<std::uint64_t, std::uint64_t> callOfExchange_;
    std::vector<SeenRefusal> refusals_;
    std::uint64_t exchanges_ = 0;
    std::uint64_t rejected_ = 0;
    Random random_ {11};
    int nowMs_ = 0;
};

inline TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

inline Address addressOf(std::size_t gateway)
{
    return {"10.0.0." + std::to_string(gateway + 1), 7000};
}

inline DesiredState desiredState()
{
    DesiredState state;
    state.version_ = {1};
    for (std::uint32_t rank = 0; rank < RankCount; ++rank) {
        RouteRule route;
        route.name_ = {Kinds.at(rank).path_};
        route.host_ = "desk";
        route.pathPrefix_ = Kinds.at(rank).path_;
        route.rerunPolicy_ = RerunPolicy::Resume;
        route.isStream_ = true;
        route.timeout_ = milliseconds(CallerTimeoutMs);
        route.latencyTarget_ = milliseconds(Kinds.at(rank).latencyTargetMs_);
        route.eventGapTarget_ = milliseconds(300);
        route.priority_ = {rank};
        route.maxAttempts_ = 2;
        route.targets_ = {{{"model"}, 1}};
        state.routes_.push_back(std::move(route));
    }
    TargetSpec model {{"model"}, "", 0, EngineSpec {}};
    model.engine_->layers_ = 4;
    model.engine_->layerBytes_ = {1'000'000};
    model.engine_->kvBytesPerToken_ = {40};
    model.engine_->prefillTokensPerSecond_ = 400'000;
    model.engine_->decodeStepTime_ = milliseconds(1);
    model.engine_->slots_ = SlotsOfEndpoint;
    model.engine_->accelerators_[{"k"}] = {{8'000'000}, 1, 1};
    state.targets_ = {model};
    return state;
}

inline std::vector<ListedEndpoint> listedEndpoints()
{
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 0; i < Endpoints; ++i) {
        ListedEndpoint endpoint;
        endpoint.id_ = {std::to_string(i)};
        endpoint.target_ = {"model"};
        endpoint.address_ = {"10.1.0.1", static_cast<std::uint16_t>(8000 + i)};
        endpoint.domain_ = {"a"};
        endpoint.slots_ = SlotsOfEndpoint;
        endpoint.accelerator_ = {"k"};
        endpoint.layers_ = LayerRange {{0}, {4}};
        endpoint.incarnation_ = 1;
        listed.push_back(std::move(endpoint));
    }
    return listed;
}

inline void start(Fleet &fleet, std::size_t index)
{
    GatewayControl &control = fleet.gateways_[index].control_;
    control.self_ = {"gateway-" + std::to_string(index)};
    control.incarnation_ = {index + 1};
    control.members_.self_ = addressOf(index);
    control.members_.domain_ = {"a"};
    // Rejections by full endpoints are not the subject here.
    control.bounds_.retry_.slack_ = 5000;
    fleet.gateways_[index].traffic_.random_ = {index};
    onDesiredState(control, desiredState(), at(0), at(0));
    onEndpointList(control, listedEndpoints(), {1}, at(0), at(0));
}

inline void later(Fleet &fleet, int delayMs, std::function<void()> event)
{
    fleet.events_.emplace(fleet.nowMs_ + delayMs, std::move(event));
}

inline void carryOutTraffic(Fleet &fleet, std::size_t index);

inline void withTraffic(Fleet &fleet, std::size_t index,
                        const std::function<void(Gateway &, TimePoint)> &event)
{
    event(fleet.gateways_[index], at(fleet.nowMs_));
    carryOutTraffic(fleet, index);
}

inline void reject(Fleet &fleet, std::size_t index, DispatchId dispatch)
{
    ++fleet.rejected_;
    later(fleet, 1, [&fleet, index, dispatch] {
        withTraffic(fleet, index, [&](Gateway &gateway, TimePoint now) {
            EndpointResponseHead head;
            head.notRun_ = true;
            head.status_ = 429;
            onDispatchHead(gateway.traffic_, gateway.view_, dispatch, head, now);
            onDispatchDone(gateway.traffic_, gateway.view_, dispatch, now);
        });
    });
}

inline void finish(Fleet &fleet, std::size_t index, DispatchId dispatch, std::size_t endpoint)
{
    --fleet.running_.at(endpoint);
    withTraffic(fleet, index, [&](Gateway &gateway, TimePoint now) {
        onDispatchDone(gateway.traffic_, gateway.view_, dispatch, now);
    });
}

//! The next event of a stream, the rest of it, and its end.
inline void answer(Fleet &fleet, std::size_t index, DispatchId dispatch, std::size_t endpoint,
                   int furtherEvents)
{
    withTraffic(fleet, index, [&](Gateway &gateway, TimePoint now) {
        EndpointResponseHead head;
        head.success_ = true;
        head.eventStream_ = true;
        onDispatchHead(gateway.traffic_, gateway.view_, dispatch, head, now);
        onDispatchEvents(gateway.traffic_, gateway.view_, dispatch, EventId {1}, now);
    });
    if (furtherEvents == 0)
        return finish(fleet, index, dispatch, endpoint);
    later(fleet, EventGapMs, [&fleet, index, dispatch, endpoint, furtherEvents] {
        answer(fleet, index, dispatch, endpoint, furtherEvents - 1);
    });
}

inline void dispatch(Fleet &fleet, std::size_t index, const DispatchRequest &request)
{
    const std::size_t endpoint = std::stoul(request.endpoint_.value_);
    if (fleet.running_.at(endpoint) >= SlotsOfEndpoint)
        return reject(fleet, index, request.dispatch_);
    ++fleet.running_.at(endpoint);
    later(fleet, PrefillMs, [&fleet, index, endpoint, id = request.dispatch_] {
        answer(fleet, index, id, endpoint, FurtherEvents);
    });
}

inline void request(Fleet &fleet, std::uint64_t callId)
{
    Call &call = fleet.calls_.at(callId);
    call.arrivedMs_ = fleet.nowMs_;
    GatewayRequest made;
    made.exchange_ = {++fleet.exchanges_};
    made.id_ = {"r" + std::to_string(made.exchange_.value_)};
    made.host_ = "desk";
    made.path_ = Kinds.at(call.rank_).path_ + std::string("x");
    made.timeout_ = milliseconds(call.sentMs_ + CallerTimeoutMs - fleet.nowMs_);
    made.promptTokens_ = {700};
    made.expectedOutput_ = {100};
    made.content_ = {made.exchange_.value_};
    fleet.callOfExchange_[made.exchange_.value_] = callId;
    const std::size_t index = randomBelow(fleet.random_, fleet.gateways_.size());
    withTraffic(fleet, index, [&](Gateway &gateway, TimePoint now) {
        onGatewayRequest(gateway.traffic_, gateway.view_, std::move(made), now);
    });
}

inline double fillOf(const Fleet &fleet)
{
    double running = 0;
    for (const std::uint32_t count : fleet.running_)
        running += count;
    return running / (Endpoints * SlotsOfEndpoint);
}

//! Callers retry once and honour Retry-After up to a third of the time that they have left.
inline void onRefused(Fleet &fleet, const RefuseRequest &refusal, bool onArrival)
{
    const std::uint64_t id = fleet.callOfExchange_.at(refusal.exchange_.value_);
    Call &call = fleet.calls_.at(id);
    fleet.refusals_.push_back({fleet.nowMs_, call.rank_, fleet.nowMs_ - call.arrivedMs_,
                               refusal.retryAfter_, fillOf(fleet), onArrival});
    const int leftMs = call.sentMs_ + CallerTimeoutMs - fleet.nowMs_;
    const Duration constant = fleet.test_.constantRetryAfter_;
    const int delayMs = static_cast<int>((constant > Duration() ? constant : refusal.retryAfter_)
                                         / milliseconds(1));
    if (call.retried_ || delayMs > leftMs / 3) {
        call.refused_ = true;
        return;
    }
    call.retried_ = true;
    later(fleet, delayMs, [&fleet, id] { request(fleet, id); });
}

inline void send(Fleet &fleet, const SendDigest &digest)
{
    for (const Address &to : digest.to_) {
        const std::size_t index = std::stoul(to.host_.substr(to.host_.rfind('.') + 1)) - 1;
        if (randomUnit(fleet.random_) < DigestLoss)
            continue;
        later(fleet, DigestDelayMs, [&fleet, index, message = digest.digest_] {
            onGatewayDigest(fleet.gateways_[index].control_, message, at(fleet.nowMs_));
        });
    }
}

inline void carryOutControl(Fleet &fleet, std::size_t index)
{
    Gateway &gateway = fleet.gateways_[index];
    for (const GatewayControlEffect &effect : std::exchange(gateway.control_.effects_, {})) {
        if (const auto *digest = std::get_if<SendDigest>(&effect)) {
            send(fleet, *digest);
        } else if (std::holds_alternative<GatewayViewChanged>(effect)) {
            gateway.view_ = gatewayViewOf(gateway.control_, at(fleet.nowMs_));
        } else if (std::holds_alternative<RequestPeerAddresses>(effect)) {
            std::vector<Address> listed;
            for (std::size_t i = 0; i < fleet.gateways_.size(); ++i)
                listed.push_back(addressOf(i));
            onPeersListed(gateway.control_, std::move(listed), 64);
        }
    }
}

inline void carryOutTraffic(Fleet &fleet, std::size_t index)
{
    const auto effects = std::exchange(fleet.gateways_[index].traffic_.effects_, {});
    bool onArrival = false;
    for (const GatewayEffect &effect : effects) {
        if (const auto *line = std::get_if<LogEvent>(&effect))
            onArrival = line->text_.find("reason=\"expected wait\"") != std::string::npos;
        if (const auto *sent = std::get_if<DispatchRequest>(&effect))
            dispatch(fleet, index, *sent);
        else if (const auto *begin = std::get_if<BeginStream>(&effect))
            fleet.calls_.at(fleet.callOfExchange_.at(begin->exchange_.value_)).firstEventMs_
                    = fleet.nowMs_;
        else if (const auto *refusal = std::get_if<RefuseRequest>(&effect))
            onRefused(fleet, *refusal, onArrival);
    }
}

inline const Load &loadNow(const Fleet &fleet)
{
    const Load *load = &fleet.test_.loads_.front();
    for (const Load &later : fleet.test_.loads_) {
        if (later.fromMs_ <= fleet.nowMs_)
            load = &later;
    }
    return *load;
}

inline void sendCalls(Fleet &fleet)
{
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        if (randomUnit(fleet.random_) >= loadNow(fleet).perSecond_.at(rank) * StepMs / 1000)
            continue;
        const std::uint64_t id = fleet.calls_.size() + 1;
        fleet.calls_[id] = {rank, fleet.nowMs_};
        request(fleet, id);
    }
}

inline void step(Fleet &fleet)
{
    while (!fleet.events_.empty() && fleet.events_.begin()->first <= fleet.nowMs_) {
        const auto event = std::move(fleet.events_.begin()->second);
        fleet.events_.erase(fleet.events_.begin());
        event();
    }
    const TimePoint now = at(fleet.nowMs_);
    for (std::size_t i = 0; i < fleet.gateways_.size(); ++i) {
        Gateway &gateway = fleet.gateways_[i];
        if (fleet.nowMs_ % 1000 == 0) {
            onDesiredStateConfirmed(gateway.control_, now, now);
            onEndpointList(gateway.control_, listedEndpoints(),
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
    }
    sendCalls(fleet);
}

inline Fleet play(const FleetCase &test)
{
    Fleet fleet;
    fleet.test_ = test;
    fleet.random_ = {test.seed_};
    fleet.gateways_.resize(test.gateways_);
    for (std::size_t i = 0; i < test.gateways_; ++i)
        start(fleet, i);
    for (; fleet.nowMs_ < test.endMs_; fleet.nowMs_ += StepMs)
        step(fleet);
    return fleet;
}

inline std::string refusalsText(const Fleet &fleet)
{
    std::array<int, RankCount> onArrival {};
    std::array<int, RankCount> later {};
    for (const SeenRefusal &refusal : fleet.refusals_)
        ++(refusal.onArrival_ ? onArrival : later).at(refusal.rank_);
    std::string text = "refused on arrival";
    for (const int count : onArrival)
        text += " " + std::to_string(count);
    text += ", later";
    for (const int count : later)
        text += " " + std::to_string(count);
    return text;
}

} // namespace gypsumcroft::rankfleet
