//! Decoding a document reports all of its errors at once, each with its place; an encoded document
//! decodes to the same value.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "documents/configdocuments.h"
#include "documents/gatewaysettings.h"
#include "documents/settings.h"

using namespace gypsumcroft;

namespace {

struct DocumentCase
{
    const char *name_;
    const char *text_;
    //! Places of the findings, joined by spaces.
    const char *places_;
};

const DocumentCase DocumentCases[] = {
        {"valid fleet", R"({"type":"fleet","floorsPerMille":{"standard":200}})", ""},
        {"not JSON", R"({"type":)", "f:1"},
        {"no type", "{}", "f/type"},
        {"unknown type", R"({"type":"x"})", "f/type"},
        {"all errors of a template",
         R"({"type":"template","name":"x y","kind":"m","rank":"urgent","patienceMs":"1",)"
         R"("repeat":"safe","zzz":1})",
         "f/kind f/target f/patienceMs f/zzz f/name"},
        {"default outside the parameter's bounds",
         R"({"type":"template","name":"q","kind":"model","target":"m","rank":"urgent",)"
         R"("patienceMs":5,"repeat":"safe","parameters":{"maxTokens":)"
         R"({"default":9,"minimum":1,"maximum":8}}})",
         "f/parameters/maxTokens/default"},
        {"minimum shares above 1000 in total",
         R"({"type":"fleet","floorsPerMille":{"urgent":600,"standard":600}})", "f/floorsPerMille"},
        {"malformed key hashes",
         R"({"type":"organisation","organisation":"o","apiKeyHashes":["ab",1]})",
         "f/apiKeyHashes/1 f/apiKeyHashes/0"},
};

std::ostream &operator<<(std::ostream &out, const DocumentCase &test)
{
    return out << test.name_;
}

const DocumentCase SettingsCases[] = {
        {"all required members missing", "{}",
         "s/role s/instance s/failureDomain s/mesh s/operators s/platform s/callers"},
        {"wrong types and values",
         R"({"role":"entry","instance":1,"failureDomain":"a","mesh":"localhost:1",)"
         R"("callers":"127.0.0.1","operators":{"address":"127.0.0.1:1","token":""},)"
         R"("platform":{"log":"127.0.0.1:2"},"trafficThreads":0})",
         "s/instance s/mesh s/operators/token s/trafficThreads s/callers"},
};

std::string placesOf(const Findings &findings)
{
    std::string places;
    for (const Finding &finding : findings)
        places += (places.empty() ? "" : " ") + finding.place_;
    return places;
}

const ClaimBatch OneOfEachRecord
        = {Claim {{1, 2}, {3}, {0xffffffffffffffff}, {"e"}, {5}, std::chrono::hours(1)},
           ClaimOutcome {{1, 2}, {3}, {200, "{\"a\":\"b\"}"}}, ClaimRelease {{1, 2}, {3}},
           AttemptCancel {{1, 2}, {4}}};

} // namespace

BOOST_DATA_TEST_CASE(decodeDocumentReportsAllErrors, DocumentCases)
{
    Findings findings;
    const auto document = decodeDocument(sample.text_, "f", findings);
    BOOST_TEST(placesOf(findings) == sample.places_);
    BOOST_TEST(document.has_value() == findings.empty());
    if (!document)
        return;
    Findings again;
    const auto copy = decodeDocument(encodeDocument(*document), "f", again);
    BOOST_TEST((copy == document));
}

BOOST_DATA_TEST_CASE(decodeSettingsReportsAllErrors, SettingsCases)
{
    Findings findings;
    decodeProcessSettings(sample.text_, "s", findings);
    BOOST_TEST(placesOf(findings) == sample.places_);
}

BOOST_AUTO_TEST_CASE(claimBatchRoundTrip)
{
    const auto read = decodeClaimBatch(encodeClaimBatch(OneOfEachRecord));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(encodeClaimBatch(*read) == encodeClaimBatch(OneOfEachRecord));
    BOOST_TEST(read->size() == OneOfEachRecord.size());
    BOOST_TEST((std::get<Claim>(read->front()).attempt_ == AttemptId {0xffffffffffffffff}));
    for (const char *bad : {"", "{}", "[1]", "[{}]", R"([{"claim":"12"}])"})
        BOOST_TEST(!decodeClaimBatch(bad).has_value());
}

BOOST_AUTO_TEST_CASE(malformedConfigRecordsDoNotThrow)
{
    for (const char *bad : {"", "[]", "{}", R"({"record":"publish"})", R"({"record":"x"})"})
        BOOST_TEST(std::holds_alternative<MalformedRecord>(decodeConfigRecord(bad)));
}

