//! The entry's traffic core: requests from arrival to their one ending. No I/O; what is to be done
//! is left in EntryTraffic::effects_.
#pragma once

#include <optional>

#include "filters/entrystate.h"

namespace gypsumcroft {

//! A caller's request arrived.
void onCallerRequest(EntryTraffic &state, const RoutingView &view, CallerRequest request,
                     TimePoint now);

//! The caller closed its connection; its work is cancelled down the chain.
void onCallerGone(EntryTraffic &state, const RoutingView &view, const RequestId &request,
                  TimePoint now);

void onToken(EntryTraffic &state, const RoutingView &view, const TokenMessage &token,
             TimePoint now);

void onStreamFailed(EntryTraffic &state, const RoutingView &view,
                    const StreamFailedMessage &failure, TimePoint now);

void onCallResult(EntryTraffic &state, const RoutingView &view, const CallResultMessage &result,
                  TimePoint now);

//! What the log says of an attempt that the entry gave up on.
struct AttemptVerdict
{
    RequestId request_;
    AttemptId attempt_;
    RunState run_ = RunState::Unknown;
    std::optional<CallOutcome> outcome_;
};

void onAttemptVerdict(EntryTraffic &state, const RoutingView &view, const AttemptVerdict &verdict,
                      TimePoint now);

//! A connection to an agent failed, or membership says that it is down.
void onAgentDown(EntryTraffic &state, const RoutingView &view, const Address &agent, TimePoint now);

//! Deadlines, stalls, delayed retries and dispatch; to be called every TickInterval.
void onTick(EntryTraffic &state, const RoutingView &view, TimePoint now);
inline constexpr Duration EntryTickInterval = std::chrono::milliseconds(10);

//! Refuses new requests from now on.
void beginDrain(EntryTraffic &state);

//! True when no request is in hand.
bool isIdle(const EntryTraffic &state);

} // namespace gypsumcroft
