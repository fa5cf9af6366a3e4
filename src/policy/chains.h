//! Decides how many complete copies of a model the endpoints of a failure domain should load, and
//! how much KV capacity each of them keeps beside its layers. A domain carries as many requests as
//! its layer with the least KV capacity, so a number of complete copies carries more than the same
//! layers spread unevenly.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

//! Endpoints of one accelerator kind in a failure domain.
struct KindCount
{
    AcceleratorSpec kind_;
    std::uint32_t endpoints_ = 0;
};

struct ChainPlan
{
    //! Complete copies of the model.
    std::uint32_t chains_ = 0;
    //! KV capacity in tokens that each endpoint keeps for each of its layers.
    Tokens kvTokens_;
};

//! Returns the plan with which the endpoints produce most tokens per second, or nothing if that has
//! fewer than two copies: a single one needs spare layers instead, for the loss of an endpoint.
//! minTokens is the least KV capacity that an endpoint keeps.
std::optional<ChainPlan> planChains(const EngineSpec &engine, const std::vector<KindCount> &kinds,
                                    Tokens minTokens);

//! Tokens of a request of typical size, at least 1.
double typicalRequestTokens(const EngineSpec &engine);

//! Complete copies that the endpoints can load if each keeps so much KV capacity.
std::uint32_t completeChains(const EngineSpec &engine, const std::vector<KindCount> &kinds,
                             Tokens kvTokens);

} // namespace gypsumcroft
