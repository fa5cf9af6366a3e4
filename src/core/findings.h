//! Errors found while validating an input, collected so that all of them are reported together.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace gypsumcroft {

//! One error in an input: its location (file, JSON pointer or line) and a description.
struct Finding
{
    std::string place_;
    std::string message_;
    auto operator<=>(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

inline void addFinding(Findings &findings, std::string place, std::string message)
{
    findings.push_back({std::move(place), std::move(message)});
}

} // namespace gypsumcroft
