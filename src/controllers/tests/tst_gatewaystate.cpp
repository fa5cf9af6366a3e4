#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "controllers/endpointlist.h"
#include "controllers/gatewayview.h"
#include "controllers/lease.h"
#include "controllers/members.h"
#include "controllers/peers.h"
#include "controllers/probes.h"
#include "controllers/routetable.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

DesiredState stateWith(std::uint64_t version, const std::vector<std::string> &prefixes)
{
    DesiredState state;
    state.version_ = {version};
    for (const std::string &prefix : prefixes) {
        RouteRule route;
        route.name_ = {prefix};
        route.host_ = "desk";
        route.pathPrefix_ = prefix;
        state.routes_.push_back(route);
    }
    state.organisations_ = {{{"firm"}, {"key-1", "key-2"}, {}}};
    return state;
}

struct RouteCase
{
    const char *host_;
    const char *path_;
    const char *route_;
};

std::ostream &operator<<(std::ostream &out, const RouteCase &test)
{
    return out << test.host_ << test.path_;
}

const RouteCase RouteCases[] = {
        {"desk", "/a/", "/a/"},
        {"desk", "/a/x", "/a/"},
        {"desk", "/a/b/x", "/a/b/"},
        {"desk", "/a/bx/y", "/a/"},
        {"desk", "/a", "/"},
        {"desk", "/", "/"},
        {"desk", "/c/d/e/f", "/c/d/"},
        {"other", "/a/", ""},
        {"desk", "", ""},
        {"desk", "x", ""},
        {"desk", "/a//b/x", "/a/"},
};

//! Finds the longest prefix by comparing every route, as a reference for findRoute().
std::string naiveRoute(const DesiredState &state, const std::string &host, const std::string &path)
{
    std::string best;
    for (const RouteRule &route : state.routes_) {
        if (route.host_ == host && path.starts_with(route.pathPrefix_)
            && route.pathPrefix_.size() > best.size())
            best = route.pathPrefix_;
    }
    return best;
}

struct FreshCase
{
    const char *name_;
    int revokeMs_;
    int ageMs_;
    bool keys_;
    bool state_;
};

std::ostream &operator<<(std::ostream &out, const FreshCase &test)
{
    return out << test.name_;
}

const FreshCase FreshCases[] = {
        {"just confirmed", 5000, 0, true, true},
        {"state within 90 % of its bound", 5000, 1800, true, true},
        {"state beyond 90 % of its bound", 5000, 1801, true, false},
        {"keys within 90 % of their bound", 5000, 4500, true, false},
        {"keys beyond 90 % of their bound", 5000, 4501, false, false},
        {"no bound for keys", 0, 60000, true, false},
        {"never confirmed", 5000, -1, false, false},
};

ListedEndpoint listed(const char *id, std::optional<LayerRange> layers = {},
                      std::uint64_t incarnation = 1)
{
    ListedEndpoint endpoint;
    endpoint.id_ = {id};
    endpoint.target_ = {"model"};
    endpoint.address_ = {"127.0.0.1", 8000};
    endpoint.layers_ = layers;
    endpoint.incarnation_ = incarnation;
    return endpoint;
}

LayerRange range(std::uint32_t first, std::uint32_t end)
{
    return {{first}, {end}};
}

//! One response of the endpoint list and the endpoints that are known after it.
struct ListStep
{
    int atMs_;
    std::vector<ListedEndpoint> listed_;
    const char *known_;
};

struct ListCase
{
    const char *name_;
    std::vector<ListStep> steps_;
};

std::ostream &operator<<(std::ostream &out, const ListCase &test)
{
    return out << test.name_;
}

