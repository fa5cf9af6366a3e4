//! Bad input on the real ports: a clear answer, and nothing lost. Arguments: the two program paths.
#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "processdriver.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

struct RunningFleet
{
    RunningFleet() : fleet_(paths(), {}), driver_(fleet_)
    {
        fleet_.startAll();
        BOOST_REQUIRE(driver_.waitReady());
    }

    static lab::ProgramPaths paths()
    {
        const auto &suite = boost::unit_test::framework::master_test_suite();
        BOOST_REQUIRE(suite.argc > 2);
        return {suite.argv[1], suite.argv[2]};
    }

    lab::ProcessFleet fleet_;
    lab::ProcessDriver driver_;
};

//! One fleet for all cases: each must leave it as it was.
RunningFleet &running()
{
    static RunningFleet instance;
    return instance;
}

struct RequestCase
{
    const char *name_;
    const char *method_;
    const char *path_;
    const char *key_;
    const char *body_;
    int status_;
    const char *code_;
};

const RequestCase RequestCases[] = {
        {"malformed JSON", "POST", "/v1/requests", "test-key", "{\"template\":", 400,
         "bad-request"},
        {"not an object", "POST", "/v1/requests", "test-key", "[]", 400, "bad-request"},
        {"unknown field", "POST", "/v1/requests", "test-key",
         R"({"template":"quote","prompt":"x","tempo":1})", 400, "bad-request"},
        {"neither prompt nor call", "POST", "/v1/requests", "test-key", R"({"template":"quote"})",
         400, "bad-request"},
        {"unknown template", "POST", "/v1/requests", "test-key",
         R"({"template":"nothing","prompt":"x"})", 404, "unknown-template"},
        {"wrong API key", "POST", "/v1/requests", "wrong", R"({"template":"quote","prompt":"x"})",
         401, "unauthorised"},
        {"no API key", "POST", "/v1/requests", "", R"({"template":"quote","prompt":"x"})", 401,
         "unauthorised"},
        {"keyless booking", "POST", "/v1/requests", "test-key",
         R"({"template":"booking","call":{}})", 400, "key-required"},
        {"wrong method", "GET", "/v1/requests", "test-key", "", 405, "bad-request"},
        {"wrong path", "POST", "/v1/nothing", "test-key", "{}", 404, "bad-request"},
};

std::ostream &operator<<(std::ostream &out, const RequestCase &test)
{
    return out << test.name_;
}

struct RawCase
{
    const char *name_;
    std::string bytes_;
    //! The answer begins with this; empty: the connection only closes.
    const char *answer_;
};

const RawCase RawCases[] = {
        {"oversized body",
         "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n", "HTTP/1.1 413"},
        {"oversized headers",
         "POST /v1/requests HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(40000, 'a') + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"no HTTP at all", "hello there\r\n\r\n", "HTTP/1.1 400"},
        {"a slow sender", "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab",
         "HTTP/1.1 408"},
};

std::ostream &operator<<(std::ostream &out, const RawCase &test)
{
    return out << test.name_;
}

tcp::endpoint endpointOf(const Address &address)
{
    return {asio::ip::make_address(address.host_), address.port_};
}

//! The fleet still answers a quote whole.
void checkServes()
{
    lab::ProcessDriver &driver = running().driver_;
    lab::CallerRecord record;
    record.template_ = "quote";
    record.body_ = "still there";
    record.maxTokens_ = 6;
    const std::size_t index = driver.send("entry-1", record, true);
    driver.runUntil([&] { return driver.allEnded(); }, std::chrono::seconds(20));
    BOOST_TEST((driver.records_[index].ending_ == lab::Ending::Whole));
    BOOST_TEST((driver.records_[index].tokens_ == standins::referenceAnswer("still there", 8, 6)));
}

double metric(const Address &operators, const std::string &name)
{
    http::HttpRequest request;
    request.path_ = "/metrics";
    const auto result = running().driver_.ask(operators, request);
    const std::string text = result.response_ ? result.response_->body_ : "";
    const auto at = text.find("\ngypsumcroft_" + name + " ");
    return at == std::string::npos ? -1 : std::strtod(text.c_str() + text.find(' ', at), nullptr);
}

} // namespace

BOOST_DATA_TEST_CASE(refusalsAreClear, RequestCases)
{
    http::HttpRequest request;
    request.method_ = sample.method_;
    request.path_ = sample.path_;
    request.body_ = sample.body_;
    if (*sample.key_ != '\0')
        request.headers_["Authorization"] = std::string("Bearer ") + sample.key_;
    const auto result = running().driver_.ask(running().fleet_.child("entry-1").http_, request);
    BOOST_REQUIRE(result.response_.has_value());
    BOOST_TEST(result.response_->status_ == sample.status_);
    const std::string &body = result.response_->body_;
    BOOST_TEST(body.find(R"("run":"not-run")") != std::string::npos);
    BOOST_TEST(body.find(std::string(R"("code":")") + sample.code_ + "\"") != std::string::npos);
    BOOST_TEST(body.find(R"("reason":")") != std::string::npos);
}

BOOST_DATA_TEST_CASE(brokenHttpIsAnswered, RawCases)
{
    const Address caller = running().fleet_.child("entry-1").http_;
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpointOf(caller));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(sample.bytes_), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    BOOST_TEST(answer.starts_with(sample.answer_));
    BOOST_TEST(answer.find("not-run") != std::string::npos);
    checkServes();
}

BOOST_AUTO_TEST_CASE(garbageBetweenProcessesIsDroppedAndCounted)
{
    const std::string name = "stage-1-1";
    const lab::ChildProcess &agent = running().fleet_.child(name);
    const double before = metric(agent.operators_, "garbage");
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpointOf(agent.http_));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string(200, 'z')), error);
    std::string rest;
    asio::read(socket, asio::dynamic_buffer(rest), error);
    udp::socket datagrams(context, udp::v4());
    datagrams.send_to(asio::buffer(std::string(100, 'q')),
                      {asio::ip::make_address(agent.http_.host_), agent.http_.port_});
    running().driver_.runUntil([&] { return metric(agent.operators_, "garbage") >= before + 2; },
                               std::chrono::seconds(10));
    BOOST_TEST(metric(agent.operators_, "garbage") == before + 2);
    checkServes();
}

BOOST_AUTO_TEST_CASE(aCallerThatGoesAwayFreesItsSlots)
{
    const Address caller = running().fleet_.child("entry-1").http_;
    const lab::ChildProcess &agent = running().fleet_.child("stage-1-1");
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpointOf(caller));
    const std::string body = R"({"template":"quote","prompt":"gone","maxTokens":64})";
    asio::write(socket, asio::buffer("POST /v1/requests HTTP/1.1\r\nHost: x\r\nAccept: "
                                     "text/event-stream\r\nAuthorization: Bearer test-key\r\n"
                                     "Content-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body));
    std::string answer;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(answer), "event: token", error);
    socket.close();
    const bool freed = running().driver_.runUntil(
            [&] { return metric(agent.operators_, "streams") == 0; }, std::chrono::seconds(10));
    BOOST_TEST(freed);
    checkServes();
}
