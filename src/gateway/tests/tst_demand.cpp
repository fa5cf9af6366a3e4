// Reports of demand between gateways: how long they count, how they are summed, and what is
// dropped.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

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

//! A digest that arrives at a gateway of domain a.
struct Arriving
{
    int atMs_;
    const char *sender_;
    const char *domain_;
    DigestScope scope_;
    std::uint64_t sequence_;
    double waiting_;
};

struct DemandCase
{
    const char *name_;
    std::vector<Arriving> digests_;
    int atMs_;
    //! Work that waits at all other gateways; negative if it is unknown.
    double waiting_;
};

std::ostream &operator<<(std::ostream &out, const DemandCase &test)
{
    return out << test.name_;
}

constexpr double Infinite = std::numeric_limits<double>::infinity();
constexpr DigestScope One = DigestScope::Gateway;
constexpr DigestScope Sum = DigestScope::Domain;

const DemandCase DemandCases[] = {
        {"no digest", {}, 0, -1},
        {"two gateways of the domain",
         {{0, "g1", "a", One, 1, 5}, {0, "g2", "a", One, 1, 7}},
         0,
         12},
        {"a newer digest replaces an older one",
         {{0, "g1", "a", One, 1, 5}, {200, "g1", "a", One, 2, 3}},
         200,
         3},
        {"a repeated digest", {{0, "g1", "a", One, 2, 5}, {200, "g1", "a", One, 2, 5}}, 200, 5},
        {"a late digest", {{0, "g1", "a", One, 2, 5}, {200, "g1", "a", One, 1, 9}}, 200, 5},
        {"lost digests: the last one counts for 1.5 s", {{0, "g1", "a", One, 1, 5}}, 1500, 5},
        {"no digest for longer", {{0, "g1", "a", One, 1, 5}}, 1501, -1},
        {"the sum over another domain",
         {{0, "g1", "a", One, 1, 5}, {0, "g9", "b", Sum, 1, 70}},
         0,
         75},
        {"a gateway of another domain is part of its sum", {{0, "g9", "b", One, 1, 70}}, 0, -1},
        {"the sum over another domain counts for 0.8 s, since its parts may be 0.7 s old",
         {{0, "g9", "b", Sum, 1, 70}},
         800,
         70},
        {"an older sum over another domain", {{0, "g9", "b", Sum, 1, 70}}, 801, -1},
        {"negative work", {{0, "g1", "a", One, 1, 5}, {0, "g2", "a", One, 1, -7}}, 0, 5},
        {"infinite work", {{0, "g1", "a", One, 1, 5}, {0, "g2", "a", One, 1, Infinite}}, 0, 5},
        {"no number", {{0, "g1", "a", One, 1, 5}, {0, "g9", "b", Sum, 1, std::nan("")}}, 0, 5},
        {"huge work", {{0, "g1", "a", One, 1, 5}, {0, "g9", "b", Sum, 1, 2e9}}, 0, 5},
};

GatewayDigestMessage digestOf(const Arriving &arriving)
{
    GatewayDigestMessage digest;
    digest.scope_ = arriving.scope_;
    digest.instance_ = {arriving.sender_};
    digest.domain_ = {arriving.domain_};
    digest.gateway_ = {arriving.sender_, 7000};
    digest.incarnation_ = {1};
    digest.sequence_ = arriving.sequence_;
    digest.demand_ = {{{"model"}, Rank::Standard, arriving.waiting_, 0, 0}};
    return digest;
}

GatewayControl gatewayOfDomainA()
{
    GatewayControl control;
    control.self_ = {"g0"};
    control.members_.self_ = {"g0", 7000};
    control.members_.domain_ = {"a"};
    return control;
}

std::size_t linesAbout(const GatewayControl &control, const std::string &event)
{
    std::size_t count = 0;
    for (const GatewayControlEffect &effect : control.effects_) {
        const auto *line = std::get_if<LogEvent>(&effect);
        count += line != nullptr && line->text_.find(event) != std::string::npos ? 1 : 0;
    }
    return count;
}

struct ArrivalCase
{
    const char *name_;
    //! Target with 1000 tokens/s started, and the work that waits for it at the other gateways.
    const char *target_;
    double waiting_;
    std::uint32_t gateways_;
    int callerTimeoutMs_;
    bool hasEndpoint_;
    //! "refused", "queued" or "sent".
    const char *outcome_;
};

std::ostream &operator<<(std::ostream &out, const ArrivalCase &test)
{
    return out << test.name_;
}

//! The queue timeout of the route is 960 ms.
const ArrivalCase ArrivalCases[] = {
        {"nothing is known of the others", "", 0, 5, 3000, false, "queued"},
        {"only another target is known", "model", 5000, 5, 3000, false, "queued"},
        {"little work waits", "desk", 90, 5, 3000, false, "queued"},
        {"a wait within the queue timeout", "desk", 950, 5, 3000, false, "queued"},
        {"a wait beyond it", "desk", 970, 5, 3000, false, "refused"},
        {"a wait beyond the caller's deadline", "desk", 600, 5, 500, false, "refused"},
        {"a long wait elsewhere, and a free endpoint", "desk", 5000, 5, 3000, true, "sent"},
};

