//! Finds out which requests crash the endpoints that run them, from what the requests had in common
//! that ran where an endpoint crashed.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

struct CrashBlameLimits
{
    //! Crashes in succession that put a trait in quarantine. A crash counts if the request was not
    //! sent before the crash that precedes it, so that the common end of several endpoints counts
    //! once.
    std::size_t crashesForQuarantine_ = 3;
    //! The same for a trait of requests that were answered earlier, which has probably not changed.
    std::size_t crashesIfAnsweredEarlier_ = 5;
    //! Shortest quarantine; each further crash doubles it, up to the longest one.
    Duration minQuarantine_ = std::chrono::seconds(60);
    Duration maxQuarantine_ = std::chrono::minutes(10);
    //! Time after the last crash or answer after which a trait is forgotten.
    Duration forgetAfter_ = std::chrono::minutes(30);
    //! Time after the last crash or answer for which a trait with fewer than two crashes is
    //! reported.
    Duration reportFor_ = std::chrono::seconds(10);
    std::size_t maxTraits_ = 512;
    //! The oldest crashes of a trait beyond this number are forgotten.
    std::size_t maxCrashesOfTrait_ = 8;
};

//! The crash of an endpoint while a request with a certain trait ran there.
struct EndpointCrash
{
    EndpointId endpoint_;
    std::uint64_t incarnation_ = 0;
    //! When the request was sent; of several requests, the last one.
    TimePoint sentAt_;
    TimePoint at_;
};

struct SuspectTrait
{
    //! Crashes since the trait's last answer, oldest first.
    std::vector<EndpointCrash> crashes_;
    //! When an endpoint last began to answer a request with the trait.
    std::optional<TimePoint> answeredAt_;
    //! Number of the last report that contained the trait.
    std::uint64_t reportedIn_ = 0;
};

struct CrashBlame
{
    CrashBlameLimits limits_;
    //! Spreads the ends of quarantines over the gateways, so that one of them tries first.
    std::uint64_t seed_ = 0;
    std::unordered_map<RequestTrait, SuspectTrait> traits_;
    std::uint64_t reports_ = 0;
};

enum class BlameStatus : std::uint8_t {
    None,
    //! May be at fault: to be run one at a time until an endpoint answers.
    Suspected,
    //! To be refused.
    Quarantined,
};

//! What a trait is blamed for beside the other traits.
struct TraitVerdict
{
    //! Crashes in succession that no trait explains which is more suspect. A trait is more suspect
    //! if more endpoints crashed under it or, at as many, if it never was in an answered request.
    std::size_t crashes_ = 0;
    //! End of the quarantine; unset for too few crashes.
    TimePoint quarantinedUntil_;
    //! Traits that are equally suspect of the same crashes. Only a request with all of them is
    //! certain to have the one that is at fault.
    std::vector<RequestTrait> rivals_;
    std::optional<TimePoint> answeredAt_;
};

//! Verdicts on all traits under which an endpoint crashed since their last answer.
struct BlameVerdicts
{
    std::unordered_map<RequestTrait, TraitVerdict> traits_;
};

struct RequestBlame
{
    BlameStatus status_ = BlameStatus::None;
    //! End of the quarantine.
    TimePoint until_;
};

//! Records that an endpoint crashed while a request with the trait ran there and had brought no
//! answer. Returns true if that was unknown.
bool recordCrash(CrashBlame &blame, RequestTrait trait, const EndpointCrash &crash);

//! Records that an endpoint began to answer a request with the trait, which clears the trait of all
//! earlier crashes. Traits without a crash are ignored. Returns true if that was unknown.
bool recordAnswer(CrashBlame &blame, RequestTrait trait, TimePoint at);

//! Number of crashes in succession under a trait; see CrashBlameLimits::crashesForQuarantine_.
std::size_t crashesInSuccession(const SuspectTrait &suspect);

BlameVerdicts judge(const CrashBlame &blame);

//! What a request with these traits is suspected of.
RequestBlame blameOf(const BlameVerdicts &verdicts, const std::vector<RequestTrait> &traits,
                     TimePoint now);

//! Adds the reports of another gateway. Returns true if they contain a crash or an answer that was
//! unknown.
bool mergeTraitReports(CrashBlame &blame, const std::vector<TraitReport> &reports, TimePoint now);

//! Reports for other gateways, at most limit: traits with several crashes first, then the others in
//! turn.
std::vector<TraitReport> reportTraits(CrashBlame &blame, std::size_t limit, TimePoint now);

//! Reports of the given traits.
std::vector<TraitReport> reportTraits(const CrashBlame &blame,
                                      const std::vector<RequestTrait> &traits, TimePoint now);

void forgetTraits(CrashBlame &blame, TimePoint now);

} // namespace gypsumcroft
