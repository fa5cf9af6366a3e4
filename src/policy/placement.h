//! Decides which endpoints should load which layers of a model.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

//! The data of an endpoint that the placement needs.
struct PlacementNode
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    AcceleratorKind kind_;
    //! Layers that are loaded, or being loaded after a load order.
    std::optional<LayerRange> layers_;
    //! It is working and not about to leave; only then its layers count as available copies.
    bool available_ = true;
    //! It may be sent a load order now.
    bool assignable_ = true;
};

struct PlacementMove
{
    EndpointId endpoint_;
    LayerRange layers_;
    std::string reason_;
};

//! Number of layers that fit on an accelerator together with KV capacity for that many tokens in
//! each of them; 0 if not even one fits.
std::uint32_t layersThatFit(const EngineSpec &engine, const AcceleratorSpec &kind, Tokens kvTokens);

//! KV capacity in tokens to reserve on every endpoint, at most for typical requests in all slots:
//! the largest at which the endpoints of each failure domain can still load some layers more than
//! the model has. Domains that can't load the whole model don't limit it.
Tokens kvTokensToReserve(const EngineSpec &engine, const std::vector<PlacementNode> &nodes);

//! Returns at most limit moves towards a complete set of layers in every failure domain. Missing
//! layers go to empty endpoints first, then to endpoints whose layers have another copy in the
//! domain. Further empty endpoints load the layers with the fewest copies.
std::vector<PlacementMove> planPlacement(const EngineSpec &engine, std::vector<PlacementNode> nodes,
                                         std::size_t limit);

} // namespace gypsumcroft
