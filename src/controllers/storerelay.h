//! Controller of reading the platform's store on behalf of others. In each failure domain one
//! gateway reads; the others take the desired state's confirmation and the endpoint list from its
//! digests. Who reads follows from the members that each knows; when a reader falls silent or
//! can't reach the store, the next ones in rank read for themselves.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "controllers/endpointlist.h"
#include "core/messages.h"

namespace gypsumcroft {

struct StoreRelayLimits
{
    //! Age of what is known at which a gateway of the next rank asks the store itself. Leaves time
    //! within the platform's shortest bound, two seconds, for its own request and for telling the
    //! others.
    Duration takeOverAfter_ = std::chrono::milliseconds(1500);
    //! Additional age for each further rank up to lastStep_, longer than a control tick and a read:
    //! the next one asks only if the one before it failed as well.
    Duration takeOverStep_ = std::chrono::milliseconds(120);
    std::size_t lastStep_ = 2;
    //! Additional age for each rank after that, so that not all ask at the same moment.
    Duration takeOverSpread_ = std::chrono::milliseconds(2);
    //! Time for which a gateway goes on reading after it took over.
    Duration readOnFor_ = std::chrono::seconds(5);
    //! Interval of reads by a gateway that others listen to.
    Duration sharedInterval_ = std::chrono::milliseconds(800);
    //! Interval of reads by a gateway that reads for itself only.
    Duration ownInterval_ = std::chrono::milliseconds(1200);
    //! The same for waiting reads of the desired state.
    Duration ownConfigWait_ = std::chrono::milliseconds(1400);
    //! Time that a read may take without shortening the pause after it.
    Duration quickRead_ = std::chrono::milliseconds(100);
    //! Least interval of reads by a gateway that lacks something in the news of others, and, for
    //! the desired state, the same as a part of the time within which it has to take effect: of
    //! states in quick succession each gateway reads some only. A list is needed before each
    //! dispatch.
    Duration minInterval_ = std::chrono::milliseconds(300);
    double minIntervalPart_ = 0.25;
    //! Time after which a read without any end is given up; longer than all its timeouts.
    Duration lostAfter_ = std::chrono::seconds(20);
    //! Time for which a gateway that can't derive a newer list waits for other news before it reads
    //! the list itself: two readers tell of the same change from different lists.
    Duration listBehindWait_ = std::chrono::milliseconds(500);
    //! Pause after a failed read. It doubles with each failure up to a bound, which is low for the
    //! gateways that read for others: while the store fails, these few go on asking.
    Duration retryDelay_ = std::chrono::milliseconds(150);
    Duration maxReaderRetryDelay_ = std::chrono::milliseconds(300);
    Duration maxRetryDelay_ = std::chrono::milliseconds(2400);
    //! Gateways of a domain that count as its readers here.
    std::size_t readers_ = 2;
    //! Time for which digests tell what was read.
    Duration newsFor_ = std::chrono::seconds(3);
    //! Size of the changes of the list that digests carry, in whole entries; recipients read more
    //! for themselves.
    std::size_t maxChanges_ = 128;
    //! Time for which digests carry a change of the list. The newest one is carried for as long as
    //! it has few entries: a whole list that all readers repeated filled the links of small
    //! machines for good after a common restart.
    Duration changesFor_ = std::chrono::seconds(2);
    std::size_t maxLastingChanges_ = 16;
};

//! Read of one thing: the desired state or the endpoint list.
struct StoreRead
{
    bool inFlight_ = false;
    TimePoint sentAt_;
    //! Time for which the store may hold the read in flight back.
    Duration wait_ {};
    //! The last read failed for a reason that lies with the platform, and nothing has been
    //! confirmed since.
    bool failed_ = false;
    //! Failures since the last success.
    std::uint32_t failures_ = 0;
    //! Earliest time of the next read.
    TimePoint nextAt_;
    //! When the newest successful read of this process was sent.
    std::optional<TimePoint> confirmedAt_;
    //! Another gateway has newer content than this process, which reads it at that time unless
    //! news brings it before.
    std::optional<TimePoint> behindUntil_;
    //! Latest time at which the platform told another gateway the newer content.
    std::optional<TimePoint> newerToldAt_;
    //! Until then this process reads because it took over.
    TimePoint readOnUntil_;
};

//! Clock reading in the newest digest of a gateway.
struct HeardClock
{
    Duration sentAt_ {};
    TimePoint receivedAt_;
    //! Least difference between the own clock at the arrival of a digest and its sender's clock.
    Duration leastOffset_ {};
};

//! A change of the list and when it was read.
struct ListChange
{
    EndpointListChanges changes_;
    TimePoint readAt_;
};

struct StoreRelayState
{
    StoreRelayLimits limits_;
    StoreRead config_;
    StoreRead list_;
    //! The newest list, read or relayed, as the platform shows it.
    std::map<EndpointId, ListedEndpoint> listed_;
    std::uint64_t listHash_ = 0;
    LogOffset listOffset_;
    //! How the last reads changed the list, the newest at the end.
    std::vector<ListChange> listChanges_;
    std::map<Address, HeardClock> clocks_;
};

//! Place of this process among the gateways that may read for each other.
struct ReaderRole
{
    //! Number of gateways that go before this one.
    std::size_t rank_ = 0;
    //! Others may listen.
    bool hasListeners_ = false;
};

//! True if this process should read now, given how old its knowledge is. Marks the read as sent.
bool takeDueRead(StoreRead &read, const StoreRelayLimits &limits, const ReaderRole &role,
                 std::optional<Duration> age, TimePoint now);

//! Handles a successful read that confirms what was true at the given time. The next one is due
//! after the interval, or sooner if this one took long, so that what is known doesn't get older
//! meanwhile than with quick reads.
void onReadAnswered(StoreRead &read, const StoreRelayLimits &limits, TimePoint requestedAt,
                    Duration interval, TimePoint now);

void onReadFailed(StoreRead &read, const StoreRelayLimits &limits, const ReaderRole &role,
                  TimePoint now);

//! Least interval of reads of a state that has to take effect within the given time.
Duration minReadInterval(const StoreRelayLimits &limits, Duration inForceWithin);

//! Notes a list that this process read. Returns false if a newer one is known.
bool noteListRead(StoreRelayState &state, const std::vector<ListedEndpoint> &listed,
                  LogOffset offset, TimePoint now);

//! Notes the clock reading of a digest, for the echo to its sender. Returns how much longer this
//! digest took to arrive and be handled than the fastest one of its sender.
Duration noteClock(StoreRelayState &state, const GatewayDigestMessage &digest, TimePoint now);

//! What this process has read lately, or nothing. Of the changes of the list it has the newest
//! ones, with at most the given number of entries.
std::optional<StoreNews> storeNews(const StoreRelayState &state, ConfigVersion version,
                                   std::size_t maxChanges, TimePoint now);

//! What another gateway's news confirms, in terms of this process's clock.
struct RelayedNews
{
    //! The desired state of this process was the newest one then.
    std::optional<TimePoint> configConfirmedAt_;
    //! The list in StoreRelayState::listed_ was the newest one then.
    std::optional<TimePoint> listConfirmedAt_;
};

//! Applies news that another gateway read from the store. What this process lacks and can't take
//! from the news is marked to be read.
RelayedNews applyStoreNews(StoreRelayState &state, const StoreNews &news, const Address &self,
                           std::optional<ConfigVersion> version, TimePoint now);

//! True if another gateway has lately read newer content from the store than this process has: the
//! store tells it, whatever became of this process's own reads.
bool isToldElsewhere(const StoreRead &read, const StoreRelayLimits &limits, TimePoint now);

//! Size of changes of the list in digests, in whole entries.
std::size_t entriesOf(const EndpointListChanges &changes);

std::uint64_t listHash(const std::map<EndpointId, ListedEndpoint> &listed);

} // namespace gypsumcroft