const ListCase ListCases[] = {
        {"a missing endpoint is removed at once while the list is available",
         {{0, {listed("x"), listed("y")}, "x y"}, {1000, {listed("x")}, "x"}}},
        {"an endpoint whose listing expired during an outage is retained and may be listed again",
         {{0, {listed("x"), listed("y")}, "x y"},
          {9000, {listed("x")}, "x y"},
          {11000, {listed("x"), listed("y")}, "x y"}}},
        {"it is removed if it is not listed again within the grace period",
         {{0, {listed("x"), listed("y")}, "x y"},
          {9000, {listed("x")}, "x y"},
          {11050, {listed("x")}, "x y"},
          {11150, {listed("x")}, "x"}}},
        // Guards against requests being sent to an endpoint 3 s after it had left.
        {"an endpoint listed after the outage is removed at once when it goes missing",
         {{0, {listed("x"), listed("y")}, "x y"},
          {9000, {listed("x"), listed("y")}, "x y"},
          {10200, {listed("x")}, "x"}}},
        {"an endpoint listed again after the outage is removed at once when it goes missing",
         {{0, {listed("x"), listed("y")}, "x y"},
          {9000, {listed("x")}, "x y"},
          {10000, {listed("x"), listed("y")}, "x y"},
          {10600, {listed("x")}, "x"}}},
        // The store never goes back: the later of two entries holds, whoever wrote the other.
        {"the right entry after one with a start time far ahead",
         {{0, {listed("x", range(0, 4), 9'000'000'000'000'000)}, "x=0-4"},
          {1000, {listed("x", range(2, 4), 1)}, "x=2-4"},
          {2000, {listed("x", {}, 3)}, "x"}}},
};

std::string textOf(const EndpointListState &state)
{
    std::string text;
    for (const auto &[id, known] : state.endpoints_) {
        text += (text.empty() ? "" : " ") + id.value_;
        if (known.listed_.layers_)
            text += "=" + std::to_string(known.listed_.layers_->first_.value_) + "-"
                    + std::to_string(known.listed_.layers_->end_.value_);
    }
    return text;
}

struct PollCase
{
    const char *name_;
    std::vector<ListStep> steps_;
    int nextMs_;
};

std::ostream &operator<<(std::ostream &out, const PollCase &test)
{
    return out << test.name_;
}

const PollCase PollCases[] = {
        {"the usual interval", {{0, {listed("x")}, "x"}}, 1200},
        {"the usual interval after an outage in which no listing expired",
         {{0, {listed("x")}, "x"}, {9000, {listed("x")}, "x"}},
         10200},
        {"the usual interval while the grace period ends later",
         {{0, {listed("x"), listed("y")}, "x y"}, {9000, {listed("x")}, "x y"}},
         10200},
        {"the end of the grace period if it is earlier",
         {{0, {listed("x"), listed("y")}, "x y"},
          {9000, {listed("x")}, "x y"},
          {10200, {listed("x")}, "x y"}},
         11100},
        {"the usual interval once all expired endpoints are listed again",
         {{0, {listed("x"), listed("y")}, "x y"},
          {9000, {listed("x")}, "x y"},
          {10200, {listed("x"), listed("y")}, "x y"}},
         11400},
};

struct ReportCase
{
    const char *name_;
    int reportMs_;
    std::uint64_t incarnation_;
    int listMs_;
    std::uint64_t listIncarnation_;
    const char *known_;
};

std::ostream &operator<<(std::ostream &out, const ReportCase &test)
{
    return out << test.name_;
}

// The list shows layers 0-4 throughout; the endpoint itself reports layers 4-8.
const ReportCase ReportCases[] = {
        {"the report takes precedence over a list that may lag", 1000, 1, 2000, 1, "x=4-8"},
        {"the list takes precedence once its maximum lag is over", 1000, 1, 4100, 1, "x=0-4"},
        {"a list with a newer incarnation takes precedence", 1000, 1, 2000, 2, "x=0-4"},
        {"a report without an incarnation is accepted", 1000, 0, 2000, 1, "x=4-8"},
};

enum class LeaseEvent { Granted, Denied, Failed, Left, Nothing };

struct LeaseStep
{
    int atMs_;
    LeaseEvent event_;
    std::uint64_t generation_;
    bool holds_;
};

struct LeaseCase
{
    const char *name_;
    std::vector<LeaseStep> steps_;
};

std::ostream &operator<<(std::ostream &out, const LeaseCase &test)
{
    return out << test.name_;
}

// The lease is valid for its lifetime of 2,000 ms less the margin of 400 ms from the time when the
// join was sent.
const LeaseCase LeaseCases[] = {
        {"renewed, then expired",
         {{0, LeaseEvent::Granted, 1, true},
          {700, LeaseEvent::Granted, 1, true},
          {2200, LeaseEvent::Nothing, 0, true},
          {2299, LeaseEvent::Nothing, 0, true},
          {2300, LeaseEvent::Nothing, 0, false}}},
        {"expires while the holder is suspended",
         {{0, LeaseEvent::Granted, 1, true}, {5000, LeaseEvent::Nothing, 0, false}}},
        {"expires when joins fail",
         {{0, LeaseEvent::Granted, 1, true},
          {700, LeaseEvent::Failed, 0, true},
          {1600, LeaseEvent::Failed, 0, false}}},
        {"granted to another process",
         {{0, LeaseEvent::Granted, 1, true}, {700, LeaseEvent::Denied, 2, false}}},
        {"a response of an older generation is ignored",
         {{0, LeaseEvent::Granted, 3, true},
          {700, LeaseEvent::Denied, 4, false},
          {800, LeaseEvent::Granted, 3, false}}},
        {"released on leaving, and not granted by later responses",
         {{0, LeaseEvent::Granted, 1, true},
          {100, LeaseEvent::Left, 0, false},
          {110, LeaseEvent::Granted, 1, false},
          {120, LeaseEvent::Granted, 2, false}}},
};

//! One event in the probing of an endpoint and the state after it.
struct ProbeStep
{
    int atMs_;
    enum { Request, Answered, Silent, Tick } event_;
    bool probed_;
    bool down_;
    bool lost_;
};

struct ProbeCase
{
    const char *name_;
    std::vector<ProbeStep> steps_;
};

std::ostream &operator<<(std::ostream &out, const ProbeCase &test)
{
    return out << test.name_;
}

const ProbeCase ProbeCases[] = {
        {"an answered probe suppresses further probes for a growing time",
         {{0, ProbeStep::Request, true, false, false},
          {1, ProbeStep::Request, false, false, false},
          {5, ProbeStep::Answered, false, false, false},
          {100, ProbeStep::Request, false, false, false},
          {705, ProbeStep::Request, true, false, false},
          {710, ProbeStep::Answered, false, false, false},
          {1500, ProbeStep::Request, false, false, false},
          {2110, ProbeStep::Request, true, false, false}}},
        {"down, lost, available again",
         {{0, ProbeStep::Request, true, false, false},
          {450, ProbeStep::Silent, false, true, false},
          {1000, ProbeStep::Tick, false, true, false},
          {1050, ProbeStep::Tick, true, true, false},
          {1500, ProbeStep::Silent, false, true, true},
          {2100, ProbeStep::Tick, true, true, true},
          {2105, ProbeStep::Answered, false, false, false}}},
};

GatewayDigestMessage digest(const char *from, std::uint64_t incarnation, std::uint64_t sequence,
                            double tokens)
{
    GatewayDigestMessage message;
    message.instance_ = {from};
    message.gateway_ = {from, 7000};
    message.incarnation_ = {incarnation};
    message.sequence_ = sequence;
    message.loads_ = {{{"x"}, tokens, milliseconds(5), 1, 0}};
    return message;
}

struct PeerStep
{
    int atMs_;
    std::optional<GatewayDigestMessage> digest_;
    double tokens_;
};

struct PeerCase
{
    const char *name_;
    std::vector<PeerStep> steps_;
};

std::ostream &operator<<(std::ostream &out, const PeerCase &test)
{
    return out << test.name_;
}

const PeerCase PeerCases[] = {
        {"the loads of all peers are summed",
         {{0, digest("g1", 1, 1, 10), 10}, {10, digest("g2", 1, 1, 5), 15}}},
        {"an older digest of a peer is ignored",
         {{0, digest("g1", 1, 1, 10), 10},
          {200, digest("g1", 1, 3, 20), 20},
          {210, digest("g1", 1, 2, 15), 20}}},
        {"a restarted peer starts a new sequence",
         {{0, digest("g1", 1, 9, 10), 10}, {200, digest("g1", 2, 1, 2), 2}}},
        {"a silent peer no longer counts",
         {{0, digest("g1", 1, 1, 10), 10}, {1500, {}, 10}, {1501, {}, 0}}},
};

} // namespace

BOOST_DATA_TEST_CASE(longestPrefixIsFound, RouteCases, test)
{
    const auto table = buildRouteTable(stateWith(1, {"/", "/a/", "/a/b/", "/c/d/"}));
    const RouteRule *route = findRoute(*table, test.host_, test.path_);
    BOOST_TEST((route == nullptr ? "" : route->name_.value_) == test.route_);
}

BOOST_AUTO_TEST_CASE(routesMatchLinearSearch)
{
    BOOST_TEST(rc::check("indexed routes are the longest prefixes", [] {
        const auto path = [] {
            std::string text = "/";
            const int steps = *rc::gen::inRange(0, 4);
            for (int i = 0; i < steps; ++i)
                text += std::string(*rc::gen::element("a", "b", "ab", "")) + "/";
            return text;
        };
        std::vector<std::string> prefixes;
        const int count = *rc::gen::inRange(0, 6);
        prefixes.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            prefixes.push_back(path());
        const auto table = buildRouteTable(stateWith(1, prefixes));
        const std::string requested = path() + *rc::gen::element("", "a", "b");
        const RouteRule *route = findRoute(*table, "desk", requested);
        RC_ASSERT((route == nullptr ? "" : route->pathPrefix_)
                  == naiveRoute(table->state_, "desk", requested));
    }));
}

BOOST_AUTO_TEST_CASE(olderStatesAreIgnored)
{
    RouteTableState state;
    BOOST_TEST(applyDesiredState(state, stateWith(7, {"/a/"}), at(0)));
    BOOST_TEST(!applyDesiredState(state, stateWith(7, {"/b/"}), at(1)));
    BOOST_TEST(!applyDesiredState(state, stateWith(6, {"/b/"}), at(2)));
    BOOST_TEST(findRoute(*state.table_, "desk", "/a/x") != nullptr);
    BOOST_TEST(findOrganisation(*state.table_, "key-2")->organisation_.value_ == "firm");
    BOOST_TEST(findOrganisation(*state.table_, "key-3") == nullptr);
    BOOST_TEST(applyDesiredState(state, stateWith(9, {"/b/"}), at(3)));
    BOOST_TEST(findRoute(*state.table_, "desk", "/a/x") == nullptr);
}

BOOST_DATA_TEST_CASE(freshnessExpires, FreshCases, test)
{
    GatewayView view;
    view.freshness_.maxKeyAge_ = milliseconds(test.revokeMs_);
    view.freshness_.maxStateAge_ = milliseconds(2000);
    if (test.ageMs_ >= 0)
        view.stateConfirmedAt_ = at(0);
    BOOST_TEST(keysAreFresh(view, at(std::max(0, test.ageMs_))) == test.keys_);
    BOOST_TEST(stateIsFresh(view, at(std::max(0, test.ageMs_))) == test.state_);
}

BOOST_DATA_TEST_CASE(listedEndpointsAreKnown, ListCases, test)
{
    EndpointListState state;
    for (const ListStep &step : test.steps_) {
        applyEndpointList(state, step.listed_, at(step.atMs_), at(step.atMs_));
        BOOST_TEST(textOf(state) == step.known_);
    }
}

BOOST_AUTO_TEST_CASE(listFailureIsLoggedOnce)
{
    EndpointListState state;
    applyEndpointList(state, {}, at(0), at(10));
    onListPollFailed(state, "reset", at(1000));
    onListPollFailed(state, "reset", at(2000));
    applyEndpointList(state, {}, at(3000), at(3010));
    applyEndpointList(state, {}, at(4000), at(4010));
    BOOST_REQUIRE(state.log_.size() == 2U);
    BOOST_TEST(state.log_[0].text_ == "event=endpoint-list-lost reason=reset list_age_ms=1000.000");
    BOOST_TEST(state.log_[1].text_ == "event=endpoint-list-regained list_age_ms=3010.000");
}

BOOST_DATA_TEST_CASE(nextPollTime, PollCases, test)
{
    EndpointListState state;
    for (const ListStep &step : test.steps_)
        applyEndpointList(state, step.listed_, at(step.atMs_), at(step.atMs_));
    BOOST_TEST((nextListPoll(state, at(test.steps_.back().atMs_)) == at(test.nextMs_)));
}

BOOST_DATA_TEST_CASE(reportsTakePrecedenceOverList, ReportCases, test)
{
    EndpointListState state;
    applyEndpointList(state, {listed("x", range(0, 4), 1)}, at(0), at(0));
    applyLoadedLayers(state, {"x"}, range(4, 8), test.incarnation_, at(test.reportMs_));
    applyEndpointList(state, {listed("x", range(0, 4), test.listIncarnation_)}, at(test.listMs_),
                      at(test.listMs_));
    BOOST_TEST(textOf(state) == test.known_);
}

BOOST_DATA_TEST_CASE(leaseValidity, LeaseCases, test)
{
    LeaseState state;
    for (const LeaseStep &step : test.steps_) {
        if (step.event_ == LeaseEvent::Granted || step.event_ == LeaseEvent::Denied)
            applyJoinResponse(state, {step.generation_}, step.event_ == LeaseEvent::Granted,
                              at(step.atMs_));
        if (step.event_ == LeaseEvent::Failed)
            applyJoinFailure(state, at(step.atMs_));
        if (step.event_ == LeaseEvent::Left) {
            releaseLease(state);
            BOOST_TEST(!takeDueJoin(state, at(step.atMs_ + 5000)));
        }
        BOOST_TEST(holdsLease(state, at(step.atMs_)) == step.holds_);
    }
}

BOOST_DATA_TEST_CASE(requestedProbesAreSent, ProbeCases, test)
{
    EndpointListState list;
    applyEndpointList(list, {listed("x"), listed("y"), listed("z")}, at(0), at(0));
    ProbeState state;
    for (const ProbeStep &step : test.steps_) {
        state.reportRequests_.clear();
        if (step.event_ == ProbeStep::Request)
            requestProbe(state, list, {"x"}, at(step.atMs_));
        else if (step.event_ == ProbeStep::Tick)
            tickProbes(state, list, at(step.atMs_));
        else
            onProbeResult(state, {"x"}, step.event_ == ProbeStep::Answered, at(step.atMs_));
        BOOST_TEST(!state.reportRequests_.empty() == step.probed_);
        BOOST_TEST(downEndpoints(state).contains({"x"}) == step.down_);
        BOOST_TEST(lostEndpoints(state, list).contains({"x"}) == step.lost_);
    }
}

// Guards against a process that is itself disconnected treating all endpoints as lost and ordering
// their layers to be loaded again.
BOOST_AUTO_TEST_CASE(mostEndpointsAreNeverLost)
{
    EndpointListState list;
    applyEndpointList(list, {listed("x"), listed("y"), listed("z")}, at(0), at(0));
    ProbeState state;
    for (const char *id : {"x", "y"}) {
        for (int i = 0; i < 2; ++i) {
            requestProbe(state, list, {id}, at(1000 * i));
            onProbeResult(state, {id}, false, at(1000 * i + 1));
        }
    }
    BOOST_TEST(downEndpoints(state).size() == 2U);
    BOOST_TEST(lostEndpoints(state, list).empty());
}

BOOST_DATA_TEST_CASE(peerLoadsAreSummed, PeerCases, test)
{
    PeersState state;
    for (const PeerStep &step : test.steps_) {
        removeSilentPeers(state, at(step.atMs_));
        if (step.digest_)
            applyDigest(state, *step.digest_, at(step.atMs_));
        const auto shares = totalPeerLoads(state);
        const auto found = shares->find({"x"});
        BOOST_TEST((found == shares->end() ? 0 : found->second.kvUsed_) == step.tokens_);
    }
}

namespace {

struct RecipientCase
{
    const char *name_;
    std::uint64_t sequence_;
    bool settled_;
    std::vector<const char *> to_;
};

std::ostream &operator<<(std::ostream &out, const RecipientCase &test)
{
    return out << test.name_;
}

// near is in the same failure domain as the sender, far in another one and settled, seeking in
// another one and not settled; listed is known from the platform only. Besides near, which gets the
// whole digest each time:
const RecipientCase RecipientCases[] = {
        {"settled and first of its domain", 1, true, {"seeking"}},
        {"settled and first of its domain, at its repair", 10, true, {"listed", "seeking"}},
        {"not settled", 1, false, {"listed", "seeking"}},
};

} // namespace

BOOST_DATA_TEST_CASE(digestRecipientsByDomain, RecipientCases, test)
{
    MembersState state;
    state.self_ = {"self", 7000};
    state.domain_ = {"a"};
    state.listed_ = {{"listed", 7000}, {"self", 7000}};
    GatewayDigestMessage near = digest("near", 1, 1, 0);
    near.domain_ = {"a"};
    // It leaves what one does for all to the sender.
    near.settled_ = near.stopping_ = true;
    GatewayDigestMessage far = digest("far", 1, 1, 0);
    far.domain_ = {"b"};
    far.settled_ = true;
    GatewayDigestMessage seeking = digest("seeking", 1, 1, 0);
    seeking.domain_ = {"c"};
    far.members_ = {{{"named", 7000}, {"b"}, milliseconds(100), {}},
                    {{"near by name", 7000}, {"a"}, seconds(5), {}},
                    {{"near long ago", 7000}, {"a"}, seconds(20), {}},
                    {{"never", 7000}, {"a"}, seconds(100), {}},
                    {{"future", 7000}, {"a"}, -seconds(1), {}}};
    state.limits_.settleTime_ = test.settled_ ? Duration() : seconds(2);
    for (const GatewayDigestMessage &message : {near, far, seeking})
        applyMemberDigest(state, message, at(0));
    std::vector<std::string> recipients;
    for (const Address &to : searchRecipients(state, test.sequence_, at(100)))
        recipients.push_back(to.host_);
    const auto whole = digestRecipients(state, test.sequence_, at(100));
    BOOST_REQUIRE(whole.size() == 2U);
    BOOST_TEST(whole[0].host_ == "near");
    BOOST_TEST(whole[1].host_ == "near by name");
    const std::vector<std::string> expected(test.to_.begin(), test.to_.end());
    BOOST_TEST(recipients == expected, boost::test_tools::per_element());
    // Named members count, except for those that were last heard of too long ago.
    BOOST_TEST(knownGateways(state) == 7U);
}

namespace {

struct TurnCase
{
    std::size_t gateways_;
    std::size_t maxRecipients_;
};

std::ostream &operator<<(std::ostream &out, const TurnCase &test)
{
    return out << test.gateways_ << " gateways, " << test.maxRecipients_ << " recipients";
}

const TurnCase TurnCases[] = {{64, 64}, {65, 64}, {100, 64}, {350, 64}, {350, 256}, {10, 1}};

} // namespace

// No gateway is left out for good when there are more than one digest may go to.
BOOST_DATA_TEST_CASE(everyMemberGetsDigests, TurnCases, test)
{
    MembersState state;
    state.limits_.maxRecipients_ = test.maxRecipients_;
    for (std::size_t i = 0; i < test.gateways_; ++i) {
        GatewayDigestMessage message = digest("peer", 1, 1, 0);
        message.gateway_ = {"peer-" + std::to_string(i), 7000};
        applyMemberDigest(state, message, at(0));
    }
    std::set<Address> reached;
    for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
        const auto recipients = digestRecipients(state, sequence, at(0));
        BOOST_TEST(recipients.size() <= test.maxRecipients_);
        reached.insert(recipients.begin(), recipients.end());
    }
    BOOST_TEST(reached.size() == test.gateways_);
}

namespace {

struct ShareCase
{
    std::uint32_t share_;
    std::uint32_t partitions_;
    std::uint32_t listed_;
    std::uint32_t known_;
    bool settled_;
};

std::ostream &operator<<(std::ostream &out, const ShareCase &test)
{
    return out << test.share_ << " of " << test.partitions_ << ", " << test.listed_ << " listed";
}

const ShareCase ShareCases[] = {
        {24, 24, 0, 1, true},  {24, 24, 1, 1, true},   {12, 24, 0, 2, false},
        {12, 24, 2, 2, true},  {2, 24, 0, 9, false},   {2, 24, 12, 12, true},
        {1, 24, 23, 23, true}, {1, 24, 24, 24, false}, {0, 24, 24, 25, false},
        {0, 24, 0, 25, false}, {1, 1, 1, 1, false},    {0, 1, 1, 2, false},
};

} // namespace

// What the group's partitions tell about the number of gateways before any digest has come.
BOOST_DATA_TEST_CASE(gatewaysByPartitionShare, ShareCases, test)
{
    MembersState state;
    std::vector<Address> listed;
    for (std::uint32_t i = 0; i < test.listed_; ++i)
        listed.push_back({"peer", static_cast<std::uint16_t>(i)});
    if (test.listed_ > 0)
        applyListedMembers(state, listed, test.partitions_);
    applyPartitionShare(state, test.share_, test.partitions_);
    BOOST_TEST(knownGateways(state) == test.known_);
    BOOST_TEST(membersSettled(state, at(0)) == test.settled_);
}

namespace {

struct LagCase
{
    const char *name_;
    int listedAtMs_;
    std::uint64_t incarnation_;
    const char *known_;
};

std::ostream &operator<<(std::ostream &out, const LagCase &test)
{
    return out << test.name_;
}

// The endpoint's own report, at 1000 ms, shows incarnation 5 with layers 0 to 4.
const LagCase LagCases[] = {
        {"an earlier incarnation, within the list's lag", 1500, 4, "x=0-4"},
        {"an earlier incarnation, at the end of the lag", 3999, 4, "x=0-4"},
        {"an earlier incarnation, after the lag", 4000, 4, "x=6-8"},
        {"the same incarnation, within the lag", 1500, 5, "x=0-4"},
        {"a later incarnation, within the lag", 1500, 6, "x=6-8"},
};

} // namespace

BOOST_DATA_TEST_CASE(ownReportsPrecedeALaggingList, LagCases, test)
{
    EndpointListState state;
    applyEndpointList(state, {listed("x", {}, 4)}, at(0), at(0));
    applyLoadedLayers(state, {"x"}, range(0, 4), 5, at(1000));
    applyEndpointList(state, {listed("x", range(6, 8), test.incarnation_)}, at(test.listedAtMs_),
                      at(test.listedAtMs_));
    BOOST_TEST(textOf(state) == test.known_);
}
