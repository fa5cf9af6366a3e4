//! Judges a run by the stand-ins' records and what callers heard; knows nothing of the cores.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/findings.h"
#include "evidence.h"

namespace gypsumcroft::lab {

//! No key took effect twice, a "done" did take effect, and all "done" of a key agree.
void judgeAtMostOnce(const Evidence &evidence, const std::string &place, Findings &failures);

//! Requests that only ever heard "not-run" show no effect and no layer run.
void judgeNotRun(const Evidence &evidence, const std::string &place, Findings &failures);

//! Every whole answer equals an undisturbed run's; no layer ran twice for a position of one epoch;
//! every delivered token has a lineage of all layers in order.
void judgeAnswers(const Evidence &evidence, std::uint32_t layers, const std::string &place,
                  Findings &failures);

//! Every request has an ending.
void judgeEnded(const Evidence &evidence, const std::string &place, Findings &failures);

//! No request was cut or ended unknown.
void judgeNoneCut(const Evidence &evidence, const std::string &place, Findings &failures);

} // namespace gypsumcroft::lab
