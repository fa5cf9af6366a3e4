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
struct CallerRequestBody
{
    TemplateId template_;
    //! The prompt of a model request, or the JSON text of a service call.
    std::string payload_;
    CallerId caller_;
    //! Id that the caller chose; returned in the response.
    std::string requestId_;
    std::optional<std::uint32_t> maxTokens_;
};
//! Adds a finding with its JSON pointer for each error, and then returns nullopt. The findings are
//! part of the response to the caller.
std::optional<CallerRequestBody> decodeCallerRequestBody(std::string_view text, Findings &findings);
std::string encodeRefusalBody(const Refusal &refusal, const std::string &requestId);
//! Data of a streamed event with one token.
std::string encodeTokenEvent(TokenIndex index, const std::string &text);
//! Data of the event that ends a complete stream.
std::string encodeEndEvent(std::uint32_t tokens, const std::string &requestId);
//! Response with the whole output of a model.
std::string encodeOutputBody(const std::vector<std::string> &tokens, const std::string &requestId);
//! Response with the outcome of a service call.
std::string encodeCallBody(const CallOutcome &outcome, const std::string &requestId);
//! HTTP status of a refusal. Where its code has no status of its own: 503 if the request has not
//! run, 504 if that is unknown.
std::uint16_t httpStatusOf(const Refusal &refusal);

//! nullopt if the text is malformed.
std::optional<EndpointPollResult> decodeEndpointPoll(std::string_view text);
//! stream: the endpoint's name for the stream of the request in the step's epoch.
std::string encodeStepRequest(const RunStep &step, const std::string &stream);
//! Sets outputs_ and endOfOutput_ of result, or its failure_ if the text is malformed.
void decodeStepResponse(std::string_view text, StepResult &result);
//! stream: the name that the step requests of the stream were sent with.
std::string encodeStreamCancel(const std::string &stream);

//! The platform's list of instances.
struct InstanceList
{
    //! Instances in the state "leaving".
    std::vector<InstanceId> leavingInstances_;
    //! Mesh addresses of the instances in the role "entry".
    std::vector<Address> entryAddresses_;
};
//! nullopt if the text is malformed.
std::optional<InstanceList> decodeInstanceList(std::string_view text);

} // namespace gypsumcroft
