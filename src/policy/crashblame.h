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
    //! Crashes in succession that put a trait in quarantine. A crash counts if the request was sent
    //! after the crash before it, so that the common end of several endpoints counts once.
    std::size_t crashesForQuarantine_ = 3;
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

//! What requests with a trait are suspected of.
RequestBlame blameOf(const CrashBlame &blame, RequestTrait trait, TimePoint now);

//! What a request with these traits is suspected of.
RequestBlame blameOf(const CrashBlame &blame, const std::vector<RequestTrait> &traits,
                     TimePoint now);

//! Adds the reports of another gateway. Returns true if they contain a crash or an answer that was
//! unknown.
bool mergeTraitReports(CrashBlame &blame, const std::vector<TraitReport> &reports, TimePoint now);

//! Reports for other gateways, at most limit: traits with several crashes first, then the others in
//! turn.
std::vector<TraitReport> reportTraits(CrashBlame &blame, std::size_t limit, TimePoint now);

void forgetTraits(CrashBlame &blame, TimePoint now);

} // namespace gypsumcroft
