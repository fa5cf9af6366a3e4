//! Two gateways as processes before the platform's stand-in.
#include <fstream>
#include <iterator>
#include <mutex>

#include <sys/wait.h>

#include "gatewayfixture.h"
#include "processfleet.h"

using namespace gypsumcroft;
using lab::Answer;
using lab::ask;
using lab::GatewayProgram;
using lab::tests::countInLog;
using lab::tests::stop;
using lab::tests::waitFor;
using Fixture = lab::tests::GatewayFixture;

namespace {

//! Data of the events in an answer, joined by commas.
std::string eventsOf(const std::string &text)
{
    std::string events;
    for (std::size_t at = text.find("data: "); at != std::string::npos;
         at = text.find("data: ", at + 1)) {
        const std::size_t begin = at + 6;
        events += (events.empty() ? "" : ",") + text.substr(begin, text.find('\n', begin) - begin);
    }
    return events;
}

struct RequestCase
{
    const char *name_;
    const char *method_;
    const char *path_;
    const char *key_;
    const char *status_;
    std::size_t runs_;
};

const RequestCase RequestCases[] = {
        {"a quote", "POST", "/quote/x", "key", "HTTP/1.1 200", 1},
        {"a booking", "POST", "/book/x", "key", "HTTP/1.1 200", 1},
        {"a lookup", "GET", "/look/x", "key", "HTTP/1.1 200", 1},
        {"no such route", "GET", "/none/x", "key", "HTTP/1.1 404", 0},
        {"an unknown key", "POST", "/book/x", "other", "HTTP/1.1 401", 0},
};

} // namespace

BOOST_FIXTURE_TEST_CASE(thePathIsWhole, Fixture)
{
    for (const RequestCase &test : RequestCases) {
        for (const auto &gateway : gateways_) {
            const std::string id
                    = std::string(test.name_) + std::to_string(gateway->callers_.port_);
            const Answer answer = ask(gateway->callers_, test.method_, test.path_, id, test.key_);
            BOOST_TEST(answer.status_ == test.status_, test.name_);
            BOOST_TEST(answer.whole_, test.name_);
            BOOST_TEST(runsOf(id) == test.runs_, test.name_);
        }
    }
    BOOST_TEST(eventsOf(quote("events").text_) == "1,2,3,4,5,6");
    for (const standins::ServerRun &run : platform_.runs())
        BOOST_TEST(run.tenant_ == "firm");
}

struct BrokenStreamCase
{
    const char *id_;
    int afterEvents_;
    standins::StreamBreak how_;
    const char *lastEvent_;
};

const BrokenStreamCase BrokenStreamCases[] = {
        {"broken", 3, standins::StreamBreak::Closed, "3"},
        {"cut-inside-an-event", 3, standins::StreamBreak::InsideEvent, "3"},
        {"cut-inside-the-first-event", 0, standins::StreamBreak::InsideEvent, ""},
};

BOOST_FIXTURE_TEST_CASE(aBrokenStreamGoesOnElsewhere, Fixture)
{
    for (const BrokenStreamCase &test : BrokenStreamCases) {
        platform_.breakNextStream(test.afterEvents_, test.how_);
        const Answer answer = quote(test.id_);
        BOOST_TEST(answer.whole_, test.id_);
        BOOST_TEST(eventsOf(answer.text_) == "1,2,3,4,5,6", test.id_);
        BOOST_TEST(runsOf(test.id_) == 2U, test.id_);
        BOOST_TEST(platform_.runs().back().lastEvent_ == test.lastEvent_, test.id_);
    }
}

BOOST_FIXTURE_TEST_CASE(aNewStateIsTakenUp, Fixture)
{
    const Address to = gateways_[0]->callers_;
    BOOST_TEST(ask(to, "GET", "/extra/x", "before", "key").status_ == "HTTP/1.1 404");
    platform_.putConfig(2, {"new-key"}, true);
    BOOST_TEST(waitFor([&] {
        return ask(to, "GET", "/extra/x", "after", "new-key").status_ == "HTTP/1.1 200";
    }));
    BOOST_TEST(ask(to, "GET", "/extra/x", "old-key", "key").status_ == "HTTP/1.1 401");
    platform_.putConfig(1, {"key"}, false);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    BOOST_TEST(ask(to, "GET", "/extra/x", "no-revert", "new-key").status_ == "HTTP/1.1 200");
}

