#include "controllers/lease.h"

#include <utility>

namespace gypsumcroft {

bool takeJoinDue(LeaseState &state, TimePoint now)
{
    if (state.joinSentAt_ && now - *state.joinSentAt_ < state.limits_.answerTimeout_)
        return false;
    if (state.left_ || now < state.nextJoinAt_)
        return false;
    state.joinSentAt_ = now;
    state.nextJoinAt_ = now + state.limits_.renewEvery_;
    return true;
}

bool applyJoin(LeaseState &state, GroupGeneration generation, bool granted, TimePoint sent)
{
    state.joinSentAt_.reset();
    if (state.left_ || generation < state.generation_)
        return false;
    const bool changed = granted != state.holding_;
    state.generation_ = generation;
    state.holding_ = granted;
    if (granted)
        state.grantedAt_ = sent;
    return changed;
}

void applyJoinFailure(LeaseState &state, TimePoint now)
{
    state.joinSentAt_.reset();
    state.nextJoinAt_ = now + state.limits_.renewEvery_;
}

bool leaveLease(LeaseState &state)
{
    state.left_ = true;
    state.grantedAt_.reset();
    return std::exchange(state.holding_, false);
}

bool holdsLease(const LeaseState &state, TimePoint now)
{
    return state.holding_ && state.grantedAt_
           && now - *state.grantedAt_ < state.limits_.lifetime_ - state.limits_.margin_;
}

} // namespace gypsumcroft
