//! Decodes the platform's JSON documents into the project's own types, and encodes orders.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "controllers/placing.h"
#include "core/result.h"
#include "core/routes.h"

namespace gypsumcroft::platform {

//! Reads the operator's desired state. The reason names the first member that does not fit.
Result<DesiredState> decodeDesiredState(std::string_view text);

//! Reads a server's entry; the reason when it names no server to use.
Result<ListedEndpoint> decodeServerEntry(const std::string &id, std::string_view text);

//! Reads what a model server says of itself.
Result<EndpointReportFacts> decodeServerReport(std::string_view text);

//! Body of an order to hold these layers.
std::string encodePlaceOrder(const LayerRange &layers, OrderCount expected);

//! What the status of an answer to an order means.
OrderOutcome orderOutcomeOf(std::uint16_t status);

} // namespace gypsumcroft::platform
