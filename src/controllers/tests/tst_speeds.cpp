#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>

#include "controllers/peers.h"
#include "controllers/speeds.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

EndpointListState listOf(const std::vector<std::string> &names)
{
    std::vector<ListedEndpoint> listed;
    for (const std::string &name : names) {
        ListedEndpoint made;
        made.id_ = {name};
        made.target_ = {"model"};
        made.address_ = {"127.0.0.1", 1};
        made.domain_ = {"a"};
        made.incarnation_ = 5;
        listed.push_back(made);
    }
    EndpointListState list;
    applyEndpointList(list, listed, at(0), at(0));
    return list;
}

struct PaceCase
{
    const char *name_;
    std::optional<double> pace_;
    bool slow_;
    bool known_;
    const char *logged_;
};

std::ostream &operator<<(std::ostream &out, const PaceCase &test)
{
    return out << test.name_;
}

const PaceCase PaceCases[] = {
        {"slow", 4, true, true, "endpoint-slow"},
        {"usual", 1, false, true, ""},
        {"a report without a pace", {}, false, false, ""},
        {"negative", -2, false, false, "speed-dropped"},
        {"zero", 0, false, false, "speed-dropped"},
        {"too large", 1000, false, false, "speed-dropped"},
        {"no number", std::numeric_limits<double>::quiet_NaN(), false, false, "speed-dropped"},
};

std::string takeLog(SpeedsState &state)
{
    std::string text;
    for (const LogEvent &event : state.log_)
        text += event.text_ + "\n";
    state.log_.clear();
    return text;
}

