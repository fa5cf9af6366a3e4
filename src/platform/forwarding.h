//! Decodes and encodes the platform's HTTP headers of forwarded requests and their responses.
#pragma once

#include <string>

#include "filters/gatewaystate.h"
#include "http/relayclient.h"
#include "http/relaytypes.h"

namespace gypsumcroft::platform {

//! Decodes the parts of a caller's request that the gateway decides on.
GatewayRequest decodeCallerRequest(const http::RelayRequest &request, ExchangeId exchange);

//! Encodes a caller's request for an endpoint: the caller's hop-by-hop headers and those that only
//! the gateway may set are removed, and the gateway's own headers are added.
http::RelayCallRequest encodeEndpointRequest(const http::RelayRequest &request,
                                             const DispatchRequest &dispatch);

//! Decodes the status and the platform's headers of an endpoint's response.
EndpointResponseHead decodeResponseHead(const http::ResponseHead &head);

//! Decodes what a server says about further requests in a response with the given status.
EndpointNotice decodeEndpointNotice(std::uint16_t status, const http::HeaderList &headers);

//! Encodes the response head for a request that this process refuses.
http::ResponseHead encodeRefusalHead(const GatewayRequest &request, const RefuseRequest &refusal);

} // namespace gypsumcroft::platform
