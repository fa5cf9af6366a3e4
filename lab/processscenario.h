//! Runs a scenario file that is marked "processes" on real processes.
#pragma once

#include "processfleet.h"
#include "scenario.h"

namespace gypsumcroft::lab {

//! Verbs and expectations that only virtual time knows are findings.
ScenarioReport runOnProcesses(const Scenario &scenario, std::uint64_t seed,
                              const ProgramPaths &paths);

} // namespace gypsumcroft::lab
