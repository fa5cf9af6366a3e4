//! Decides at arrival whether a request can be served within its patience.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

//! Rate at which the entry's queue drains, in tokens a second, smoothed.
struct DrainRate
{
    double tokensPerSecond_ = 0;
    std::int64_t counted_ = 0;
    TimePoint since_;
    bool known_ = false;
};

//! Counts work that left the queue for an endpoint.
void countDrained(DrainRate &rate, Tokens work, TimePoint now);

//! Time until work that stands ahead is served; zero while the rate is not known.
Duration expectedWait(const DrainRate &rate, Tokens ahead);

//! Time from dispatch to the first token, as it was lately: mean and mean deviation.
struct ServiceTime
{
    Duration mean_ {};
    Duration deviation_ {};
    bool known_ = false;
};

void countService(ServiceTime &service, Duration measured);

//! Time that nearly all dispatched requests need to their first token; zero while not known.
Duration usualService(const ServiceTime &service);

//! The part of a patience that the service may take, the rest being for the wait.
Duration patienceForService(Duration patience);

//! Verdict on a new request.
struct AdmissionVerdict
{
    bool admitted_ = true;
    Duration expectedWait_ {};
    Duration retryAfter_ {};
};

//! Refuses when the expected wait and the service after it are beyond the patience. Work that
//! begins at once is never refused.
AdmissionVerdict admit(const DrainRate &rate, Tokens ahead, const ServiceTime &service,
                       Duration patience);

} // namespace gypsumcroft
