#include <algorithm>
#include <cmath>

#include "judge.h"
#include "scenario.h"

namespace gypsumcroft::lab {

namespace detail {

constexpr std::uint32_t MaxResends = 3;
constexpr Duration ResendAfter = std::chrono::seconds(1);

std::uint64_t numberOf(const std::map<std::string, std::string> &options, const std::string &name,
                       std::uint64_t fallback)
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : std::strtoull(found->second.c_str(), nullptr, 10);
}

double shareOf(const std::map<std::string, std::string> &options, const std::string &name,
               double fallback)
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : std::strtod(found->second.c_str(), nullptr);
}

Duration timeOf(const std::map<std::string, std::string> &options, const std::string &name,
                Duration fallback)
{
    const auto found = options.find(name);
    if (found == options.end())
        return fallback;
    const auto time = parseTime(found->second);
    return time ? time->least_ : fallback;
}

//! One run of a scenario.
class Run
{
public:
    Run(const Scenario &scenario, std::uint64_t seed)
        : scenario_(scenario), fleet_(optionsOf(scenario, seed)), random_ {seed * 7919 + 17}
    { }

    ScenarioReport run(bool keepLog);

private:
    static FleetOptions optionsOf(const Scenario &scenario, std::uint64_t seed);
    void buildFleet();
    void addPipeline(std::uint32_t number);
    void publishStart();
    Template templateNamed(const std::string &name) const;
    void schedule(const ScenarioStep &step);
    void perform(const ScenarioStep &step);

    void load(const ScenarioStep &step);
    void sendOne(const std::string &work, const ScenarioStep &step);
    void watch(std::size_t record, std::uint32_t resends);
    void resend(const CallerRecord &old, std::uint32_t resends);
    void kill(const ScenarioStep &step);
    void drain(const ScenarioStep &step);
    void publishNext(const std::string &name, const std::string &id, std::int64_t maxTokens);
    void poison(const ScenarioStep &step);
    void sendPoison(const std::string &body, std::uint32_t left);
    void staleSnapshot();

    std::string pick(const std::string &name);
    std::string liveEntry();
    Duration pickTime(const TimeRange &range);
    std::int64_t maxTokensInForce(const EntryNode &entry, const std::string &name) const;

    void judge(ScenarioReport &report);
    void judgeOne(const ScenarioExpectation &expectation, Findings &failures);
    void judgeDone(const ScenarioExpectation &expectation, const std::string &place,
                   Findings &failures);
    void judgeConfig(const std::string &place, Findings &failures);
    void judgeNothingLeft(const std::string &place, Findings &failures);
    void judgeLeaving(const std::string &place, Findings &failures);
    void judgeDeaths(const ScenarioExpectation &expectation, const std::string &place,
                     Findings &failures);

    const Scenario &scenario_;
    Fleet fleet_;
    Evidence evidence_;
    Random random_;
    TimePoint start_;
    std::uint32_t layers_ = 8;
    std::uint32_t stages_ = 4;
    std::uint64_t nextKey_ = 1;
    std::uint64_t nextPublish_ = 1;
    std::uint32_t pipelines_ = 0;
    std::uint32_t publishes_ = 0;
    std::uint32_t races_ = 0;
    std::map<std::string, TimePoint> leavingSince_;
    std::vector<std::size_t> poisonRecords_;
    std::uint32_t endpointKills_ = 0;
    ConfigSnapshot oldSnapshot_;
    //! Highest offset that each entry's life has shown; it must never go back.
    std::map<std::string, std::pair<std::uint64_t, LogOffset>> seenThrough_;
    std::vector<std::string> reversions_;
    //! When each publication was appended, and when all live entries had it.
    std::map<std::uint64_t, TimePoint> publishedAt_;
    Duration worstInForce_ {};
    Duration mayLag_ {};
    TimePoint disturbedUntil_;
};

