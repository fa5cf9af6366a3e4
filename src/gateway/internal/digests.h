//! Digests that the gateway's control sends. For gateway/internal/control.cpp.
#pragma once

#include "gateway/control.h"

namespace gypsumcroft::detail {

//! Digest of this gateway, with the next sequence number.
GatewayDigestMessage makeDigest(GatewayControl &state, TimePoint now);

void sendTo(GatewayControl &state, std::vector<Address> recipients, GatewayDigestMessage digest);

//! Sends the sum over this domain to the other domains, if this process speaks for it.
void sendDomainDigest(GatewayControl &state, const GatewayDigestMessage &own, TimePoint now);

//! Sends the own digest to the gateways of this domain, and every second time the sum over the
//! domain to the others.
void sendDigests(GatewayControl &state, TimePoint now);

//! Tells the other gateways of this domain at once what was read from the store.
void sendStoreNews(GatewayControl &state, TimePoint now);

//! Tells the other gateways at once of a crash that this process saw.
void sendCrashNews(GatewayControl &state, TimePoint now);

} // namespace gypsumcroft::detail
