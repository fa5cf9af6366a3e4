//! Decides at arrival whether a request can be served within its response timeout.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

//! Smoothed rate at which the entry's queue drains, in tokens per second.
struct DrainRate
{
    double tokensPerSecond_ = 0;
    std::int64_t countedTokens_ = 0;
    TimePoint intervalStart_;
    bool known_ = false;
};

//! Records work that was dispatched from the queue to an endpoint.
void recordDrained(DrainRate &rate, Tokens work, TimePoint now);

//! Time to serve the work that is ahead in the queue; zero while the rate is unknown.
Duration expectedWait(const DrainRate &rate, Tokens ahead);

//! Smoothed mean and mean deviation of the time from dispatch to the first token.
struct ServiceTime
{
    Duration mean_ {};
    Duration deviation_ {};
    bool known_ = false;
};

void recordServiceTime(ServiceTime &service, Duration measured);

//! Upper bound of the time to the first token for nearly all dispatched requests; zero while
//! unknown.
Duration serviceTimeBound(const ServiceTime &service);

//! The part of a response timeout that is available for service; the rest is for queueing.
Duration serviceTimeBudget(Duration responseTimeout);

struct AdmissionDecision
{
    bool admitted_ = true;
    Duration expectedWait_ {};
    Duration retryAfter_ {};
};

//! Refuses a request if its expected wait and the service time after it exceed the response
//! timeout. Work that can start at once is never refused.
AdmissionDecision admit(const DrainRate &rate, Tokens ahead, const ServiceTime &service,
                        Duration responseTimeout);

} // namespace gypsumcroft
