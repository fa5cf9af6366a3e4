//! Runs the scenario files named after "--" over a fixed list of seeds.
#include <boost/test/unit_test.hpp>
#include <oneapi/tbb/parallel_for.h>

#include "scenario.h"

using namespace gypsumcroft;

namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t SeedCount = 200;

void runFile(const std::string &file)
{
    Findings findings;
    const auto scenario = lab::loadScenario(file, findings);
    for (const Finding &finding : findings)
        BOOST_ERROR(finding.place_ + ": " + finding.message_);
    BOOST_REQUIRE(scenario.has_value());
    std::vector<lab::ScenarioReport> reports(SeedCount);
    tbb::parallel_for(std::uint64_t {0}, SeedCount, [&](std::uint64_t n) {
        reports[n] = lab::runScenario(*scenario, FirstSeed + n);
    });
    std::uint64_t requests = 0;
    std::uint64_t keyed = 0;
    for (std::uint64_t n = 0; n < SeedCount; ++n) {
        for (const Finding &failure : reports[n].failures_)
            BOOST_ERROR(failure.place_ + ": seed " + std::to_string(FirstSeed + n) + ": "
                        + failure.message_);
        requests += reports[n].requests_;
        keyed += reports[n].keyed_;
    }
    BOOST_TEST_MESSAGE(file << " seeds=" << SeedCount << " requests=" << requests
                            << " keyed=" << keyed);
    BOOST_TEST(requests > 0U);
}

} // namespace

BOOST_AUTO_TEST_CASE(scenarioHoldsForAllSeeds)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE(suite.argc > 1);
    for (int i = 1; i < suite.argc; ++i)
        runFile(suite.argv[i]);
}
