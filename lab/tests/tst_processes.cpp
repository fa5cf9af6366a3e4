//! Runs the scenario files named after "--" on real processes, once, with a fixed seed.
#include <boost/test/unit_test.hpp>

#include "processscenario.h"

using namespace gypsumcroft;

BOOST_AUTO_TEST_CASE(scenarioHoldsOnProcesses)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE(suite.argc > 3);
    const lab::ProgramPaths paths {suite.argv[1], suite.argv[2]};
    Findings findings;
    const auto scenario = lab::loadScenario(suite.argv[3], findings);
    for (const Finding &finding : findings)
        BOOST_ERROR(finding.place_ + ": " + finding.message_);
    BOOST_REQUIRE(scenario.has_value());
    const lab::ScenarioReport report = lab::runOnProcesses(*scenario, 1, paths);
    for (const Finding &failure : report.failures_)
        BOOST_ERROR(failure.place_ + ": " + failure.message_);
    BOOST_TEST_MESSAGE(suite.argv[3] << " requests=" << report.requests_ << " done=" << report.done_
                                     << " whole=" << report.whole_ << " not-run=" << report.notRun_
                                     << " unknown=" << report.unknown_ << " cut=" << report.cut_);
    BOOST_TEST(report.requests_ > 0U);
}
