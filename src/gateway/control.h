//! The gateway's control core: desired state, endpoints, lease and placement. No I/O.
#pragma once

#include <map>
#include <variant>
#include <vector>

#include "controllers/endpointlist.h"
#include "controllers/gatewayview.h"
#include "controllers/lease.h"
#include "controllers/peers.h"
#include "controllers/placing.h"
#include "controllers/probes.h"
#include "controllers/routetable.h"

namespace gypsumcroft {

//! Renew the membership that the lease depends on.
struct JoinGroup
{
    GroupGeneration generation_;
};

//! Give the membership up, so that the lease moves at once.
struct LeaveGroup
{ };

//! Ask the platform who the other gateways are.
struct AskPeers
{ };

struct SendDigest
{
    std::vector<Address> to_;
    GatewayDigestMessage digest_;
};

//! The view is out of date; build it with gatewayViewOf().
struct GatewayViewChanged
{ };

using GatewayControlEffect = std::variant<JoinGroup, LeaveGroup, AskPeers, AskEndpoint, OrderLayers,
                                          SendDigest, GatewayViewChanged, LogEvent>;

//! Bounds that the platform sets for this installation.
struct GatewayBounds
{
    FreshnessLimits freshness_;
    RetryShareLimits retry_;
    //! A process that has had no answer from the platform for so long is not ready.
    Duration readyWithin_ = std::chrono::seconds(3);
    Duration digestInterval_ = std::chrono::milliseconds(200);
    //! The platform is asked for peers this often; more often while none is known.
    Duration peersInterval_ = std::chrono::seconds(10);
    Duration lonelyInterval_ = std::chrono::seconds(1);
    //! An endpoint's own word is passed on to peers for this time.
    Duration heldPassedOn_ = std::chrono::seconds(2);
};

struct GatewayControl
{
    InstanceId self_;
    //! Where peers send their digests.
    Address address_;
    Incarnation incarnation_;
    FailureDomainId domain_;
    GatewayBounds bounds_;
    RouteTableState routes_;
    EndpointListState endpoints_;
    LeaseState lease_;
    std::map<TargetName, PlacingState> placing_;
    ProbeState probes_;
    PeersState peers_;
    std::vector<EndpointShare> ownShares_;
    std::shared_ptr<const EndpointShares> toldShares_ = std::make_shared<EndpointShares>();
    std::uint64_t digestSequence_ = 0;
    TimePoint digestAt_;
    TimePoint peersAskedAt_;
    //! Kept while neither list nor table change.
    std::shared_ptr<const EndpointIndex> index_ = std::make_shared<EndpointIndex>();
    bool viewStale_ = false;
    std::uint32_t entries_ = 1;
    bool platformAnswers_ = true;
    std::vector<GatewayControlEffect> effects_;
};

//! The platform's newest desired state, as it was when it was asked for.
void onDesiredState(GatewayControl &state, DesiredState desired, TimePoint asked, TimePoint now);

//! The platform has nothing newer than what is known, as of asked.
void onNothingNewer(GatewayControl &state, TimePoint asked, TimePoint now);

void onEndpointList(GatewayControl &state, const std::vector<ListedEndpoint> &listed,
                    TimePoint asked, TimePoint now);

//! A reading of the endpoint list had no answer.
void onEndpointListFailed(GatewayControl &state, const std::string &reason, TimePoint now);

//! A question to the platform had no answer; logged once until it answers again.
void onPlatformSilent(GatewayControl &state, const std::string &question, const std::string &reason,
                      TimePoint now);

//! Answer to a join: whether this process holds the lease.
void onJoined(GatewayControl &state, GroupGeneration generation, bool granted, TimePoint sent,
              TimePoint now);
void onJoinFailed(GatewayControl &state, TimePoint now);

//! The process is stopping: it places no more layers and leaves its part of the retry slack to
//! those that stay.
void onLeaving(GatewayControl &state);

//! How many entries there are, as the platform says.
void onEntryCount(GatewayControl &state, std::uint32_t entries);

void onReport(GatewayControl &state, const EndpointId &endpoint,
              const std::optional<EndpointReportFacts> &report, TimePoint asked, TimePoint now);
void onOrderAnswered(GatewayControl &state, const EndpointId &endpoint, OrderOutcome outcome,
                     TimePoint now);

//! Traffic doubts an endpoint.
void onEndpointDoubt(GatewayControl &state, const EndpointId &endpoint, TimePoint now);

//! What traffic holds of the endpoints.
void onOwnShares(GatewayControl &state, OwnShares shares);

void onGatewayDigest(GatewayControl &state, GatewayDigestMessage digest, TimePoint now);

//! The platform's word on where the other gateways are.
void onPeersIntroduced(GatewayControl &state, std::vector<Address> peers);

//! Lease, placement, probes, digests; to be called every GatewayControlInterval.
void onGatewayControlTick(GatewayControl &state, TimePoint now);
inline constexpr Duration GatewayControlInterval = std::chrono::milliseconds(100);

GatewayView gatewayViewOf(const GatewayControl &state);

//! True when the process can serve: it knows a state that is fresh enough.
bool isGatewayReady(const GatewayControl &state, TimePoint now);

} // namespace gypsumcroft
