#include "processscenario.h"

#include <signal.h>

#include <boost/json.hpp>
#include <cmath>

#include "core/random.h"
#include "judge.h"
#include "processdriver.h"

namespace gypsumcroft::lab {

namespace detail {

constexpr std::uint32_t MaxResendsOnProcesses = 3;
constexpr Duration ResendDelay = std::chrono::seconds(1);
constexpr Duration PublisherPoll = std::chrono::milliseconds(20);

class ProcessRun
{
public:
    ProcessRun(const Scenario &scenario, std::uint64_t seed, const ProgramPaths &paths)
        : scenario_(scenario), fleet_(paths, optionsOf(scenario)), driver_(fleet_), random_ {seed}
    { }

    ScenarioReport run();

private:
    static ProcessFleetOptions optionsOf(const Scenario &scenario);
    Duration pickTime(const TimeRange &range);
    std::string pick(const std::string &name);
    std::string liveEntry();
    void perform(const ScenarioStep &step);
    void load(const ScenarioStep &step);
    void sendOne(const std::string &work, const ScenarioStep &step);
    void watch(std::size_t index, std::uint32_t resends);
    void kill(const ScenarioStep &step, Duration length);
    void restartWhenGone(const std::string &name, pid_t pid, Duration delay, bool graceful);
    void race(const std::string &name);
    void judgeRaces(Findings &failures);
    void judge(ScenarioReport &report);
    void judgeOne(const ScenarioExpectation &expectation, const Evidence &evidence,
                  Findings &failures);
    void judgeDone(const ScenarioExpectation &expectation, const Evidence &evidence,
                   const std::string &place, Findings &failures);
    void judgeConfig(const std::string &place, Findings &failures);

