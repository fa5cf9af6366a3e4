//! Explains where a request would go now, and why. Nothing is sent, counted or kept.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "filters/candidates.h"
#include "filters/gatewaystate.h"

namespace gypsumcroft {

//! What an operator asks about.
struct RouteQuestion
{
    GatewayRequest request_;
    //! Stands for a key of this organisation where the request has none.
    std::optional<OrganisationId> organisation_;
};

enum class RouteOutcome : std::uint8_t {
    //! The request would be sent at once.
    Dispatched,
    //! It would wait for capacity.
    Queued,
    //! It would wait until the desired state is confirmed.
    Held,
    Refused,
};

std::string_view routeOutcomeName(RouteOutcome outcome);

struct RouteExplanation
{
    RouteOutcome outcome_ = RouteOutcome::Refused;
    //! Filter that decided.
    std::string decidedBy_;
    //! Set if the request would be refused.
    GatewayRefusal refusal_ = GatewayRefusal::Unready;
    std::string reason_;
    Duration retryAfter_ {};

    ConfigVersion configVersion_;
    //! Time since the desired state and the endpoint list were confirmed.
    std::optional<Duration> configAge_;
    std::optional<Duration> listAge_;

    //! Empty where the chain ended before it was known.
    std::string route_;
    std::string organisation_;
    TargetName target_;
    Priority priority_;
    Rank rank_ = Rank::Standard;
    Tokens expectedOutput_;

    //! Work that waits at this gateway, in tokens, by rank.
    std::array<Tokens, RankCount> waiting_ {};
    //! Of the whole fleet; zero while unknown.
    WaitEstimate expectedWait_;
    Duration queueTimeout_ {};

    //! Cheapest path of a model request, if there is any, and the utilisation up to which the
    //! request may raise it.
    std::optional<PlannedPath> plan_;
    double utilisationLimit_ = 1;
    std::vector<Candidate> candidates_;
};

//! state is a copy, on which the filters run.
RouteExplanation explainRoute(GatewayTraffic state, const GatewayView &view, RouteQuestion question,
                              TimePoint now);

} // namespace gypsumcroft
