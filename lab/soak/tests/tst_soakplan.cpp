#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "soak/plan.h"
#include "soak/requests.h"

using namespace gypsumcroft;
using namespace gypsumcroft::lab;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string textOf(const SoakPlan &plan)
{
    std::string text = std::to_string(plan.gateways_) + "/" + std::to_string(plan.callers_);
    for (const Fault &fault : plan.faults_)
        text += " " + std::string(nameOf(fault.kind_)) + "@" + std::to_string(fault.at_.count())
                + "+" + std::to_string(fault.length_.count()) + ":" + std::to_string(fault.target_);
    return text;
}

struct PlanCase
{
    std::uint64_t seed_;
    seconds length_;
};

std::ostream &operator<<(std::ostream &out, const PlanCase &test)
{
    return out << test.seed_ << " for " << test.length_.count() << " s";
}

const PlanCase PlanCases[] = {{0, seconds(3)},
                              {1, seconds(10)},
                              {2, seconds(20)},
                              {3, seconds(60)},
                              {UINT64_MAX, seconds(20)}};

RequestRecord record(RequestKind kind, unsigned status)
{
    RequestRecord request;
    request.id_ = "r1";
    request.kind_ = kind;
    request.key_ = "old";
    request.sentAt_ = SoakTime(seconds(10));
    request.ending_ = Ending::Answered;
    request.status_ = status;
    return request;
}

RequestRecord broken()
{
    RequestRecord request = record(RequestKind::Booking, 0);
    request.ending_ = Ending::Broken;
    return request;
}

struct AnswerCase
{
    const char *name_;
    RequestKind kind_;
    SeenAnswer answer_;
    bool right_;
};

std::ostream &operator<<(std::ostream &out, const AnswerCase &test)
{
    return out << test.name_;
}

const std::string Own = standins::stampOf("r1");
const std::string Stream = "id: 1\nevent: r1\ndata: 1\n\nid: 2\nevent: r1\ndata: 2\n\n"
                           "id: 3\nevent: r1\ndata: 3\n\nid: 4\nevent: r1\ndata: 4\n\n"
                           "id: 5\nevent: r1\ndata: 5\n\n";
const std::string LastEvent = "id: 6\nevent: r1\ndata: 6\n\n";

const AnswerCase AnswerCases[] = {
        {"own", RequestKind::Booking, {200, "r1", Own, "done r1"}, true},
        {"own without an id", RequestKind::Booking, {200, {}, Own, "done r1"}, true},
        {"another id", RequestKind::Booking, {200, "r2", Own, "done r1"}, false},
        {"another stamp",
         RequestKind::Booking,
         {200, "r1", standins::stampOf("r2"), "done r1"},
         false},
        {"no stamp", RequestKind::Booking, {200, "r1", {}, "done r1"}, false},
        {"another body", RequestKind::Booking, {200, "r1", Own, "done r2"}, false},
        {"a cut body", RequestKind::Booking, {200, "r1", Own, "done"}, false},
        {"a failure", RequestKind::Booking, {502, "r1", {}, ""}, true},
        {"another's failure",
         RequestKind::Booking,
         {500, "r1", standins::stampOf("r2"), ""},
         false},
        {"a whole stream", RequestKind::Stream, {200, "r1", Own, Stream + LastEvent}, true},
        {"no last event", RequestKind::Stream, {200, "r1", Own, Stream}, false},
        {"an event twice",
         RequestKind::Stream,
         {200, "r1", Own, Stream + LastEvent + LastEvent},
         false},
};

standins::ServerRun run(const std::string &server, const std::string &target, const std::string &id)
{
    return {server, id, "firm", "", "", target, bodyOf(id), {}};
}

struct RunCase
{
    const char *name_;
    RequestRecord request_;
    std::vector<standins::ServerRun> runs_;
    milliseconds revokedAt_;
    const char *finding_;
    bool unharmed_ = true;
};

std::ostream &operator<<(std::ostream &out, const RunCase &test)
{
    return out << test.name_;
}

