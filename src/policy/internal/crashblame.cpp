#include "policy/crashblame.h"

#include <algorithm>
#include <map>
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

struct TraitCrash
{
    RequestTrait trait_;
    const EndpointCrash *crash_;
};

//! How suspect a trait is: crashes in succession, and whether it never was in an answered request.
using Weight = std::pair<std::size_t, bool>;

struct Evidence
{
    std::unordered_map<RequestTrait, Weight> weights_;
    std::unordered_map<EndpointId, std::vector<TraitCrash>> byEndpoint_;
};

//! Traits with the given weight or a higher one at a crash, each with its weight.
std::vector<std::pair<Weight, RequestTrait>> suspectsAt(const Evidence &evidence,
                                                        const EndpointCrash &crash, Weight least)
{
    std::vector<std::pair<Weight, RequestTrait>> suspects;
    for (const TraitCrash &other : evidence.byEndpoint_.at(crash.endpoint_)) {
        const Weight weight = evidence.weights_.at(other.trait_);
        if (weight >= least && isSameCrash(*other.crash_, crash))
            suspects.emplace_back(weight, other.trait_);
    }
    return suspects;
}

//! End of the quarantine that began with the last crash; excess is the number of crashes beyond
//! those that put the trait in quarantine.
TimePoint quarantineEnd(const CrashBlame &blame, RequestTrait trait, std::size_t excess,
                        TimePoint last)
{
    const CrashBlameLimits &limits = blame.limits_;
    Duration length = limits.minQuarantine_;
    for (std::size_t i = 0; i < excess && length < limits.maxQuarantine_; ++i)
        length *= 2;
    length = std::min(length, limits.maxQuarantine_);
    const std::uint64_t spread
            = mixHash(blame.seed_, trait.value_) % static_cast<std::uint64_t>(length.count());
    return last + length + Duration(static_cast<std::int64_t>(spread));
}

TraitVerdict judgeTrait(const CrashBlame &blame, const Evidence &evidence, RequestTrait trait)
{
    const SuspectTrait &suspect = blame.traits_.at(trait);
    const Weight own = evidence.weights_.at(trait);
    SuspectTrait unexplained;
    std::map<RequestTrait, std::size_t> shared;
    for (const EndpointCrash &crash : suspect.crashes_) {
        const auto others = suspectsAt(evidence, crash, own);
        const bool isExplained = std::any_of(others.begin(), others.end(),
                                             [&](const auto &other) { return other.first > own; });
        if (isExplained)
            continue;
        unexplained.crashes_.push_back(crash);
        for (const auto &[weight, other] : others)
            ++shared[other];
    }
    TraitVerdict verdict;
    verdict.answeredAt_ = suspect.answeredAt_;
    verdict.crashes_ = crashesInSuccession(unexplained);
    const std::size_t needed = suspect.answeredAt_ ? blame.limits_.crashesIfAnsweredEarlier_
                                                   : blame.limits_.crashesForQuarantine_;
    if (verdict.crashes_ < needed)
        return verdict;
    verdict.quarantinedUntil_ = quarantineEnd(blame, trait, verdict.crashes_ - needed,
                                              unexplained.crashes_.back().at_);
    for (const auto &[other, crashes] : shared) {
        if (other != trait && crashes == unexplained.crashes_.size())
            verdict.rivals_.push_back(other);
    }
    return verdict;
}

bool hasAll(const std::vector<RequestTrait> &traits, const std::vector<RequestTrait> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](RequestTrait trait) {
        return std::find(traits.begin(), traits.end(), trait) != traits.end();
    });
}

//! Reports arrive late, so that the time of an answer would grow each time that it is passed on.
constexpr Duration AnswerTolerance = std::chrono::milliseconds(500);

bool mergeAnswer(CrashBlame &blame, RequestTrait trait, TimePoint at)
{
    const auto found = blame.traits_.find(trait);
    const auto known = found == blame.traits_.end() ? std::nullopt : found->second.answeredAt_;
    return (!known || at > *known + AnswerTolerance) && recordAnswer(blame, trait, at);
}

TraitReport reportOf(RequestTrait trait, const SuspectTrait &suspect, TimePoint now)
{
    TraitReport report {trait, {}, {}};
    for (const EndpointCrash &crash : suspect.crashes_)
        report.crashes_.push_back(
                {crash.endpoint_, crash.incarnation_, now - crash.at_, crash.at_ - crash.sentAt_});
    if (suspect.answeredAt_)
        report.answerAge_ = now - *suspect.answeredAt_;
    return report;
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
        if (last && crash.sentAt_ < *last)
            continue;
        ++count;
        last = crash.at_;
    }
    return count;
}

BlameVerdicts judge(const CrashBlame &blame)
{
    detail::Evidence evidence;
    for (const auto &[trait, suspect] : blame.traits_) {
        if (!suspect.crashes_.empty())
            evidence.weights_[trait] = {crashesInSuccession(suspect), !suspect.answeredAt_};
        for (const EndpointCrash &crash : suspect.crashes_)
            evidence.byEndpoint_[crash.endpoint_].push_back({trait, &crash});
    }
    BlameVerdicts verdicts;
    for (const auto &[trait, weight] : evidence.weights_)
        verdicts.traits_[trait] = detail::judgeTrait(blame, evidence, trait);
    return verdicts;
}

RequestBlame blameOf(const BlameVerdicts &verdicts, const std::vector<RequestTrait> &traits,
                     TimePoint now)
{
    RequestBlame worst;
    if (verdicts.traits_.empty())
        return worst;
    for (const RequestTrait trait : traits) {
        const auto found = verdicts.traits_.find(trait);
        if (found == verdicts.traits_.end() || found->second.crashes_ == 0)
            continue;
        const TraitVerdict &verdict = found->second;
        RequestBlame one {BlameStatus::Suspected, verdict.quarantinedUntil_};
        if (now < verdict.quarantinedUntil_ && detail::hasAll(traits, verdict.rivals_))
            one.status_ = BlameStatus::Quarantined;
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
        reports.push_back(detail::reportOf(trait, *suspect, now));
    }
    return reports;
}

std::vector<TraitReport> reportTraits(const CrashBlame &blame,
                                      const std::vector<RequestTrait> &traits, TimePoint now)
{
    std::vector<TraitReport> reports;
    for (const RequestTrait trait : traits) {
        const auto found = blame.traits_.find(trait);
        if (found != blame.traits_.end())
            reports.push_back(detail::reportOf(trait, found->second, now));
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
