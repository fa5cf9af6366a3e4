//! What a gateway's control publishes for traffic: one immutable picture, replaced as a whole.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "controllers/endpointlist.h"
#include "controllers/peers.h"
#include "controllers/routetable.h"
#include "policy/retryshare.h"

namespace gypsumcroft {

//! Bounds within which what a process knows may be used.
struct FreshnessLimits
{
    //! A caller's key may have been taken away by a state that was accepted longer ago than this;
    //! zero when keys needn't be checked so strictly.
    Duration revokeAfter_ {};
    //! A state must be in force so long after it was accepted.
    Duration applyAfter_ = std::chrono::milliseconds(2000);
};

struct EndpointIndex
{
    std::vector<ListedEndpoint> endpoints_;
    std::unordered_map<TargetName, std::vector<std::size_t>> byTarget_;
    std::unordered_map<EndpointId, std::size_t> byId_;
    std::unordered_map<Address, std::size_t> byAddress_;
};

std::shared_ptr<const EndpointIndex> buildEndpointIndex(const EndpointListState &list);

struct GatewayView
{
    //! Nothing before the first desired state is known.
    std::shared_ptr<const RouteTable> table_;
    std::shared_ptr<const EndpointIndex> endpoints_ = std::make_shared<EndpointIndex>();
    //! What other gateways' requests hold of the endpoints.
    std::shared_ptr<const EndpointShares> others_ = std::make_shared<EndpointShares>();
    //! What this gateway's requests held when it told the others last.
    std::shared_ptr<const EndpointShares> toldShares_ = std::make_shared<EndpointShares>();
    //! Endpoints that did not answer when they were asked.
    std::set<EndpointId> down_;
    std::optional<TimePoint> confirmedAt_;
    //! The list of endpoints was asked for at this time.
    std::optional<TimePoint> listConfirmedAt_;
    FreshnessLimits freshness_;
    FailureDomainId domain_;
    //! Entries that share the retry budget and the endpoints, this one included.
    std::uint32_t entries_ = 1;
    RetryShareLimits retry_;
};

//! What traffic tells control: an endpoint failed, or stood on a path that fell silent.
struct EndpointDoubt
{
    EndpointId endpoint_;
};

//! What traffic tells control: what its requests hold of the endpoints now.
struct OwnShares
{
    std::vector<EndpointShare> shares_;
};

//! True while keys that were taken away are certainly known.
bool keysAreFresh(const GatewayView &view, TimePoint now);

//! True while the state in force is one that may still be in force.
bool stateIsFresh(const GatewayView &view, TimePoint now);

} // namespace gypsumcroft
