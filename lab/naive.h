//! A naive entry for comparison: first come first served, a random endpoint for each stage, no
//! limits, retries until the deadline.
#pragma once

#include <deque>
#include <unordered_map>

#include "controllers/routingview.h"
#include "filters/entrystate.h"

namespace gypsumcroft::lab {

struct NaiveRequest
{
    CallerRequest request_;
    Template work_;
    TimePoint deadline_;
    TimePoint retryAt_;
    TimePoint progressAt_;
    bool waiting_ = true;
    Epoch epoch_;
    Route route_;
    std::vector<std::string> tokens_;
};

struct NaiveEntry
{
    Address address_;
    Random random_;
    std::unordered_map<RequestId, NaiveRequest> requests_;
    //! Requests to send, in the order in which they came.
    std::deque<RequestId> order_;
    std::uint64_t attempts_ = 0;
    std::uint64_t inFlight_ = 0;
    //! Waits for an end beyond so many streams, as many as fill the fleet.
    std::uint64_t mostInFlight_ = 110;
    std::vector<EntryEffect> effects_;
};

void naiveRequest(NaiveEntry &state, const RoutingView &view, CallerRequest request, TimePoint now);
void naiveToken(NaiveEntry &state, const TokenMessage &token, TimePoint now);
void naiveFailed(NaiveEntry &state, const StreamFailedMessage &failure, TimePoint now);
void naiveAgentDown(NaiveEntry &state, const Address &agent, TimePoint now);
void naiveTick(NaiveEntry &state, const RoutingView &view, TimePoint now);

} // namespace gypsumcroft::lab
