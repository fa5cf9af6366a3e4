#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "core/logline.h"
#include "core/template.h"

using namespace gypsumcroft;

namespace {

struct QuoteCase
{
    const char *value_;
    const char *text_;
};

const QuoteCase QuoteCases[] = {
        {"plain", "event=e k=plain"},
        {"", "event=e k=\"\""},
        {"two words", "event=e k=\"two words\""},
        {"a=b", "event=e k=\"a=b\""},
        {"say \"hi\"", "event=e k=\"say \\\"hi\\\"\""},
        {"line\nbreak", "event=e k=\"line\\x0abreak\""},
};

std::ostream &operator<<(std::ostream &out, const QuoteCase &test)
{
    return out << test.value_;
}

struct TemplateCase
{
    const char *name_;
    Template work_;
    std::size_t findings_;
};

Template service(RepeatPolicy repeat, Duration window)
{
    return {{"booking"},
            TemplateKind::Service,
            {"bookings"},
            Rank::Urgent,
            std::chrono::seconds(5),
            repeat,
            window,
            {}};
}

Template model(Duration patience, RepeatPolicy repeat, ParameterSpecs parameters)
{
    return {{"quote"}, TemplateKind::Model,   {"panels"},           Rank::Urgent, patience,
            repeat,    std::chrono::hours(1), std::move(parameters)};
}

const TemplateCase TemplateCases[] = {
        {"valid model", model(std::chrono::seconds(1), RepeatPolicy::Safe, {}), 0},
        {"time limit of zero", model(Duration::zero(), RepeatPolicy::Safe, {}), 1},
        {"model that must not repeat", model(std::chrono::seconds(1), RepeatPolicy::Never, {}), 1},
        {"unknown parameter",
         model(std::chrono::seconds(1), RepeatPolicy::Safe, {{"x", {1, 0, 2}}}), 1},
        {"default above maximum",
         model(std::chrono::seconds(1), RepeatPolicy::Safe, {{"maxTokens", {9, 1, 8}}}), 1},
        {"every error is reported", model(Duration::zero(), RepeatPolicy::Safe, {{"x", {9, 1, 8}}}),
         3},
        {"valid service that must not repeat", service(RepeatPolicy::Never, std::chrono::hours(1)),
         0},
        {"service that must not repeat, no idempotency window",
         service(RepeatPolicy::Never, Duration::zero()), 1},
};

std::ostream &operator<<(std::ostream &out, const TemplateCase &test)
{
    return out << test.name_;
}

} // namespace

BOOST_DATA_TEST_CASE(logLineQuotesSpecialValues, QuoteCases)
{
    BOOST_TEST(LogLine("e").add("k", sample.value_).text() == sample.text_);
}

BOOST_DATA_TEST_CASE(allTemplateFindingsAreReported, TemplateCases)
{
    Findings findings;
    validateDocument(sample.work_, "f", findings);
    BOOST_TEST(findings.size() == sample.findings_);
}

BOOST_AUTO_TEST_CASE(keyHashIsScopedByOrganisation)
{
    BOOST_TEST((hashIdempotencyKey({"a"}, "bc") != hashIdempotencyKey({"ab"}, "c")));
    BOOST_TEST((hashIdempotencyKey({"a"}, "bc") == hashIdempotencyKey({"a"}, "bc")));
}
