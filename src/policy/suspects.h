//! Detects requests that crash the endpoints that run them.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

struct EndpointDeath
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    TimePoint at_;
};

struct SuspectRequest
{
    std::vector<EndpointDeath> deaths_;
    TimePoint expires_;
    //! An operator lifted the quarantine; in effect until the entry expires.
    bool lifted_ = false;
};

//! Fingerprints of requests that were in flight at an endpoint when it died.
struct SuspectRequests
{
    std::unordered_map<Fingerprint, SuspectRequest> entries_;
    //! Recent deaths of any cause, to distinguish the outage of a failure domain from crashes.
    std::vector<EndpointDeath> recentDeaths_;
};

enum class QuarantineStatus { None, Suspected, Quarantined };

//! Records that an endpoint died, whether or not requests were in flight there.
void recordEndpointDeath(SuspectRequests &suspects, const EndpointDeath &death);

//! Records that this request was in flight at an endpoint when it died.
void recordSuspicion(SuspectRequests &suspects, Fingerprint fingerprint,
                     const EndpointDeath &death);

//! A request is quarantined after the deaths of two different endpoints. Deaths during the
//! outage of a failure domain don't count.
QuarantineStatus quarantineStatus(const SuspectRequests &suspects, Fingerprint fingerprint,
                                  TimePoint now);

//! Lifts the quarantine of a fingerprint on request of an operator.
void liftQuarantine(SuspectRequests &suspects, Fingerprint fingerprint, TimePoint now);

//! Adds the reports of another entry.
void mergeSuspects(SuspectRequests &suspects, const std::vector<SuspectReport> &reports,
                   TimePoint now);

//! Returns at most limit reports for other entries, newest first.
std::vector<SuspectReport> reportSuspects(const SuspectRequests &suspects, std::size_t limit,
                                          TimePoint now);

void expireSuspects(SuspectRequests &suspects, TimePoint now);

} // namespace gypsumcroft