FleetOptions Run::optionsOf(const Scenario &scenario, std::uint64_t seed)
{
    FleetOptions options = defaultFleetOptions(seed);
    options.network_.repeatShare_ = shareOf(scenario.network_, "repeat", 0);
    options.network_.lateShare_ = shareOf(scenario.network_, "late", 0);
    options.network_.datagramLoss_ = shareOf(scenario.network_, "loss", 0);
    options.network_.delay_ = timeOf(scenario.network_, "delay", options.network_.delay_);
    options.log_.settings_.retentionMs_
            = timeOf(scenario.fleet_, "retention", std::chrono::hours(24 * 7)).count() / 1000;
    options.log_.settings_.appendsPerSecond_
            = static_cast<std::uint32_t>(numberOf(scenario.fleet_, "appends", 300));
    return options;
}

void Run::addPipeline(std::uint32_t number)
{
    const auto slots = static_cast<std::uint32_t>(numberOf(scenario_.fleet_, "slots", 8));
    const Duration cost = timeOf(scenario_.fleet_, "cost", std::chrono::milliseconds(2));
    const std::uint32_t width = layers_ / stages_;
    static const char *const domains[] = {"a", "b", "c"};
    for (std::uint32_t stage = 0; stage < stages_; ++stage) {
        standins::EngineSettings settings;
        settings.layers_ = {{stage * width}, {(stage + 1) * width}};
        settings.modelLayers_ = {layers_};
        settings.slots_ = {slots};
        settings.costPerToken_ = cost;
        settings.poison_ = "POISON";
        const std::string name
                = "stage-" + std::to_string(number) + "-" + std::to_string(stage + 1);
        fleet_.addStage(name, domains[(number + stage) % 3], settings);
    }
}

void Run::buildFleet()
{
    layers_ = static_cast<std::uint32_t>(numberOf(scenario_.fleet_, "layers", 8));
    stages_ = static_cast<std::uint32_t>(numberOf(scenario_.fleet_, "stages", 4));
    static const char *const domains[] = {"a", "b", "c"};
    const auto entries = numberOf(scenario_.fleet_, "entries", 2);
    for (std::uint64_t i = 0; i < entries; ++i)
        fleet_.addEntry("entry-" + std::to_string(i + 1), domains[i % 3]);
    pipelines_ = static_cast<std::uint32_t>(numberOf(scenario_.fleet_, "pipelines", 2));
    for (std::uint32_t i = 0; i < pipelines_; ++i)
        addPipeline(i + 1);
    const auto services = numberOf(scenario_.fleet_, "services", 2);
    for (std::uint64_t i = 0; i < services; ++i)
        fleet_.addService("booking-" + std::to_string(i + 1), domains[i % 3], "bookings", 16);
}

Template Run::templateNamed(const std::string &name) const
{
    Template work;
    work.id_ = {name};
    work.target_ = {"panels"};
    work.responseTimeout_ = timeOf(scenario_.fleet_, "patience", std::chrono::seconds(8));
    work.idempotencyWindow_ = std::chrono::hours(24);
    work.parameters_["maxTokens"] = {64, 1, 4096};
    if (name == "quote")
        work.rank_ = Rank::Urgent;
    if (name == "summary")
        work.rank_ = Rank::Background;
    if (name == "booking" || name == "lookup") {
        work.kind_ = TemplateKind::Service;
        work.target_ = {"bookings"};
        work.responseTimeout_ = timeOf(scenario_.fleet_, "callPatience", std::chrono::seconds(4));
        work.parameters_.clear();
    }
    if (name == "booking")
        work.repeat_ = RepeatPolicy::Never;
    return work;
}

void Run::publishStart()
{
    for (const char *name : {"quote", "answer", "summary", "booking", "lookup"})
        fleet_.publish(templateNamed(name), {}, "start-" + std::string(name));
    for (const char *name : {"org-1", "org-2", "org-3"}) {
        ParameterSet set;
        set.organisation_ = {name};
        set.apiKeyHashes_ = {apiKeyOf(name)};
        fleet_.publish(set, {}, "start-" + std::string(name));
    }
}

Duration Run::pickTime(const TimeRange &range)
{
    const auto span = static_cast<std::uint64_t>((range.most_ - range.least_).count());
    return range.least_ + Duration(randomBelow(random_, span + 1));
}

