//! The agent's filter chains: one for steps, one for calls.
#pragma once

#include <span>

#include "filters/agentstate.h"
#include "filters/chain.h"

namespace gypsumcroft {

//! A step and the state of its processing by the filter chain.
struct StepContext
{
    StepMessage step_;
    //! When the step arrived here.
    TimePoint arrivedAt_;
    std::size_t nextFilter_ = 0;
};

using StepFilter = Filter<StepContext, AgentView, AgentTraffic>;
using CallFilter = Filter<AgentCall, AgentView, AgentTraffic>;

//! epoch, replace, order, open, slot, run, in this order.
std::span<const StepFilter> stepChain();

//! open, slot, claim, call, in this order.
std::span<const CallFilter> callChain();

//! Number of slots in use by streams and calls.
std::size_t busySlots(const AgentTraffic &state);

//! Slots in use, in total and by entry, for heartbeats.
AgentLoad agentLoad(const AgentTraffic &state);

//! Sends a step's outputs to the next hop; at the last hop, sends the token to the entry and,
//! unless it ends the response, to the first hop.
void forwardStep(AgentTraffic &state, const AgentStream &stream, TokenIndex first,
                 const std::vector<std::string> &outputs, bool ends);

} // namespace gypsumcroft
