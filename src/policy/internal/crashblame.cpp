#include "policy/crashblame.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace gypsumcroft {

namespace detail {
namespace {

TimePoint lastNews(const SuspectTrait &suspect)
{
    const TimePoint answered = suspect.answeredAt_.value_or(TimePoint());
    return suspect.crashes_.empty() ? answered : std::max(answered, suspect.crashes_.back().at_);
}

//! Crashes of an endpoint whose incarnation is unknown are the same if they are this close.
constexpr Duration SameCrashWithin = std::chrono::seconds(2);

bool isSameCrash(const EndpointCrash &left, const EndpointCrash &right)
{
    if (left.endpoint_ != right.endpoint_ || left.incarnation_ != right.incarnation_)
        return false;
    const Duration apart = left.at_ > right.at_ ? left.at_ - right.at_ : right.at_ - left.at_;
    return left.incarnation_ != 0 || apart < SameCrashWithin;
}

void sortByTime(std::vector<EndpointCrash> &crashes)
{
    std::stable_sort(crashes.begin(), crashes.end(),
                     [](const EndpointCrash &left, const EndpointCrash &right) {
                         return left.at_ < right.at_;
                     });
}

//! Makes room for another trait: drops the one with the fewest crashes, of these the oldest.
void dropLeastSuspect(CrashBlame &blame)
{
    const auto least = std::min_element(
            blame.traits_.begin(), blame.traits_.end(), [](const auto &left, const auto &right) {
                return std::pair(left.second.crashes_.size(), lastNews(left.second))
                       < std::pair(right.second.crashes_.size(), lastNews(right.second));
            });
    if (least != blame.traits_.end())
        blame.traits_.erase(least);
}

SuspectTrait &suspectFor(CrashBlame &blame, RequestTrait trait)
{
    if (!blame.traits_.contains(trait) && blame.traits_.size() >= blame.limits_.maxTraits_)
        dropLeastSuspect(blame);
    return blame.traits_[trait];
}

//! End of the quarantine that the last of so many crashes in succession began.
TimePoint quarantineEnd(const CrashBlame &blame, RequestTrait trait, const SuspectTrait &suspect,
                        std::size_t crashes)
{
    const CrashBlameLimits &limits = blame.limits_;
    Duration length = limits.minQuarantine_;
    for (std::size_t i = limits.crashesForQuarantine_;
         i < crashes && length < limits.maxQuarantine_; ++i)
        length *= 2;
    length = std::min(length, limits.maxQuarantine_);
    const std::uint64_t spread
            = mixHash(blame.seed_, trait.value_) % static_cast<std::uint64_t>(length.count());
    return suspect.crashes_.back().at_ + length + Duration(static_cast<std::int64_t>(spread));
}

//! Reports arrive late, so that the time of an answer would grow each time that it is passed on.
constexpr Duration AnswerTolerance = std::chrono::milliseconds(500);

bool mergeAnswer(CrashBlame &blame, RequestTrait trait, TimePoint at)
{
    const auto found = blame.traits_.find(trait);
    const auto known = found == blame.traits_.end() ? std::nullopt : found->second.answeredAt_;
    return (!known || at > *known + AnswerTolerance) && recordAnswer(blame, trait, at);
}

} // namespace
} // namespace detail

bool recordCrash(CrashBlame &blame, RequestTrait trait, const EndpointCrash &crash)
{
    const auto known = blame.traits_.find(trait);
    if (known != blame.traits_.end() && known->second.answeredAt_ >= crash.at_)
        return false;
    SuspectTrait &suspect = detail::suspectFor(blame, trait);
    for (EndpointCrash &other : suspect.crashes_) {
        if (!detail::isSameCrash(other, crash))
            continue;
        other.sentAt_ = std::max(other.sentAt_, crash.sentAt_);
        other.at_ = std::min(other.at_, crash.at_);
        detail::sortByTime(suspect.crashes_);
        return false;
    }
    suspect.crashes_.push_back(crash);
    detail::sortByTime(suspect.crashes_);
    if (suspect.crashes_.size() > blame.limits_.maxCrashesOfTrait_)
        suspect.crashes_.erase(suspect.crashes_.begin());
    return true;
}