//! A name as it stands, or one that the seed picks: any-entry, any-stage, any-service.
std::string Run::pick(const std::string &name)
{
    std::vector<std::string> names;
    if (name == "any-entry") {
        for (const auto &[entry, node] : fleet_.entries_)
            names.push_back(entry);
    }
    const std::string prefix = name == "any-stage"     ? "stage-"
                               : name == "any-service" ? "booking-"
                                                       : "";
    if (!prefix.empty()) {
        for (const auto &[agent, node] : fleet_.agents_) {
            if (agent.starts_with(prefix))
                names.push_back(agent);
        }
    }
    return names.empty() ? name : names[randomBelow(random_, names.size())];
}

std::string Run::liveEntry()
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : fleet_.entries_) {
        if (entry->alive_ && !entry->draining_ && entry->control_.config_.appliedOffset_.value_ > 0)
            names.push_back(name);
    }
    return names.empty() ? fleet_.entries_.begin()->first
                         : names[randomBelow(random_, names.size())];
}

void Run::schedule(const ScenarioStep &step)
{
    fleet_.at(start_ + pickTime(step.at_), [this, &step] { perform(step); });
}

void Run::perform(const ScenarioStep &step)
{
    const auto &arguments = step.arguments_;
    const Duration length = step.length_ ? pickTime(*step.length_) : Duration::zero();
    const TimePoint until = fleet_.now() + length;
    const auto option = [&](const std::string &name, std::uint64_t fallback) {
        return numberOf(step.options_, name, fallback);
    };
    if (step.verb_ != "load" && step.verb_ != "publish" && step.verb_ != "race")
        disturbedUntil_ = std::max(disturbedUntil_, until);
    if (step.verb_ == "load") {
        load(step);
    } else if (step.verb_ == "kill") {
        kill(step);
    } else if (step.verb_ == "freeze") {
        const std::string name = pick(arguments[0]);
        fleet_.freeze(name);
        fleet_.at(until, [this, name] { fleet_.thaw(name); });
    } else if (step.verb_ == "cut") {
        const std::string left = pick(arguments[0]);
        const std::string right = pick(arguments[1]);
        fleet_.cutLink(left, right);
        fleet_.at(until, [this, left, right] { fleet_.healLink(left, right); });
    } else if (step.verb_ == "slow" && arguments[0] == "log") {
        fleet_.logSlow_ = parseTime(arguments[1])->least_;
        fleet_.at(until, [this] { fleet_.logSlow_ = {}; });
    } else if (step.verb_ == "slow") {
        fleet_.slowLink(pick(arguments[0]), pick(arguments[1]),
                        timeOf(step.options_, "delay", std::chrono::milliseconds(20)));
    } else if (step.verb_ == "outage") {
        fleet_.outage(length);
    } else if (step.verb_ == "lose-append") {
        fleet_.log_.loseAnswers_ = static_cast<std::uint32_t>(std::stoul(arguments[0]));
    } else if (step.verb_ == "lose-answer") {
        fleet_.endpoints_.at(pick(arguments[0]))->loseAnswers_
                = static_cast<std::uint32_t>(std::stoul(arguments[1]));
    } else if (step.verb_ == "drain") {
        drain(step);
    } else if (step.verb_ == "leaving") {
        const std::string name = pick(arguments[0]);
        leavingSince_[name] = fleet_.now();
        fleet_.setLeaving(name);
    } else if (step.verb_ == "publish") {
        publishNext(arguments[0], "publish-" + std::to_string(++publishes_),
                    static_cast<std::int64_t>(option("maxTokens", 64)));
    } else if (step.verb_ == "race") {
        ++races_;
        publishNext(arguments[0], "race-" + std::to_string(races_) + "-a", 70);
        publishNext(arguments[0], "race-" + std::to_string(races_) + "-b", 80);
    } else if (step.verb_ == "malformed") {
        fleet_.appendRaw("config", "malformed");
    } else if (step.verb_ == "stale-snapshot") {
        staleSnapshot();
    } else if (step.verb_ == "poison") {
        poison(step);
    } else if (step.verb_ == "join") {
        addPipeline(++pipelines_);
    } else if (step.verb_ == "lift") {
        for (const auto &[name, entry] : fleet_.entries_) {
            for (const auto &[fingerprint, suspect] : entry->control_.suspects_.entries_)
                onQuarantineLifted(entry->control_, fingerprint, fleet_.now());
        }
    } else if (step.verb_ == "hang-up") {
        const double share = std::strtod(arguments[0].c_str(), nullptr);
        for (std::size_t i = 0; i < fleet_.records_.size(); ++i) {
            const CallerRecord &record = fleet_.records_[i];
            if (record.ending_ == Ending::None && record.key_.empty()
                && randomUnit(random_) < share)
                fleet_.closeCaller(i);
        }
    }
}

