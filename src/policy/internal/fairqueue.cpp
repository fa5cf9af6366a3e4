#include "policy/fairqueue.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

//! Tokens that each round adds to the deficit of an organisation of weight 1.
constexpr std::int64_t Quantum = 512;
//! Total served work in tokens at which the counts of all ranks are halved.
constexpr double ServedWindow = 50000.0;

std::size_t rankIndex(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

OrganisationQueue &organisationQueue(RankQueue &rank, const QueuedRequest &request)
{
    const auto found = rank.byOrganisation_.find(request.organisation_);
    if (found != rank.byOrganisation_.end()) {
        found->second->weight_ = request.weight_;
        return *found->second;
    }
    rank.organisations_.push_back({});
    const auto added = std::prev(rank.organisations_.end());
    added->organisation_ = request.organisation_;
    added->weight_ = request.weight_;
    rank.byOrganisation_.emplace(request.organisation_, added);
    return *added;
}

CallerQueue &callerQueue(OrganisationQueue &organisation, const CallerId &caller)
{
    const auto found = organisation.byCaller_.find(caller);
    if (found != organisation.byCaller_.end())
        return *found->second;
    organisation.callers_.push_back({caller, {}});
    const auto added = std::prev(organisation.callers_.end());
    organisation.byCaller_.emplace(caller, added);
    return *added;
}

void push(FairQueue &queue, QueuedRequest request, bool front)
{
    RankQueue &rank = queue.ranks_[rankIndex(request.rank_)];
    OrganisationQueue &organisation = organisationQueue(rank, request);
    CallerQueue &caller = callerQueue(organisation, request.caller_);
    rank.work_ += request.work_.value_;
    ++rank.size_;
    ++organisation.size_;
    organisation.work_ += request.work_.value_;
    ++queue.size_;
    if (front) {
        organisation.deficit_ += request.work_.value_;
        caller.requests_.push_front(std::move(request));
    } else {
        caller.requests_.push_back(std::move(request));
    }
}

void eraseIfEmpty(RankQueue &rank, std::list<OrganisationQueue>::iterator organisation,
                  std::list<CallerQueue>::iterator caller)
{
    if (!caller->requests_.empty())
        return;
    organisation->byCaller_.erase(caller->caller_);
    organisation->callers_.erase(caller);
    if (organisation->size_ > 0)
        return;
    rank.byOrganisation_.erase(organisation->organisation_);
    rank.organisations_.erase(organisation);
}

void subtractFromCounts(FairQueue &queue, RankQueue &rank, OrganisationQueue &organisation,
                        const QueuedRequest &request)
{
    rank.work_ -= request.work_.value_;
    --rank.size_;
    --organisation.size_;
    organisation.work_ -= request.work_.value_;
    --queue.size_;
}

QueuedRequest takeFront(FairQueue &queue, RankQueue &rank,
                        std::list<OrganisationQueue>::iterator organisation)
{
    const auto caller = organisation->callers_.begin();
    QueuedRequest request = std::move(caller->requests_.front());
    caller->requests_.pop_front();
    organisation->deficit_ -= request.work_.value_;
    subtractFromCounts(queue, rank, *organisation, request);
    organisation->callers_.splice(organisation->callers_.end(), organisation->callers_, caller);
    eraseIfEmpty(rank, organisation, std::prev(organisation->callers_.end()));
    return request;
}

//! Moves the front organisation to the end. It keeps its quantum and its deficit.
void rotate(RankQueue &rank)
{
    rank.organisations_.splice(rank.organisations_.end(), rank.organisations_,
                               rank.organisations_.begin());
}

void endTurn(RankQueue &rank)
{
    rank.organisations_.front().quantumGranted_ = false;
    rotate(rank);
}

//! Moves the first caller whose head can be taken to the front. Returns false if there is none.
bool moveTakeableToFront(OrganisationQueue &organisation, const CanDispatch &canDispatch)
{
    for (auto caller = organisation.callers_.begin(); caller != organisation.callers_.end();
         ++caller) {
        if (!canDispatch(caller->requests_.front()))
            continue;
        organisation.callers_.splice(organisation.callers_.begin(), organisation.callers_, caller);
        return true;
    }
    return false;
}

//! Deficit round robin within one rank.
std::optional<QueuedRequest> popFromRank(FairQueue &queue, RankQueue &rank,
                                         const CanDispatch &canDispatch)
{
    std::size_t blocked = 0;
    while (blocked < rank.organisations_.size()) {
        const auto organisation = rank.organisations_.begin();
        if (!moveTakeableToFront(*organisation, canDispatch)) {
            //! No quantum for an organisation that is blocked by lack of capacity: its deficit
            //! would accumulate and later displace the others.
            ++blocked;
            rotate(rank);
            continue;
        }
        blocked = 0;
        if (!organisation->quantumGranted_) {
            organisation->quantumGranted_ = true;
            organisation->deficit_ += Quantum * organisation->weight_;
        }
        const QueuedRequest &head = organisation->callers_.front().requests_.front();
        if (organisation->deficit_ >= head.work_.value_)
            return takeFront(queue, rank, organisation);
        endTurn(rank);
    }
    return std::nullopt;
}

//! Ranks in the order in which they are served: those below their minimum share first, then by
//! urgency.
std::array<std::size_t, RankCount> rankOrder(const FairQueue &queue)
{
    std::array<std::size_t, RankCount> order {};
    std::size_t count = 0;
    const auto belowMinShare
            = [&](std::size_t rank) { return isBelowMinShare(queue, AllRanks[rank]); };
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        if (belowMinShare(rank))
            order[count++] = rank;
    }
    for (std::size_t rank = 0; rank < RankCount; ++rank) {
        if (!belowMinShare(rank))
            order[count++] = rank;
    }
    return order;
}

