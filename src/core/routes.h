//! Desired state of a gateway: routes, targets, organisations and limits, free of any encoding.
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

enum class RepeatRule : std::uint8_t {
    //! Runs at most once for each request.
    Never,
    //! May run again from the start.
    Again,
    //! A stream that may also go on after its last event on another endpoint.
    Resume,
};

//! A target with its share of a route's traffic.
struct WeightedTarget
{
    TargetName target_;
    std::uint32_t weight_ = 1;
};

//! Which requests go where, and within which bounds.
struct RouteRule
{
    RouteName name_;
    std::string host_;
    //! Begins and ends with a slash; the longest prefix of a path wins.
    std::string pathPrefix_;
    bool stream_ = false;
    RepeatRule repeat_ = RepeatRule::Never;
    //! Longest time that a request is kept.
    Duration timeout_ {};
    //! An answer, or a stream's first event, within this time is in time.
    Duration latencyTarget_ {};
    //! Longest pause between two events of a stream in time; zero when there is none.
    Duration gapTarget_ {};
    Priority priority_;
    std::uint32_t maxAttempts_ = 1;
    bool anonymous_ = false;
    std::vector<WeightedTarget> targets_;
};

//! An accelerator kind: its memory and how much slower than the model's base times it is.
struct AcceleratorSpec
{
    Bytes memory_;
    double stepFactor_ = 1;
    double readFactor_ = 1;
};

//! How the endpoints of a model target work.
struct EngineSpec
{
    std::uint32_t layers_ = 0;
    Bytes layerBytes_;
    //! Memory that one token's keys and values take over all layers.
    Bytes tokenBytes_;
    //! What one token hands on from endpoint to endpoint.
    Bytes activationBytes_;
    //! Requests that an endpoint runs side by side.
    std::uint32_t slots_ = 1;
    Duration stepTime_ {};
    Duration stepTimePerSequence_ {};
    double readTokensPerSecond_ = 1;
    //! Time to load the whole model, and how many loads run side by side at full speed.
    Duration loadTime_ {};
    std::uint32_t loadsAtOnce_ = 1;
    double linkBytesPerSecond_ = 0;
    double pipeBytesPerSecond_ = 0;
    Tokens usualPrompt_;
    Tokens usualAnswer_;
    std::map<AcceleratorKind, AcceleratorSpec> kinds_;
    std::map<std::pair<FailureDomainId, FailureDomainId>, Duration> delays_;
};

struct TargetSpec
{
    TargetName name_;
    std::string healthPath_;
    std::uint32_t maxConnections_ = 0;
    //! Set for a target whose endpoints hold a model's layers.
    std::optional<EngineSpec> engine_;
};

struct OrganisationRule
{
    OrganisationId organisation_;
    std::vector<std::string> apiKeys_;
    //! Goes before the route's priority.
    std::optional<Priority> priority_;
};

//! What a caller may send, and for how long it may stay idle.
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
    //! Empty: callers need no key.
    std::vector<OrganisationRule> organisations_;
    CallerLimits limits_;
};

enum class ListedState : std::uint8_t { Ready, Draining };

//! An endpoint as the platform's list shows it.
struct ListedEndpoint
{
    EndpointId id_;
    TargetName target_;
    Address address_;
    FailureDomainId domain_;
    ListedState state_ = ListedState::Ready;
    std::uint32_t slots_ = 0;
    AcceleratorKind kind_;
    //! Layers that it holds; nothing while it holds none.
    std::optional<LayerRange> layers_;
    std::string model_;
    std::uint64_t modelVersion_ = 0;
    //! Start of this life in Unix milliseconds; 0 when it isn't said.
    std::uint64_t born_ = 0;
};

//! One endpoint of a path and the layers that it runs for a request.
struct PathPart
{
    EndpointId endpoint_;
    Address address_;
    LayerRange layers_;
    auto operator<=>(const PathPart &) const = default;
};
using LayerPath = std::vector<PathPart>;

} // namespace gypsumcroft