void Run::load(const ScenarioStep &step)
{
    const std::string work = step.arguments_[0];
    const double perSecond = std::strtod(step.arguments_[1].c_str(), nullptr);
    const Duration length = step.length_ ? pickTime(*step.length_) : Duration::zero();
    const TimePoint from = fleet_.now();
    TimePoint next = from;
    while (true) {
        const double gap = -std::log(1.0 - randomUnit(random_)) / perSecond;
        next += Duration(static_cast<std::int64_t>(gap * 1e6));
        if (next >= from + length)
            return;
        fleet_.at(next, [this, work, &step] { sendOne(work, step); });
    }
}

void Run::sendOne(const std::string &work, const ScenarioStep &step)
{
    CallerRecord record;
    record.template_ = work;
    const std::uint64_t number = nextKey_++;
    record.organisation_ = "org-" + std::to_string(1 + randomBelow(random_, 3));
    record.caller_ = record.organisation_ + "-c" + std::to_string(randomBelow(random_, 20));
    record.body_ = work + " for job " + std::to_string(number);
    if (work == "booking")
        record.key_ = "key-" + std::to_string(number);
    if (work == "quote" || work == "answer" || work == "summary")
        record.maxTokens_ = static_cast<std::uint32_t>(numberOf(step.options_, "tokens", 12));
    const double repeat = shareOf(step.options_, "repeat", 0);
    watch(fleet_.send(liveEntry(), record), 0);
    if (record.key_.empty() || randomUnit(random_) >= repeat)
        return;
    //! The same key again: at once over another entry, or much later.
    const Duration gap = randomBelow(random_, 2) == 0
                                 ? Duration(randomBelow(random_, 20000))
                                 : Duration(1000000 + randomBelow(random_, 4000000));
    fleet_.at(fleet_.now() + gap, [this, record] { watch(fleet_.send(liveEntry(), record), 0); });
}

//! Callers of keyed requests send again after anything but "done".
void Run::watch(std::size_t index, std::uint32_t resends)
{
    if (fleet_.records_[index].key_.empty() || resends >= MaxResends)
        return;
    fleet_.at(fleet_.now() + ResendAfter, [this, index, resends] {
        const CallerRecord &record = fleet_.records_[index];
        if (record.ending_ == Ending::None)
            return watch(index, resends);
        if (record.ending_ != Ending::Done)
            resend(record, resends);
    });
}

void Run::resend(const CallerRecord &old, std::uint32_t resends)
{
    CallerRecord again;
    again.template_ = old.template_;
    again.organisation_ = old.organisation_;
    again.caller_ = old.caller_;
    again.body_ = old.body_;
    again.key_ = old.key_;
    watch(fleet_.send(liveEntry(), again), resends + 1);
}

void Run::kill(const ScenarioStep &step)
{
    const std::string &kind = step.arguments_[0];
    const std::string name = pick(step.arguments_[1]);
    if (kind == "entry")
        fleet_.killEntry(name);
    if (kind == "endpoint" || kind == "instance")
        fleet_.killEndpoint(name);
    if (kind == "agent" || kind == "instance")
        fleet_.killAgent(name);
    if (kind == "domain") {
        for (const auto &[agent, node] : fleet_.agents_) {
            if (node->domain_.value_ != name)
                continue;
            fleet_.killEndpoint(agent);
            fleet_.killAgent(agent);
        }
    }
    if (!step.length_)
        return;
    fleet_.at(fleet_.now() + pickTime(*step.length_), [this, kind, name] {
        if (kind == "entry")
            fleet_.startEntry(name);
        if (kind == "endpoint" || kind == "instance")
            fleet_.startEndpoint(name);
        if (kind == "agent" || kind == "instance")
            fleet_.startAgent(name);
    });
}

