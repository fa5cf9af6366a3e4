//! Controller of the desired state that a gateway uses for routing.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/routes.h"
#include "policy/rankroom.h"

namespace gypsumcroft {

//! A desired state with indexes for lookups by the traffic threads.
struct RouteTable
{
    DesiredState state_;
    //! Indexes of routes by host and path prefix, joined by a line feed.
    std::unordered_map<std::string, std::size_t> byPrefix_;
    //! Indexes of organisations by API key.
    std::unordered_map<std::string, std::size_t> byApiKey_;
    std::unordered_map<TargetName, std::size_t> byTarget_;
    //! Ranks of the routes to each target.
    std::unordered_map<TargetName, RanksPresent> ranks_;
};

std::shared_ptr<const RouteTable> buildRouteTable(DesiredState state);

//! Returns the route of the host with the longest prefix of the path, or null.
const RouteRule *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

//! Returns the organisation that owns an API key, or null.
const OrganisationRule *findOrganisation(const RouteTable &table, const std::string &apiKey);

const TargetSpec *findTarget(const RouteTable &table, const TargetName &target);

//! Ranks of the routes to a target; none for an unknown target.
RanksPresent ranksOfTarget(const RouteTable &table, const TargetName &target);

//! The active desired state and when it was last known to be the newest one.
struct RouteTableState
{
    std::shared_ptr<const RouteTable> table_;
    TimePoint changedAt_;
    //! When the newest request that the platform has answered was sent: at that time the platform
    //! had accepted no later state than the active one.
    std::optional<TimePoint> confirmedAt_;
};

//! Makes a state the active one if its version is newer; returns whether it did.
bool applyDesiredState(RouteTableState &state, DesiredState desired, TimePoint now);

//! Notes that no newer state existed at the given time.
void confirmDesiredState(RouteTableState &state, TimePoint requestedAt);

//! Returns the time since the last confirmation, or nothing if there was none yet.
std::optional<Duration> desiredStateAge(const RouteTableState &state, TimePoint now);

} // namespace gypsumcroft
