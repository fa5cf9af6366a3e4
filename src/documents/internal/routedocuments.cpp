#include "documents/routedocuments.h"

#include <algorithm>
#include <sstream>

#include <boost/json.hpp>

#include "core/logline.h"
#include "filters/gatewayfilters.h"
#include "objectreader.h"

namespace gypsumcroft {

namespace json = boost::json;

namespace detail {
namespace {

constexpr std::int64_t MaxTokens = 1'000'000'000;
constexpr std::int64_t MaxTimeoutMs = 3'600'000;
const std::string QuestionPlace = "request";

Tokens readTokens(ObjectReader &reader, std::string_view name)
{
    return {reader.integer(name, false, 0, MaxTokens).value_or(0)};
}

void readPromptParts(ObjectReader &reader, GatewayRequest &request)
{
    const json::array *parts = reader.array("promptParts", false);
    for (std::size_t i = 0; parts != nullptr && i < parts->size(); ++i) {
        if ((*parts)[i].is_string())
            request.promptParts_.push_back({std::string((*parts)[i].as_string())});
        else
            reader.reportError("promptParts", "must be a list of strings");
    }
}

json::value milliseconds(const std::optional<Duration> &duration)
{
    return duration ? json::value(toMilliseconds(*duration)) : json::value();
}

json::value layersOf(const std::optional<LayerRange> &layers)
{
    return layers ? json::value(json::array {layers->first_.value_, layers->end_.value_})
                  : json::value();
}

json::object objectOf(const Candidate &candidate)
{
    json::object object {{"endpoint", candidate.listed_.id_.value_},
                         {"failureDomain", candidate.listed_.domain_.value_},
                         {"layers", layersOf(candidate.listed_.layers_)},
                         {"calls", candidate.calls_},
                         {"streams", candidate.streams_}};
    if (!candidate.ruledOut_.empty())
        object["ruledOut"] = candidate.ruledOut_;
    if (candidate.kvCapacity_ <= 0)
        return object;
    object["accelerator"] = candidate.listed_.accelerator_.value_;
    object["slowdown"] = candidate.slowdown_;
    object["begun"] = candidate.begun_;
    object["pendingPrefillMs"] = toMilliseconds(candidate.pendingPrefill_);
    object["kvUtilisation"] = candidate.kvUsed_ / candidate.kvCapacity_;
    object["penaltyMs"] = toMilliseconds(candidate.penalty_);
    return object;
}

json::object objectOf(const PlannedPath &plan)
{
    json::array parts;
    for (const PathSegment &part : plan.path_)
        parts.push_back(json::object {{"endpoint", part.endpoint_.value_},
                                      {"layers", layersOf(part.layers_)}});
    return {{"parts", std::move(parts)},
            {"costMs", toMilliseconds(plan.cost_)},
            {"utilisation", plan.utilisation_},
            {"pendingPrefillMs", toMilliseconds(plan.pendingPrefill_)},
            {"crossDomainHops", plan.crossDomainHops_}};
}

json::object waitingOf(const RouteExplanation &explanation)
{
    json::object waiting;
    for (const Rank rank : AllRanks)
        waiting[rankName(rank)] = explanation.waiting_.at(static_cast<std::size_t>(rank)).value_;
    return waiting;
}

json::object objectOf(const RouteExplanation &explanation)
{
    json::array candidates;
    for (const Candidate &candidate : explanation.candidates_)
        candidates.push_back(objectOf(candidate));
    json::object object {{"outcome", routeOutcomeName(explanation.outcome_)},
                         {"decidedBy", explanation.decidedBy_},
                         {"reason", explanation.reason_},
                         {"configVersion", explanation.configVersion_.value_},
                         {"configAgeMs", milliseconds(explanation.configAge_)},
                         {"listAgeMs", milliseconds(explanation.listAge_)},
                         {"route", explanation.route_},
                         {"organisation", explanation.organisation_},
                         {"target", explanation.target_.value_},
                         {"priority", explanation.priority_.value_},
                         {"rank", rankName(explanation.rank_)},
                         {"expectedOutputTokens", explanation.expectedOutput_.value_},
                         {"waitingTokens", waitingOf(explanation)},
                         {"expectedWaitMs", toMilliseconds(explanation.expectedWait_.wait_)},
                         {"queueTimeoutMs", toMilliseconds(explanation.queueTimeout_)},
                         {"utilisationLimit", explanation.utilisationLimit_},
                         {"candidates", std::move(candidates)}};
    if (explanation.outcome_ == RouteOutcome::Refused) {
        object["refusal"] = gatewayRefusalName(explanation.refusal_);
        object["retryAfterMs"] = toMilliseconds(explanation.retryAfter_);
    }
    if (explanation.plan_)
        object["path"] = objectOf(*explanation.plan_);
    return object;
}

std::string textOf(const LayerRange &layers)
{
    return std::to_string(layers.first_.value_) + "-" + std::to_string(layers.end_.value_);
}

std::string lineOf(const Candidate &candidate)
{
    LogLine line("candidate");
    line.add("endpoint", candidate.listed_.id_).add("domain", candidate.listed_.domain_);
    if (candidate.listed_.layers_)
        line.add("layers", textOf(*candidate.listed_.layers_));
    line.add("calls", std::uint64_t {candidate.calls_})
            .add("streams", std::uint64_t {candidate.streams_});
    if (candidate.kvCapacity_ > 0)
        line.add("kv_utilisation", candidate.kvUsed_ / candidate.kvCapacity_)
                .add("slowdown", candidate.slowdown_)
                .add("pending_prefill_ms", candidate.pendingPrefill_)
                .add("penalty_ms", candidate.penalty_);
    if (!candidate.ruledOut_.empty())
        line.add("ruled_out", candidate.ruledOut_);
    return line.text() + "\n";
}

std::string lineOf(const PlannedPath &plan, double limit)
{
    std::string parts;
    for (const PathSegment &part : plan.path_)
        parts += (parts.empty() ? "" : ",") + part.endpoint_.value_ + "=" + textOf(part.layers_);
    return LogLine("path")
                   .add("parts", parts)
                   .add("cost_ms", plan.cost_)
                   .add("utilisation", plan.utilisation_)
                   .add("utilisation_limit", limit)
                   .add("pending_prefill_ms", plan.pendingPrefill_)
                   .add("cross_domain_hops", std::uint64_t {plan.crossDomainHops_})
                   .text()
           + "\n";
}

} // namespace
} // namespace detail

std::optional<RouteQuestion> decodeRouteQuestion(std::string_view text, Findings &findings)
{
    const std::size_t before = findings.size();
    const auto value = detail::parseJson(text, detail::QuestionPlace, findings);
    if (!value)
        return std::nullopt;
    detail::ObjectReader reader(*value, detail::QuestionPlace, findings);
    RouteQuestion question;
    GatewayRequest &request = question.request_;
    request.host_ = reader.text("host", true).value_or("");
    request.path_ = reader.text("path", true).value_or("");
    request.apiKey_ = reader.text("key", false);
    if (const auto organisation = reader.text("organisation", false))
        question.organisation_ = OrganisationId {*organisation};
    request.promptTokens_ = detail::readTokens(reader, "promptTokens");
    request.outputLimit_ = detail::readTokens(reader, "outputTokens");
    request.expectedOutput_ = request.outputLimit_;
    if (const auto hint = reader.integer("lengthHint", false, 1, detail::MaxTokens)) {
        request.lengthHint_ = Tokens {*hint};
        request.expectedOutput_ = std::min(request.outputLimit_, Tokens {*hint});
    }
    if (const auto timeout = reader.integer("timeoutMs", false, 1, detail::MaxTimeoutMs))
        request.timeout_ = std::chrono::milliseconds(*timeout);
    detail::readPromptParts(reader, request);
    reader.reportUnknownMembers();
    return findings.size() == before ? std::optional(std::move(question)) : std::nullopt;
}

std::string encodeRouteQuestion(const RouteQuestion &question)
{
    const GatewayRequest &request = question.request_;
    json::object object {{"host", request.host_},
                         {"path", request.path_},
                         {"promptTokens", request.promptTokens_.value_},
                         {"outputTokens", request.outputLimit_.value_}};
    if (request.apiKey_)
        object["key"] = *request.apiKey_;
    if (question.organisation_)
        object["organisation"] = question.organisation_->value_;
    if (request.lengthHint_)
        object["lengthHint"] = request.lengthHint_->value_;
    if (request.timeout_)
        object["timeoutMs"]
                = std::chrono::duration_cast<std::chrono::milliseconds>(*request.timeout_).count();
    json::array parts;
    for (const PromptPartId &part : request.promptParts_)
        parts.emplace_back(part.value_);
    object["promptParts"] = std::move(parts);
    return json::serialize(object);
}

std::string encodeRouteExplanation(const RouteExplanation &explanation)
{
    return json::serialize(detail::objectOf(explanation));
}

std::string formatRouteExplanation(const RouteExplanation &explanation)
{
    LogLine line("route-explained");
    line.add("outcome", routeOutcomeName(explanation.outcome_))
            .add("decided_by", explanation.decidedBy_);
    if (!explanation.reason_.empty())
        line.add("reason", explanation.reason_);
    if (explanation.outcome_ == RouteOutcome::Refused)
        line.add("refusal", gatewayRefusalName(explanation.refusal_))
                .add("retry_after_ms", explanation.retryAfter_);
    line.add("config_version", explanation.configVersion_);
    if (explanation.configAge_)
        line.add("config_age_ms", *explanation.configAge_);
    if (explanation.listAge_)
        line.add("list_age_ms", *explanation.listAge_);
    line.add("route", explanation.route_)
            .add("organisation", explanation.organisation_)
            .add("target", explanation.target_)
            .add("priority", std::uint64_t {explanation.priority_.value_})
            .add("rank", rankName(explanation.rank_))
            .add("expected_output_tokens", explanation.expectedOutput_);
    std::string text = line.text() + "\n";
    LogLine queue("queue");
    for (const Rank rank : AllRanks)
        queue.add("waiting_" + std::string(rankName(rank)),
                  explanation.waiting_.at(static_cast<std::size_t>(rank)));
    queue.add("expected_wait_ms", explanation.expectedWait_.wait_)
            .add("ahead_tokens", explanation.expectedWait_.aheadTokens_)
            .add("tokens_per_s", explanation.expectedWait_.tokensPerSecond_)
            .add("queue_timeout_ms", explanation.queueTimeout_);
    text += queue.text() + "\n";
    if (explanation.plan_)
        text += detail::lineOf(*explanation.plan_, explanation.utilisationLimit_);
    for (const Candidate &candidate : explanation.candidates_)
        text += detail::lineOf(candidate);
    return text;
}

} // namespace gypsumcroft