namespace {

//! Replaces one text in the settings of a running gateway.
struct ReloadCase
{
    const char *before_;
    const char *after_;
    const char *applied_;
    const char *needRestart_;
};

std::ostream &operator<<(std::ostream &out, const ReloadCase &test)
{
    return out << test.before_ << " -> " << test.after_;
}

constexpr const char *RunningSettings
        = R"({"role":"gateway","instance":"g","failureDomain":"a","mesh":"127.0.0.1:1",)"
          R"("callers":"127.0.0.1:2","ready":"127.0.0.1:3","metrics":"127.0.0.1:4",)"
          R"("store":{"address":"127.0.0.1:5","partitions":12,"shortestLifetimeMs":3000},)"
          R"("bounds":{"strictRevoke":true,"revokeMs":5000,"applyMs":2000,"drainMs":2000,)"
          R"("retryRatio":0.2,"retrySlack":100,"retryWindowS":10,"graceS":8},)"
          R"("operatorToken":"a-long-token",)"
          R"("limits":{"callerConnections":512,"callerHeldMb":28,"bodyTimeoutMs":9000,)"
          R"("sendTimeoutMs":8000,"cpuShare":0.5,"linkMbps":200,"memoryMb":112}})";

const ReloadCase ReloadCases[] = {
        {"{", "{", "", ""},
        {"\"revokeMs\":5000", "\"revokeMs\":4000", "bounds/revokeMs", ""},
        {"\"strictRevoke\":true", "\"strictRevoke\":false", "bounds/revokeMs", ""},
        {"\"applyMs\":2000", "\"applyMs\":4000", "bounds/applyMs", ""},
        {"\"drainMs\":2000", "\"drainMs\":4000", "bounds/drainMs", ""},
        {"\"retryRatio\":0.2", "\"retryRatio\":0.3", "bounds/retryRatio", ""},
        {"\"retrySlack\":100", "\"retrySlack\":320", "bounds/retrySlack", ""},
        {"\"retryWindowS\":10", "\"retryWindowS\":5", "bounds/retryWindowS", ""},
        {"\"graceS\":8", "\"graceS\":4", "bounds/graceS", ""},
        {"\"cpuShare\":0.5", "\"cpuShare\":0.09", "limits/cpuShare", ""},
        {"\"linkMbps\":200", "\"linkMbps\":20", "limits/linkMbps", ""},
        {"\"partitions\":12", "\"partitions\":24", "store/partitions", ""},
        {"\"shortestLifetimeMs\":3000", "\"shortestLifetimeMs\":4000", "store/shortestLifetimeMs",
         ""},
        {"\"instance\":\"g\"", "\"instance\":\"h\"", "", "instance"},
        {"\"failureDomain\":\"a\"", "\"failureDomain\":\"b\"", "", "failureDomain"},
        {"127.0.0.1:1\"", "127.0.0.1:9\"", "", "mesh"},
        {"127.0.0.1:2\"", "127.0.0.1:9\"", "", "callers"},
        {"127.0.0.1:3\"", "127.0.0.1:9\"", "", "ready"},
        {"127.0.0.1:4\"", "127.0.0.1:9\"", "", "metrics"},
        {"127.0.0.1:5\"", "127.0.0.1:9\"", "", "store/address"},
        {"\"memoryMb\":112", "\"memoryMb\":512", "", "limits/memoryMb"},
        {"\"callerHeldMb\":28", "\"callerHeldMb\":16", "", "limits/callerHeldMb"},
        {"\"callerConnections\":512", "\"callerConnections\":16", "", "limits/callerConnections"},
        {"\"bodyTimeoutMs\":9000", "\"bodyTimeoutMs\":1000", "", "limits/bodyTimeoutMs"},
        {"\"sendTimeoutMs\":8000", "\"sendTimeoutMs\":1000", "", "limits/sendTimeoutMs"},
        {"a-long-token", "another-token", "", "operatorToken"},
        {",\"memoryMb\":112", "", "", "limits/memoryMb"},
};

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : " ") + name;
    return text;
}

} // namespace

BOOST_DATA_TEST_CASE(changedSettingsAreNamed, ReloadCases, test)
{
    Findings findings;
    const std::string before = RunningSettings;
    std::string after = before;
    const std::string replaced = test.before_;
    BOOST_REQUIRE(after.find(replaced) != std::string::npos);
    after.replace(after.find(replaced), replaced.size(), test.after_);
    const auto running = decodeGatewaySettings(before, "s", findings);
    const auto loaded = decodeGatewaySettings(after, "s", findings);
    BOOST_REQUIRE(findings.empty());
    const SettingsChanges changes = compareSettings(*running, *loaded);
    BOOST_TEST(joined(changes.applied_) == test.applied_);
    BOOST_TEST(joined(changes.needRestart_) == test.needRestart_);
}

namespace {

//! One text replaced in settings that are right, and where the findings are.
struct BadSettingCase
{
    const char *before_;
    const char *after_;
    const char *places_;
};

std::ostream &operator<<(std::ostream &out, const BadSettingCase &test)
{
    return out << test.before_ << " -> " << test.after_;
}

const BadSettingCase BadSettings[] = {
        {"\"callerHeldMb\":28", "\"callerHeldMb\":15", "s/limits/callerHeldMb"},
        {"\"callerConnections\":512", "\"callerConnections\":0", "s/limits/callerConnections"},
        {"\"bodyTimeoutMs\":9000", "\"bodyTimeoutMs\":999", "s/limits/bodyTimeoutMs"},
        {"\"sendTimeoutMs\":8000", "\"sendTimeoutMs\":\"8 s\"", "s/limits/sendTimeoutMs"},
        {"a-long-token", "short", "s/operatorToken"},
        {"\"metrics\":\"127.0.0.1:4\",", "", "s/operatorToken"},
};

} // namespace

// A limit that refuses every request, or an operators' port that anybody may ask, must not start.
BOOST_DATA_TEST_CASE(badSettingsAreReported, BadSettings, test)
{
    Findings findings;
    std::string text = RunningSettings;
    const std::string replaced = test.before_;
    BOOST_REQUIRE(text.find(replaced) != std::string::npos);
    text.replace(text.find(replaced), replaced.size(), test.after_);
    BOOST_TEST(!decodeGatewaySettings(text, "s", findings));
    BOOST_TEST(placesOf(findings) == test.places_);
}
