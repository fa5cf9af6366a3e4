#include "documents/endpointdocuments.h"

#include "documents/settings.h"
#include "objectreader.h"

namespace gypsumcroft {

namespace json = boost::json;

namespace detail {

std::string serializeLine(const json::object &object)
{
    return json::serialize(object) + "\n";
}

LayerIndex layerOf(const json::value &value)
{
    return {value.to_number<std::uint32_t>()};
}

EndpointReport stageReport(const json::value &value)
{
    EndpointReport report;
    report.kind_ = EndpointKind::Stage;
    report.target_ = {std::string(value.at("model").as_string())};
    report.version_ = {std::string(value.at("version").as_string())};
    const auto &layers = value.at("layers").as_array();
    report.layers_ = {layerOf(layers.at(0)), layerOf(layers.at(1))};
    report.modelLayers_ = layerOf(value.at("modelLayers"));
    report.accelerator_ = {std::string(value.at("accelerator").as_string())};
    report.costPerToken_ = Duration(value.at("costPerTokenUs").to_number<std::int64_t>());
    return report;
}

std::optional<std::uint16_t> statusForCode(RefusalCode code)
{
    switch (code) {
    case RefusalCode::BadRequest:
    case RefusalCode::KeyRequired:
        return 400;
    case RefusalCode::Unauthorised:
        return 401;
    case RefusalCode::UnknownTemplate:
        return 404;
    case RefusalCode::TooLarge:
        return 413;
    case RefusalCode::KeyReused:
        return 422;
    case RefusalCode::InProgress:
        return 409;
    case RefusalCode::Quarantined:
        return 403;
    case RefusalCode::RateLimited:
        return 429;
    default:
        return std::nullopt;
    }
}

} // namespace detail

std::optional<CallerRequestBody> decodeCallerRequestBody(std::string_view text, Findings &findings)
{
    const auto value = detail::parseJson(text, "body", findings);
    if (!value)
        return std::nullopt;
    CallerRequestBody body;
    detail::ObjectReader reader(*value, "body", findings);
    body.template_ = {reader.text("template", true).value_or("")};
    const auto prompt = reader.text("prompt", false);
    if (const auto *call = reader.member("call", false))
        body.payload_ = json::serialize(*call);
    if (prompt && !body.payload_.empty())
        reader.reportError("call", "can't stand beside 'prompt'");
    if (prompt)
        body.payload_ = *prompt;
    if (body.payload_.empty())
        reader.reportError("prompt", "'prompt' for a model or 'call' for a service is needed");
    body.caller_ = {reader.text("caller", false).value_or("")};
    body.requestId_ = reader.text("requestId", false).value_or("");
    const auto maxTokens = reader.integer("maxTokens", false, 1, 1000000);
    if (maxTokens)
        body.maxTokens_ = static_cast<std::uint32_t>(*maxTokens);
    reader.reportUnknownMembers();
    if (!findings.empty())
        return std::nullopt;
    return body;
}

std::string encodeRefusalBody(const Refusal &refusal, const std::string &requestId)
{
    json::object object {{"run", runStateName(refusal.run_)},
                         {"code", refusalCodeName(refusal.code_)},
                         {"reason", refusal.reason_}};
    if (refusal.run_ == RunState::Unknown)
        object["outcome"] = "unknown";
    if (refusal.retryAfter_ > Duration::zero())
        object["retryAfterMs"] = refusal.retryAfter_.count() / 1000;
    if (!requestId.empty())
        object["requestId"] = requestId;
    return detail::serializeLine(object);
}

std::string encodeTokenEvent(TokenIndex index, const std::string &text)
{
    return json::serialize(json::object {{"index", index.value_}, {"text", text}});
}

std::string encodeEndEvent(std::uint32_t tokens, const std::string &requestId)
{
    json::object object {{"tokens", tokens}, {"complete", true}};
    if (!requestId.empty())
        object["requestId"] = requestId;
    return json::serialize(object);
}

std::string encodeOutputBody(const std::vector<std::string> &tokens, const std::string &requestId)
{
    std::string text;
    for (const std::string &token : tokens)
        text += token;
    json::object object {{"text", text}, {"tokens", tokens.size()}, {"complete", true}};
    if (!requestId.empty())
        object["requestId"] = requestId;
    return detail::serializeLine(object);
}

std::string encodeCallBody(const CallOutcome &outcome, const std::string &requestId)
{
    json::object object {{"status", outcome.status_}, {"complete", true}};
    boost::system::error_code error;
    json::value body = json::parse(outcome.body_, error);
    object["answer"] = error ? json::value(outcome.body_) : std::move(body);
    if (!requestId.empty())
        object["requestId"] = requestId;
    return detail::serializeLine(object);
}

std::uint16_t httpStatusOf(const Refusal &refusal)
{
    constexpr std::uint16_t ServiceUnavailable = 503;
    constexpr std::uint16_t OutcomeUnknown = 504;
    const auto status = detail::statusForCode(refusal.code_);
    if (status)
        return *status;
    return refusal.run_ == RunState::NotRun ? ServiceUnavailable : OutcomeUnknown;
}

std::optional<EndpointPollResult> decodeEndpointPoll(std::string_view text)
{
    try {
        const json::value value = json::parse(text);
        EndpointPollResult poll;
        const std::string kind(value.at("kind").as_string());
        EndpointReport report;
        if (kind == "stage")
            report = detail::stageReport(value);
        else
            report.target_ = {std::string(value.at("service").as_string())};
        report.slots_ = {value.at("slots").to_number<std::uint32_t>()};
        report.slotsBusy_ = {value.at("busy").to_number<std::uint32_t>()};
        poll.report_ = report;
        poll.leaving_ = value.at("state").as_string() == "leaving";
        return poll;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeStepRequest(const RunStep &step, const std::string &stream)
{
    json::array inputs;
    for (const std::string &input : step.inputs_)
        inputs.emplace_back(input);
    return json::serialize(
            json::object {{"stream", stream},
                          {"layers", {step.layers_.first_.value_, step.layers_.end_.value_}},
                          {"position", step.firstPosition_.value_},
                          {"priority", step.priority_},
                          {"inputs", inputs}});
}

void decodeStepResponse(std::string_view text, StepResult &result)
{
    try {
        const json::value value = json::parse(text);
        for (const json::value &output : value.at("outputs").as_array())
            result.outputs_.push_back(std::string(output.as_string()));
        result.endOfOutput_ = value.at("end").as_bool();
    } catch (const std::exception &) {
        result.outputs_.clear();
        result.failure_ = "the engine's answer can't be read";
    }
}

std::string encodeStreamCancel(const std::string &stream)
{
    return json::serialize(json::object {{"stream", stream}});
}

std::optional<InstanceList> decodeInstanceList(std::string_view text)
{
    try {
        InstanceList list;
        const json::value value = json::parse(text);
        for (const json::value &item : value.at("instances").as_array()) {
            const std::string state(item.at("state").as_string());
            if (state == "leaving")
                list.leavingInstances_.push_back({std::string(item.at("instance").as_string())});
            const auto &mesh = item.at("mesh").as_string();
            const auto address = parseAddress({mesh.data(), mesh.size()});
            if (address && item.at("role").as_string() == "entry")
                list.entryAddresses_.push_back(*address);
        }
        return list;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace gypsumcroft
