//! Finds requests that crash the endpoints that run them.
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

struct Suspect
{
    std::vector<EndpointDeath> deaths_;
    TimePoint expires_;
    //! An operator declared it harmless; holds until it expires.
    bool lifted_ = false;
};

//! Fingerprints that were in flight where an endpoint died.
struct Suspects
{
    std::unordered_map<Fingerprint, Suspect> entries_;
    //! Recent deaths of any cause, to tell a dark failure domain from a crash.
    std::vector<EndpointDeath> recentDeaths_;
};

enum class Guilt { Innocent, Suspected, Guilty };

//! Records that an endpoint died, whether or not it held a request.
void recordEndpointDeath(Suspects &suspects, const EndpointDeath &death);

//! Records that this request was in flight there.
void recordSuspicion(Suspects &suspects, Fingerprint fingerprint, const EndpointDeath &death);

//! Guilty after two deaths on different endpoints, unless whole failure domains went dark.
Guilt judge(const Suspects &suspects, Fingerprint fingerprint, TimePoint now);

//! Clears a fingerprint on an operator's word.
void liftSuspect(Suspects &suspects, Fingerprint fingerprint, TimePoint now);

//! Takes in what another entry knows.
void mergeSuspects(Suspects &suspects, const std::vector<SuspectReport> &reports, TimePoint now);

//! At most limit entries, newest first, for other entries.
std::vector<SuspectReport> reportSuspects(const Suspects &suspects, std::size_t limit,
                                          TimePoint now);

void expireSuspects(Suspects &suspects, TimePoint now);

} // namespace gypsumcroft
