//! Controller of who holds which layers: plans moves and carries them out order by order.
#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "controllers/endpointlist.h"
#include "controllers/probes.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/routes.h"

namespace gypsumcroft {

//! Number of orders that an endpoint has accepted in this life; an order names it, so that one
//! that is carried out late changes nothing.
using OrderCount = StrongType<struct OrderCountTag, std::uint64_t>;

struct OrderLayers
{
    EndpointId endpoint_;
    Address address_;
    LayerRange layers_;
    OrderCount expected_;
};

using PlacingEffect = std::variant<AskEndpoint, OrderLayers, LogEvent>;

//! What an endpoint says of itself.
struct EndpointReportFacts
{
    OrderCount orders_;
    bool busy_ = false;
    std::optional<LayerRange> layers_;
    std::uint64_t born_ = 0;
};

enum class OrderOutcome : std::uint8_t {
    Begun,
    //! It holds already what the order says.
    Holds,
    //! The endpoint's state is another than expected.
    Conflict,
    Refused,
    //! No answer: it may be carried out, also later.
    Unknown,
};

struct PlacingLimits
{
    //! An endpoint is asked again after this time without news.
    Duration askAgainAfter_ = std::chrono::milliseconds(500);
    //! Plans are made at least this far apart.
    Duration planEvery_ = std::chrono::milliseconds(100);
    //! An endpoint that failed a question or an order is left alone for this time.
    Duration restAfterFailure_ = std::chrono::milliseconds(1500);
    //! The first plan waits until no new endpoint has been listed for so long, so that it is made
    //! for all of them, but no longer than firstPlanWithin_.
    Duration quietBeforePlan_ = std::chrono::milliseconds(1500);
    Duration firstPlanWithin_ = std::chrono::milliseconds(4000);
};

enum class PlacingPhase : std::uint8_t { Idle, Asking, Ready, Ordering, Loading };

//! The way of one endpoint to the layers that the plan gives it.
struct PlacingStep
{
    PlacingPhase phase_ = PlacingPhase::Idle;
    LayerRange goal_;
    std::string reason_;
    OrderCount orders_;
    TimePoint since_;
    //! When the load should be over.
    TimePoint dueAt_;
    //! When it is over unless something went wrong.
    TimePoint endsBy_;
    TimePoint restUntil_;
};

//! A load that another holder of the lease has begun.
struct AnnouncedMove
{
    LayerRange layers_;
    TimePoint until_;
};

struct PlacingState
{
    PlacingLimits limits_;
    std::map<EndpointId, PlacingStep> steps_;
    std::map<EndpointId, AnnouncedMove> announced_;
    TimePoint plannedAt_;
    std::vector<PlacingEffect> effects_;
};

//! Plans and goes on with steps; only while this process holds the lease. Lost endpoints don't
//! count for what they hold.
void tickPlacing(PlacingState &state, const EngineSpec &engine, const TargetName &target,
                 const EndpointListState &list, const std::set<EndpointId> &lost, TimePoint now);

//! Another process holds the lease now: what has not been ordered yet is forgotten.
void stopPlacing(PlacingState &state);

//! Loads that this process has begun, for the holders after it.
std::vector<MoveReport> movesUnderWay(const PlacingState &state, TimePoint now);

//! Another process has begun loads. Its endpoints are left alone until they should be over.
void announceMoves(PlacingState &state, const std::vector<MoveReport> &moves, TimePoint now);

void onEndpointReport(PlacingState &state, const EndpointId &endpoint,
                      const std::optional<EndpointReportFacts> &report, TimePoint now);

void onOrderOutcome(PlacingState &state, const EngineSpec &engine, const EndpointId &endpoint,
                    OrderOutcome outcome, TimePoint now);

} // namespace gypsumcroft