bool report(SpeedsState &state, double pace, int ms, std::uint64_t incarnation = 5)
{
    Random random;
    return takeReportedSpeed(state, {"e"}, incarnation, pace, random, at(ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpointSpeeds)

// Guards against an endpoint that is taken out of use, or for free, by a false figure.
BOOST_DATA_TEST_CASE(reportsAreChecked, boost::unit_test::data::make(PaceCases), test)
{
    SpeedsState state;
    Random random;
    takeReportedSpeed(state, {"e"}, 5, test.pace_, random, at(0));
    const std::string logged = takeLog(state);
    BOOST_TEST(state.slow_.contains({"e"}) == test.slow_);
    BOOST_TEST(state.known_.contains({"e"}) == test.known_);
    BOOST_TEST((logged.empty()
                        ? *test.logged_ == '\0'
                        : logged.find(test.logged_) != std::string::npos && *test.logged_ != '\0'));
}

namespace {

struct DigestCase
{
    const char *name_;
    EndpointSpeedReport report_;
    bool taken_;
    bool logged_;
};

std::ostream &operator<<(std::ostream &out, const DigestCase &test)
{
    return out << test.name_;
}

const DigestCase DigestCases[] = {
        {"a recent report", {{"e"}, 5, 4, milliseconds(300)}, true, false},
        {"a report that is too old", {{"e"}, 5, 4, milliseconds(5100)}, false, false},
        {"another incarnation", {{"e"}, 4, 4, milliseconds(300)}, false, false},
        {"an unknown endpoint", {{"x"}, 5, 4, milliseconds(300)}, false, false},
        {"a negative slowdown", {{"e"}, 5, -4, milliseconds(300)}, false, true},
        {"an infinite slowdown",
         {{"e"}, 5, std::numeric_limits<double>::infinity(), milliseconds(300)},
         false,
         true},
        {"a huge slowdown", {{"e"}, 5, 1e9, milliseconds(300)}, false, true},
        {"a report from the future", {{"e"}, 5, 4, milliseconds(-300)}, false, true},
};

} // namespace

// Guards against invalid digests, and against late ones that count as news.
BOOST_DATA_TEST_CASE(digestsAreChecked, boost::unit_test::data::make(DigestCases), test)
{
    SpeedsState state;
    const EndpointListState list = listOf({"e"});
    BOOST_TEST(takeSpeedReports(state, list, {test.report_}, at(6000)) == test.taken_);
    BOOST_TEST(state.slow_.contains({"e"}) == test.taken_);
    BOOST_TEST((takeLog(state).find("speed-dropped") != std::string::npos) == test.logged_);
}

// Guards against a digest that arrives after the news that the endpoint has recovered.
BOOST_AUTO_TEST_CASE(aLateDigestDoesNotReplaceARecovery)
{
    SpeedsState state;
    const EndpointListState list = listOf({"e"});
    report(state, 6, 0);
    report(state, 1, 2000);
    BOOST_TEST(takeLog(state).find("endpoint-recovered") != std::string::npos);
    BOOST_TEST(!takeSpeedReports(state, list, {{{"e"}, 5, 6, milliseconds(1000)}}, at(2100)));
    BOOST_TEST(state.slow_.empty());
}

// Guards against an endpoint that stays slow for the gateways although nobody measures it any more
// because digests are lost.
BOOST_AUTO_TEST_CASE(anUnconfirmedSlowdownIsForgotten)
{
    SpeedsState state;
    const EndpointListState list = listOf({"e"});
    takeSpeedReports(state, list, {{{"e"}, 5, 6, milliseconds(0)}}, at(0));
    for (int ms = 0; ms <= 4900; ms += 100)
        tickSpeeds(state, list, at(ms));
    BOOST_TEST(state.slow_.size() == 1U);
    BOOST_TEST(tickSpeeds(state, list, at(5100)));
    BOOST_TEST(state.slow_.empty());
    BOOST_TEST(state.known_.empty());
    // It found nothing itself, so it asks nothing.
    BOOST_TEST(state.reportRequests_.empty());
}

namespace {

struct AskCase
{
    const char *name_;
    //! The endpoint's reports, at these times; each is requested by a check.
    double pace_;
    //! Checks are requested all the time for this long.
    int forMs_;
    std::size_t least_;
    std::size_t most_;
};

std::ostream &operator<<(std::ostream &out, const AskCase &test)
{
    return out << test.name_;
}

const AskCase AskCases[] = {
        {"a slow endpoint at most once a second", 6, 10'000, 5, 10},
        {"a usual one more and more rarely", 1, 60'000, 6, 12},
};

} // namespace

// Guards against gateways that ask every endpoint all the time while streams are slow for another
// reason, such as an overload.
BOOST_DATA_TEST_CASE(questionsAreLimited, boost::unit_test::data::make(AskCases), test)
{
    SpeedsState state;
    const EndpointListState list = listOf({"e"});
    std::size_t asked = 0;
    for (int ms = 0; ms < test.forMs_; ms += 25) {
        requestSpeedCheck(state, list, {"e"}, at(ms));
        if (state.reportRequests_.empty())
            continue;
        ++asked;
        state.reportRequests_.clear();
        report(state, test.pace_, ms);
    }
    BOOST_TEST(asked >= test.least_);
    BOOST_TEST(asked <= test.most_);
}

// Guards against an endpoint without an answer that is asked all the time.
BOOST_AUTO_TEST_CASE(aQuestionWithoutAnswerIsNotRepeatedAtOnce)
{
    SpeedsState state;
    const EndpointListState list = listOf({"e"});
    for (int ms = 0; ms < 3000; ms += 25)
        requestSpeedCheck(state, list, {"e"}, at(ms));
    BOOST_TEST(state.reportRequests_.size() == 3U);
}

// Guards against a fleet in which all gateways ask a slow endpoint again, or none does. Gateways
// tell each other what they measured every 200 ms.
BOOST_AUTO_TEST_CASE(aFewGatewaysAskWhetherItIsOver)
{
    constexpr int Gateways = 40;
    constexpr int FoundIt = 10;
    constexpr int OverMs = 9000;
    const EndpointListState list = listOf({"e"});
    std::vector<SpeedsState> states(Gateways);
    std::vector<Random> randoms;
    for (std::uint64_t i = 0; i < Gateways; ++i)
        randoms.push_back({i + 1});
    for (std::size_t i = 0; i < FoundIt; ++i)
        takeReportedSpeed(states[i], {"e"}, 5, 6, randoms[i], at(0));
    std::size_t asked = 0;
    int recoveredMs = 0;
    for (int ms = 100; ms <= 20'000; ms += 100) {
        for (std::size_t i = 0; i < Gateways; ++i) {
            tickSpeeds(states[i], list, at(ms));
            asked += states[i].reportRequests_.size();
            if (!std::exchange(states[i].reportRequests_, {}).empty())
                takeReportedSpeed(states[i], {"e"}, 5, ms < OverMs ? 6 : 1, randoms[i], at(ms));
        }
        if (ms % 200 == 0) {
            std::vector<EndpointSpeedReport> reports;
            for (const SpeedsState &state : states) {
                const auto own = speedsToReport(state, at(ms));
                reports.insert(reports.end(), own.begin(), own.end());
            }
            for (SpeedsState &state : states)
                takeSpeedReports(state, list, reports, at(ms));
        }
        const bool isSlowAnywhere
                = std::any_of(states.begin(), states.end(),
                              [](const SpeedsState &state) { return !state.slow_.empty(); });
        if (!isSlowAnywhere && recoveredMs == 0)
            recoveredMs = ms;
    }
    BOOST_TEST(asked >= 4U);
    BOOST_TEST(asked <= 40U);
    BOOST_TEST(recoveredMs >= OverMs);
    BOOST_TEST(recoveredMs <= OverMs + 3500);
}

// Guards against estimates by gaps that override what an endpoint reports, and against endpoints
// without reports whose slowness nobody learns.
BOOST_AUTO_TEST_CASE(estimatesCountOnlyWithoutReports)
{
    SpeedsState state;
    const EndpointListState list = listOf({"e", "f"});
    report(state, 1, 0);
    const EndpointSpeed slow {5, 4, 4, at(500), SpeedSource::Gaps};
    takeEstimatedSpeeds(state, {{{"e"}, slow}, {{"f"}, slow}}, at(500));
    BOOST_TEST(!state.slow_.contains({"e"}));
    BOOST_TEST(state.slow_.contains({"f"}));
    const auto reports = speedsToReport(state, at(600));
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().endpoint_.value_ == "f");
    BOOST_TEST(reports.front().age_.count() == 100'000);
}

// Guards against a domain's sum that leaves out what its gateways measured, so that the other
// domains go on using a slow endpoint.
BOOST_AUTO_TEST_CASE(aDomainsSumCarriesTheNewestSpeeds)
{
    PeersState peers;
    GatewayDigestMessage peer;
    peer.instance_ = {"g2"};
    peer.incarnation_ = {1};
    peer.speeds_ = {{{"e"}, 5, 6, milliseconds(100)}, {{"f"}, 5, 3, milliseconds(0)}};
    applyDigest(peers, peer, at(0));
    GatewayDigestMessage own;
    own.instance_ = {"g1"};
    own.speeds_ = {{{"e"}, 5, 1, milliseconds(50)}};
    const GatewayDigestMessage sum = sumOfDomain(peers, own, at(200));
    BOOST_REQUIRE(sum.speeds_.size() == 2U);
    BOOST_TEST(sum.speeds_[0].slowdown_ == 1);
    BOOST_TEST(sum.speeds_[0].age_.count() == 50'000);
    BOOST_TEST(sum.speeds_[1].slowdown_ == 3);
    BOOST_TEST(sum.speeds_[1].age_.count() == 200'000);
}

BOOST_AUTO_TEST_SUITE_END()
