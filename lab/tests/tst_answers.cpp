//! What callers of the lab take for a response.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gatewayprogram.h"
#include "preparedserver.h"
#include "soak/callers.h"

using namespace gypsumcroft;

namespace {

//! A cut answer is no fault by itself: the gateway may have been stopped.
enum class Verdict : std::uint8_t { Whole, Cut, Invalid };

struct AnswerCase
{
    const char *name_;
    const char *text_;
    Verdict verdict_;
};

std::ostream &operator<<(std::ostream &out, const AnswerCase &test)
{
    return out << test.name_;
}

const AnswerCase AnswerCases[] = {
        {"with a length", "HTTP/1.1 503 Any\r\nContent-Length: 2\r\n\r\nok", Verdict::Whole},
        {"in chunks", "HTTP/1.1 503 Any\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         Verdict::Whole},
        {"nothing", "", Verdict::Cut},
        {"cut in the body", "HTTP/1.1 503 Any\r\nContent-Length: 2\r\n\r\no", Verdict::Cut},
        {"cut before the last chunk",
         "HTTP/1.1 503 Any\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Verdict::Cut},
        {"bytes behind it", "HTTP/1.1 503 Any\r\nContent-Length: 2\r\n\r\nok\r\n",
         Verdict::Invalid},
        {"status 000", "HTTP/1.1 000 Any\r\nContent-Length: 2\r\n\r\nok", Verdict::Invalid},
        {"status of one digit", "HTTP/1.1 0 Any\r\nContent-Length: 2\r\n\r\nok", Verdict::Invalid},
        {"blank in a name", "HTTP/1.1 503 Any\r\nX Note: a\r\nContent-Length: 2\r\n\r\nok",
         Verdict::Invalid},
        {"folded line", "HTTP/1.1 503 Any\r\nX-Note: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
         Verdict::Invalid},
        {"folded trailer",
         "HTTP/1.1 503 Any\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Note: a\r\n b\r\n\r\n",
         Verdict::Invalid},
};

} // namespace

BOOST_DATA_TEST_CASE(wholeResponsesAreTold, AnswerCases, test)
{
    BOOST_TEST(lab::isWholeResponse(test.text_) == (test.verdict_ == Verdict::Whole));
}

// None of the answers is a success, which the soak would compare with what it sent.
BOOST_DATA_TEST_CASE(invalidAnswersAreFindingsOfTheSoak, AnswerCases, test)
{
    constexpr std::chrono::milliseconds Length {800};
    lab::tests::PreparedServer server;
    server.prepare({{test.text_, ""}});
    std::vector<std::string> findings;
    lab::CallersState state;
    state.gateways_ = {server.listen(std::nullopt)};
    state.keys_ = {"key"};
    state.onFinding_ = [&](const lab::Finding &finding) { findings.push_back(finding.what_); };
    state.wasCalm_ = [](std::uint32_t, lab::SoakTime, lab::SoakTime) { return false; };
    boost::asio::io_context context;
    lab::startCaller(context, state, 1);
    context.run_for(Length);
    state.stopping_ = true;
    context.run();
    BOOST_TEST(state.running_ == 0U);
    BOOST_TEST(findings.empty() == (test.verdict_ != Verdict::Invalid));
}
