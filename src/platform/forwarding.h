//! The platform's headers on requests that are handed on, and on their answers.
#pragma once

#include <string>

#include "filters/gatewaystate.h"
#include "http/relayclient.h"
#include "http/relaytypes.h"

namespace gypsumcroft::platform {

//! What a caller's request says to the gateway.
GatewayRequest decodeCallerRequest(const http::RelayRequest &request, ExchangeId exchange);

//! The request as an endpoint gets it.
http::RelayCallRequest encodeSend(const http::RelayRequest &request, const SendRequest &send);

AnswerHead decodeAnswerHead(const http::RelayHead &head);

//! A refusal of this process's own.
http::RelayHead encodeRefusal(const GatewayRequest &request, const RefuseRequest &refusal);

} // namespace gypsumcroft::platform
