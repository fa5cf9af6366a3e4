#include "policy/suspects.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

constexpr Duration SuspicionLifetime = std::chrono::minutes(10);
//! Several deaths in one failure domain within this time are an outage of the domain, whose cause
//! isn't a request.
constexpr Duration DomainOutageSpan = std::chrono::seconds(2);
constexpr std::size_t DomainOutageDeaths = 3;
constexpr std::size_t DeathsForQuarantine = 2;
constexpr std::size_t MaxRecentDeaths = 256;

bool sameDeath(const EndpointDeath &left, const EndpointDeath &right)
{
    constexpr Duration Tolerance = std::chrono::seconds(5);
    const Duration apart = left.at_ > right.at_ ? left.at_ - right.at_ : right.at_ - left.at_;
    return left.endpoint_ == right.endpoint_ && apart < Tolerance;
}

bool isDomainOutage(const SuspectRequests &suspects, const EndpointDeath &death)
{
    const auto near
            = std::count_if(suspects.recentDeaths_.begin(), suspects.recentDeaths_.end(),
                            [&](const EndpointDeath &other) {
                                const Duration apart = other.at_ > death.at_
                                                               ? other.at_ - death.at_
                                                               : death.at_ - other.at_;
                                return other.domain_ == death.domain_ && apart <= DomainOutageSpan;
                            });
    return static_cast<std::size_t>(near) >= DomainOutageDeaths;
}

void addDeath(std::vector<EndpointDeath> &deaths, const EndpointDeath &death)
{
    const bool known = std::any_of(deaths.begin(), deaths.end(), [&](const EndpointDeath &other) {
        return sameDeath(other, death);
    });
    if (!known)
        deaths.push_back(death);
}

} // namespace detail

void recordEndpointDeath(SuspectRequests &suspects, const EndpointDeath &death)
{
    detail::addDeath(suspects.recentDeaths_, death);
    if (suspects.recentDeaths_.size() > detail::MaxRecentDeaths)
        suspects.recentDeaths_.erase(suspects.recentDeaths_.begin());
}

void recordSuspicion(SuspectRequests &suspects, Fingerprint fingerprint, const EndpointDeath &death)
{
    recordEndpointDeath(suspects, death);
    SuspectRequest &suspect = suspects.entries_[fingerprint];
    detail::addDeath(suspect.deaths_, death);
    suspect.expires_ = std::max(suspect.expires_, death.at_ + detail::SuspicionLifetime);
}

QuarantineStatus quarantineStatus(const SuspectRequests &suspects, Fingerprint fingerprint,
                                  TimePoint now)
{
    const auto found = suspects.entries_.find(fingerprint);
    if (found == suspects.entries_.end() || found->second.expires_ <= now || found->second.lifted_)
        return QuarantineStatus::None;
    std::vector<EndpointId> endpoints;
    for (const EndpointDeath &death : found->second.deaths_) {
        const bool counted
                = std::find(endpoints.begin(), endpoints.end(), death.endpoint_) != endpoints.end();
        if (!counted && !detail::isDomainOutage(suspects, death))
            endpoints.push_back(death.endpoint_);
    }
    if (endpoints.size() >= detail::DeathsForQuarantine)
        return QuarantineStatus::Quarantined;
    return endpoints.empty() ? QuarantineStatus::None : QuarantineStatus::Suspected;
}

void liftQuarantine(SuspectRequests &suspects, Fingerprint fingerprint, TimePoint now)
{
    SuspectRequest &suspect = suspects.entries_[fingerprint];
    suspect.lifted_ = true;
    suspect.expires_ = now + detail::SuspicionLifetime;
}

void mergeSuspects(SuspectRequests &suspects, const std::vector<SuspectReport> &reports,
                   TimePoint now)
{
    for (const SuspectReport &report : reports) {
        for (const DeathReport &death : report.deaths_)
            recordSuspicion(suspects, report.fingerprint_,
                            {death.endpoint_, death.domain_, now - death.age_});
        SuspectRequest &suspect = suspects.entries_[report.fingerprint_];
        suspect.lifted_ = suspect.lifted_ || report.lifted_;
        suspect.expires_ = std::max(suspect.expires_, now + report.remainingTime_);
    }
}

std::vector<SuspectReport> reportSuspects(const SuspectRequests &suspects, std::size_t limit,
                                          TimePoint now)
{
    std::vector<std::pair<TimePoint, Fingerprint>> newest;
    for (const auto &[fingerprint, suspect] : suspects.entries_) {
        if (suspect.expires_ > now)
            newest.emplace_back(suspect.expires_, fingerprint);
    }
    std::sort(newest.begin(), newest.end(), std::greater<>());
    newest.resize(std::min(newest.size(), limit));
    std::vector<SuspectReport> reports;
    for (const auto &[expires, fingerprint] : newest) {
        const SuspectRequest &suspect = suspects.entries_.at(fingerprint);
        SuspectReport report {fingerprint, {}, expires - now, suspect.lifted_};
        for (const EndpointDeath &death : suspect.deaths_)
            report.deaths_.push_back({death.endpoint_, death.domain_, now - death.at_});
        reports.push_back(std::move(report));
    }
    return reports;
}

void expireSuspects(SuspectRequests &suspects, TimePoint now)
{
    std::erase_if(suspects.entries_,
                  [&](const auto &entry) { return entry.second.expires_ <= now; });
    std::erase_if(suspects.recentDeaths_, [&](const EndpointDeath &death) {
        return death.at_ + detail::SuspicionLifetime <= now;
    });
}

} // namespace gypsumcroft