void Run::drain(const ScenarioStep &step)
{
    const std::string name = pick(step.arguments_[1]);
    const bool entry = step.arguments_[0] == "entry";
    if (entry)
        fleet_.drainEntry(name);
    else
        fleet_.drainAgent(name);
    if (!entry)
        leavingSince_[name] = fleet_.now();
    if (!step.length_)
        return;
    //! The platform starts the replacement once the old process has gone.
    const auto replace = std::make_shared<std::function<void()>>();
    *replace = [this, name, entry, replace] {
        const bool gone
                = entry ? !fleet_.entries_.at(name)->alive_ : !fleet_.agents_.at(name)->alive_;
        if (!gone) {
            fleet_.at(fleet_.now() + std::chrono::milliseconds(100), *replace);
            return;
        }
        leavingSince_.erase(name);
        if (entry)
            fleet_.startEntry(name);
        else
            fleet_.startAgent(name);
    };
    fleet_.at(fleet_.now() + pickTime(*step.length_), *replace);
}

void Run::publishNext(const std::string &name, const std::string &id, std::int64_t maxTokens)
{
    Template work = templateNamed(name);
    if (!work.parameters_.empty())
        work.parameters_["maxTokens"].default_ = maxTokens;
    LogOffset replaces;
    for (const auto &[entryName, entry] : fleet_.entries_) {
        const auto &entries = entry->control_.config_.entries_;
        const auto current = entries.find({"template/" + name});
        if (current != entries.end())
            replaces = std::max(replaces, current->second.version_);
    }
    oldSnapshot_ = snapshotOf(fleet_.entries_.begin()->second->control_.config_);
    if (standins::isDown(fleet_.log_, fleet_.now().time_since_epoch().count() / 1000))
        return;
    fleet_.publish(work, replaces, id);
    publishedAt_[fleet_.log_.streams_["config"].next_ - 1] = fleet_.now();
}

//! A process that was paused appends the snapshot that it took before the last publication.
void Run::staleSnapshot()
{
    fleet_.appendSnapshot(oldSnapshot_);
}

void Run::poison(const ScenarioStep &step)
{
    sendPoison("POISON " + std::to_string(nextKey_++),
               static_cast<std::uint32_t>(std::stoul(step.arguments_[0])));
}

//! The caller of a poisoned request sends it again each time that it ends.
void Run::sendPoison(const std::string &body, std::uint32_t left)
{
    CallerRecord record;
    record.template_ = "quote";
    record.organisation_ = "org-1";
    record.caller_ = "poisoner";
    record.body_ = body;
    record.maxTokens_ = 4;
    const std::size_t index = fleet_.send(liveEntry(), record);
    poisonRecords_.push_back(index);
    if (left <= 1)
        return;
    const auto wait = std::make_shared<std::function<void()>>();
    *wait = [this, index, body, left, wait] {
        if (fleet_.records_[index].ending_ == Ending::None)
            fleet_.at(fleet_.now() + std::chrono::milliseconds(50), *wait);
        else
            sendPoison(body, left - 1);
    };
    fleet_.at(fleet_.now() + std::chrono::milliseconds(50), *wait);
}

std::int64_t Run::maxTokensInForce(const EntryNode &entry, const std::string &name) const
{
    const auto &templates = entry.control_.index_->templates_;
    const auto found = templates.find({name});
    return found == templates.end() ? -1 : found->second.parameters_.at("maxTokens").default_;
}

// Judgement ---------------------------------------------------------------------------------

void Run::judgeDone(const ScenarioExpectation &expectation, const std::string &place,
                    Findings &failures)
{
    //! done WORK PERCENT [FROM TO]: of those sent in the span, so many ended well.
    const auto &words = expectation.words_;
    const std::string &work = words.at(1);
    const double percent = std::strtod(words.at(2).c_str(), nullptr);
    const TimePoint from = start_ + (words.size() > 3 ? parseTime(words[3])->least_ : Duration {});
    const TimePoint to = start_ + (words.size() > 4 ? parseTime(words[4])->least_ : scenario_.end_);
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    for (const CallerRecord &record : evidence_.records_) {
        if (record.template_ != work || record.sent_ < from || record.sent_ >= to
            || record.caller_ == "poisoner")
            continue;
        ++sent;
        const bool well = record.ending_ == Ending::Done || record.ending_ == Ending::Whole;
        good += well ? 1 : 0;
    }
    if (sent == 0 || static_cast<double>(good) * 100.0 < percent * static_cast<double>(sent))
        addFinding(failures, place,
                   std::to_string(good) + " of " + std::to_string(sent) + " " + work
                           + " ended well, wanted " + words.at(2) + "%");
}

