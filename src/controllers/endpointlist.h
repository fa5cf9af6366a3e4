//! Controller of the endpoints that the platform lists.
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
    //! Time between two readings; leaving endpoints are known within it.
    Duration readInterval_ = std::chrono::milliseconds(1200);
    //! After the list was away, entries that have lapsed get this long to come back.
    Duration returnTime_ = std::chrono::milliseconds(2100);
    //! The list counts as away after so long without an answer.
    Duration awayAfter_ = std::chrono::milliseconds(2500);
    //! The list may show an endpoint's layers as they were so long ago; its own word goes before
    //! it.
    Duration listLag_ = std::chrono::milliseconds(3000);
};

//! One endpoint with what was learnt besides the list.
struct KnownEndpoint
{
    ListedEndpoint listed_;
    TimePoint firstSeen_;
    //! Layers that the endpoint itself reported later than the list's answer was asked for.
    std::optional<TimePoint> reportedAt_;
    //! Missing from the list since; kept while the list may be incomplete.
    std::optional<TimePoint> missingSince_;
};

struct EndpointListState
{
    EndpointListLimits limits_;
    std::map<EndpointId, KnownEndpoint> endpoints_;
    std::optional<TimePoint> answeredAt_;
    //! What is known of the list was asked for at this time.
    std::optional<TimePoint> confirmedAt_;
    //! The last reading failed.
    bool failing_ = false;
    //! The list came back from an absence at this time.
    std::optional<TimePoint> returnedAt_;
    std::vector<LogEvent> log_;
};

//! Takes in the whole list as it was when it was asked for. True if anything changed.
bool applyEndpointList(EndpointListState &state, const std::vector<ListedEndpoint> &listed,
                       TimePoint asked, TimePoint now);

//! When the list is to be read next, after the reading that was answered last.
TimePoint nextListReading(const EndpointListState &state, TimePoint now);

//! A reading of the list failed; logged once until one succeeds.
void noteListFailure(EndpointListState &state, const std::string &reason, TimePoint now);

//! An endpoint said itself what it holds, at asked or later. True if that is news.
bool applyHeldLayers(EndpointListState &state, const EndpointId &endpoint,
                     const std::optional<LayerRange> &layers, std::uint64_t born, TimePoint asked);

} // namespace gypsumcroft
