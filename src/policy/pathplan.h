//! Plans the path of one request over endpoints that hold layers of a model.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

//! An endpoint as the path planner sees it.
struct PathNode
{
    EndpointId endpoint_;
    Address address_;
    FailureDomainId domain_;
    LayerRange layers_;
    double stepFactor_ = 1;
    double readFactor_ = 1;
    //! Prompt reading that was sent there and has not brought a first token yet.
    Duration readingAhead_ {};
    std::uint32_t streams_ = 0;
    //! Room for requests in tokens times layers, and the part of it that is taken.
    double room_ = 0;
    double taken_ = 0;
    //! Extra cost of an endpoint that failed lately.
    Duration penalty_ {};
};

//! What a path has to carry.
struct PathDemand
{
    FailureDomainId from_;
    Tokens prompt_;
    Tokens answer_;
    //! The path may hand activations from one failure domain to another.
    bool mayCross_ = true;
};

struct PlannedPath
{
    LayerPath path_;
    Duration cost_ {};
    //! Greatest share of an endpoint's room that is taken with this request.
    double fill_ = 0;
    //! Hops from one failure domain to another.
    std::uint32_t crossings_ = 0;
    //! Longest reading that stands before this request's at an endpoint of the path.
    Duration readingAhead_ {};
};

//! The cheapest path that runs every layer once and in order; nothing if some layer is held
//! nowhere. Endpoints may run a part of what they hold.
std::optional<PlannedPath> planPath(const EngineSpec &engine, const std::vector<PathNode> &nodes,
                                    const PathDemand &demand);

//! Room for requests beside count layers on an accelerator, in tokens times layers.
double requestRoom(const EngineSpec &engine, const AcceleratorSpec &kind, std::uint32_t count);

//! Time to read a prompt through count layers.
Duration readTime(const EngineSpec &engine, double readFactor, std::uint32_t count, Tokens prompt);

} // namespace gypsumcroft
