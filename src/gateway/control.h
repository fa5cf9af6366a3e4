//! The gateway's control logic: desired state, endpoints, lease and placement. Does no I/O; what is
//! to be done is left in GatewayControl::effects_.
#pragma once

#include <map>
#include <variant>
#include <vector>

#include "controllers/crashes.h"
#include "controllers/endpointlist.h"
#include "controllers/gatewayview.h"
#include "controllers/lease.h"
#include "controllers/members.h"
#include "controllers/peers.h"
#include "controllers/placement.h"
#include "controllers/probes.h"
#include "controllers/routetable.h"
#include "controllers/speeds.h"
#include "controllers/storerelay.h"
#include "core/endpointnotice.h"
#include "core/random.h"
#include "policy/endpointpause.h"
#include "policy/loopdelay.h"

namespace gypsumcroft {

//! Effect: renew the group membership that the lease depends on.
struct JoinGroup
{
    GroupGeneration generation_;
};

//! Effect: leave the group, so that the lease passes to another gateway at once.
struct LeaveGroup
{ };

//! Effect: request the addresses of the other gateways from the platform.
struct RequestPeerAddresses
{ };

//! Effect: read the desired state from the store, the newest one at once or, with a wait, the next
//! one after the last that was read.
struct ReadDesiredState
{
    std::optional<Duration> wait_;
};

//! Effect: read the endpoint list from the store.
struct ReadEndpointList
{ };

//! Effect: send the digest to these gateways.
struct SendDigest
{
    std::vector<Address> to_;
    GatewayDigestMessage digest_;
};

//! Effect: publish a new view, built with gatewayViewOf().
struct GatewayViewChanged
{ };

using GatewayControlEffect
        = std::variant<JoinGroup, LeaveGroup, RequestPeerAddresses, ReadDesiredState,
                       ReadEndpointList, RequestStatusReport, SendLoadOrder, SendDigest,
                       CheckEndpoint, GatewayViewChanged, LogEvent>;

//! Limits that the platform sets for this installation.
struct GatewayBounds
{
    FreshnessLimits freshness_;
    RetryShareLimits retry_;
    //! Maximum time since the desired state was confirmed for the process to be ready.
    Duration maxReadyAge_ = std::chrono::seconds(3);
    Duration digestInterval_ = std::chrono::milliseconds(200);
    //! Upper bound of the interval where digests would take too much of the link. A gateway whose
    //! digests come less often than this counts as silent.
    Duration maxDigestInterval_ = std::chrono::milliseconds(800);
    //! Interval between requests for the peers' addresses.
    Duration peersInterval_ = std::chrono::seconds(30);
    //! The same while no peer is known.
    Duration noPeersInterval_ = std::chrono::seconds(1);
    //! Minimum time between two log lines on the number of gateways.
    Duration gatewaysLogInterval_ = std::chrono::seconds(1);
    //! The same on dropped reports of demand.
    Duration droppedDemandLogInterval_ = std::chrono::seconds(1);
    //! Time for which digests include an endpoint's report of its loaded layers.
    Duration reportForwardTime_ = std::chrono::seconds(2);
    EndpointPauseLimits pause_;
    //! Time after which a read of the store without an answer shows that the store is silent, in a
    //! process that keeps up. Each of the read's steps may wait for a turn of a loop that is late.
    Duration storeSilentAfter_ = std::chrono::milliseconds(200);
    std::int64_t turnsOfRead_ = 8;
    //! A read that failed within this time was refused, and not given up for want of an answer.
    Duration refusedWithin_ = std::chrono::milliseconds(500);
    //! A report request without a response that took longer than this was cut short by a hold-up of
    //! this process, and says nothing about the endpoint.
    Duration maxReportTime_ = std::chrono::milliseconds(900);
};

//! Digests that were handled, for the log.
struct DigestFigures
{
    std::uint64_t count_ = 0;
    //! Longest time that one took more than the fastest one of its sender.
    Duration longestDelay_ {};
};

struct GatewayControl
{
    InstanceId self_;
    Incarnation incarnation_;
    GatewayBounds bounds_;
    RouteTableState routes_;
    EndpointListState endpoints_;
    LeaseState lease_;
    std::map<TargetName, PlacementState> placement_;
    ProbeState probes_;
    CrashesState crashes_;
    SpeedsState speeds_;
    //! Estimates of the traffic threads, taken with the next tick.
    std::vector<EstimatedSpeed> estimatedSpeeds_;
    MembersState members_;
    PeersState peers_;
    StoreRelayState relay_;
    //! This process reads the store regularly, for itself and others.
    bool readsStore_ = false;
    std::vector<EndpointLoad> ownLoads_;
    std::vector<RankDemandReport> ownDemand_;
    //! Reports of demand that were dropped since the last log line about it.
    std::uint64_t droppedDemand_ = 0;
    TimePoint droppedDemandLoggedAt_;
    //! Some gateway has sent a request to an endpoint since this process started.
    bool trafficSeen_ = false;
    std::shared_ptr<const EndpointLoads> reportedLoads_ = std::make_shared<EndpointLoads>();
    std::uint64_t digestSequence_ = 0;
    TimePoint lastDigestAt_;
    //! Time from then until the next digest.
    Duration digestPause_ {};
    DigestFigures digestFigures_;
    LoopDelay loopDelay_;
    TimePoint peersRequestedAt_;
    //! Index of the endpoint list; rebuilt when the list changes.
    std::shared_ptr<const EndpointIndex> endpointIndex_ = std::make_shared<EndpointIndex>();
    //! The view has changed in parts that are published only with the next tick.
    bool viewStale_ = false;
    //! Number of gateways in the last log line about it.
    std::uint32_t loggedGateways_ = 1;
    TimePoint gatewaysLoggedAt_;
    //! False from the first failed request to the platform until one succeeds.
    bool platformReachable_ = true;
    Random random_;
    std::vector<GatewayControlEffect> effects_;
};

//! Handles a desired state from the platform: the newest one when it was requested.
void onDesiredState(GatewayControl &state, DesiredState desired, TimePoint requestedAt,
                    TimePoint now);

//! Handles the platform's response that nothing newer than the known state existed when it
//! was requested.
void onDesiredStateConfirmed(GatewayControl &state, TimePoint requestedAt, TimePoint now);

//! Handles the end of a read of the desired state, after what it returned. It shows the newest
//! state as of confirmedAt.
void onDesiredStateRead(GatewayControl &state, TimePoint confirmedAt, TimePoint now);
void onDesiredStateReadFailed(GatewayControl &state, const std::string &reason, TimePoint now);

//! Handles the endpoint list and the end of its log when it was read.
void onEndpointList(GatewayControl &state, const std::vector<ListedEndpoint> &listed,
                    LogOffset offset, TimePoint requestedAt, TimePoint now);

//! Handles a failed read of the endpoint list.
void onEndpointListFailed(GatewayControl &state, const std::string &reason, TimePoint now);

//! Handles a failed request to the platform. Only the first of consecutive failures is logged.
void onPlatformRequestFailed(GatewayControl &state, const std::string &question,
                             const std::string &reason, TimePoint now);

//! Handles the response to a join: whether it granted the lease to this process.
void onJoinResponse(GatewayControl &state, GroupGeneration generation, bool granted,
                    TimePoint sentAt, TimePoint now);
void onJoinFailed(GatewayControl &state, TimePoint now);

//! Handles new settings in a running process.
void onBoundsChanged(GatewayControl &state, const GatewayBounds &bounds, const LeaseLimits &lease);

//! Handles the stop of this process: it gives up the lease and placement, and leaves its part of
//! the retry slack to the remaining gateways.
void onStopping(GatewayControl &state);

//! Handles the number of partitions of the group's topic that the platform assigned to this
//! process.
void onPartitionShare(GatewayControl &state, std::uint32_t share, std::uint32_t partitions);

//! Handles the result of a report request; report is empty if the endpoint did not respond.
void onReportResponse(GatewayControl &state, const EndpointId &endpoint,
                      const std::optional<EndpointStatusReport> &report, TimePoint requestedAt,
                      TimePoint now);
void onOrderResponse(GatewayControl &state, const EndpointId &endpoint, OrderOutcome outcome,
                     TimePoint now);

//! Handles what an endpoint said in a response about further requests, here or to the traffic
//! threads.
void onEndpointNotice(GatewayControl &state, const EndpointNoticeSeen &notice, TimePoint now);

//! Handles the same in a response to a report request or a load order of this process.
void onControlNotice(GatewayControl &state, const EndpointId &endpoint,
                     const EndpointNotice &notice, TimePoint now);

//! Probes an endpoint at the request of the traffic threads or a peer.
void onProbeRequested(GatewayControl &state, const RequestProbe &request, TimePoint now);

//! Handles the loss of a dispatch's connection before the endpoint began to answer.
void onDispatchLost(GatewayControl &state, DispatchLost loss, TimePoint now);

//! Handles an answer to a request with a suspect trait.
void onTraitAnswered(GatewayControl &state, const TraitAnswered &answered, TimePoint now);

//! Handles the result of a check that was sent at the given time.
void onEndpointChecked(GatewayControl &state, const EndpointId &endpoint,
                       const EndpointSighting &sighting, TimePoint sentAt, TimePoint now);

//! Stores the load of this gateway's requests on the endpoints, for the next digest.
void onOwnLoads(GatewayControl &state, OwnEndpointLoads loads);

void onGatewayDigest(GatewayControl &state, GatewayDigestMessage digest, TimePoint now);

//! Handles the addresses of the gateways that hold a partition, as the platform lists them.
void onPeersListed(GatewayControl &state, std::vector<Address> peers, std::uint32_t partitions);

//! Advances lease, placement, probes and digests; to be called every GatewayControlInterval.
void onGatewayControlTick(GatewayControl &state, TimePoint now);
inline constexpr Duration GatewayControlInterval = std::chrono::milliseconds(100);

GatewayView gatewayViewOf(const GatewayControl &state, TimePoint now);

//! True while the process knows a desired state and an endpoint list that were confirmed recently
//! enough; a list that the platform doesn't tell may be old.
bool isGatewayReady(const GatewayControl &state, TimePoint now);

} // namespace gypsumcroft
