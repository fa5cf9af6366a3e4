#include "judge.h"

#include <algorithm>
#include <set>

namespace gypsumcroft::lab {

namespace detail {

constexpr std::size_t MaxFailuresOfAKind = 5;

//! Adds a failure unless there are many of its kind already.
class Reporter
{
public:
    Reporter(std::string place, Findings &failures) : place_(std::move(place)), failures_(failures)
    { }

    void add(const std::string &message)
    {
        if (++count_ <= MaxFailuresOfAKind)
            addFinding(failures_, place_, message);
    }

private:
    std::string place_;
    Findings &failures_;
    std::size_t count_ = 0;
};

bool isKeyed(const CallerRecord &record)
{
    return !record.key_.empty();
}

std::string requestOfStream(const std::string &stream)
{
    return stream.substr(0, stream.rfind('#'));
}

using PositionKey = std::pair<std::string, std::uint32_t>;

//! Layers in the order in which they ran, per stream and position.
std::map<PositionKey, std::vector<std::uint32_t>> layersByPosition(const Evidence &evidence)
{
    std::map<PositionKey, std::vector<std::uint32_t>> layers;
    for (const LayerRun &run : evidence.layerRuns_)
        layers[{run.record_.stream_, run.record_.position_.value_}].push_back(
                run.record_.layer_.value_);
    return layers;
}

bool isWholeLineage(const std::vector<std::uint32_t> &ran, std::uint32_t layers)
{
    if (ran.size() != layers)
        return false;
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
        if (ran[layer] != layer)
            return false;
    }
    return true;
}

} // namespace detail

void judgeAtMostOnce(const Evidence &evidence, const std::string &place, Findings &failures)
{
    detail::Reporter reporter(place, failures);
    const auto &effects = evidence.effects_;
    std::map<std::string, CallOutcome> outcomes;
    for (const CallerRecord &record : evidence.records_) {
        if (!detail::isKeyed(record))
            continue;
        const auto found = effects.find(record.body_);
        const std::uint32_t count = found == effects.end() ? 0 : found->second;
        if (count > 1)
            reporter.add("key " + record.key_ + " took effect " + std::to_string(count) + " times");
        if (record.ending_ != Ending::Done)
            continue;
        if (count == 0)
            reporter.add("key " + record.key_ + " was answered done without an effect");
        const auto [outcome, added] = outcomes.emplace(record.key_, record.outcome_);
        if (!added && outcome->second != record.outcome_)
            reporter.add("key " + record.key_ + " was answered with two outcomes");
    }
}

void judgeNotRun(const Evidence &evidence, const std::string &place, Findings &failures)
{
    detail::Reporter reporter(place, failures);
    const auto &effects = evidence.effects_;
    std::set<std::string> ran;
    for (const LayerRun &run : evidence.layerRuns_)
        ran.insert(detail::requestOfStream(run.record_.stream_));
    //! Bodies of which some request may have run: for those an effect proves nothing.
    std::set<std::string> excused;
    for (const CallerRecord &record : evidence.records_) {
        if (record.ending_ != Ending::NotRun)
            excused.insert(record.body_);
    }
    for (const CallerRecord &record : evidence.records_) {
        if (record.ending_ != Ending::NotRun)
            continue;
        if (ran.contains(record.request_.value_))
            reporter.add("request " + record.request_.value_ + " was refused not-run but ran");
        if (!excused.contains(record.body_) && effects.contains(record.body_))
            reporter.add("body " + record.body_ + " was refused not-run but took effect");
    }
}

void judgeAnswers(const Evidence &evidence, std::uint32_t layers, const std::string &place,
                  Findings &failures)
{
    detail::Reporter reporter(place, failures);
    const auto byPosition = detail::layersByPosition(evidence);
    std::map<std::string, std::set<std::uint32_t>> wholePositions;
    for (const auto &[key, ran] : byPosition) {
        std::set<std::uint32_t> once(ran.begin(), ran.end());
        if (once.size() != ran.size())
            reporter.add("stream " + key.first + " ran a layer twice for position "
                         + std::to_string(key.second));
        if (detail::isWholeLineage(ran, layers))
            wholePositions[detail::requestOfStream(key.first)].insert(key.second);
    }
    for (const CallerRecord &record : evidence.records_) {
        if (record.tokens_.empty())
            continue;
        const auto reference = standins::referenceAnswer(record.body_, layers, record.maxTokens_);
        const bool prefix
                = record.tokens_.size() <= reference.size()
                  && std::equal(record.tokens_.begin(), record.tokens_.end(), reference.begin());
        if (!prefix)
            reporter.add("request " + record.request_.value_ + " got another text than its own");
        if (record.ending_ == Ending::Whole && record.tokens_.size() != reference.size())
            reporter.add("request " + record.request_.value_
                         + " took a cut answer for a whole one");
        if (!evidence.hasAllLayerRuns_)
            continue;
        const auto whole = wholePositions.find(record.request_.value_);
        for (std::uint32_t index = 0; index < record.tokens_.size(); ++index) {
            const bool found = whole != wholePositions.end() && whole->second.contains(index);
            if (!found)
                reporter.add("request " + record.request_.value_ + " token " + std::to_string(index)
                             + " has no whole lineage");
        }
    }
}

void judgeEnded(const Evidence &evidence, const std::string &place, Findings &failures)
{
    detail::Reporter reporter(place, failures);
    for (const CallerRecord &record : evidence.records_) {
        if (record.ending_ == Ending::None)
            reporter.add("request " + record.request_.value_ + " (" + record.template_
                         + ") has no ending");
    }
}

void judgeNoneCut(const Evidence &evidence, const std::string &place, Findings &failures)
{
    detail::Reporter reporter(place, failures);
    for (const CallerRecord &record : evidence.records_) {
        if (record.ending_ != Ending::Unknown && record.ending_ != Ending::Cut)
            continue;
        reporter.add("request " + record.request_.value_ + " (" + record.template_ + ") was "
                     + (record.ending_ == Ending::Cut ? "cut" : "ended unknown"));
    }
}

} // namespace gypsumcroft::lab
