//! The agent's traffic core: the authority on its endpoint. No I/O; what is to be done is left in
//! AgentTraffic::effects_.
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
    //! One output a position; for the last stage only the last position's token.
    std::vector<std::string> outputs_;
    //! The model says that the answer ends with this token.
    bool endOfAnswer_ = false;
    //! Empty on success.
    std::string failure_;
    //! The engine refused without running anything.
    bool notRun_ = false;
    //! The engine went away while it held the step.
    bool died_ = false;
};

//! How a call of the plain service ended.
struct ServiceResult
{
    AttemptId attempt_;
    //! Neither outcome nor notSent: it may have run.
    std::optional<CallOutcome> outcome_;
    bool notSent_ = false;
    bool died_ = false;
    std::string failure_;
};

void onStep(AgentTraffic &state, const AgentView &view, StepMessage step, TimePoint now);
void onStepResult(AgentTraffic &state, const AgentView &view, StepResult result, TimePoint now);
void onEndStream(AgentTraffic &state, const AgentView &view, const EndStreamMessage &end,
                 TimePoint now);
void onCall(AgentTraffic &state, const AgentView &view, CallMessage call, TimePoint now);
void onClaimVerdict(AgentTraffic &state, const AgentView &view, const ClaimVerdict &verdict,
                    TimePoint now);
void onServiceResult(AgentTraffic &state, const AgentView &view, const ServiceResult &result,
                     TimePoint now);

//! A connection to another agent or an entry failed: streams through it can't go on.
void onPeerDown(AgentTraffic &state, const AgentView &view, const Address &peer, TimePoint now);

//! The endpoint died: everything in flight there fails, and each entry hears of it.
void onEndpointDied(AgentTraffic &state, const AgentView &view, TimePoint now);

//! Backlog, idle streams and old memory.
void onTick(AgentTraffic &state, const AgentView &view, TimePoint now);
inline constexpr Duration AgentTickInterval = std::chrono::milliseconds(10);

//! True when no stream and no call is in hand.
bool isIdle(const AgentTraffic &state);

} // namespace gypsumcroft
