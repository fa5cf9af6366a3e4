//! Immutable view of the control state that a gateway's control thread publishes to its traffic
//! threads; each update replaces the whole view.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "controllers/crashes.h"
#include "controllers/endpointlist.h"
#include "controllers/peers.h"
#include "controllers/routetable.h"
#include "policy/endpointspeed.h"
#include "policy/retryshare.h"

namespace gypsumcroft {

//! How long ago the desired state and the endpoint list may have been confirmed for them to be
//! used.
struct FreshnessLimits
{
    //! Within this time after the platform accepts a state that revokes a key, the key must be
    //! rejected. Zero: keys are accepted however old the state is.
    Duration maxKeyAge_ {};
    //! Within this time after the platform accepts a state, requests must be routed by it.
    Duration maxStateAge_ = std::chrono::milliseconds(2000);
    //! Within this time after the platform accepts that an endpoint leaves, it must get no more
    //! requests.
    Duration maxListAge_ = std::chrono::milliseconds(2000);
};

struct EndpointIndex
{
    std::vector<ListedEndpoint> endpoints_;
    std::unordered_map<TargetName, std::vector<std::size_t>> byTarget_;
    std::unordered_map<EndpointId, std::size_t> byId_;
    std::unordered_map<Address, std::size_t> byAddress_;
};

std::shared_ptr<const EndpointIndex> buildEndpointIndex(const EndpointListState &list);

//! True while the list has this endpoint at this address. An endpoint that has left the list isn't
//! there although another one may have its address now.
bool isListedAt(const EndpointIndex &listed, const EndpointId &endpoint, const Address &address);

struct GatewayView
{
    //! Null until the first desired state is known.
    std::shared_ptr<const RouteTable> table_;
    std::shared_ptr<const EndpointIndex> endpoints_ = std::make_shared<EndpointIndex>();
    //! Load of other gateways' requests on the endpoints.
    std::shared_ptr<const EndpointLoads> peerLoads_ = std::make_shared<EndpointLoads>();
    //! Demand at the other gateways, by target; empty for a target while it is unknown.
    std::shared_ptr<const FleetDemand> peerDemand_ = std::make_shared<FleetDemand>();
    //! Load of this gateway's requests on the endpoints, as reported in its last digest.
    std::shared_ptr<const EndpointLoads> lastDigestLoads_ = std::make_shared<EndpointLoads>();
    //! Endpoints that did not respond to their last probe.
    std::set<EndpointId> downEndpoints_;
    //! Endpoints that asked for no requests until the given time.
    std::unordered_map<EndpointId, TimePoint> pausedUntil_;
    //! Slowdowns of endpoints that were measured lately, here or at other gateways.
    std::shared_ptr<const EndpointSpeeds> speeds_ = std::make_shared<EndpointSpeeds>();
    //! What requests are suspected of crashing endpoints.
    std::shared_ptr<const BlameVerdicts> blame_ = std::make_shared<BlameVerdicts>();
    //! When the desired state was last confirmed to be the newest one.
    std::optional<TimePoint> stateConfirmedAt_;
    //! The platform tells this process the desired state when asked, so that a stale one is soon
    //! confirmed or replaced.
    bool stateAvailable_ = false;
    //! When the last successful poll of the endpoint list was sent.
    std::optional<TimePoint> listConfirmedAt_;
    //! The platform doesn't tell this process the list, which can't get newer by waiting.
    bool listUnavailable_ = false;
    FreshnessLimits freshness_;
    FailureDomainId domain_;
    //! Number of gateways that share the retry budget and the endpoints, including this one.
    std::uint32_t gatewayCount_ = 1;
    //! Number of other gateways whose loads are part of peerLoads_.
    std::uint32_t peerCount_ = 0;
    RetryShareLimits retry_;
};

//! Message from traffic to control: probe the endpoint, because a request to it failed or a stream
//! that it serves has stalled.
struct RequestProbe
{
    EndpointId endpoint_;
    //! The stream is only slow, and the endpoint's speed is asked for.
    bool forSpeed_ = false;
};

//! Message from traffic to control: what an endpoint said in a response.
struct EndpointNoticeSeen
{
    EndpointId endpoint_;
    //! Incarnation that the request was sent to.
    std::uint64_t incarnation_ = 0;
    bool leaving_ = false;
    //! Set if the endpoint wants no requests until then.
    std::optional<TimePoint> pausedUntil_;
};

//! Message from traffic to control: current load of this gateway's requests on the endpoints, and
//! the demand for each target.
struct OwnEndpointLoads
{
    std::vector<EndpointLoad> loads_;
    std::vector<RankDemandReport> demand_;
    //! Endpoints that are slow by the gaps of this gateway's streams.
    std::vector<EstimatedSpeed> speeds_;
};

//! True while the desired state is recent enough that every revoked key is known.
bool keysAreFresh(const GatewayView &view, TimePoint now);

//! True while the desired state is recent enough that requests may still be routed by it.
bool stateIsFresh(const GatewayView &view, TimePoint now);

//! True while the endpoint list is recent enough that every endpoint that must get no more requests
//! is known to leave, or it is the best that can be had. False where this process is behind with
//! news that it can have.
bool listIsFresh(const GatewayView &view, TimePoint now);

} // namespace gypsumcroft
