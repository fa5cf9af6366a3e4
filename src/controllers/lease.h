//! Controller of a lease that the platform's group membership grants.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/units.h"

namespace gypsumcroft {

using GroupGeneration = StrongType<struct GroupGenerationTag, std::uint64_t>;

struct LeaseLimits
{
    //! How long the platform lets a silent member keep its part.
    Duration lifetime_ = std::chrono::milliseconds(2000);
    //! Time between two joins.
    Duration renewEvery_ = std::chrono::milliseconds(700);
    //! The holder stops so long before its lease may lapse: covers an order on its way.
    Duration margin_ = std::chrono::milliseconds(400);
    //! A join without an answer is repeated after this time.
    Duration answerTimeout_ = std::chrono::milliseconds(500);
};

//! This process's standing; the lease is valid from the sending of the join that granted it.
struct LeaseState
{
    LeaseLimits limits_;
    GroupGeneration generation_;
    bool holding_ = false;
    //! This process is stopping: it joins no more, and answers on their way grant nothing.
    bool left_ = false;
    std::optional<TimePoint> grantedAt_;
    std::optional<TimePoint> joinSentAt_;
    TimePoint nextJoinAt_;
};

//! A join is due; counts it as sent.
bool takeJoinDue(LeaseState &state, TimePoint now);

//! The platform's answer to a join that was sent at sent. Returns true if holding changed.
bool applyJoin(LeaseState &state, GroupGeneration generation, bool granted, TimePoint sent);

//! A join failed; the lease runs on until it lapses.
void applyJoinFailure(LeaseState &state, TimePoint now);

//! Gives the lease up for good. Returns true if this process held it.
bool leaveLease(LeaseState &state);

//! True while nobody else can hold the lease. Time that the process slept counts.
bool holdsLease(const LeaseState &state, TimePoint now);

} // namespace gypsumcroft