bool recordAnswer(CrashBlame &blame, RequestTrait trait, TimePoint at)
{
    const auto found = blame.traits_.find(trait);
    if (found == blame.traits_.end() || found->second.answeredAt_ >= at)
        return false;
    found->second.answeredAt_ = at;
    std::erase_if(found->second.crashes_,
                  [&](const EndpointCrash &crash) { return crash.at_ <= at; });
    return true;
}

std::size_t crashesInSuccession(const SuspectTrait &suspect)
{
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (const EndpointCrash &crash : suspect.crashes_) {
        if (last && crash.sentAt_ <= *last)
            continue;
        ++count;
        last = crash.at_;
    }
    return count;
}

RequestBlame blameOf(const CrashBlame &blame, RequestTrait trait, TimePoint now)
{
    const auto found = blame.traits_.find(trait);
    if (found == blame.traits_.end() || found->second.crashes_.empty())
        return {};
    const std::size_t crashes = crashesInSuccession(found->second);
    if (crashes < blame.limits_.crashesForQuarantine_)
        return {BlameStatus::Suspected, {}};
    const TimePoint until = detail::quarantineEnd(blame, trait, found->second, crashes);
    return {now < until ? BlameStatus::Quarantined : BlameStatus::Suspected, until};
}

RequestBlame blameOf(const CrashBlame &blame, const std::vector<RequestTrait> &traits,
                     TimePoint now)
{
    RequestBlame worst;
    if (blame.traits_.empty())
        return worst;
    for (const RequestTrait trait : traits) {
        const RequestBlame one = blameOf(blame, trait, now);
        if (std::pair(one.status_, one.until_) > std::pair(worst.status_, worst.until_))
            worst = one;
    }
    return worst;
}

bool mergeTraitReports(CrashBlame &blame, const std::vector<TraitReport> &reports, TimePoint now)
{
    bool changed = false;
    for (const TraitReport &report : reports) {
        for (const CrashReport &crash : report.crashes_)
            changed = recordCrash(blame, report.trait_,
                                  {crash.endpoint_, crash.incarnation_,
                                   now - crash.age_ - crash.ranFor_, now - crash.age_})
                      || changed;
        if (report.answerAge_)
            changed = detail::mergeAnswer(blame, report.trait_, now - *report.answerAge_)
                      || changed;
    }
    return changed;
}

std::vector<TraitReport> reportTraits(CrashBlame &blame, std::size_t limit, TimePoint now)
{
    std::vector<std::pair<RequestTrait, SuspectTrait *>> order;
    for (auto &[trait, suspect] : blame.traits_) {
        if (suspect.crashes_.size() > 1
            || now - detail::lastNews(suspect) < blame.limits_.reportFor_)
            order.emplace_back(trait, &suspect);
    }
    const auto place = [](const auto &entry) {
        const bool single = entry.second->crashes_.size() < 2;
        return std::tuple(single, entry.second->reportedIn_, entry.first);
    };
    std::sort(order.begin(), order.end(),
              [&](const auto &left, const auto &right) { return place(left) < place(right); });
    order.resize(std::min(order.size(), limit));
    ++blame.reports_;
    std::vector<TraitReport> reports;
    for (const auto &[trait, suspect] : order) {
        suspect->reportedIn_ = blame.reports_;
        TraitReport report {trait, {}, {}};
        for (const EndpointCrash &crash : suspect->crashes_)
            report.crashes_.push_back({crash.endpoint_, crash.incarnation_, now - crash.at_,
                                       crash.at_ - crash.sentAt_});
        if (suspect->answeredAt_)
            report.answerAge_ = now - *suspect->answeredAt_;
        reports.push_back(std::move(report));
    }
    return reports;
}

void forgetTraits(CrashBlame &blame, TimePoint now)
{
    std::erase_if(blame.traits_, [&](const auto &entry) {
        return now - detail::lastNews(entry.second) > blame.limits_.forgetAfter_;
    });
}

} // namespace gypsumcroft
