//! Controller of the endpoints in the platform's endpoint list.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/logline.h"
#include "core/routes.h"

namespace gypsumcroft {

struct EndpointListLimits
{
    //! Polling interval of the list; bounds how late a leaving endpoint is noticed.
    Duration pollInterval_ = std::chrono::milliseconds(1200);
    //! Grace period, after an outage of the list, in which endpoints whose listing expired during
    //! the outage are retained so that they can register again.
    Duration recoveryGracePeriod_ = std::chrono::milliseconds(2100);
    //! Time without a response after which the list counts as unavailable.
    Duration unavailableAfter_ = std::chrono::milliseconds(2500);
    //! Maximum age of the layers that the list shows for an endpoint. Within this time the
    //! endpoint's own report takes precedence.
    Duration maxListLag_ = std::chrono::milliseconds(3000);
};

//! A listed endpoint with what is known from sources other than the list.
struct KnownEndpoint
{
    ListedEndpoint listed_;
    TimePoint firstSeen_;
    //! When the newest report of loaded layers was requested from the endpoint itself.
    std::optional<TimePoint> reportRequestedAt_;
    //! When it was first missing from the list; it is retained while the list may be incomplete.
    std::optional<TimePoint> missingSince_;
};

struct EndpointListState
{
    EndpointListLimits limits_;
    std::map<EndpointId, KnownEndpoint> endpoints_;
    std::optional<TimePoint> lastResponseAt_;
    //! When the last successful poll was sent; the list is at least this recent.
    std::optional<TimePoint> confirmedAt_;
    //! The last poll failed.
    bool pollFailing_ = false;
    //! When the list became available again after an outage.
    std::optional<TimePoint> recoveredAt_;
    std::vector<LogEvent> log_;
};

//! Applies a complete list that was requested at the given time. Returns true if anything changed.
bool applyEndpointList(EndpointListState &state, const std::vector<ListedEndpoint> &listed,
                       TimePoint requestedAt, TimePoint now);

//! Returns the time of the next poll after one that was answered at now.
TimePoint nextListPoll(const EndpointListState &state, TimePoint now);

//! Notes that a poll of the list failed. Only the first of consecutive failures is logged.
void onListPollFailed(EndpointListState &state, const std::string &reason, TimePoint now);

//! Applies the loaded layers that an endpoint itself reported, in a report requested at the given
//! time. Returns true if they changed. Reports of an earlier incarnation and reports not requested
//! later than the newest known one are ignored. The incarnation is 0 if the report doesn't name it.
bool applyLoadedLayers(EndpointListState &state, const EndpointId &endpoint,
                       const std::optional<LayerRange> &layers, std::uint64_t incarnation,
                       TimePoint requestedAt);

} // namespace gypsumcroft
