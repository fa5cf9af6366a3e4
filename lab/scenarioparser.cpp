#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "scenario.h"

namespace gypsumcroft::lab {

namespace detail {

std::optional<Duration> parseDuration(const std::string &text)
{
    std::int64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string unit(read.ptr, text.data() + text.size());
    if (read.ec != std::errc())
        return std::nullopt;
    if (unit == "us")
        return Duration(number);
    if (unit == "ms")
        return std::chrono::milliseconds(number);
    if (unit == "s")
        return std::chrono::seconds(number);
    return std::nullopt;
}

//! Verbs of "at" lines with the least number of their arguments.
const std::map<std::string, std::size_t> &verbs()
{
    static const std::map<std::string, std::size_t> known
            = {{"load", 2},   {"kill", 2},      {"freeze", 1},      {"cut", 2},
               {"slow", 2},   {"outage", 0},    {"lose-append", 1}, {"lose-answer", 2},
               {"drain", 2},  {"leaving", 1},   {"publish", 1},     {"race", 1},
               {"poison", 1}, {"malformed", 0}, {"join", 1},        {"stale-snapshot", 0},
               {"lift", 0},   {"retention", 1}, {"hang-up", 1}};
    return known;
}

const std::set<std::string> &expectations()
{
    static const std::set<std::string> known
            = {"at-most-once", "not-run-true",   "answers-whole",  "all-ended",
               "nothing-left", "done",           "config",         "deaths",
               "none-cut",     "leaving-silent", "innocents-whole"};
    return known;
}

struct LineReader
{
    Scenario scenario_;
    Findings &findings_;
    int line_ = 0;

    std::string place() const { return scenario_.file_ + ":" + std::to_string(line_); }

    void fault(const std::string &message) { addFinding(findings_, place(), message); }

    void readOptions(const std::vector<std::string> &words, std::map<std::string, std::string> &to)
    {
        for (std::size_t i = 1; i < words.size(); ++i) {
            const auto equals = words[i].find('=');
            if (equals == std::string::npos)
                fault("'" + words[i] + "' is not NAME=VALUE");
            else
                to[words[i].substr(0, equals)] = words[i].substr(equals + 1);
        }
    }

    void readArgument(const std::vector<std::string> &words, std::size_t &i, ScenarioStep &step)
    {
        if (words[i] == "for" && i + 1 < words.size()) {
            step.length_ = parseTime(words[++i]);
            if (!step.length_)
                fault("'" + words[i] + "' is not a time");
            return;
        }
        const auto equals = words[i].find('=');
        if (equals == std::string::npos)
            step.arguments_.push_back(words[i]);
        else
            step.options_[words[i].substr(0, equals)] = words[i].substr(equals + 1);
    }

    void readStep(const std::vector<std::string> &words)
    {
        ScenarioStep step;
        step.line_ = line_;
        if (words.size() < 3)
            return fault("'at' needs a time and a verb");
        const auto time = parseTime(words[1]);
        if (!time)
            return fault("'" + words[1] + "' is not a time");
        step.at_ = *time;
        step.verb_ = words[2];
        for (std::size_t i = 3; i < words.size(); ++i)
            readArgument(words, i, step);
        const auto verb = verbs().find(step.verb_);
        if (verb == verbs().end())
            return fault("no verb '" + step.verb_ + "'");
        if (step.arguments_.size() < verb->second)
            return fault("'" + step.verb_ + "' needs " + std::to_string(verb->second)
                         + " arguments");
        scenario_.steps_.push_back(std::move(step));
    }

    void readExpectation(const std::vector<std::string> &words)
    {
        if (words.size() < 2 || !expectations().contains(words[1]))
            return fault("no such expectation");
        scenario_.expectations_.push_back({line_, {words.begin() + 1, words.end()}});
    }

    void readLine(const std::string &text)
    {
        std::istringstream stream(text.substr(0, text.find('#')));
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
            words.push_back(word);
        if (words.empty())
            return;
        if (words[0] == "fleet")
            return readOptions(words, scenario_.fleet_);
        if (words[0] == "network")
            return readOptions(words, scenario_.network_);
        if (words[0] == "at")
            return readStep(words);
        if (words[0] == "expect")
            return readExpectation(words);
        if (words[0] == "processes") {
            scenario_.processes_ = true;
            return;
        }
        const auto end = words.size() == 2 ? parseTime(words[1]) : std::nullopt;
        if (words[0] != "end" || !end)
            return fault("a line begins with fleet, network, at, expect, processes or end");
        scenario_.end_ = end->least_;
    }
};

} // namespace detail

std::optional<TimeRange> parseTime(const std::string &text)
{
    const auto dots = text.find("..");
    const auto least = detail::parseDuration(text.substr(0, dots));
    if (!least)
        return std::nullopt;
    if (dots == std::string::npos)
        return TimeRange {*least, *least};
    const auto most = detail::parseDuration(text.substr(dots + 2));
    if (!most || *most < *least)
        return std::nullopt;
    return TimeRange {*least, *most};
}

std::optional<Scenario> parseScenario(const std::string &text, const std::string &file,
                                      Findings &findings)
{
    const std::size_t before = findings.size();
    detail::LineReader reader {{}, findings};
    reader.scenario_.file_ = file;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        ++reader.line_;
        reader.readLine(line);
    }
    if (findings.size() != before)
        return std::nullopt;
    return std::move(reader.scenario_);
}

std::optional<Scenario> loadScenario(const std::string &path, Findings &findings)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        addFinding(findings, path, "can't be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseScenario(text.str(), path, findings);
}

} // namespace gypsumcroft::lab
