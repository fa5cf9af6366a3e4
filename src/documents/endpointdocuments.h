//! JSON of the protocols towards callers, endpoints and the platform's list.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/control.h"
#include "agent/traffic.h"
#include "core/messages.h"
#include "filters/entrystate.h"

namespace gypsumcroft {

//! A caller's request body; findings name the JSON pointer.
struct CallerBody
{
    TemplateId template_;
    std::string body_;
    CallerId caller_;
    //! The caller's own name for the request; returned with the answer.
    std::string requestId_;
    std::optional<std::uint32_t> maxTokens_;
};
std::optional<CallerBody> decodeCallerBody(std::string_view text, Findings &findings);
std::string encodeRefusal(const Refusal &refusal, const std::string &requestId);
std::string encodeToken(TokenIndex index, const std::string &text);
std::string encodeEnd(std::uint32_t tokens, const std::string &requestId);
std::string encodeAnswer(const std::vector<std::string> &tokens, const std::string &requestId);
std::string encodeOutcome(const CallOutcome &outcome, const std::string &requestId);
//! HTTP status that goes with a refusal.
std::uint16_t statusOf(const Refusal &refusal);

std::optional<EndpointPoll> decodeEndpointReport(std::string_view text);
std::string encodeStep(const RunStep &step, const std::string &stream);
//! Fills outputs, or the failure.
void decodeStepAnswer(std::string_view text, StepResult &result);
std::string encodeStream(const std::string &stream);

//! The platform's list of instances.
struct InstanceList
{
    std::vector<InstanceId> leaving_;
    std::vector<Address> entries_;
};
std::optional<InstanceList> decodeInstanceList(std::string_view text);

} // namespace gypsumcroft
