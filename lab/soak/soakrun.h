//! One run of the soak: real gateways, faults by plan, findings.
#pragma once

#include <string>
#include <vector>

#include "soak/plan.h"

namespace gypsumcroft::lab {

struct SoakResult
{
    //! One line each.
    std::vector<std::string> findings_ = {};
    std::uint64_t requests_ = 0;
    std::uint64_t successes_ = 0;
    std::uint64_t faults_ = 0;
    std::uint64_t peakBytes_ = 0;
    //! A signal came; nothing was judged.
    bool interrupted_ = false;
};

//! Gateways' logs go to the folder, which must exist.
SoakResult runSoak(const SoakPlan &plan, const std::string &binary, const std::string &folder);

} // namespace gypsumcroft::lab