GatewayView viewFor(const ArrivalCase &test)
{
    RouteRule route;
    route.name_ = {"commit"};
    route.host_ = "desk";
    route.pathPrefix_ = "/commit/";
    route.timeout_ = seconds(3);
    route.latencyTarget_ = milliseconds(300);
    route.priority_ = {2};
    route.targets_ = {{{"desk"}, 1}};
    DesiredState desired;
    desired.version_ = {1};
    desired.routes_ = {route};
    desired.targets_ = {{{"desk"}, "", 0, {}}};
    ListedEndpoint endpoint;
    endpoint.id_ = {"d1"};
    endpoint.target_ = {"desk"};
    endpoint.address_ = {"127.0.0.1", 1};
    endpoint.slots_ = 6;
    EndpointListState list;
    if (test.hasEndpoint_)
        applyEndpointList(list, {endpoint}, at(0), at(0));
    GatewayView view;
    view.table_ = buildRouteTable(std::move(desired));
    view.endpoints_ = buildEndpointIndex(list);
    view.gatewayCount_ = test.gateways_;
    auto demand = std::make_shared<FleetDemand>();
    if (*test.target_ != '\0')
        addDemand(*demand, {{{test.target_}, Rank::Background, test.waiting_, 1000, 1000}});
    view.peerDemand_ = demand;
    return view;
}

std::string outcomeOf(const GatewayTraffic &traffic)
{
    for (const GatewayEffect &effect : traffic.effects_) {
        if (std::holds_alternative<DispatchRequest>(effect))
            return "sent";
        if (const auto *refusal = std::get_if<RefuseRequest>(&effect))
            return refusal->refusal_ == GatewayRefusal::Overloaded ? "refused" : "wrong";
    }
    return "queued";
}

} // namespace

// A request that is kept although it will be refused later, and one that is refused although it
// could be served or nothing speaks against it.
BOOST_DATA_TEST_CASE(requestsAreRefusedByTheirExpectedWait, ArrivalCases, test)
{
    GatewayTraffic traffic;
    GatewayRequest request;
    request.exchange_ = {1};
    request.id_ = {"r1"};
    request.host_ = "desk";
    request.path_ = "/commit/x";
    request.timeout_ = milliseconds(test.callerTimeoutMs_);
    onGatewayRequest(traffic, viewFor(test), std::move(request), at(0));
    BOOST_TEST(outcomeOf(traffic) == test.outcome_);
    BOOST_TEST(traffic.counters_.refusedOnArrival_[2]
               == (outcomeOf(traffic) == "refused" ? 1U : 0U));
}

// Demand of gateways that have gone, that counts twice or that nobody measured makes gateways
// refuse requests that could be served.
BOOST_DATA_TEST_CASE(recentDemandOfOthersIsSummed, DemandCases, test)
{
    GatewayControl control = gatewayOfDomainA();
    for (const Arriving &arriving : test.digests_)
        onGatewayDigest(control, digestOf(arriving), at(arriving.atMs_));
    const GatewayView view = gatewayViewOf(control, at(test.atMs_));
    const auto found = view.peerDemand_->find({"model"});
    const double waiting = found == view.peerDemand_->end() ? -1 : found->second[1].waiting_;
    BOOST_TEST(waiting == test.waiting_);
}

// A gateway that sends nonsense with each digest must not fill the others' logs.
BOOST_AUTO_TEST_CASE(droppedDemandIsLoggedOnceASecond)
{
    constexpr int Digests = 20;
    GatewayControl control = gatewayOfDomainA();
    for (int i = 0; i < Digests; ++i)
        onGatewayDigest(control,
                        digestOf({i * 100, "g1", "a", One, static_cast<std::uint64_t>(i + 1), -1}),
                        at(i * 100));
    BOOST_TEST(linesAbout(control, "demand-dropped") == 2U);
}

// The sum over a domain that leaves out the own gateway, or counts gateways that have gone silent,
// misleads the other domains.
BOOST_AUTO_TEST_CASE(sumOfDomainContainsItsDemand)
{
    PeersState peers;
    applyDigest(peers, digestOf({0, "g1", "a", One, 1, 5}), at(0));
    applyDigest(peers, digestOf({500, "g2", "a", One, 1, 7}), at(500));
    const GatewayDigestMessage own = digestOf({0, "g0", "a", One, 1, 100});
    const auto waitingAt = [&](int ms) {
        return sumOfDomain(peers, own, at(ms)).demand_.front().waitingTokens_;
    };
    BOOST_TEST(waitingAt(700) == 112);
    BOOST_TEST(waitingAt(701) == 107);
    BOOST_TEST(waitingAt(1300) == 100);
}
