//! JSON encoding of the protocols with callers, endpoints and the platform's list of instances.
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

//! The body of a caller's request.
struct CallerBody
{
    TemplateId template_;
    //! The prompt of a model request, or the JSON text of a service call.
    std::string body_;
    CallerId caller_;
    //! Id that the caller chose; returned in the response.
    std::string requestId_;
    std::optional<std::uint32_t> maxTokens_;
};
//! Adds a finding with its JSON pointer for each error, and then returns nullopt. The findings are
//! part of the response to the caller.
std::optional<CallerBody> decodeCallerBody(std::string_view text, Findings &findings);
std::string encodeRefusal(const Refusal &refusal, const std::string &requestId);
//! Data of a streamed event with one token.
std::string encodeToken(TokenIndex index, const std::string &text);
//! Data of the event that ends a complete stream.
std::string encodeEnd(std::uint32_t tokens, const std::string &requestId);
//! Response with the whole output of a model.
std::string encodeAnswer(const std::vector<std::string> &tokens, const std::string &requestId);
//! Response with the outcome of a service call.
std::string encodeOutcome(const CallOutcome &outcome, const std::string &requestId);
//! HTTP status of a refusal. Where its code has no status of its own: 503 if the request has not
//! run, 504 if that is unknown.
std::uint16_t statusOf(const Refusal &refusal);

//! nullopt if the text is malformed.
std::optional<EndpointPoll> decodeEndpointReport(std::string_view text);
std::string encodeStep(const RunStep &step, const std::string &stream);
//! Sets outputs_ and endOfAnswer_ of result, or its failure_ if the text is malformed.
void decodeStepAnswer(std::string_view text, StepResult &result);
std::string encodeStream(const std::string &stream);

//! The platform's list of instances.
struct InstanceList
{
    //! Instances in the state "leaving".
    std::vector<InstanceId> leaving_;
    //! Mesh addresses of the instances in the role "entry".
    std::vector<Address> entries_;
};
//! nullopt if the text is malformed.
std::optional<InstanceList> decodeInstanceList(std::string_view text);

} // namespace gypsumcroft
