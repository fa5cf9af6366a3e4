//! This gateway's share of the bandwidth for activations between failure domains, as a token
//! bucket.
#pragma once

#include <cstdint>

#include "core/routes.h"

namespace gypsumcroft {

//! Bytes that may still be sent to other failure domains, refilled at the gateway's share of the
//! bandwidth. Negative while more was charged than was available.
struct CrossDomainBudget
{
    double bytes_ = 0;
    TimePoint filledAt_;
};

//! Refills the budget; true if another path with cross-domain hops can be dispatched.
bool hasCrossDomainBudget(CrossDomainBudget &budget, const EngineSpec &engine,
                          std::uint32_t gatewayCount, TimePoint now);

//! Charges the activations that a path's tokens send over its cross-domain hops.
void chargeCrossDomainHops(CrossDomainBudget &budget, const EngineSpec &engine,
                           std::uint32_t crossDomainHops, Tokens tokens);

} // namespace gypsumcroft
