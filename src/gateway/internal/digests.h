//! Digests that the gateway's control sends. For gateway/internal/control.cpp.
#pragma once

#include "gateway/control.h"

namespace gypsumcroft::detail {

void sendTo(GatewayControl &state, std::vector<Address> recipients, GatewayDigestMessage digest);

//! Sends the own digest to the gateways of this domain, and every second time the sum over the
//! domain to the others.
void sendDigests(GatewayControl &state, TimePoint now);

//! Tells the other gateways of this domain at once what was read from the store.
void sendStoreNews(GatewayControl &state, TimePoint now);

//! Tells the other gateways at once under which traits this process saw an endpoint crash.
void sendCrashNews(GatewayControl &state, const std::vector<RequestTrait> &traits, TimePoint now);

//! Passes news on: from this domain to the others, or from another one within this one.
void relayCrashNews(GatewayControl &state, GatewayDigestMessage news, TimePoint now);

} // namespace gypsumcroft::detail
