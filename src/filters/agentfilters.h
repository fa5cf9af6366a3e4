//! The agent's filter chains: one for steps, one for calls.
#pragma once

#include <span>

#include "filters/agentstate.h"
#include "filters/chain.h"

namespace gypsumcroft {

//! A step on its way through the chain.
struct StepContext
{
    StepMessage step_;
    //! When the step arrived here.
    TimePoint since_;
    std::size_t nextFilter_ = 0;
};

using StepFilter = Filter<StepContext, AgentView, AgentTraffic>;
using CallFilter = Filter<AgentCall, AgentView, AgentTraffic>;

//! epoch, order, open, slot, run.
std::span<const StepFilter> stepChain();

//! open, slot, claim, call.
std::span<const CallFilter> callChain();

//! Streams that hold a slot, and calls that do.
std::size_t busySlots(const AgentTraffic &state);

//! The same by entry, for heartbeats.
AgentLoad loadOf(const AgentTraffic &state);

//! Sends a step's outputs on: to the next hop, or the token to the entry and the first hop.
void forwardStep(AgentTraffic &state, const AgentStream &stream, TokenIndex first,
                 const std::vector<std::string> &outputs, bool ends);

} // namespace gypsumcroft
