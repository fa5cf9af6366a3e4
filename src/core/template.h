//! Configuration documents that operators publish: templates, parameter sets and the fleet policy.
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

//! Urgency class of a template's requests, most urgent first.
enum class Rank : std::uint8_t { Urgent, Standard, Background };
inline constexpr std::size_t RankCount = 3;
inline constexpr std::array<Rank, RankCount> AllRanks
        = {Rank::Urgent, Rank::Standard, Rank::Background};

std::string_view rankName(Rank rank);

enum class TemplateKind : std::uint8_t { Model, Service };

//! Whether a request of an entry's template may run again. For the routes of gateways see
//! RerunPolicy.
enum class RepeatPolicy : std::uint8_t {
    //! The request may run again.
    Safe,
    //! The request runs at most once.
    Never
};

//! Default value and bounds of a parameter.
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

//! Maximum output length in tokens.
inline constexpr std::string_view ParameterMaxTokens = "maxTokens";
//! Maximum size of the prompt or body in bytes.
inline constexpr std::string_view ParameterMaxBodyBytes = "maxBodyBytes";
//! Request rate limit of an organisation over all entries together.
inline constexpr std::string_view ParameterRequestsPerSecond = "requestsPerSecond";

//! Names of the parameters that a template may declare.
const std::vector<std::string_view> &knownParameters();

//! A kind of request: its target, its urgency and whether it may be executed more than once.
struct Template
{
    TemplateId id_;
    TemplateKind kind_ = TemplateKind::Model;
    TargetName target_;
    Rank rank_ = Rank::Standard;
    //! Time limit from arrival to the first token, or to a service's response.
    Duration responseTimeout_ {};
    RepeatPolicy repeat_ = RepeatPolicy::Safe;
    //! How long the outcome of an idempotency key is retained.
    Duration idempotencyWindow_ {};
    ParameterSpecs parameters_;
    auto operator<=>(const Template &) const = default;
};

//! Settings of an organisation: API keys, weight and values of template parameters.
struct ParameterSet
{
    OrganisationId organisation_;
    std::vector<ApiKeyHash> apiKeyHashes_;
    //! Relative share of the fleet's capacity; at least 1.
    std::uint32_t weight_ = 1;
    std::map<TemplateId, ParameterValues> overrides_;
    auto operator<=>(const ParameterSet &) const = default;
};

//! Number of complete pipelines of a model that the fleet should run.
struct ModelGoal
{
    TargetName model_;
    ModelVersion version_;
    std::uint32_t pipelines_ = 0;
    auto operator<=>(const ModelGoal &) const = default;
};

//! Minimum share of each rank under overload, and the models to keep loaded.
struct FleetPolicy
{
    std::array<PerMille, RankCount> minShares_ {};
    std::vector<ModelGoal> models_;
    auto operator<=>(const FleetPolicy &) const = default;
};

using ConfigDocument = std::variant<Template, ParameterSet, FleetPolicy>;

//! Returns the name under which a document is published: "template/ID", "organisation/ID" or
//! "fleet".
ObjectName objectNameOf(const ConfigDocument &document);

//! Adds a finding for each invalid value. place is the location of the document itself; findings
//! add the JSON pointer of the value to it.
void validateDocument(const ConfigDocument &document, const std::string &place, Findings &findings);

//! Returns a parameter's effective value for an organisation: its override clamped to the
//! template's bounds, else the template's default, else fallback if the template doesn't declare
//! the parameter.
std::int64_t parameterValue(const Template &requestTemplate, const ParameterSet &parameters,
                            std::string_view name, std::int64_t fallback);

} // namespace gypsumcroft
