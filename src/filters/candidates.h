//! The endpoints that a request may go to as this gateway sees them, for operators.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "filters/gatewaystate.h"

namespace gypsumcroft {

//! One endpoint of a request's target.
struct Candidate
{
    ListedEndpoint listed_;
    //! Why it gets no requests now; empty if it may.
    std::string ruledOut_;
    //! Time of a step relative to the usual one of its kind; 1 unless it is slow.
    double slowdown_ = 1;
    //! Load by all gateways.
    std::uint32_t streams_ = 0;
    std::uint32_t calls_ = 0;
    double begun_ = 0;
    Duration pendingPrefill_ {};
    //! KV cache in tokens times layers; capacity 0 for plain services and without layers.
    double kvUsed_ = 0;
    double kvCapacity_ = 0;
    //! Added to the cost of paths because the endpoint failed lately.
    Duration penalty_ {};
};

//! All endpoints of the request's target, in the order of the list.
std::vector<Candidate> candidatesOf(const GatewayContext &context, const GatewayView &view,
                                    GatewayTraffic &state, TimePoint now);

//! Highest utilisation of a path to which the request may raise it now.
double utilisationLimitOf(const GatewayContext &context, const GatewayView &view,
                          const GatewayTraffic &state, TimePoint now);

} // namespace gypsumcroft
