//! The agent's traffic logic: decides alone which steps and calls run on its endpoint. It does no
//! I/O; it appends the effects to carry out to AgentTraffic::effects_.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "filters/agentstate.h"

namespace gypsumcroft {

//! How a step on the engine ended.
struct StepResult
{
    RequestId request_;
    Epoch epoch_;
    TokenIndex firstPosition_;
    //! One output per position; for the last stage only the token of the last position.
    std::vector<std::string> outputs_;
    //! The model's output ends with this token.
    bool endOfOutput_ = false;
    //! Empty on success.
    std::string failure_;
    //! The engine refused the step without running any of it.
    bool notRun_ = false;
    //! The engine process ended while it ran the step.
    bool endpointDied_ = false;
};

//! How a call of the plain service ended.
struct ServiceResult
{
    AttemptId attempt_;
    //! With neither an outcome nor notSent_ the call may have run.
    std::optional<CallOutcome> outcome_;
    bool notSent_ = false;
    bool endpointDied_ = false;
    std::string failure_;
};

void onStep(AgentTraffic &state, const AgentView &view, StepMessage step, TimePoint now);
void onStepResult(AgentTraffic &state, const AgentView &view, StepResult result, TimePoint now);
void onEndStream(AgentTraffic &state, const AgentView &view, const EndStreamMessage &end,
                 TimePoint now);
void onCall(AgentTraffic &state, const AgentView &view, CallMessage call, TimePoint now);
void onClaimResult(AgentTraffic &state, const AgentView &view, const ClaimResult &result,
                   TimePoint now);
void onServiceResult(AgentTraffic &state, const AgentView &view, const ServiceResult &result,
                     TimePoint now);

//! A connection to another agent or an entry failed: streams that use it are ended as failed.
void onPeerDown(AgentTraffic &state, const AgentView &view, const Address &peer, TimePoint now);

//! The endpoint died: ends all its streams as failed, and reports each to its entry.
void onEndpointDied(AgentTraffic &state, const AgentView &view, TimePoint now);

//! Handles waiting steps and calls, idle streams, and the expiry of ended ones; to be called every
//! AgentTickInterval.
void onTick(AgentTraffic &state, const AgentView &view, TimePoint now);
inline constexpr Duration AgentTickInterval = std::chrono::milliseconds(10);

//! True if no stream, step or call is in progress.
bool isIdle(const AgentTraffic &state);

} // namespace gypsumcroft
