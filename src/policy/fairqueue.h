//! The entry's queue: by rank with floors, then by organisation, then by caller.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! A request as the queue sees it.
struct QueuedRequest
{
    RequestId request_;
    OrganisationId organisation_;
    CallerId caller_;
    Rank rank_ = Rank::Standard;
    //! Expected work; what the shares are counted in.
    Tokens work_;
    //! Relative share of the organisation.
    std::uint32_t weight_ = 1;
    TimePoint deadline_;
};

namespace detail {

//! First come, first served for one caller.
struct CallerQueue
{
    CallerId caller_;
    std::deque<QueuedRequest> requests_;
};

//! Round robin over callers, with a deficit among organisations.
struct OrganisationQueue
{
    OrganisationId organisation_;
    std::uint32_t weight_ = 1;
    std::int64_t deficit_ = 0;
    bool inTurn_ = false;
    std::size_t size_ = 0;
    std::int64_t work_ = 0;
    std::list<CallerQueue> callers_;
    std::unordered_map<CallerId, std::list<CallerQueue>::iterator> byCaller_;
};

struct RankQueue
{
    std::size_t size_ = 0;
    std::int64_t work_ = 0;
    //! Organisations with requests, in turn; the front one has the turn.
    std::list<OrganisationQueue> organisations_;
    std::unordered_map<OrganisationId, std::list<OrganisationQueue>::iterator> byOrganisation_;
};

} // namespace detail

//! State of the queue; change it through the functions below only.
struct FairQueue
{
    std::array<detail::RankQueue, RankCount> ranks_;
    //! Work served lately to each rank, halved as it ages.
    std::array<double, RankCount> served_ {};
    std::array<PerMille, RankCount> floors_ {};
    std::size_t size_ = 0;
};

//! Says whether a request at the head may be taken now.
using MayTake = std::function<bool(const QueuedRequest &)>;

void pushRequest(FairQueue &queue, QueuedRequest request);

//! Takes a request back in front of its caller's others, without a second charge to its share.
void pushRequestFront(FairQueue &queue, QueuedRequest request);

//! Takes the next request: a rank below its floor first, then the most urgent. Requests that
//! mayTake refuses block only their own organisation in this call. Nothing if none may be taken.
std::optional<QueuedRequest> popRequest(FairQueue &queue, const MayTake &mayTake);

//! Takes one request out, wherever it stands.
bool removeRequest(FairQueue &queue, const QueuedRequest &request);

//! Takes out every request whose deadline is at or before now.
std::vector<QueuedRequest> removeExpired(FairQueue &queue, TimePoint now);

//! Makes room: takes the newest request of the longest organisation of the lowest rank that is not
//! more urgent than rank.
std::optional<QueuedRequest> dropForRoom(FairQueue &queue, Rank rank);

//! Work that stands before a new request of this caller, in tokens.
Tokens workAhead(const FairQueue &queue, const QueuedRequest &request);

//! True when the rank has requests and was served less than its floor lately.
bool isBelowFloor(const FairQueue &queue, Rank rank);

} // namespace gypsumcroft
