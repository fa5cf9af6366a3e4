//! Controller of the endpoints in the platform's endpoint list.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/logline.h"
#include "core/messages.h"
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
    //! Time for which digests name an endpoint that told this process that it is leaving.
    Duration reportLeavingFor_ = std::chrono::seconds(10);
    //! Time after which it is forgotten that an endpoint is leaving; it has long stopped then.
    Duration forgetLeavingAfter_ = std::chrono::minutes(10);
};

//! An endpoint that is leaving by its own word or by that of another gateway.
struct LeavingEndpoint
{
    std::uint64_t incarnation_ = 0;
    TimePoint since_;
    //! The endpoint told this process.
    bool firstHand_ = false;
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
    //! It asked for no requests until then.
    TimePoint pausedUntil_;
};

struct EndpointListState
{
    EndpointListLimits limits_;
    std::map<EndpointId, KnownEndpoint> endpoints_;
    //! Kept apart from the listed endpoints: an entry that expires and comes back in the same
    //! incarnation is still leaving.
    std::map<EndpointId, LeavingEndpoint> leaving_;
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

//! Marks an incarnation of an endpoint as leaving: from then on it counts as draining, whatever the
//! list shows. Returns true if that is news of a listed endpoint.
bool markLeaving(EndpointListState &state, const EndpointId &endpoint, std::uint64_t incarnation,
                 bool firstHand, TimePoint now);

//! Endpoints to name as leaving in the next digest.
std::vector<LeavingEndpointReport> leavingToReport(const EndpointListState &state, TimePoint now);

//! Notes that an incarnation of an endpoint wants no requests until the given time.
void markPaused(EndpointListState &state, const EndpointId &endpoint, std::uint64_t incarnation,
                TimePoint until);

bool isPaused(const EndpointListState &state, const EndpointId &endpoint, TimePoint now);

} // namespace gypsumcroft
