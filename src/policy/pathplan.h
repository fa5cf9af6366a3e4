//! Plans the path of a request over endpoints that have loaded layers of a model.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

//! The data of an endpoint that the path planner needs.
struct PathNode
{
    EndpointId endpoint_;
    Address address_;
    FailureDomainId domain_;
    LayerRange layers_;
    double decodeFactor_ = 1;
    double prefillFactor_ = 1;
    //! Prefill time of requests dispatched there that have not produced a first token yet.
    Duration pendingPrefill_ {};
    std::uint32_t streams_ = 0;
    //! KV capacity in tokens times layers, and the part of it in use.
    double kvCapacity_ = 0;
    double kvUsed_ = 0;
    //! Requests that may begin here at once, and that do; 0 slots if there is no limit. A request
    //! takes a slot at the first endpoint of its path only.
    std::uint32_t slots_ = 0;
    double begun_ = 0;
    //! Extra cost of an endpoint that failed recently.
    Duration penalty_ {};
};

//! Requirements of the request.
struct PathDemand
{
    FailureDomainId from_;
    //! Number of tokens in the prompt.
    Tokens prompt_;
    //! Number of tokens that the response holds in the KV cache at its end.
    Tokens answer_;
    //! Whether the path may send activations from one failure domain to another.
    bool allowCrossDomain_ = true;
    //! Utilisation above which the request may not raise an endpoint's; paths below it are
    //! preferred at nearly any cost.
    double maxUtilisation_ = 1;
};

struct PlannedPath
{
    LayerPath path_;
    Duration cost_ {};
    //! Highest utilisation of the first endpoint's slots and of the path's KV capacity, including
    //! this request. 1 is full.
    double utilisation_ = 0;
    //! The same for this request alone, on endpoints without other requests.
    double ownUtilisation_ = 0;
    //! Number of hops from one failure domain to another.
    std::uint32_t crossDomainHops_ = 0;
    //! Longest prefill queued ahead of this request at an endpoint of the path.
    Duration pendingPrefill_ {};
};

//! Returns the cheapest path that runs each layer once and in order, or nothing if there is none,
//! for example because no endpoint has loaded some layer. An endpoint may run a part of its layers.
std::optional<PlannedPath> planPath(const EngineSpec &engine, const std::vector<PathNode> &nodes,
                                    const PathDemand &demand);

//! KV capacity of an accelerator that is left beside count layers, in tokens times layers.
double kvCapacity(const EngineSpec &engine, const AcceleratorSpec &kind, std::uint32_t count);

//! Time in ms of a decode step through count layers with this number of streams in the batch.
double decodeStepMs(const EngineSpec &engine, double decodeFactor, std::uint32_t count,
                    std::uint32_t streams);

//! Time to prefill a prompt through count layers.
Duration prefillTime(const EngineSpec &engine, double prefillFactor, std::uint32_t count,
                     Tokens prompt);

} // namespace gypsumcroft
