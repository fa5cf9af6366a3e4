//! The entry's traffic logic: requests from their arrival to exactly one response or refusal. It
//! does no I/O; it appends the effects to carry out to EntryTraffic::effects_.
#pragma once

#include <optional>

#include "filters/entrystate.h"

namespace gypsumcroft {

//! A caller's request arrived.
void onCallerRequest(EntryTraffic &state, const RoutingView &view, CallerRequest request,
                     TimePoint now);

//! The caller disconnected; the request is cancelled at every hop of its route.
void onCallerDisconnected(EntryTraffic &state, const RoutingView &view, const RequestId &request,
                          TimePoint now);

void onToken(EntryTraffic &state, const RoutingView &view, const TokenMessage &token,
             TimePoint now);

void onStreamFailed(EntryTraffic &state, const RoutingView &view,
                    const StreamFailedMessage &failure, TimePoint now);

void onCallResult(EntryTraffic &state, const RoutingView &view, const CallResultMessage &result,
                  TimePoint now);

//! Whether an attempt ran, and its outcome if known, as read from the claims log.
struct AttemptResolution
{
    RequestId request_;
    AttemptId attempt_;
    RunState run_ = RunState::Unknown;
    std::optional<CallOutcome> outcome_;
};

void onAttemptResolved(EntryTraffic &state, const RoutingView &view,
                       const AttemptResolution &resolution, TimePoint now);

//! A connection to an agent failed, or membership has the agent as down.
void onAgentDown(EntryTraffic &state, const RoutingView &view, const Address &agent, TimePoint now);

//! Handles deadlines, stalls, delayed retries and dispatch; to be called every EntryTickInterval.
void onTick(EntryTraffic &state, const RoutingView &view, TimePoint now);
inline constexpr Duration EntryTickInterval = std::chrono::milliseconds(10);

//! Refuses new requests from now on.
void beginDrain(EntryTraffic &state);

//! True if no request is in progress.
bool isIdle(const EntryTraffic &state);

} // namespace gypsumcroft