const auto Desk = run("i-desk", "/book/r1", "r1");
const auto Look = run("i-desk", "/look/r1", "r1");
constexpr milliseconds Never {3600000};

const RunCase RunCases[] = {
        {"one run", record(RequestKind::Booking, 200), {Desk}, Never, ""},
        {"a lookup twice", record(RequestKind::Lookup, 200), {Look, Look}, Never, ""},
        {"a booking twice",
         record(RequestKind::Booking, 502),
         {Desk, Desk},
         Never,
         "a booking run twice"},
        {"refused", record(RequestKind::Booking, 503), {}, Never, ""},
        {"refused and run",
         record(RequestKind::Booking, 503),
         {Desk},
         Never,
         "run, though refused as not run: 503"},
        {"success without a run",
         record(RequestKind::Booking, 200),
         {},
         Never,
         "a success that no endpoint ran"},
        {"nobody's",
         record(RequestKind::Booking, 502),
         {run("i-desk", "/book/x", "x")},
         Never,
         "run that no caller sent: /book/x"},
        {"another target",
         record(RequestKind::Booking, 200),
         {Look},
         Never,
         "run with another target: /look/r1"},
        {"another service",
         record(RequestKind::Booking, 200),
         {run("i-model1", "/book/r1", "r1")},
         Never,
         "run by another service"},
        {"cut", broken(), {Desk}, Never, "run, and cut without cause"},
        {"cut in a fault", broken(), {Desk}, Never, "", false},
        {"cut before it ran", broken(), {}, Never, ""},
        {"revoked long ago",
         record(RequestKind::Booking, 200),
         {Desk},
         milliseconds(6999),
         "run with a revoked key"},
        {"revoked a moment ago", record(RequestKind::Booking, 200), {Desk}, milliseconds(7001), ""},
};

} // namespace

BOOST_DATA_TEST_CASE(aSeedGivesOnePlan, PlanCases, test)
{
    const SoakPlan plan = makePlan(test.seed_, test.length_);
    BOOST_TEST(textOf(plan) == textOf(makePlan(test.seed_, test.length_)));
    BOOST_TEST(textOf(plan) != textOf(makePlan(test.seed_ + 1, test.length_)));
    BOOST_TEST((plan.gateways_ >= 2 && plan.gateways_ <= 6));
    BOOST_TEST(!plan.faults_.empty());
    Duration last {};
    for (const Fault &fault : plan.faults_) {
        BOOST_TEST((last <= fault.at_));
        BOOST_TEST((fault.at_ + fault.length_ <= plan.length_ - seconds(2)));
        const bool everywhere
                = fault.target_ == Everywhere
                  && (fault.kind_ == FaultKind::Pause || fault.place_ == FaultPlace::StoreLink
                      || fault.place_ == FaultPlace::Operator);
        const auto targets = fault.place_ == FaultPlace::EndpointLink
                                     ? plan.modelServers_ + plan.plainServers_
                                     : plan.gateways_;
        BOOST_TEST((everywhere || fault.target_ < targets));
        last = fault.at_;
    }
}

BOOST_AUTO_TEST_CASE(everyFaultIsDrawn)
{
    std::set<FaultKind> drawn;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const Fault &fault : makePlan(seed, seconds(20)).faults_)
            drawn.insert(fault.kind_);
    }
    BOOST_TEST(drawn.size() == FaultKinds);
}

BOOST_DATA_TEST_CASE(anAnswerIsJudged, AnswerCases, test)
{
    const auto fault = judgeAnswer(record(test.kind_, 200), test.answer_);
    BOOST_TEST(!fault == test.right_, fault.value_or(""));
}

BOOST_DATA_TEST_CASE(runsAreJudged, RunCases, test)
{
    const auto findings
            = judgeRuns({{"r1", test.request_}}, test.runs_, {{"old", SoakTime(test.revokedAt_)}},
                        [&](const RequestRecord &) { return test.unharmed_; });
    std::string all;
    for (const Finding &finding : findings)
        all += finding.what_;
    BOOST_TEST(all.starts_with(test.finding_), all);
    BOOST_TEST(all.empty() == (*test.finding_ == '\0'));
}
