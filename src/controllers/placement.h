//! Placement controller: plans which endpoint loads which layers and sends the load orders.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "controllers/endpointlist.h"
#include "controllers/probes.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/routes.h"

namespace gypsumcroft {

//! Number of load orders that an endpoint has accepted in its current incarnation. An order carries
//! the number that it expects, so that the endpoint rejects an order that arrives late.
using OrderCount = StrongType<struct OrderCountTag, std::uint64_t>;

//! Effect: send an endpoint the order to load these layers.
struct SendLoadOrder
{
    EndpointId endpoint_;
    Address address_;
    LayerRange layers_;
    OrderCount expectedOrders_;
};

using PlacementEffect = std::variant<RequestStatusReport, SendLoadOrder, LogEvent>;

//! What a model server reports about itself when a gateway queries it. An EndpointReport is what an
//! endpoint reports to its agent.
struct EndpointStatusReport
{
    OrderCount acceptedOrders_;
    bool busy_ = false;
    std::optional<LayerRange> layers_;
    std::uint64_t incarnation_ = 0;
    //! Factor by which the endpoint is slower than usual for its kind, as reported: it may be any
    //! number, or NaN for something else than a number. Empty if the report has none.
    std::optional<double> pace_ {};
};

enum class OrderOutcome : std::uint8_t {
    //! The endpoint has started to load the layers.
    Started,
    //! The endpoint has already loaded the layers.
    AlreadyLoaded,
    //! The endpoint has accepted another number of orders than expected.
    Conflict,
    Refused,
    //! No response: the order may have been executed, or may be later.
    Unknown,
};

struct PlacementLimits
{
    //! Timeout of a report request or an order, and interval between report requests while a load
    //! is in progress.
    Duration requestTimeout_ = std::chrono::milliseconds(500);
    //! Minimum time between two plans.
    Duration planInterval_ = std::chrono::milliseconds(100);
    //! Time for which an endpoint gets no new order after a failed report request, order or load.
    Duration failureBackoff_ = std::chrono::milliseconds(1500);
    //! While no endpoint has loaded layers, the first plan waits until no new endpoint has been
    //! listed for this long, so that it covers all of them.
    Duration settleTime_ = std::chrono::milliseconds(1500);
    //! Upper bound of that wait, from the time when the first endpoint was listed.
    Duration maxFirstPlanDelay_ = std::chrono::milliseconds(4000);
};

enum class PlacementPhase : std::uint8_t {
    Idle,
    AwaitingReport,
    Ready,
    AwaitingOrderResponse,
    Loading
};

//! Progress of one endpoint towards the layers that the plan assigns to it.
struct PlacementStep
{
    PlacementPhase phase_ = PlacementPhase::Idle;
    LayerRange targetLayers_;
    std::string reason_;
    OrderCount acceptedOrders_;
    //! Start of the phase, or time of the last report request in it.
    TimePoint lastActionAt_;
    //! From then on reports are requested to see whether the load has finished or failed.
    TimePoint checkAfter_;
    //! Until then other lease holders wait for the load.
    TimePoint expectedEnd_;
    //! No new order before this time, after a failure.
    TimePoint backoffUntil_;
};

//! A load that another lease holder has started.
struct PeerMove
{
    LayerRange layers_;
    TimePoint expectedEnd_;
};

struct PlacementState
{
    PlacementLimits limits_;
    std::map<EndpointId, PlacementStep> steps_;
    std::map<EndpointId, PeerMove> peerMoves_;
    TimePoint lastPlanAt_;
    std::vector<PlacementEffect> effects_;
};

//! What placement knows of the endpoints beside their list.
struct FleetUse
{
    //! Endpoints that don't respond, see lostEndpoints(); their layers count as missing.
    std::set<EndpointId> lost_;
    //! Load of all gateways' requests.
    std::unordered_map<EndpointId, EndpointLoad> loads_;
    //! A gateway has dispatched a request since this process started.
    bool hasTraffic_ = false;
};

//! Advances all steps and plans new ones. To be called only while this process holds the lease.
void tickPlacement(PlacementState &state, const EngineSpec &engine, const TargetName &target,
                   const EndpointListState &list, const FleetUse &use, TimePoint now);

//! Drops all steps but those whose order was already sent, because this process no longer holds the
//! lease.
void stopPlacement(PlacementState &state);

//! Loads that this process has started and that may still run; reported to the other gateways, so
//! that a later lease holder waits for them.
std::vector<LayerMoveReport> movesInProgress(const PlacementState &state, TimePoint now);

//! Applies loads that another process has started. Their endpoints get no orders until the loads
//! should have finished.
void applyPeerMoves(PlacementState &state, const std::vector<LayerMoveReport> &moves,
                    TimePoint now);

//! Handles the result of a report request; report is empty if the endpoint did not respond.
void onEndpointReport(PlacementState &state, const EndpointId &endpoint,
                      const std::optional<EndpointStatusReport> &report, TimePoint now);

void onOrderOutcome(PlacementState &state, const EngineSpec &engine, const EndpointId &endpoint,
                    OrderOutcome outcome, TimePoint now);

} // namespace gypsumcroft
