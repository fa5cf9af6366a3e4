//! Decodes the platform's JSON documents into the core and controller types, and encodes placement
//! orders.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "controllers/placement.h"
#include "core/result.h"
#include "core/routes.h"

namespace gypsumcroft::platform {

//! Decodes the operator's desired state. On failure, lastReason_ names the first member that is
//! missing or has a wrong type or value.
Result<DesiredState> decodeDesiredState(std::string_view text);

//! Decodes a server's entry in the platform's list. Fails when a required member is missing or
//! malformed, or when "State" is neither "ready" nor "draining".
Result<ListedEndpoint> decodeListedEndpoint(const std::string &id, std::string_view text);

//! Decodes a model server's response to GET /report.
Result<EndpointStatusReport> decodeServerReport(std::string_view text);

//! Body of a load order to load these layers. The server carries it out only if the number of
//! orders that it has accepted since its start equals expected.
std::string encodeLoadOrder(const LayerRange &layers, OrderCount expected);

//! Maps the HTTP status of the response to a load order.
OrderOutcome toOrderOutcome(std::uint16_t status);

} // namespace gypsumcroft::platform
