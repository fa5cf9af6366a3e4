//! Controller of endpoint crashes: finds out whether an endpoint ended that dispatches lost their
//! connection to, and keeps what is blamed for it.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "controllers/endpointlist.h"
#include "core/logline.h"
#include "policy/crashblame.h"

namespace gypsumcroft {

//! Message from traffic to control: a dispatch lost its connection before the endpoint began to
//! answer.
struct DispatchLost
{
    EndpointId endpoint_;
    //! Incarnation that the request was sent to.
    std::uint64_t incarnation_ = 0;
    TimePoint sentAt_;
    TimePoint lostAt_;
    std::vector<RequestTrait> traits_;
};

//! Message from traffic to control: an endpoint began to answer a request with a suspect trait.
struct TraitAnswered
{
    RequestTrait trait_;
    TimePoint at_;
};

//! Effect: find out whether the endpoint's process still runs.
struct CheckEndpoint
{
    EndpointId endpoint_;
    Address address_;
    TargetName target_;
};

enum class EndpointCheckResult : std::uint8_t {
    //! The endpoint responded.
    Responded,
    //! Its address refuses connections, or another endpoint responded there.
    Gone,
    //! No response in time: it may be slow or cut off.
    Silent,
};

struct EndpointSighting
{
    EndpointCheckResult result_ = EndpointCheckResult::Silent;
    //! Incarnation that responded; 0 if the response doesn't tell.
    std::uint64_t incarnation_ = 0;
};

struct CrashesLimits
{
    //! Time after which an unconfirmed loss is forgotten.
    Duration forgetLossAfter_ = std::chrono::seconds(5);
    //! Traits in one digest, and in one message of news.
    std::size_t maxTraitsInDigest_ = 12;
    std::size_t maxTraitsInNews_ = 32;
};

//! Dispatches lost at an endpoint that is not known yet to have ended or not.
struct UnconfirmedLosses
{
    std::vector<DispatchLost> losses_;
    bool checking_ = false;
};

struct CrashesState
{
    CrashesLimits limits_;
    CrashBlame blame_;
    std::map<EndpointId, UnconfirmedLosses> unconfirmed_;
    //! Verdicts for the traffic threads; replaced when blame_ changes.
    std::shared_ptr<const BlameVerdicts> verdicts_ = std::make_shared<BlameVerdicts>();
    std::vector<CheckEndpoint> checks_;
    //! Traits of this process's dispatches under which an endpoint crashed, to be told to others.
    std::vector<RequestTrait> news_;
    std::vector<LogEvent> log_;
};

//! Handles the loss of a dispatch. The end of an endpoint that was leaving, or is not listed any
//! more, is no crash.
void onDispatchLost(CrashesState &state, const EndpointListState &list, DispatchLost loss,
                    TimePoint now);

//! Handles the result of a check that was sent at the given time. What is newly suspected is left
//! in CrashesState::news_.
void onEndpointChecked(CrashesState &state, const EndpointListState &list,
                       const EndpointId &endpoint, const EndpointSighting &sighting,
                       TimePoint sentAt, TimePoint now);

//! Handles an answer to a request with a suspect trait. Returns true if it was unknown.
bool onTraitAnswered(CrashesState &state, const TraitAnswered &answered, TimePoint now);

//! Adds what another gateway reports. Returns true if it was unknown.
bool onTraitReports(CrashesState &state, const std::vector<TraitReport> &reports, TimePoint now);

//! Repeats checks that said nothing and forgets what is long past.
void tickCrashes(CrashesState &state, const EndpointListState &list, TimePoint now);

} // namespace gypsumcroft
