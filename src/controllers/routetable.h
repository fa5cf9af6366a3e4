//! Controller of the desired state that a gateway routes by.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/routes.h"

namespace gypsumcroft {

//! A desired state with indexes for the questions of traffic.
struct RouteTable
{
    DesiredState state_;
    //! Indexes of routes by host and path prefix, joined by a line feed.
    std::unordered_map<std::string, std::size_t> byPrefix_;
    //! Indexes of organisations by API key.
    std::unordered_map<std::string, std::size_t> byKey_;
    std::unordered_map<TargetName, std::size_t> byTarget_;
};

std::shared_ptr<const RouteTable> buildRouteTable(DesiredState state);

//! The route with the longest prefix of the path on that host; nothing if there is none.
const RouteRule *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

//! The organisation that holds an API key; nothing if none does.
const OrganisationRule *findOrganisation(const RouteTable &table, const std::string &apiKey);

const TargetSpec *findTarget(const RouteTable &table, const TargetName &target);

//! What is in force and how fresh it is.
struct RouteTableState
{
    std::shared_ptr<const RouteTable> table_;
    TimePoint changedAt_;
    //! When the platform was asked last among the questions that it has answered: at that time no
    //! later state had been accepted than the one in force.
    std::optional<TimePoint> confirmedAt_;
};

//! Takes a state up if it is newer than the one in force; true if it is.
bool applyDesiredState(RouteTableState &state, DesiredState desired, TimePoint now);

//! The platform confirmed at asked that nothing newer exists.
void confirmDesiredState(RouteTableState &state, TimePoint asked);

//! Time since the last confirmation; nothing while there was none.
std::optional<Duration> ageOf(const RouteTableState &state, TimePoint now);

} // namespace gypsumcroft