//! Callers are served round robin by requests: before a caller's new request, each other caller
//! gets at most as many requests as this caller, the new one included.
std::int64_t workAheadOfCaller(const OrganisationQueue &organisation, const CallerId &caller)
{
    const auto own = organisation.byCaller_.find(caller);
    const std::size_t turns
            = own == organisation.byCaller_.end() ? 0 : own->second->requests_.size();
    std::int64_t ahead = 0;
    for (const CallerQueue &other : organisation.callers_) {
        const std::size_t limit = other.caller_ == caller ? turns : turns + 1;
        for (std::size_t i = 0; i < std::min(limit, other.requests_.size()); ++i)
            ahead += other.requests_[i].work_.value_;
    }
    return ahead;
}

void countServed(FairQueue &queue, const QueuedRequest &request)
{
    queue.servedWork_[rankIndex(request.rank_)] += static_cast<double>(request.work_.value_);
    double total = 0;
    for (const double served : queue.servedWork_)
        total += served;
    if (total < ServedWindow)
        return;
    for (double &served : queue.servedWork_)
        served /= 2;
}

//! Erases the requests of a rank for which visit(request) returns true.
template <typename Visit>
void eraseWhere(FairQueue &queue, RankQueue &rank, const Visit &visit)
{
    for (auto organisation = rank.organisations_.begin();
         organisation != rank.organisations_.end();) {
        const auto current = organisation++;
        for (auto caller = current->callers_.begin(); caller != current->callers_.end();) {
            const auto currentCaller = caller++;
            auto &requests = currentCaller->requests_;
            bool erased = false;
            for (auto request = requests.begin(); request != requests.end();) {
                if (!visit(*request)) {
                    ++request;
                    continue;
                }
                subtractFromCounts(queue, rank, *current, *request);
                request = requests.erase(request);
                erased = true;
            }
            const bool lastCaller = caller == current->callers_.end();
            if (erased)
                eraseIfEmpty(rank, current, currentCaller);
            if (lastCaller)
                break;
        }
    }
}

} // namespace detail

void pushRequest(FairQueue &queue, QueuedRequest request)
{
    detail::push(queue, std::move(request), false);
}

