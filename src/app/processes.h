//! The daemons.
#pragma once

#include "documents/gatewaysettings.h"
#include "documents/settings.h"

namespace gypsumcroft {

//! Runs an entry until it is told to stop; returns the process's exit code.
int runEntry(const ProcessSettings &settings);

//! Runs an agent until it is told to stop; returns the process's exit code.
int runAgent(const ProcessSettings &settings);

//! Runs a gateway until it is told to stop; returns the process's exit code.
int runGateway(const GatewaySettings &settings);

} // namespace gypsumcroft
