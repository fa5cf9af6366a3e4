//! Controller of endpoints that traffic has doubts about: asks them and keeps those that are down.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "controllers/endpointlist.h"
#include "core/logline.h"

namespace gypsumcroft {

//! Ask an endpoint what it holds and how many orders it has accepted.
struct AskEndpoint
{
    EndpointId endpoint_;
    Address address_;
};

struct ProbeLimits
{
    //! An endpoint that is down is asked again after this time.
    Duration downInterval_ = std::chrono::milliseconds(600);
    //! One that has just answered is not asked again for this time; it doubles with each answer.
    Duration firstTrust_ = std::chrono::milliseconds(700);
    Duration longestTrust_ = std::chrono::milliseconds(8000);
    //! Questions without an answer after which an endpoint counts as lost, so that its layers are
    //! placed elsewhere.
    std::uint32_t lostAfter_ = 2;
};

struct ProbeRecord
{
    bool asking_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t answers_ = 0;
    TimePoint nextAt_;
};

struct ProbeState
{
    ProbeLimits limits_;
    std::map<EndpointId, ProbeRecord> records_;
    std::vector<AskEndpoint> asks_;
    std::vector<LogEvent> log_;
};

//! Traffic doubts an endpoint: it failed, or stood on a path that fell silent.
void noteDoubt(ProbeState &state, const EndpointListState &list, const EndpointId &endpoint,
               TimePoint now);

//! An endpoint answered a question, or did not. True if it is now down, or no longer.
bool onProbeAnswer(ProbeState &state, const EndpointId &endpoint, bool answered, TimePoint now);

//! Asks endpoints that are down again.
void tickProbes(ProbeState &state, const EndpointListState &list, TimePoint now);

//! Endpoints that did not answer the last question.
std::set<EndpointId> downEndpoints(const ProbeState &state);

//! Endpoints that count as lost. None when most of those listed do: then this process is cut off.
std::set<EndpointId> lostEndpoints(const ProbeState &state, const EndpointListState &list);

} // namespace gypsumcroft
