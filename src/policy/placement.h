//! Decides which endpoints should load which layers of a model.
#pragma once

#include <cstdint>
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
    //! KV capacity in use by all gateways' requests, in tokens times layers.
    double kvUsed_ = 0;
    //! Requests whose path begins here.
    double begun_ = 0;
};

//! When an empty endpoint loads a further copy of layers that its failure domain has already.
enum class CopyRule : std::uint8_t {
    //! Always: before the first request a load costs little and delays nobody.
    Always,
    //! Only of layers with few copies or in a domain that is short of capacity.
    WhenNeeded,
};

//! Layers that an endpoint should load, and why. reason_ is "gap" for an empty endpoint in a
//! failure domain that lacks some layer, "copy" for an empty endpoint in a domain that has every
//! layer, and "gap-by-copy" for an endpoint whose layers have another copy in its domain, which
//! lacks some layer.
struct PlacementMove
{
    EndpointId endpoint_;
    LayerRange layers_;
    std::string reason_;
};

//! Number of layers that fit on an accelerator together with KV capacity for that many tokens in
//! each of them; 0 if not even one fits.
std::uint32_t layersThatFit(const EngineSpec &engine, const AcceleratorSpec &kind, Tokens kvTokens);

//! KV capacity in tokens to reserve on every endpoint. It is the largest with which every failure
//! domain can still load the whole model and a surplus of layers for second copies, but at most
//! enough for typical requests in all slots. It is at least enough for MinRequests typical
//! requests, even if a domain then can't load the surplus or there are fewer slots. Domains that
//! can't load the whole model even with that minimum don't limit it.
Tokens kvTokensToReserve(const EngineSpec &engine, const std::vector<PlacementNode> &nodes);

//! Returns at most limit moves towards a complete set of layers in every failure domain. Missing
//! layers go to empty endpoints first, then to endpoints whose layers have another copy in the
//! domain. Further empty endpoints load the layers with the fewest copies, as far as the rule
//! allows.
std::vector<PlacementMove> planPlacement(const EngineSpec &engine, std::vector<PlacementNode> nodes,
                                         std::size_t limit, CopyRule copies = CopyRule::Always);

} // namespace gypsumcroft
