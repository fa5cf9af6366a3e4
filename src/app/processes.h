//! The daemons.
#pragma once

#include <functional>

#include "documents/gatewaysettings.h"
#include "documents/settings.h"

namespace gypsumcroft {

//! Runs an entry until it is told to stop; returns the process's exit code.
int runEntry(const ProcessSettings &settings);

//! Runs an agent until it is told to stop; returns the process's exit code.
int runAgent(const ProcessSettings &settings);

//! Reads the settings file again. Returns nullopt if there is any finding.
using SettingsLoader = std::function<std::optional<GatewaySettings>(Findings &)>;

//! Runs a gateway until it is told to stop; returns the process's exit code. It loads its settings
//! again on SIGHUP and keeps the old ones if the new ones have findings.
int runGateway(const GatewaySettings &settings, SettingsLoader load);

} // namespace gypsumcroft