// A drained endpoint's layers are placed on a spare one, and it gets nothing new.
BOOST_FIXTURE_TEST_CASE(aDrainedEndpointIsReplaced, Fixture)
{
    std::string drained;
    for (const std::string &server : platform_.modelServers()) {
        if (drained.empty() && platform_.layersOf(server) == "0-2")
            drained = server;
    }
    BOOST_REQUIRE(!drained.empty());
    platform_.setDraining(drained);
    const auto isReplaced = [&] {
        for (const std::string &server : platform_.modelServers()) {
            if (server != drained && platform_.layersOf(server) == "0-2")
                return true;
        }
        return false;
    };
    BOOST_TEST(waitFor(isReplaced));
    BOOST_TEST(waitFor([&] { return quote("after-drain").whole_; }));
    BOOST_TEST(platform_.runs().back().path_.find(drained) == std::string::npos);
}

// Keys may have been taken away while the store was silent: nothing is run then.
BOOST_FIXTURE_TEST_CASE(staleKeysAreNotServed, Fixture)
{
    platform_.setStoreDown(true);
    const Address to = gateways_[0]->callers_;
    BOOST_TEST(ask(to, "GET", "/look/x", "fresh", "key").status_ == "HTTP/1.1 200");
    BOOST_TEST(waitFor([&] { return !gateways_[0]->isReady(); }));
    BOOST_TEST(waitFor(
            [&] { return ask(to, "GET", "/look/x", "stale", "key").status_ == "HTTP/1.1 503"; }));
    platform_.setStoreDown(false);
    BOOST_TEST(waitFor(
            [&] { return ask(to, "GET", "/look/x", "again", "key").status_ == "HTTP/1.1 200"; }));
    BOOST_TEST(gateways_[0]->log().find("event=dependency-lost") != std::string::npos);
    BOOST_TEST(gateways_[0]->log().find("event=dependency-regained") != std::string::npos);
}

// A stream in hand is finished after the signal, and the process ends by itself.
BOOST_FIXTURE_TEST_CASE(aStopCutsNothing, Fixture)
{
    Answer answer;
    std::jthread caller([&] { answer = quote("last"); });
    BOOST_REQUIRE(waitFor([&] { return runsOf("last") == 1; }));
    BOOST_TEST(stop(*gateways_[0]) == 0);
    caller.join();
    BOOST_TEST(answer.whole_);
    BOOST_TEST(eventsOf(answer.text_) == "1,2,3,4,5,6");
    BOOST_TEST(gateways_[0]->log().find("event=stopped instance=g1 cut=0") != std::string::npos);
}