void Run::judgeConfig(const std::string &place, Findings &failures)
{
    const EntryNode *first = nullptr;
    for (const auto &[name, entry] : fleet_.entries_) {
        if (!entry->alive_)
            continue;
        if (first == nullptr)
            first = entry.get();
        if (entry->control_.config_.digest_ != first->control_.config_.digest_)
            addFinding(failures, place, name + " has another configuration than " + first->name_);
    }
    for (const std::string &reversion : reversions_)
        addFinding(failures, place, reversion);
    if (worstInForce_ > std::chrono::seconds(3))
        addFinding(failures, place,
                   "a publication took " + std::to_string(toMilliseconds(worstInForce_))
                           + " ms to be in force");
    if (first == nullptr)
        return;
    for (std::uint32_t race = 1; race <= races_; ++race) {
        const std::string id = "race-" + std::to_string(race);
        const auto &verdicts = first->control_.config_.publishResults_;
        const auto left = verdicts.find({id + "-a"});
        const auto right = verdicts.find({id + "-b"});
        if (left == verdicts.end() || right == verdicts.end())
            continue;
        if (left->second.accepted_ == right->second.accepted_)
            addFinding(failures, place, id + " was not won by exactly one");
    }
}

void Run::judgeNothingLeft(const std::string &place, Findings &failures)
{
    for (const auto &[name, entry] : fleet_.entries_) {
        if (!entry->alive_)
            continue;
        const bool left = !entry->traffic_.requests_.empty() || entry->traffic_.queue_.size_ > 0
                          || !entry->control_.resolving_.empty() || !entry->callers_.empty();
        if (left)
            addFinding(failures, place,
                       name + " still holds " + std::to_string(entry->traffic_.requests_.size())
                               + " requests, " + std::to_string(entry->traffic_.queue_.size_)
                               + " queued, " + std::to_string(entry->control_.resolving_.size())
                               + " unsettled");
        for (const auto &[endpoint, window] : entry->traffic_.windows_) {
            if (window.outstanding_ > 0)
                addFinding(failures, place,
                           name + " holds a window of " + endpoint.value_ + " open");
        }
    }
    for (const auto &[name, agent] : fleet_.agents_) {
        if (!agent->alive_)
            continue;
        const AgentTraffic &traffic = agent->traffic_;
        if (!traffic.streams_.empty() || !traffic.backlog_.empty() || !traffic.calls_.empty()
            || !isIdle(agent->control_))
            addFinding(failures, place,
                       name + " still holds " + std::to_string(traffic.streams_.size())
                               + " streams, " + std::to_string(traffic.calls_.size()) + " calls, "
                               + std::to_string(agent->control_.claims_.outgoing_.size())
                               + " records for the log");
    }
}

//! Streams that began on an endpoint more than 3 s after it was told to leave.
void Run::judgeLeaving(const std::string &place, Findings &failures)
{
    std::map<std::string, TimePoint> firstRun;
    for (const LayerRun &run : evidence_.layerRuns_)
        firstRun.emplace(run.endpoint_ + " " + run.record_.stream_, run.at_);
    for (const auto &[key, at] : firstRun) {
        const std::string endpoint = key.substr(0, key.find(' '));
        const auto since = leavingSince_.find(endpoint);
        if (since != leavingSince_.end() && at > since->second + std::chrono::seconds(3))
            addFinding(failures, place, endpoint + " got new work while leaving");
    }
}

void Run::judgeDeaths(const ScenarioExpectation &expectation, const std::string &place,
                      Findings &failures)
{
    std::uint32_t deaths = 0;
    for (const auto &[name, endpoint] : fleet_.endpoints_)
        deaths += static_cast<std::uint32_t>(endpoint->generation_ - 1);
    const auto most = static_cast<std::uint32_t>(std::stoul(expectation.words_.at(1)));
    if (deaths > most)
        addFinding(failures, place, std::to_string(deaths) + " endpoints died");
    if (deaths == 0)
        addFinding(failures, place, "no endpoint died: the poison did not run at all");
}

