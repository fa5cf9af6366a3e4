#include "core/template.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

constexpr Duration MaxResponseTimeout = std::chrono::hours(24);
constexpr Duration MaxIdempotencyWindow = std::chrono::hours(24 * 30);
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t WholePerMille = 1000;

void validateName(const std::string &name, const std::string &place, Findings &findings)
{
    constexpr std::size_t MaxNameLength = 128;
    if (name.empty())
        addFinding(findings, place, "must not be empty");
    if (name.size() > MaxNameLength)
        addFinding(findings, place, "is longer than 128 characters");
    const bool plain = std::all_of(name.begin(), name.end(), [](unsigned char ch) {
        return std::isalnum(ch) || ch == '-' || ch == '_' || ch == '.' || ch == '/';
    });
    if (!plain)
        addFinding(findings, place, "may hold only letters, digits and - _ . /");
}

void validateParameter(const std::string &name, const ParameterSpec &spec, const std::string &place,
                       Findings &findings)
{
    const auto &known = knownParameters();
    if (std::find(known.begin(), known.end(), name) == known.end())
        addFinding(findings, place, "is not a known parameter");
    if (spec.minimum_ < 0 || spec.minimum_ > spec.maximum_)
        addFinding(findings, place, "needs 0 <= minimum <= maximum");
    if (spec.default_ < spec.minimum_ || spec.default_ > spec.maximum_)
        addFinding(findings, place + "/default", "is outside minimum and maximum");
}

void validate(const Template &requestTemplate, const std::string &place, Findings &findings)
{
    validateName(requestTemplate.id_.value_, place + "/name", findings);
    validateName(requestTemplate.target_.value_, place + "/target", findings);
    if (requestTemplate.responseTimeout_ <= Duration::zero()
        || requestTemplate.responseTimeout_ > MaxResponseTimeout)
        addFinding(findings, place + "/patienceMs", "must be above 0 and at most 24 hours");
    if (requestTemplate.kind_ == TemplateKind::Model
        && requestTemplate.repeat_ == RepeatPolicy::Never)
        addFinding(findings, place + "/repeat", "'never' needs kind 'service'");
    if (requestTemplate.repeat_ == RepeatPolicy::Never
        && (requestTemplate.idempotencyWindow_ <= Duration::zero()
            || requestTemplate.idempotencyWindow_ > MaxIdempotencyWindow))
        addFinding(findings, place + "/repeatWindowS", "must be above 0 and at most 30 days");
    for (const auto &[name, spec] : requestTemplate.parameters_)
        validateParameter(name, spec, std::string(place).append("/parameters/").append(name),
                          findings);
}

void validate(const ParameterSet &set, const std::string &place, Findings &findings)
{
    constexpr std::size_t Sha256HexLength = 64;
    validateName(set.organisation_.value_, place + "/organisation", findings);
    if (set.weight_ < 1 || set.weight_ > MaxWeight)
        addFinding(findings, place + "/weight", "must be from 1 to 1000");
    for (std::size_t i = 0; i < set.apiKeyHashes_.size(); ++i) {
        if (set.apiKeyHashes_[i].value_.size() != Sha256HexLength)
            addFinding(findings, place + "/apiKeyHashes/" + std::to_string(i),
                       "must be 64 hexadecimal digits (see 'gypsumcroft hash-key')");
    }
}

void validate(const FleetPolicy &fleet, const std::string &place, Findings &findings)
{
    std::uint32_t sum = 0;
    for (const PerMille minShare : fleet.minShares_)
        sum += minShare.value_;
    if (sum > WholePerMille)
        addFinding(findings, place + "/floorsPerMille", "floors add up to more than 1000");
    for (std::size_t i = 0; i < fleet.models_.size(); ++i)
        validateName(fleet.models_[i].model_.value_, place + "/models/" + std::to_string(i),
                     findings);
}

} // namespace detail

std::string_view rankName(Rank rank)
{
    switch (rank) {
    case Rank::Urgent:
        return "urgent";
    case Rank::Standard:
        return "standard";
    case Rank::Background:
        return "background";
    }
    return "unknown";
}

const std::vector<std::string_view> &knownParameters()
{
    static const std::vector<std::string_view> names
            = {ParameterMaxTokens, ParameterMaxBodyBytes, ParameterRequestsPerSecond};
    return names;
}

ObjectName objectNameOf(const ConfigDocument &document)
{
    if (const auto *requestTemplate = std::get_if<Template>(&document))
        return {"template/" + requestTemplate->id_.value_};
    if (const auto *set = std::get_if<ParameterSet>(&document))
        return {"organisation/" + set->organisation_.value_};
    return {"fleet"};
}

void validateDocument(const ConfigDocument &document, const std::string &place, Findings &findings)
{
    std::visit([&](const auto &value) { detail::validate(value, place, findings); }, document);
}

std::int64_t parameterValue(const Template &requestTemplate, const ParameterSet &parameters,
                            std::string_view name, std::int64_t fallback)
{
    const auto spec = requestTemplate.parameters_.find(std::string(name));
    if (spec == requestTemplate.parameters_.end())
        return fallback;
    const auto override = parameters.overrides_.find(requestTemplate.id_);
    if (override == parameters.overrides_.end())
        return spec->second.default_;
    const auto value = override->second.find(std::string(name));
    if (value == override->second.end())
        return spec->second.default_;
    return std::clamp(value->second, spec->second.minimum_, spec->second.maximum_);
}

} // namespace gypsumcroft
