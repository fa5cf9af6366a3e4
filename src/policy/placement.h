//! Decides which endpoints should hold which layers of a model.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

//! An endpoint as the placement sees it.
struct PlacementNode
{
    EndpointId endpoint_;
    FailureDomainId domain_;
    AcceleratorKind kind_;
    //! What it holds, or is loading after an order.
    std::optional<LayerRange> layers_;
    //! It stays and works, so that its layers count.
    bool counts_ = true;
    //! It may be given an order now.
    bool orderable_ = true;
};

struct PlacementMove
{
    EndpointId endpoint_;
    LayerRange layers_;
    std::string reason_;
};

//! Layers that an accelerator can hold so that room for so many tokens is left beside them; 0 when
//! not even one fits.
std::uint32_t layersBeside(const EngineSpec &engine, const AcceleratorSpec &kind, Tokens room);

//! Room that every endpoint should keep: the most that leaves each failure domain, if it can hold
//! the model at all, some layers more than the model has.
Tokens roomToKeep(const EngineSpec &engine, const std::vector<PlacementNode> &nodes);

//! Moves that bring every failure domain nearer to holding all layers, the fewest first: empty
//! endpoints fill gaps, then endpoints whose layers others hold as well; what is left empty holds
//! the layers with the fewest copies. At most limit moves.
std::vector<PlacementMove> planPlacement(const EngineSpec &engine, std::vector<PlacementNode> nodes,
                                         std::size_t limit);

} // namespace gypsumcroft
