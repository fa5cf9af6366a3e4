#include "controllers/lease.h"

#include <utility>

namespace gypsumcroft {

bool takeDueJoin(LeaseState &state, TimePoint now)
{
    if (state.joinSentAt_ && now - *state.joinSentAt_ < state.limits_.responseTimeout_)
        return false;
    if (state.left_ || now < state.nextJoinAt_)
        return false;
    state.joinSentAt_ = now;
    state.nextJoinAt_ = now + state.limits_.joinInterval_;
    return true;
}

bool applyJoinResponse(LeaseState &state, GroupGeneration generation, bool granted,
                       TimePoint sentAt)
{
    state.joinSentAt_.reset();
    if (state.left_ || generation < state.generation_)
        return false;
    const bool changed = granted != state.held_;
    state.generation_ = generation;
    state.held_ = granted;
    if (granted)
        state.grantedAt_ = sentAt;
    return changed;
}

void applyJoinFailure(LeaseState &state, TimePoint now)
{
    state.joinSentAt_.reset();
    state.nextJoinAt_ = now + state.limits_.joinInterval_;
}

bool releaseLease(LeaseState &state)
{
    state.left_ = true;
    state.grantedAt_.reset();
    return std::exchange(state.held_, false);
}

bool holdsLease(const LeaseState &state, TimePoint now)
{
    return state.held_ && state.grantedAt_
           && now - *state.grantedAt_ < state.limits_.lifetime_ - state.limits_.safetyMargin_;
}

} // namespace gypsumcroft
