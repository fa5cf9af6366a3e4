//! What operators publish: templates, parameter sets and the fleet's policy.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/units.h"

namespace gypsumcroft {

//! Urgency of a template's work, most urgent first.
enum class Rank : std::uint8_t { Urgent, Standard, Background };
inline constexpr std::size_t RankCount = 3;
inline constexpr std::array<Rank, RankCount> AllRanks
        = {Rank::Urgent, Rank::Standard, Rank::Background};

std::string_view rankName(Rank rank);

enum class TemplateKind : std::uint8_t { Model, Service };
enum class RepeatPolicy : std::uint8_t { Safe, Never };

//! Default and bounds of one parameter.
struct ParameterSpec
{
    std::int64_t default_ = 0;
    std::int64_t minimum_ = 0;
    std::int64_t maximum_ = 0;
    auto operator<=>(const ParameterSpec &) const = default;
};

//! Parameters by name; see knownParameters().
using ParameterSpecs = std::map<std::string, ParameterSpec>;
using ParameterValues = std::map<std::string, std::int64_t>;

//! Longest answer, in tokens.
inline constexpr std::string_view ParameterMaxTokens = "maxTokens";
//! Largest prompt or body, in bytes.
inline constexpr std::string_view ParameterMaxBodyBytes = "maxBodyBytes";
//! Requests an organisation may send in a second, over all entries.
inline constexpr std::string_view ParameterRequestsPerSecond = "requestsPerSecond";

//! Names that a template may declare.
const std::vector<std::string_view> &knownParameters();

//! A kind of work: what runs it, how urgent it is and whether it may repeat.
struct Template
{
    TemplateId id_;
    TemplateKind kind_ = TemplateKind::Model;
    TargetName target_;
    Rank rank_ = Rank::Standard;
    //! Longest time from arrival to the first token, or to a service's answer.
    Duration patience_ {};
    RepeatPolicy repeat_ = RepeatPolicy::Safe;
    //! How long the outcome of an idempotency key is kept.
    Duration repeatWindow_ {};
    ParameterSpecs parameters_;
    auto operator<=>(const Template &) const = default;
};

//! An organisation: its keys, its weight and its values for templates' parameters.
struct ParameterSet
{
    OrganisationId organisation_;
    std::vector<ApiKeyHash> apiKeyHashes_;
    //! Relative share of the fleet among organisations; at least 1.
    std::uint32_t weight_ = 1;
    std::map<TemplateId, ParameterValues> overrides_;
    auto operator<=>(const ParameterSet &) const = default;
};

//! How many whole pipelines of a model the fleet should have.
struct ModelGoal
{
    TargetName model_;
    ModelVersion version_;
    std::uint32_t pipelines_ = 0;
    auto operator<=>(const ModelGoal &) const = default;
};

//! Shares that each rank keeps in a flood, and the models to keep loaded.
struct FleetPolicy
{
    std::array<PerMille, RankCount> floors_ {};
    std::vector<ModelGoal> models_;
    auto operator<=>(const FleetPolicy &) const = default;
};

using ConfigDocument = std::variant<Template, ParameterSet, FleetPolicy>;

//! Name under which a document is published: "template/ID", "organisation/ID" or "fleet".
ObjectName objectNameOf(const ConfigDocument &document);

//! Adds a finding for every value that is out of range; place is the document's own.
void validateDocument(const ConfigDocument &document, const std::string &place, Findings &findings);

//! The value that holds for an organisation; the template's default where it sets none.
std::int64_t parameterValue(const Template &work, const ParameterSet &organisation,
                            std::string_view name, std::int64_t fallback);

} // namespace gypsumcroft
