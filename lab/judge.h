//! Judges a run by the stand-ins' records and what callers heard; knows nothing of the cores.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/findings.h"
#include "fleet.h"

namespace gypsumcroft::lab {

//! No key took effect twice, a "done" did take effect, and all "done" of a key agree.
void judgeAtMostOnce(const Fleet &fleet, const std::string &place, Findings &failures);

//! Requests that only ever heard "not-run" show no effect and no layer run.
void judgeNotRun(const Fleet &fleet, const std::string &place, Findings &failures);

//! Every whole answer equals an undisturbed run's; no layer ran twice for a position of one epoch;
//! every delivered token has a lineage of all layers in order.
void judgeAnswers(const Fleet &fleet, std::uint32_t layers, const std::string &place,
                  Findings &failures);

//! Every request has an ending.
void judgeEnded(const Fleet &fleet, const std::string &place, Findings &failures);

//! No request was cut or ended unknown.
void judgeNoneCut(const Fleet &fleet, const std::string &place, Findings &failures);

//! Effects per body over all services.
std::map<std::string, std::uint32_t> effectsOf(const Fleet &fleet);

} // namespace gypsumcroft::lab
