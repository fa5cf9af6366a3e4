#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "scenario.h"

using namespace gypsumcroft;

namespace {

struct ParserCase
{
    const char *name_;
    const char *text_;
    //! Places of the findings, joined by spaces.
    const char *places_;
};

const ParserCase ParserCases[] = {
        {"empty", "", ""},
        {"comment and blank lines", "# nothing\n\n  # more\n", ""},
        {"good step", "at 1s..2s kill agent any-stage for 500ms\nexpect all-ended\nend 5s\n", ""},
        {"unknown verb", "at 1s explode x\n", "f:1"},
        {"bad time", "at soon kill agent x\n", "f:1"},
        {"reversed range", "at 3s..2s outage\n", "f:1"},
        {"missing argument", "at 1s kill agent\n", "f:1"},
        {"bad length", "at 1s outage for ever\n", "f:1"},
        {"unknown expectation", "expect miracles\n", "f:1"},
        {"unknown line", "hello\n", "f:1"},
        {"all faults at once", "at x kill a b\nexpect y\nend z\nfleet entries\n",
         "f:1 f:2 f:3 f:4"},
};

std::ostream &operator<<(std::ostream &out, const ParserCase &test)
{
    return out << test.name_;
}

} // namespace

BOOST_DATA_TEST_CASE(findingsNameFileAndLine, ParserCases)
{
    Findings findings;
    const auto scenario = lab::parseScenario(sample.text_, "f", findings);
    std::string places;
    for (const Finding &finding : findings)
        places += (places.empty() ? "" : " ") + finding.place_;
    BOOST_TEST(places == sample.places_);
    BOOST_TEST(scenario.has_value() == findings.empty());
}
