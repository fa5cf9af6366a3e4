//! Controller of the lease that the platform grants through group membership.
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
    //! Time without a join after which the platform gives a member's partitions to others.
    Duration lifetime_ = std::chrono::milliseconds(2000);
    //! Interval between joins.
    Duration joinInterval_ = std::chrono::milliseconds(700);
    //! The holder stops using its lease this long before it may expire, so that a load order in
    //! transit arrives before another process can hold the lease.
    Duration safetyMargin_ = std::chrono::milliseconds(400);
    //! Time without a response after which a join is repeated.
    Duration responseTimeout_ = std::chrono::milliseconds(500);
};

//! Membership of this process. The lease is valid from the time when the join that granted it was
//! sent.
struct LeaseState
{
    LeaseLimits limits_;
    GroupGeneration generation_;
    bool held_ = false;
    //! This process is stopping: it sends no more joins and ignores responses that arrive late.
    bool left_ = false;
    std::optional<TimePoint> grantedAt_;
    std::optional<TimePoint> joinSentAt_;
    TimePoint nextJoinAt_;
};

//! Returns true if a join is due, and marks it as sent.
bool takeDueJoin(LeaseState &state, TimePoint now);

//! Applies the platform's response to the join sent at the given time. Returns true if this process
//! gained or lost the lease.
bool applyJoinResponse(LeaseState &state, GroupGeneration generation, bool granted,
                       TimePoint sentAt);

//! Handles a failed join; the lease remains valid until it expires.
void applyJoinFailure(LeaseState &state, TimePoint now);

//! Releases the lease permanently. Returns true if this process held it.
bool releaseLease(LeaseState &state);

//! True while no other process can hold the lease. Time during which this process was suspended
//! counts towards its expiry.
bool holdsLease(const LeaseState &state, TimePoint now);

} // namespace gypsumcroft
