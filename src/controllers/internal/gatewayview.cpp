#include "controllers/gatewayview.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Fraction of a freshness bound that is used; the rest covers the time that a request takes to
//! reach its endpoint.
constexpr double UsedFraction = 0.9;

bool isWithin(std::optional<TimePoint> confirmedAt, Duration bound, TimePoint now)
{
    const auto used = static_cast<std::int64_t>(UsedFraction * static_cast<double>(bound.count()));
    return confirmedAt && now - *confirmedAt <= Duration(used);
}

} // namespace
} // namespace detail

std::shared_ptr<const EndpointIndex> buildEndpointIndex(const EndpointListState &list)
{
    auto index = std::make_shared<EndpointIndex>();
    for (const auto &[id, known] : list.endpoints_) {
        const std::size_t at = index->endpoints_.size();
        index->endpoints_.push_back(known.listed_);
        index->byTarget_[known.listed_.target_].push_back(at);
        index->byId_.emplace(id, at);
        index->byAddress_.insert_or_assign(known.listed_.address_, at);
    }
    return index;
}

bool isListedAt(const EndpointIndex &listed, const EndpointId &endpoint, const Address &address)
{
    const auto found = listed.byId_.find(endpoint);
    return found != listed.byId_.end() && listed.endpoints_[found->second].address_ == address;
}

bool keysAreFresh(const GatewayView &view, TimePoint now)
{
    return view.freshness_.maxKeyAge_ == Duration::zero()
           || detail::isWithin(view.stateConfirmedAt_, view.freshness_.maxKeyAge_, now);
}

bool stateIsFresh(const GatewayView &view, TimePoint now)
{
    return detail::isWithin(view.stateConfirmedAt_, view.freshness_.maxStateAge_, now);
}

bool listIsFresh(const GatewayView &view, TimePoint now)
{
    // Without any list there are no endpoints to send to.
    return !view.listConfirmedAt_ || view.listUnavailable_
           || detail::isWithin(view.listConfirmedAt_, view.freshness_.maxListAge_, now);
}

} // namespace gypsumcroft
