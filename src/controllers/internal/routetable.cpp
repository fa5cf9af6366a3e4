#include "controllers/routetable.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

std::string prefixKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += '\n';
    return key.append(prefix);
}

} // namespace
} // namespace detail

std::shared_ptr<const RouteTable> buildRouteTable(DesiredState state)
{
    auto table = std::make_shared<RouteTable>();
    table->state_ = std::move(state);
    const DesiredState &desired = table->state_;
    for (std::size_t i = 0; i < desired.routes_.size(); ++i) {
        const RouteRule &route = desired.routes_[i];
        table->byPrefix_.emplace(detail::prefixKey(route.host_, route.pathPrefix_), i);
        for (const WeightedTarget &target : route.targets_)
            table->ranks_[target.target_].at(static_cast<std::size_t>(rankOf(route.priority_)))
                    = true;
    }
    for (std::size_t i = 0; i < desired.organisations_.size(); ++i) {
        for (const std::string &key : desired.organisations_[i].apiKeys_)
            table->byApiKey_.emplace(key, i);
    }
    for (std::size_t i = 0; i < desired.targets_.size(); ++i)
        table->byTarget_.emplace(desired.targets_[i].name_, i);
    return table;
}

const RouteRule *findRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = table.byPrefix_.find(detail::prefixKey(host, path.substr(0, slash + 1)));
        if (found != table.byPrefix_.end())
            return &table.state_.routes_[found->second];
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const OrganisationRule *findOrganisation(const RouteTable &table, const std::string &apiKey)
{
    const auto found = table.byApiKey_.find(apiKey);
    return found == table.byApiKey_.end() ? nullptr : &table.state_.organisations_[found->second];
}

const TargetSpec *findTarget(const RouteTable &table, const TargetName &target)
{
    const auto found = table.byTarget_.find(target);
    return found == table.byTarget_.end() ? nullptr : &table.state_.targets_[found->second];
}

RanksPresent ranksOfTarget(const RouteTable &table, const TargetName &target)
{
    const auto found = table.ranks_.find(target);
    return found == table.ranks_.end() ? RanksPresent {} : found->second;
}

bool applyDesiredState(RouteTableState &state, DesiredState desired, TimePoint now)
{
    if (state.table_ && desired.version_ <= state.table_->state_.version_)
        return false;
    state.table_ = buildRouteTable(std::move(desired));
    state.changedAt_ = now;
    return true;
}

void confirmDesiredState(RouteTableState &state, TimePoint requestedAt)
{
    state.confirmedAt_ = std::max(state.confirmedAt_.value_or(requestedAt), requestedAt);
}

std::optional<Duration> desiredStateAge(const RouteTableState &state, TimePoint now)
{
    if (!state.table_ || !state.confirmedAt_)
        return std::nullopt;
    return now - *state.confirmedAt_;
}

} // namespace gypsumcroft