void pushRequestFront(FairQueue &queue, QueuedRequest request)
{
    detail::push(queue, std::move(request), true);
}

std::optional<QueuedRequest> popRequest(FairQueue &queue, const CanDispatch &canDispatch)
{
    for (const std::size_t index : detail::rankOrder(queue)) {
        auto request = detail::popFromRank(queue, queue.ranks_[index], canDispatch);
        if (!request)
            continue;
        detail::countServed(queue, *request);
        return request;
    }
    return std::nullopt;
}

bool removeRequest(FairQueue &queue, const QueuedRequest &request)
{
    bool found = false;
    detail::RankQueue &rank = queue.ranks_[detail::rankIndex(request.rank_)];
    if (!rank.byOrganisation_.contains(request.organisation_))
        return false;
    detail::eraseWhere(queue, rank, [&](const QueuedRequest &other) {
        const bool same = !found && other.request_ == request.request_;
        found = found || same;
        return same;
    });
    return found;
}

std::vector<QueuedRequest> removeExpired(FairQueue &queue, TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (detail::RankQueue &rank : queue.ranks_) {
        detail::eraseWhere(queue, rank, [&](const QueuedRequest &request) {
            if (request.deadline_ > now)
                return false;
            expired.push_back(request);
            return true;
        });
    }
    return expired;
}

std::optional<QueuedRequest> evictRequest(FairQueue &queue, Rank rank)
{
    for (std::size_t index = RankCount; index-- > detail::rankIndex(rank);) {
        detail::RankQueue &from = queue.ranks_[index];
        if (from.size_ == 0)
            continue;
        const auto longest = std::max_element(
                from.organisations_.begin(), from.organisations_.end(),
                [](const auto &left, const auto &right) { return left.size_ < right.size_; });
        auto caller = std::max_element(longest->callers_.begin(), longest->callers_.end(),
                                       [](const auto &left, const auto &right) {
                                           return left.requests_.size() < right.requests_.size();
                                       });
        QueuedRequest dropped = std::move(caller->requests_.back());
        caller->requests_.pop_back();
        detail::subtractFromCounts(queue, from, *longest, dropped);
        detail::eraseIfEmpty(from, longest, caller);
        return dropped;
    }
    return std::nullopt;
}

Tokens workAhead(const FairQueue &queue, const QueuedRequest &request)
{
    const std::size_t rank = detail::rankIndex(request.rank_);
    std::int64_t ahead = 0;
    for (std::size_t index = 0; index < rank; ++index)
        ahead += queue.ranks_[index].work_;
    const detail::RankQueue &queued = queue.ranks_[rank];
    const auto mine = queued.byOrganisation_.find(request.organisation_);
    const std::int64_t own = mine == queued.byOrganisation_.end()
                                     ? 0
                                     : detail::workAheadOfCaller(*mine->second, request.caller_);
    //! While this organisation's work is served, each other one gets at most its share by weight.
    const std::int64_t round = std::max<std::int64_t>(own, detail::Quantum * request.weight_);
    std::int64_t others = 0;
    for (const detail::OrganisationQueue &other : queued.organisations_) {
        if (other.organisation_ == request.organisation_)
            continue;
        const std::int64_t fair
                = round * other.weight_ / std::max<std::uint32_t>(request.weight_, 1);
        others += std::min(fair, other.work_);
    }
    return {ahead + own + others};
}

Tokens waitingWork(const FairQueue &queue, Rank rank)
{
    return {queue.ranks_[detail::rankIndex(rank)].work_};
}

bool isBelowMinShare(const FairQueue &queue, Rank rank)
{
    constexpr double Whole = 1000;
    const std::size_t index = detail::rankIndex(rank);
    if (queue.minShares_[index].value_ == 0 || queue.ranks_[index].size_ == 0)
        return false;
    double total = 0;
    for (const double served : queue.servedWork_)
        total += served;
    return queue.servedWork_[index] * Whole < total * queue.minShares_[index].value_;
}

} // namespace gypsumcroft
