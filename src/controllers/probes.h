//! Controller that probes endpoints at the request of the traffic threads and tracks those that are
//! down.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "controllers/endpointlist.h"
#include "core/logline.h"

namespace gypsumcroft {

//! Effect: request a report of an endpoint's loaded layers and accepted orders. Also serves as a
//! probe.
struct RequestStatusReport
{
    EndpointId endpoint_;
    Address address_;
};

struct ProbeLimits
{
    //! Time from an unanswered probe until the endpoint is probed again.
    Duration downProbeInterval_ = std::chrono::milliseconds(600);
    //! Time after an answered probe in which no new probe is sent; doubles with each consecutive
    //! answer up to the maximum.
    Duration minProbeInterval_ = std::chrono::milliseconds(700);
    Duration maxProbeInterval_ = std::chrono::milliseconds(8000);
    //! Consecutive unanswered probes after which an endpoint counts as lost, so that its layers are
    //! placed on other endpoints.
    std::uint32_t lostAfterFailures_ = 2;
};

struct ProbeRecord
{
    //! A probe is in flight.
    bool inFlight_ = false;
    //! Consecutive unanswered and answered probes.
    std::uint32_t failures_ = 0;
    std::uint32_t responses_ = 0;
    //! Earliest time of the next probe.
    TimePoint nextProbeAt_;
};

struct ProbeState
{
    ProbeLimits limits_;
    std::map<EndpointId, ProbeRecord> records_;
    std::vector<RequestStatusReport> reportRequests_;
    std::vector<LogEvent> log_;
};

//! Probes an endpoint at the request of the traffic threads, unless it answered a probe recently.
void requestProbe(ProbeState &state, const EndpointListState &list, const EndpointId &endpoint,
                  TimePoint now);

//! Handles the result of a probe. Returns true if the endpoint became down, lost or available
//! again.
bool onProbeResult(ProbeState &state, const EndpointId &endpoint, bool answered, TimePoint now);

//! Handles a probe whose result says nothing: the endpoint is probed again when requested.
void onProbeVoid(ProbeState &state, const EndpointId &endpoint, TimePoint now);

//! Probes endpoints that are down again and removes the records of endpoints no longer listed.
void tickProbes(ProbeState &state, const EndpointListState &list, TimePoint now);

//! Endpoints that did not respond to their last probe.
std::set<EndpointId> downEndpoints(const ProbeState &state);

//! Endpoints that count as lost. Empty if these are more than half of all listed endpoints: then
//! this process itself is probably disconnected.
std::set<EndpointId> lostEndpoints(const ProbeState &state, const EndpointListState &list);

} // namespace gypsumcroft
