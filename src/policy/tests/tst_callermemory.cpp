#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/callermemory.h"

using namespace gypsumcroft;

namespace {

struct BoundsCase
{
    const char *name_;
    std::optional<std::uint32_t> memoryMb_;
    std::size_t descriptors_;
    std::size_t heldBytes_;
    std::size_t unsentBytes_;
    std::size_t responseBytes_;
    std::size_t connections_;
};

std::ostream &operator<<(std::ostream &out, const BoundsCase &test)
{
    return out << test.name_;
}

const BoundsCase BoundsCases[] = {
        {"no memory named", std::nullopt, 20000, 134'217'728, 67'108'864, 16'777'216, 8192},
        {"few descriptors", std::nullopt, 2870, 134'217'728, 67'108'864, 16'777'216, 2151},
        {"512 MB", 512, 8192, 128'000'000, 64'000'000, 16'777'216, 6144},
        {"112 MB", 112, 2870, 28'000'000, 14'000'000, 14'000'000, 1750},
        {"64 MB", 64, 1024, 16'000'000, 12'000'000, 12'000'000, 768},
};

struct ClaimCase
{
    const char *name_;
    std::size_t bytes_;
    std::uint32_t priority_;
    std::size_t organisationBytes_;
    std::size_t used_;
    bool admitted_;
};

std::ostream &operator<<(std::ostream &out, const ClaimCase &test)
{
    return out << test.name_;
}

constexpr std::size_t Limit = 16'000'000;

const ClaimCase ClaimCases[] = {
        {"largest request alone", 4'600'000, 2, 0, 0, true},
        {"large and least urgent, half is used", 4'600'000, 2, 0, 8'000'000, false},
        {"large and urgent, half is used", 4'600'000, 0, 0, 8'000'000, true},
        {"small and least urgent, three quarters are used", 1000, 2, 0, 11'990'000, true},
        {"small and least urgent, more is used", 1000, 2, 0, 12'000'000, false},
        {"small and of the middle rank, more is used", 1000, 1, 0, 12'000'000, true},
        {"small and urgent, nearly all is used", 1000, 0, 0, 15'990'000, true},
        {"small and urgent, all is used", 1000, 0, 0, 16'000'000, false},
        {"the organisation holds half, nothing else is used", 1000, 0, 7'990'000, 7'990'000, true},
        {"the organisation holds half, others more", 1000, 0, 8'000'000, 9'000'000, false},
        {"another organisation holds half", 1000, 0, 0, 9'000'000, true},
};

} // namespace

// Guards against limits that exceed a small instance's memory or refuse one request of the largest
// size.
BOOST_DATA_TEST_CASE(boundsFollowMemoryAndDescriptors, BoundsCases, test)
{
    const CallerBounds bounds = callerBounds(test.memoryMb_, test.descriptors_);
    BOOST_TEST(bounds.heldBytes_ == test.heldBytes_);
    BOOST_TEST(bounds.unsentBytes_ == test.unsentBytes_);
    BOOST_TEST(bounds.responseBytes_ == test.responseBytes_);
    BOOST_TEST(bounds.connections_ == test.connections_);
}

// Guards against one organisation, or less urgent requests, that take the memory of others.
BOOST_DATA_TEST_CASE(requestsAreAdmittedBySizeRankAndOrganisation, ClaimCases, test)
{
    const MemoryClaim claim {test.bytes_, Priority {test.priority_}, test.organisationBytes_};
    BOOST_TEST(admitsToMemory(claim, Limit, test.used_) == test.admitted_);
}