void Run::judgeOne(const ScenarioExpectation &expectation, Findings &failures)
{
    const std::string place = scenario_.file_ + ":" + std::to_string(expectation.line_);
    const std::string &what = expectation.words_[0];
    if (what == "at-most-once")
        judgeAtMostOnce(evidence_, place, failures);
    else if (what == "not-run-true")
        judgeNotRun(evidence_, place, failures);
    else if (what == "answers-whole")
        judgeAnswers(evidence_, layers_, place, failures);
    else if (what == "all-ended")
        judgeEnded(evidence_, place, failures);
    else if (what == "none-cut")
        judgeNoneCut(evidence_, place, failures);
    else if (what == "nothing-left")
        judgeNothingLeft(place, failures);
    else if (what == "done")
        judgeDone(expectation, place, failures);
    else if (what == "config")
        judgeConfig(place, failures);
    else if (what == "leaving-silent")
        judgeLeaving(place, failures);
    else if (what == "deaths")
        judgeDeaths(expectation, place, failures);
}

void Run::judge(ScenarioReport &report)
{
    evidence_ = fleet_.takeEvidence();
    for (const ScenarioExpectation &expectation : scenario_.expectations_)
        judgeOne(expectation, report.failures_);
    for (const CallerRecord &record : evidence_.records_) {
        ++report.requests_;
        report.keyed_ += record.key_.empty() ? 0 : 1;
        report.done_ += record.ending_ == Ending::Done ? 1 : 0;
        report.whole_ += record.ending_ == Ending::Whole ? 1 : 0;
        report.notRun_ += record.ending_ == Ending::NotRun ? 1 : 0;
        report.unknown_ += record.ending_ == Ending::Unknown ? 1 : 0;
        report.cut_ += record.ending_ == Ending::Cut ? 1 : 0;
    }
    report.events_ = fleet_.events_;
    report.logLines_ = std::move(fleet_.logLines_);
}

ScenarioReport Run::run(bool keepLog)
{
    fleet_.keepLog_ = keepLog;
    buildFleet();
    publishStart();
    //! Two seconds to come up; the scenario's own clock starts after them.
    fleet_.runUntil(fleet_.now() + std::chrono::seconds(2));
    start_ = fleet_.now();
    for (const ScenarioStep &step : scenario_.steps_)
        schedule(step);
    constexpr Duration Slice = std::chrono::milliseconds(50);
    while (fleet_.now() < start_ + scenario_.end_) {
        fleet_.runUntil(fleet_.now() + Slice);
        for (const auto &[name, entry] : fleet_.entries_) {
            auto &seen = seenThrough_[name];
            const LogOffset through = entry->control_.config_.appliedOffset_;
            const bool sameLife = seen.first == entry->generation_;
            if (sameLife && through < seen.second)
                reversions_.push_back(name + " went back from offset "
                                      + std::to_string(seen.second.value_));
            seen = {entry->generation_, through};
        }
        const bool calm = fleet_.now() > disturbedUntil_;
        for (auto at = publishedAt_.begin(); at != publishedAt_.end();) {
            const bool everywhere = std::all_of(
                    fleet_.entries_.begin(), fleet_.entries_.end(), [&](const auto &entry) {
                        return !entry.second->alive_ || entry.second->frozen_
                               || entry.second->control_.config_.appliedOffset_.value_ >= at->first;
                    });
            if (!everywhere && calm)
                worstInForce_ = std::max(worstInForce_,
                                         fleet_.now() - std::max(at->second, disturbedUntil_));
            at = everywhere ? publishedAt_.erase(at) : std::next(at);
        }
    }
    ScenarioReport report;
    judge(report);
    return report;
}

} // namespace detail

ScenarioReport runScenario(const Scenario &scenario, std::uint64_t seed, bool keepLog)
{
    detail::Run run(scenario, seed);
    return run.run(keepLog);
}

} // namespace gypsumcroft::lab
