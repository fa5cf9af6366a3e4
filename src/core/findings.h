//! Findings of a check, collected with their places and reported together.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace gypsumcroft {

//! One fault of an input: where it is (file, JSON pointer or line) and what is wrong.
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