    const Scenario &scenario_;
    ProcessFleet fleet_;
    ProcessDriver driver_;
    Random random_;
    TimePoint start_;
    std::uint64_t nextKey_ = 1;
    std::uint32_t pendingActions_ = 0;
    std::uint32_t races_ = 0;
    std::uint32_t publications_ = 0;
    std::set<std::string> draining_;
    std::vector<std::string> badExits_;
};

std::uint32_t optionOf(const std::map<std::string, std::string> &options, const std::string &name,
                       std::uint32_t fallback)
{
    const auto found = options.find(name);
    return found == options.end() ? fallback
                                  : static_cast<std::uint32_t>(std::stoul(found->second));
}

ProcessFleetOptions ProcessRun::optionsOf(const Scenario &scenario)
{
    ProcessFleetOptions options;
    options.entries_ = optionOf(scenario.fleet_, "entries", options.entries_);
    options.pipelines_ = optionOf(scenario.fleet_, "pipelines", 2);
    options.services_ = optionOf(scenario.fleet_, "services", 2);
    options.slots_ = optionOf(scenario.fleet_, "slots", options.slots_);
    return options;
}

Duration ProcessRun::pickTime(const TimeRange &range)
{
    const auto span = static_cast<std::uint64_t>((range.most_ - range.least_).count());
    return range.least_ + Duration(randomBelow(random_, span + 1));
}

std::string ProcessRun::pick(const std::string &name)
{
    const std::map<std::string, std::string> prefixes
            = {{"any-entry", "entry-"}, {"any-stage", "stage-"}, {"any-service", "booking-"}};
    const auto prefix = prefixes.find(name);
    if (prefix == prefixes.end())
        return name;
    const auto names = fleet_.names(prefix->second);
    return names[randomBelow(random_, names.size())];
}

std::string ProcessRun::liveEntry()
{
    std::vector<std::string> names;
    for (const std::string &name : fleet_.names("entry-")) {
        if (fleet_.child(name).running_ && !draining_.contains(name))
            names.push_back(name);
    }
    return names.empty() ? "entry-1" : names[randomBelow(random_, names.size())];
}

void ProcessRun::load(const ScenarioStep &step)
{
    const double perSecond = std::strtod(step.arguments_[1].c_str(), nullptr);
    const Duration length = step.length_ ? pickTime(*step.length_) : Duration::zero();
    for (Duration at {};;) {
        const double gap = -std::log(1.0 - randomUnit(random_)) / perSecond;
        at += Duration(static_cast<std::int64_t>(gap * 1e6));
        if (at >= length)
            return;
        ++pendingActions_;
        driver_.after(at, [this, &step] {
            --pendingActions_;
            sendOne(step.arguments_[0], step);
        });
    }
}

void ProcessRun::sendOne(const std::string &work, const ScenarioStep &step)
{
    const std::uint64_t number = nextKey_++;
    CallerRecord record;
    record.template_ = work == "booking" || work == "lookup" ? work : "quote";
    record.caller_ = "c" + std::to_string(number % 20);
    record.body_ = work + " for job " + std::to_string(number);
    if (work == "booking")
        record.key_ = "key-" + std::to_string(number);
    if (record.template_ == "quote")
        record.maxTokens_ = optionOf(step.options_, "tokens", 12);
    watch(driver_.send(liveEntry(), record, number % 2 == 0), 0);
    const auto repeat = step.options_.find("repeat");
    const double share
            = repeat == step.options_.end() ? 0 : std::strtod(repeat->second.c_str(), nullptr);
    if (record.key_.empty() || randomUnit(random_) >= share)
        return;
    ++pendingActions_;
    driver_.after(Duration(randomBelow(random_, 1500000)), [this, record] {
        --pendingActions_;
        driver_.send(liveEntry(), record, false);
    });
}

void ProcessRun::watch(std::size_t index, std::uint32_t resends)
{
    if (driver_.records_[index].key_.empty() || resends >= MaxResendsOnProcesses)
        return;
    driver_.after(ResendDelay, [this, index, resends] {
        const CallerRecord old = driver_.records_[index];
        if (old.ending_ == Ending::None)
            return watch(index, resends);
        if (old.ending_ == Ending::Done)
            return;
        CallerRecord again;
        again.template_ = old.template_;
        again.caller_ = old.caller_;
        again.body_ = old.body_;
        again.key_ = old.key_;
        watch(driver_.send(liveEntry(), again, false), resends + 1);
    });
}

//! Starts the process again once it has ended; a graceful stop must end with exit code 0.
void ProcessRun::restartWhenGone(const std::string &name, pid_t pid, Duration delay, bool graceful)
{
    ++pendingActions_;
    driver_.after(delay, [this, name, pid, graceful] {
        --pendingActions_;
        //! Another step may have started its successor already.
        if (fleet_.child(name).pid_ != pid)
            return;
        if (!fleet_.hasEnded(name))
            return restartWhenGone(name, pid, std::chrono::milliseconds(50), graceful);
        if (graceful && fleet_.child(name).exitCode_ != 0)
            badExits_.push_back(name + " (exit code " + std::to_string(fleet_.child(name).exitCode_)
                                + ")");
        draining_.erase(name);
        fleet_.restart(name);
    });
}

void ProcessRun::kill(const ScenarioStep &step, Duration length)
{
    const std::string &kind = step.arguments_[0];
    const std::string name = pick(step.arguments_[1]);
    const std::string endpoint = (name.starts_with("stage-") ? "engine-" : "service-") + name;
    std::vector<std::string> victims;
    if (kind == "entry" || kind == "agent" || kind == "instance")
        victims.push_back(name);
    if (kind == "endpoint" || kind == "instance")
        victims.push_back(endpoint);
    for (const std::string &victim : victims) {
        fleet_.signal(victim, SIGKILL);
        restartWhenGone(victim, fleet_.child(victim).pid_, length, false);
    }
}

//! Two operators edit the same version; they begin once earlier publications have ended.
void ProcessRun::race(const std::string &name)
{
    if (driver_.arePublishing()) {
        ++pendingActions_;
        driver_.after(PublisherPoll, [this, name] {
            --pendingActions_;
            race(name);
        });
        return;
    }
    const std::uint64_t seen = driver_.versionOf("template/quote");
    driver_.publishAsync(quoteDocument(70), name + "-a", seen);
    driver_.publishAsync(quoteDocument(80), name + "-b", seen);
}

void ProcessRun::judgeRaces(Findings &failures)
{
    for (std::uint32_t number = 1; number <= races_; ++number) {
        const std::string name = "race-" + std::to_string(number);
        const auto left = driver_.verdictOf(name + "-a");
        const auto right = driver_.verdictOf(name + "-b");
        if (!left || !right || *left == *right)
            addFinding(failures, scenario_.file_, name + " did not have exactly one winner");
    }
}

void ProcessRun::perform(const ScenarioStep &step)
{
    const Duration length = step.length_ ? pickTime(*step.length_) : Duration::zero();
    const auto milliseconds = std::to_string(length.count() / 1000);
    const auto &arguments = step.arguments_;
    if (step.verb_ == "load") {
        load(step);
    } else if (step.verb_ == "kill") {
        kill(step, length);
    } else if (step.verb_ == "freeze") {
        const std::string name = pick(arguments[0]);
        fleet_.signal(name, SIGSTOP);
        ++pendingActions_;
        driver_.after(length, [this, name] {
            --pendingActions_;
            fleet_.signal(name, SIGCONT);
        });
    } else if (step.verb_ == "drain") {
        const std::string name = pick(arguments[1]);
        draining_.insert(name);
        fleet_.signal(name, SIGTERM);
        restartWhenGone(name, fleet_.child(name).pid_, std::max(length, Duration(100000)), true);
    } else if (step.verb_ == "outage") {
        driver_.fault("log", R"({"outageMs":)" + milliseconds + "}");
    } else if (step.verb_ == "lose-append") {
        driver_.fault("log", R"({"loseAnswers":)" + arguments[0] + "}");
    } else if (step.verb_ == "lose-answer") {
        driver_.fault("service-" + pick(arguments[0]), R"({"loseAnswers":)" + arguments[1] + "}");
    } else if (step.verb_ == "publish") {
        ++publications_;
        driver_.publishAsync(quoteDocument(optionOf(step.options_, "maxTokens", 64)),
                             "publish-" + std::to_string(publications_));
    } else if (step.verb_ == "race") {
        race("race-" + std::to_string(++races_));
    }
}

void ProcessRun::judgeDone(const ScenarioExpectation &expectation, const Evidence &evidence,
                           const std::string &place, Findings &failures)
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    for (const CallerRecord &record : evidence.records_) {
        if (record.template_ != expectation.words_.at(1))
            continue;
        ++sent;
        good += record.ending_ == Ending::Done || record.ending_ == Ending::Whole ? 1 : 0;
    }
    const double percent = std::strtod(expectation.words_.at(2).c_str(), nullptr);
    if (static_cast<double>(good) * 100 < percent * static_cast<double>(sent))
        addFinding(failures, place,
                   std::to_string(good) + " of " + std::to_string(sent) + " "
                           + expectation.words_[1] + " ended well");
}

//! All entries show the same offset and digest, as an operator sees them.
void ProcessRun::judgeConfig(const std::string &place, Findings &failures)
{
    const auto shown = [&](const std::string &name) {
        http::HttpRequest request;
        request.path_ = "/v1/config";
        request.headers_["Authorization"] = "Bearer " + fleet_.token();
        const auto result = driver_.ask(fleet_.child(name).operators_, request);
        if (!result.response_)
            return std::string("none");
        boost::system::error_code error;
        const auto value = boost::json::parse(result.response_->body_, error);
        const auto *object = error ? nullptr : value.if_object();
        if (object == nullptr || !object->contains("digest"))
            return std::string("unreadable");
        return std::string(object->at("digest").as_string());
    };
    std::set<std::string> digests;
    const auto agree = [&] {
        digests.clear();
        for (const std::string &name : fleet_.names("entry-"))
            digests.insert(shown(name));
        return digests.size() == 1;
    };
    if (!driver_.runUntil(agree, std::chrono::seconds(3)))
        addFinding(failures, place, "entries show different configurations");
}

void ProcessRun::judgeOne(const ScenarioExpectation &expectation, const Evidence &evidence,
                          Findings &failures)
{
    const std::string place = scenario_.file_ + ":" + std::to_string(expectation.line_);
    const std::string &what = expectation.words_[0];
    if (what == "at-most-once")
        judgeAtMostOnce(evidence, place, failures);
    else if (what == "not-run-true")
        judgeNotRun(evidence, place, failures);
    else if (what == "answers-whole")
        judgeAnswers(evidence, 8, place, failures);
    else if (what == "all-ended")
        judgeEnded(evidence, place, failures);
    else if (what == "none-cut")
        judgeNoneCut(evidence, place, failures);
    else if (what == "done")
        judgeDone(expectation, evidence, place, failures);
    else if (what == "config")
        judgeConfig(place, failures);
}

void ProcessRun::judge(ScenarioReport &report)
{
    Evidence evidence;
    evidence.records_ = driver_.records_;
    evidence.effects_ = fleet_.effects();
    evidence.hasAllLayerRuns_ = false;
    //! Calls travel as JSON strings; the effect file holds them in quotes.
    for (CallerRecord &record : evidence.records_) {
        if (record.template_ != "quote")
            record.body_ = "\"" + record.body_ + "\"";
    }
    for (const ScenarioExpectation &expectation : scenario_.expectations_)
        judgeOne(expectation, evidence, report.failures_);
    for (const std::string &name : badExits_)
        addFinding(report.failures_, scenario_.file_, name + " did not stop cleanly");
    judgeRaces(report.failures_);
    for (const CallerRecord &record : evidence.records_) {
        ++report.requests_;
        report.keyed_ += record.key_.empty() ? 0 : 1;
        report.done_ += record.ending_ == Ending::Done ? 1 : 0;
        report.whole_ += record.ending_ == Ending::Whole ? 1 : 0;
        report.notRun_ += record.ending_ == Ending::NotRun ? 1 : 0;
        report.unknown_ += record.ending_ == Ending::Unknown ? 1 : 0;
        report.cut_ += record.ending_ == Ending::Cut ? 1 : 0;
    }
}

ScenarioReport ProcessRun::run()
{
    ScenarioReport report;
    fleet_.startAll();
    if (!driver_.waitReady()) {
        addFinding(report.failures_, scenario_.file_, "the fleet did not come up");
        return report;
    }
    start_ = driver_.now();
    for (const ScenarioStep &step : scenario_.steps_) {
        ++pendingActions_;
        driver_.after(pickTime(step.at_), [this, &step] {
            --pendingActions_;
            perform(step);
        });
    }
    const bool ended = driver_.runUntil(
            [this] {
                driver_.reapPublishers();
                return pendingActions_ == 0 && driver_.allEnded() && !driver_.arePublishing();
            },
            scenario_.end_ + std::chrono::seconds(30));
    //! The last keyed requests may still be sent again by their callers.
    driver_.runUntil([] { return false; }, ResendDelay * (MaxResendsOnProcesses + 1));
    driver_.runUntil([this] { return driver_.allEnded(); }, std::chrono::seconds(30));
    if (!ended)
        addFinding(report.failures_, scenario_.file_, "the run did not come to rest");
    judge(report);
    return report;
}

} // namespace detail

ScenarioReport runOnProcesses(const Scenario &scenario, std::uint64_t seed,
                              const ProgramPaths &paths)
{
    detail::ProcessRun run(scenario, seed, paths);
    return run.run();
}

} // namespace gypsumcroft::lab
