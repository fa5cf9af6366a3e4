//! The test language: a scenario file, read line by line, and its run in virtual time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/units.h"
#include "fleet.h"

namespace gypsumcroft::lab {

//! A time that a seed picks from [least_, most_].
struct TimeRange
{
    Duration least_ {};
    Duration most_ {};
};

//! One "at" line.
struct ScenarioStep
{
    int line_ = 0;
    TimeRange at_;
    std::string verb_;
    std::vector<std::string> arguments_;
    //! Value after "for".
    std::optional<TimeRange> length_;
    //! "name=value" arguments.
    std::map<std::string, std::string> options_;
};

struct ScenarioExpectation
{
    int line_ = 0;
    std::vector<std::string> words_;
};

struct Scenario
{
    std::string file_;
    std::map<std::string, std::string> fleet_;
    std::map<std::string, std::string> network_;
    std::vector<ScenarioStep> steps_;
    std::vector<ScenarioExpectation> expectations_;
    Duration end_ = std::chrono::seconds(30);
    //! The file is also run on real processes.
    bool processes_ = false;
};

//! "250ms", "3s", "3s..6s"; nothing if it is none.
std::optional<TimeRange> parseTime(const std::string &text);

//! Reads a scenario; every fault is a finding with file and line.
std::optional<Scenario> parseScenario(const std::string &text, const std::string &file,
                                      Findings &findings);
std::optional<Scenario> loadScenario(const std::string &path, Findings &findings);

//! What one run showed.
struct ScenarioReport
{
    //! Expectations that did not hold; empty on success.
    Findings failures_;
    std::uint64_t requests_ = 0;
    std::uint64_t keyed_ = 0;
    std::uint64_t done_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t cut_ = 0;
    std::uint64_t whole_ = 0;
    std::uint64_t events_ = 0;
    std::vector<std::string> logLines_;
};

//! Runs a scenario with a seed in virtual time and judges it.
ScenarioReport runScenario(const Scenario &scenario, std::uint64_t seed, bool keepLog = false);

} // namespace gypsumcroft::lab