// The stand-in never drops silent members, so only leaving moves the lease.
BOOST_FIXTURE_TEST_CASE(aStoppingHolderHandsItsLeaseOver, Fixture)
{
    const auto holds = [](const GatewayProgram &gateway) {
        return gateway.log().find("event=lease-gained") != std::string::npos;
    };
    BOOST_REQUIRE(waitFor([&] { return holds(*gateways_[0]) || holds(*gateways_[1]); }));
    const bool first = holds(*gateways_[0]);
    GatewayProgram &holder = *gateways_[first ? 0 : 1];
    const GatewayProgram &other = *gateways_[first ? 1 : 0];
    BOOST_REQUIRE(holder.signal(SIGTERM));
    BOOST_TEST(waitFor([&] { return holds(other); }));
    BOOST_TEST(holder.log().find("event=stopped") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(metricsAreServed, Fixture)
{
    const std::string metrics = ask(gateways_[0]->metrics_, "GET", "/metrics", "", "").text_;
    for (const char *name :
         {"gypsumcroft_requests_received", "gypsumcroft_requests_answered", "gypsumcroft_retries",
          "gypsumcroft_config_age_ms", "gypsumcroft_caller_connections",
          "gypsumcroft_caller_held_bytes", "gypsumcroft_caller_held_bytes_limit",
          "gypsumcroft_requests_refused_for_memory", "gypsumcroft_connections_closed_for_memory"})
        BOOST_TEST(metrics.find(name) != std::string::npos, name);
}

namespace {

std::string oddEntry(const char *field, const std::string &value)
{
    const std::vector<std::pair<std::string, std::string>> fields
            = {{"Service", R"("desk")"}, {"Address", R"("127.0.0.1:9")"}, {"Zone", R"("a")"},
               {"Slots", "4"},           {"State", R"("ready")"},         {"Version", R"("v1")"},
               {"Sequence", "1"}};
    std::string text = "{";
    for (const auto &[name, usual] : fields)
        text += (text.size() == 1 ? "\"" : ",\"") + name + "\":" + (name == field ? value : usual);
    return text + "}";
}

} // namespace

// Entries of another writer among those of the servers: both gateways go on following the list,
// neither ends, and each entry is logged once by a gateway that reads the list. The other one of
// the domain takes the list from it, without these entries, unless it has read lately itself.
BOOST_FIXTURE_TEST_CASE(oddEntriesCostNothing, Fixture)
{
    const std::string deep(10'000, '[');
    const std::vector<std::pair<std::string, std::string>> entries
            = {{"i-deep", deep},
               {"i-deep-object", oddEntry("Slots", deep + std::string(10'000, ']'))},
               {"i-number", oddEntry("Slots", "1e400")},
               {"i-number-2", oddEntry("Slots", "18446744073709551616")},
               {"i-port", oddEntry("Address", R"("127.0.0.1:70000")")},
               {"i-port-2", oddEntry("Address", R"("127.0.0.1:80a")")},
               {"i-port-3", oddEntry("Address", R"("127.0.0.1:-1")")},
               {"i-bytes", std::string("\x00\xff\n{", 4)},
               {"i-long", oddEntry("State", '"' + std::string(200'000, 'x') + '"')}};
    for (const auto &[name, entry] : entries)
        platform_.putOddEntry(name, entry);
    const auto linesOf = [&](std::size_t gateway, const std::string &entry) {
        return countInLog(*gateways_[gateway], "endpoint=" + entry + " ");
    };
    for (const auto &[name, entry] : entries) {
        BOOST_TEST(waitFor([&, &entryName = name] {
                       return linesOf(0, entryName) + linesOf(1, entryName) > 0;
                   }),
                   name);
    }
    // The list is still followed: a change of another entry takes effect.
    platform_.setDraining("i-model1");
    for (const auto &gateway : gateways_) {
        BOOST_TEST(waitFor([&] {
            return countInLog(*gateway, "event=endpoint-changed endpoint=i-model1") > 0;
        }));
        BOOST_TEST(!gateway->hasEnded());
        BOOST_TEST(countInLog(*gateway, "event=endpoint-unreadable") <= 10U);
        BOOST_TEST(countInLog(*gateway, "event=endpoint-list-lost") == 0U);
        BOOST_TEST(ask(gateway->callers_, "GET", "/look/x", "odd", "key").status_
                   == "HTTP/1.1 200");
    }
    for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        for (const auto &[name, entry] : entries)
            BOOST_TEST(linesOf(gateway, name) <= 1U, name);
    }
}

// A server that says in its answers that it leaves, while its entry still says ready: its layers
// are placed elsewhere, and neither the gateway that heard it nor the other sends it anything.
BOOST_FIXTURE_TEST_CASE(aLeavingServerGetsNothingNew, Fixture)
{
    const std::string path = platform_.runs().back().path_;
    std::string leaving;
    for (const std::string &server : platform_.modelServers()) {
        if (path.starts_with("127.0.0.1:" + std::to_string(platform_.addressOf(server).port_)))
            leaving = server;
    }
    BOOST_REQUIRE(!leaving.empty());
    platform_.setLeaving(leaving);
    BOOST_TEST(quote("tells").whole_);
    BOOST_TEST(waitFor([&] { return quote("elsewhere").whole_; }));
    for (const auto &gateway : gateways_)
        BOOST_TEST(waitFor([&] {
            return countInLog(*gateway, "event=endpoint-leaving") > 0
                   || countInLog(*gateway, "event=endpoint-leaving-elsewhere") > 0;
        }));
    const std::size_t before = platform_.arrivals().size();
    for (int i = 0; i < 4; ++i) {
        for (const auto &gateway : gateways_)
            ask(gateway->callers_, "POST", "/quote/x", "later" + std::to_string(i), "key");
    }
    const auto arrivals = platform_.arrivals();
    for (std::size_t i = before; i < arrivals.size(); ++i)
        BOOST_TEST(arrivals[i].server_ != leaving);
    BOOST_TEST(arrivals.size() > before);
}

// A server that turns requests away for two seconds gets none meanwhile, and some again afterwards.
BOOST_FIXTURE_TEST_CASE(aServerIsNotAskedBeforeItsTime, Fixture)
{
    constexpr std::chrono::milliseconds Pause {2000};
    constexpr std::chrono::milliseconds Late {500};
    platform_.turnAwayFor("i-desk", Pause);
    const Address to = gateways_[0]->callers_;
    const auto end = std::chrono::steady_clock::now() + 2 * Pause;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
        const Answer answer = ask(to, "GET", "/look/x", "turned" + std::to_string(i), "key");
        BOOST_TEST(answer.status_ == "HTTP/1.1 503");
    }
    std::vector<std::chrono::steady_clock::time_point> arrivals;
    for (const standins::ServerRun &arrival : platform_.arrivals()) {
        if (arrival.request_.starts_with("turned"))
            arrivals.push_back(arrival.at_);
    }
    BOOST_REQUIRE(arrivals.size() >= 2U);
    for (std::size_t i = 1; i < arrivals.size(); ++i) {
        const auto since = arrivals[i] - arrivals[0];
        BOOST_TEST((since < Late || since >= Pause));
    }
}

// Settings with findings change nothing and are all reported; good ones take effect; in neither
// case is a stream cut.
BOOST_FIXTURE_TEST_CASE(settingsAreReadAgain, Fixture)
{
    GatewayProgram &gateway = *gateways_[0];
    const std::string good = gateway.settings();
    Answer answer;
    std::jthread caller([&] { answer = quote("meanwhile"); });
    BOOST_REQUIRE(waitFor([&] { return runsOf("meanwhile") == 1; }));
    gateway.writeSettings(R"({"role":"gateway","instance":7,"bounds":{"graceS":-1}})");
    gateway.signal(SIGHUP);
    BOOST_TEST(waitFor([&] { return countInLog(gateway, "event=reload outcome=kept") == 1; }));
    BOOST_TEST(countInLog(gateway, "event=reload-finding") >= 3U);
    std::string changed = good;
    changed.replace(changed.find("\"retrySlack\":100"), 16, "\"retrySlack\":50");
    gateway.writeSettings(changed);
    gateway.signal(SIGHUP);
    BOOST_TEST(waitFor([&] {
        return countInLog(gateway, "event=reload-changed setting=bounds/retrySlack") == 1;
    }));
    caller.join();
    BOOST_TEST(answer.whole_);
    BOOST_TEST(quote("afterwards").whole_);
    BOOST_TEST(!gateway.hasEnded());
}

namespace {

struct CrashCase
{
    const char *path_;
    const char *soundPath_;
};

const CrashCase CrashCases[] = {
        {"/look/deadly", "/look/sound"},
        {"/book/deadly", "/book/sound"},
        {"/quote/deadly", "/quote/sound"},
};

//! Requests that reached an endpoint later than the given time.
std::size_t arrivalsAfter(const std::vector<standins::ServerRun> &arrivals, const std::string &path,
                          std::chrono::steady_clock::time_point time)
{
    return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(),
                          [&](const auto &run) { return run.target_ == path && run.at_ > time; }));
}

} // namespace

BOOST_AUTO_TEST_CASE(repeatedRequestStopsCrashingEndpoints)
{
    constexpr std::size_t PlainServers = 5;
    constexpr std::chrono::milliseconds DownFor {1500};
    constexpr std::chrono::milliseconds Pause {150};
    constexpr std::chrono::seconds SendFor {9};
    constexpr std::chrono::seconds Window {3};
    constexpr std::size_t MaxLateArrivals = 3;
    for (const CrashCase &test : CrashCases) {
        Fixture fixture(PlainServers);
        fixture.platform_.crashOn("deadly", DownFor);
        const auto end = std::chrono::steady_clock::now() + SendFor;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            const Address &gateway = fixture.gateways_[static_cast<std::size_t>(i % 2)]->callers_;
            const auto start = std::chrono::steady_clock::now();
            ask(gateway, "POST", test.path_, "deadly-" + std::to_string(i), "key");
            std::this_thread::sleep_until(start + Pause);
        }
        const auto crashes = fixture.platform_.crashes();
        BOOST_TEST_MESSAGE(test.path_ << ": " << crashes.size() << " crashes");
        BOOST_REQUIRE(crashes.size() >= 3);
        BOOST_TEST(arrivalsAfter(fixture.platform_.arrivals(), test.path_, crashes[2] + Window)
                           <= MaxLateArrivals,
                   test.path_);
        const auto isServed = [&] {
            return ask(fixture.gateways_[1]->callers_, "POST", test.soundPath_, "sound", "key")
                           .status_
                   == "HTTP/1.1 200";
        };
        BOOST_TEST(waitFor(isServed), test.soundPath_);
    }
}

namespace {

//! Quotes in the background: some with a part that crashes servers, the others with the same first
//! part and caller.
struct QuoteLoad
{
    struct Quote
    {
        std::chrono::steady_clock::time_point sentAt_;
        bool served_ = false;
    };

    void send(const Address &gateway, const std::string &parts, bool sound)
    {
        threads_.emplace_back([this, gateway, parts, sound, id = std::to_string(++count_)] {
            const auto sentAt = std::chrono::steady_clock::now();
            const Answer answer = ask(gateway, "POST", "/quote/x", "quote-" + id, "key",
                                      "first:40," + parts + "own" + id + ":60");
            const std::lock_guard lock(mutex_);
            if (sound)
                sound_.push_back({sentAt, answer.whole_ && answer.status_ == "HTTP/1.1 200"});
        });
    }

    //! Part of the sound quotes of a time that were served.
    double servedPart(std::chrono::steady_clock::time_point begin,
                      std::chrono::steady_clock::time_point end)
    {
        const std::lock_guard lock(mutex_);
        double sent = 0;
        double served = 0;
        for (const Quote &quote : sound_) {
            const bool isMeant = quote.sentAt_ >= begin && quote.sentAt_ < end;
            sent += isMeant ? 1 : 0;
            served += isMeant && quote.served_ ? 1 : 0;
        }
        return sent > 0 ? served / sent : 0;
    }

    std::mutex mutex_;
    std::vector<Quote> sound_;
    std::uint64_t count_ = 0;
    std::vector<std::jthread> threads_;
};

} // namespace

BOOST_AUTO_TEST_CASE(promptPartStopsCrashingEndpointsAndItsCompanionsAreServed)
{
    using Clock = std::chrono::steady_clock;
    constexpr std::chrono::milliseconds DownFor {1500};
    constexpr std::chrono::milliseconds Pause {100};
    constexpr int SoundOnly = 20;
    constexpr int Rounds = 160;
    constexpr int DeadlyEvery = 3;
    constexpr std::chrono::seconds Window {3};
    constexpr std::size_t MaxLateArrivals = 3;
    constexpr std::size_t CrashOfReference = 5;
    Fixture fixture(1, 8);
    fixture.platform_.crashOn("deadly", DownFor);
    QuoteLoad load;
    const auto begin = Clock::now();
    for (int i = 0; i < Rounds; ++i) {
        const Address gateway = fixture.gateways_[static_cast<std::size_t>(i % 2)]->callers_;
        load.send(gateway, "", true);
        if (i >= SoundOnly && i % DeadlyEvery == 0)
            load.send(gateway, "deadly:100,", false);
        std::this_thread::sleep_until(begin + (i + 1) * Pause);
    }
    const auto end = Clock::now();
    load.threads_.clear();
    const auto crashes = fixture.platform_.crashes();
    BOOST_TEST_MESSAGE(crashes.size() << " crashes");
    BOOST_REQUIRE(!crashes.empty());
    std::size_t late = 0;
    for (const standins::ServerRun &run : fixture.platform_.arrivals())
        late += crashes.size() >= CrashOfReference
                                && run.promptParts_.find("deadly") != std::string::npos
                                && run.at_ > crashes[CrashOfReference - 1] + Window
                        ? 1
                        : 0;
    BOOST_TEST(late <= MaxLateArrivals);
    const auto reference = crashes[std::min(crashes.size(), CrashOfReference) - 1] + 2 * Window;
    BOOST_TEST(load.servedPart(reference, end)
               >= load.servedPart(begin, begin + SoundOnly * Pause) / 2);
}

namespace {

constexpr const char *Token = "operators-token";

struct FixtureWithOperators : Fixture
{
    FixtureWithOperators() : Fixture(1, 3, R"("operatorToken":"operators-token")") { }

    //! Runs `gypsumcroft route --explain` and returns its exit code and output.
    std::pair<int, std::string> explain(const std::vector<std::string> &flags, const char *token)
    {
        const std::string file = folder_ + "/explained.txt";
        std::filesystem::remove(file);
        const Address &to = gateways_[0]->metrics_;
        std::vector<std::string> words = {boost::unit_test::framework::master_test_suite().argv[1],
                                          "route",
                                          "--explain",
                                          "--address=" + to.host_ + ":" + std::to_string(to.port_),
                                          std::string("--token=") + token,
                                          "--host=desk"};
        words.insert(words.end(), flags.begin(), flags.end());
        const auto pid = lab::startProgram(words, file);
        int status = -1;
        BOOST_REQUIRE(pid.has_value());
        BOOST_REQUIRE(waitpid(*pid, &status, 0) == *pid);
        std::ifstream text(file);
        return {WIFEXITED(status) ? WEXITSTATUS(status) : -1,
                std::string(std::istreambuf_iterator<char>(text), {})};
    }
};

//! A question to a running gateway, and what its answer says.
struct ExplainCase
{
    const char *name_;
    std::vector<std::string> flags_;
    const char *token_;
    int exitCode_;
    const char *says_;
};

const ExplainCase ExplainCases[] = {
        {"a stream",
         {"--path=/quote/x", "--key=a-secret-key", "--prompt_tokens=100"},
         Token,
         0,
         "event=path "},
        {"a stream of an organisation",
         {"--path=/quote/x", "--organisation=firm"},
         Token,
         0,
         "outcome=dispatched"},
        {"a booking", {"--path=/book/x", "--key=a-secret-key"}, Token, 0, "event=candidate "},
        {"in JSON",
         {"--path=/quote/x", "--key=a-secret-key", "--json"},
         Token,
         0,
         "\"outcome\":\"dispatched\""},
        {"an unknown key",
         {"--path=/quote/x", "--key=a-wrong-key"},
         Token,
         0,
         "refusal=unauthorised"},
        {"no such route",
         {"--path=/none/x", "--key=a-secret-key"},
         Token,
         0,
         "refusal=unknown-route"},
        {"a wrong token", {"--path=/quote/x"}, "another-token", 1, "token is missing or wrong"},
        {"no path", {}, Token, 2, "usage:"},
};

} // namespace

// An operator asks where a request would go: nothing is run or counted, and no key is shown.
BOOST_FIXTURE_TEST_CASE(routesAreExplainedWithoutSending, FixtureWithOperators)
{
    platform_.putConfig(2, {"a-secret-key"}, true);
    BOOST_REQUIRE(waitFor([&] {
        return ask(gateways_[0]->callers_, "GET", "/look/x", "new", "a-secret-key").status_
               == "HTTP/1.1 200";
    }));
    const auto received = [&] {
        const std::string text = ask(gateways_[0]->metrics_, "GET", "/metrics", "", "").text_;
        const std::string name = "\ngypsumcroft_requests_received ";
        const std::size_t at = text.find(name);
        return at == std::string::npos ? std::string()
                                       : text.substr(at, text.find('\n', at + 1) - at);
    };
    const std::size_t runs = platform_.runs().size();
    // The counters of the metrics are brought up to date with the process's ticks.
    std::string before;
    BOOST_REQUIRE(waitFor([&] {
        const std::string last = std::exchange(before, received());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return !before.empty() && before == last;
    }));
    for (const ExplainCase &test : ExplainCases) {
        const auto [exitCode, text] = explain(test.flags_, test.token_);
        BOOST_TEST(exitCode == test.exitCode_, test.name_);
        BOOST_TEST(text.find(test.says_) != std::string::npos, test.name_ << ": " << text);
        BOOST_TEST(text.find("secret") == std::string::npos, test.name_);
    }
    BOOST_TEST(platform_.runs().size() == runs);
    BOOST_TEST(received() == before);
    BOOST_TEST(gateways_[0]->log().find("secret") == std::string::npos);
}

// Without a token in the settings nobody may ask.
BOOST_FIXTURE_TEST_CASE(routesAreExplainedToOperatorsOnly, Fixture)
{
    BOOST_TEST(ask(gateways_[0]->metrics_, "POST", "/v1/route", "", "").status_ == "HTTP/1.1 404");
}
