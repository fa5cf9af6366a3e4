//! Desired state of a gateway: routes, targets, organisations and limits, independent of their
//! encoding.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/units.h"

namespace gypsumcroft {

using RouteName = StrongType<struct RouteNameTag, std::string>;
using ConfigVersion = StrongType<struct ConfigVersionTag, std::uint64_t>;
//! Urgency of a route or an organisation; 0 is the most urgent.
using Priority = StrongType<struct PriorityTag, std::uint32_t>;

enum class RerunPolicy : std::uint8_t {
    //! A request is executed at most once.
    Never,
    //! A request may be executed again from the start.
    FromStart,
    //! May be executed again from the start; a stream may also continue on another endpoint after
    //! its last delivered event.
    Resume,
};

//! A target and its relative share of a route's traffic.
struct WeightedTarget
{
    TargetName target_;
    std::uint32_t weight_ = 1;
};

//! Which requests match a route, which targets they go to, and their time and retry limits.
struct RouteRule
{
    RouteName name_;
    std::string host_;
    //! Begins and ends with a slash; of several matching routes the one with the longest prefix is
    //! used.
    std::string pathPrefix_;
    bool isStream_ = false;
    RerunPolicy rerunPolicy_ = RerunPolicy::Never;
    //! A request that takes longer is aborted.
    Duration timeout_ {};
    //! Target time until the response, or until a stream's first event.
    Duration latencyTarget_ {};
    //! Target for the longest pause between two events of a stream; zero for no target.
    Duration eventGapTarget_ {};
    Priority priority_;
    std::uint32_t maxAttempts_ = 1;
    bool allowAnonymous_ = false;
    std::vector<WeightedTarget> targets_;
};

//! An accelerator kind: its memory, and by which factor its decode steps and its prefill are slower
//! than the model's base times.
struct AcceleratorSpec
{
    Bytes memory_;
    double decodeFactor_ = 1;
    double prefillFactor_ = 1;
};

//! Resource needs and timing of the endpoints that run a model.
struct EngineSpec
{
    std::uint32_t layers_ = 0;
    Bytes layerBytes_;
    //! KV-cache memory of one token over all layers.
    Bytes kvBytesPerToken_;
    //! Size of one token's activations, which each endpoint sends to the next.
    Bytes activationBytesPerToken_;
    //! Requests that an endpoint runs concurrently.
    std::uint32_t slots_ = 1;
    Duration decodeStepTime_ {};
    Duration decodeStepTimePerSequence_ {};
    double prefillTokensPerSecond_ = 1;
    //! Time to load the whole model, and how many loads can run concurrently without slowing each
    //! other.
    Duration loadTime_ {};
    std::uint32_t concurrentLoads_ = 1;
    //! Bandwidth between two endpoints; 0 means unlimited.
    double linkBytesPerSecond_ = 0;
    //! Bandwidth between two failure domains, shared by all gateways; 0 means unlimited.
    double crossDomainBytesPerSecond_ = 0;
    Tokens typicalPrompt_;
    Tokens typicalOutput_;
    std::map<AcceleratorKind, AcceleratorSpec> accelerators_;
    std::map<std::pair<FailureDomainId, FailureDomainId>, Duration> domainDelays_;
};

struct TargetSpec
{
    TargetName name_;
    std::string healthPath_;
    std::uint32_t maxConnections_ = 0;
    //! Set for a target whose endpoints run layers of a model.
    std::optional<EngineSpec> engine_;
};

struct OrganisationRule
{
    OrganisationId organisation_;
    std::vector<std::string> apiKeys_;
    //! Overrides the route's priority.
    std::optional<Priority> priority_;
};

//! Limits on the size of a caller's requests and on idle connections.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 4UL * 1024 * 1024;
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15);
};

struct DesiredState
{
    ConfigVersion version_;
    std::vector<RouteRule> routes_;
    std::vector<TargetSpec> targets_;
    std::vector<OrganisationRule> organisations_;
    //! Callers need an API key of one of the organisations, even if there is none left.
    bool keysRequired_ = false;
    CallerLimits limits_;
};

enum class ListedState : std::uint8_t { Ready, Draining };

//! An endpoint as listed by the platform.
struct ListedEndpoint
{
    EndpointId id_;
    TargetName target_;
    Address address_;
    FailureDomainId domain_;
    ListedState state_ = ListedState::Ready;
    std::uint32_t slots_ = 0;
    AcceleratorKind accelerator_;
    //! Layers that it has loaded, if any.
    std::optional<LayerRange> layers_;
    std::string model_;
    std::uint64_t modelVersion_ = 0;
    //! Start time of the endpoint's process in Unix milliseconds, which tells restarts apart; 0
    //! when unknown.
    std::uint64_t incarnation_ = 0;
};

//! One endpoint of a path and the layers it runs for a request.
struct PathSegment
{
    EndpointId endpoint_;
    Address address_;
    LayerRange layers_;
    auto operator<=>(const PathSegment &) const = default;
};
using LayerPath = std::vector<PathSegment>;

} // namespace gypsumcroft
