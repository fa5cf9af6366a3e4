//! Request queue: by rank with minimum shares, then fair among organisations and their callers.
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

//! The data of a request that the queue needs.
struct QueuedRequest
{
    RequestId request_;
    OrganisationId organisation_;
    CallerId caller_;
    Rank rank_ = Rank::Standard;
    //! Expected work; shares are measured in it.
    Tokens work_;
    //! Relative share of the organisation.
    std::uint32_t weight_ = 1;
    TimePoint deadline_;
};

namespace detail {

//! Requests of one caller, first come, first served.
struct CallerQueue
{
    CallerId caller_;
    std::deque<QueuedRequest> requests_;
};

//! Requests of one organisation, round robin over its callers. Organisations are served by deficit
//! round robin.
struct OrganisationQueue
{
    OrganisationId organisation_;
    std::uint32_t weight_ = 1;
    std::int64_t deficit_ = 0;
    bool quantumGranted_ = false;
    std::size_t size_ = 0;
    std::int64_t work_ = 0;
    std::list<CallerQueue> callers_;
    std::unordered_map<CallerId, std::list<CallerQueue>::iterator> byCaller_;
};

struct RankQueue
{
    std::size_t size_ = 0;
    std::int64_t work_ = 0;
    //! Organisations with requests in round-robin order; the front one is next.
    std::list<OrganisationQueue> organisations_;
    std::unordered_map<OrganisationId, std::list<OrganisationQueue>::iterator> byOrganisation_;
};

} // namespace detail

//! State of the queue. Only the functions below may change it.
struct FairQueue
{
    std::array<detail::RankQueue, RankCount> ranks_;
    //! Work served to each rank; all counts are halved regularly, so that recent work dominates.
    std::array<double, RankCount> servedWork_ {};
    //! Minimum share of the served work for each rank.
    std::array<PerMille, RankCount> minShares_ {};
    std::size_t size_ = 0;
};

//! Whether a request at the head of its queue can be dispatched now.
using CanDispatch = std::function<bool(const QueuedRequest &)>;

void pushRequest(FairQueue &queue, QueuedRequest request);

//! Puts a popped request back at the head of its caller's queue and refunds its organisation's
//! share, so that it isn't charged twice.
void pushRequestFront(FairQueue &queue, QueuedRequest request);

//! Removes and returns the next request: of a rank below its minimum share if there is one, else of
//! the most urgent rank. Requests that the predicate rejects only block their own caller. Returns
//! nothing if no request can be taken.
std::optional<QueuedRequest> popRequest(FairQueue &queue, const CanDispatch &canDispatch);

//! Removes a request from any position. Returns false if it isn't queued.
bool removeRequest(FairQueue &queue, const QueuedRequest &request);

//! Removes and returns all requests whose deadline has been reached.
std::vector<QueuedRequest> removeExpired(FairQueue &queue, TimePoint now);

//! Evicts a request when the queue is full. Of the least urgent non-empty rank, but none more
//! urgent than rank, takes the organisation with most requests, and of it the newest request of the
//! caller with most requests.
std::optional<QueuedRequest> evictRequest(FairQueue &queue, Rank rank);

//! Work that will be served before a new request of this caller, in tokens.
Tokens workAhead(const FairQueue &queue, const QueuedRequest &request);

//! Work of the rank's queued requests.
Tokens waitingWork(const FairQueue &queue, Rank rank);

//! True if the rank has requests and recently got less than its minimum share.
bool isBelowMinShare(const FairQueue &queue, Rank rank);

} // namespace gypsumcroft
