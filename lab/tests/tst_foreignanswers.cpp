//! A program that is no server of the platform, at the address of a complete entry of the list.
#include <atomic>
#include <thread>

#include <boost/asio.hpp>

#include "gatewayfixture.h"

using namespace gypsumcroft;
using lab::Answer;
using lab::ask;
using lab::tests::countInLog;
using lab::tests::waitFor;
using Fixture = lab::tests::GatewayFixture;
namespace asio = boost::asio;

namespace {

//! Answers each request with a success without a stamp.
class ForeignProgram
{
public:
    ForeignProgram()
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this] { serve(); })
    { }
    ~ForeignProgram()
    {
        stopping_ = true;
        boost::system::error_code ignored;
        asio::ip::tcp::socket(context_).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    //! Its entry has more slots than the servers'.
    std::string entry() const
    {
        return R"({"Service":"desk","Address":"127.0.0.1:)"
               + std::to_string(acceptor_.local_endpoint().port())
               + R"(","Zone":"a","Slots":64,"State":"ready","Version":"v1","Sequence":1})";
    }
    std::size_t requests() const { return requests_; }

private:
    void serve()
    {
        constexpr std::string_view Text = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
        while (!stopping_) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket = acceptor_.accept(error);
            if (error || stopping_)
                return;
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            if (request.starts_with("POST /book/"))
                ++requests_;
            asio::write(socket, asio::buffer(Text), error);
        }
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> requests_ = 0;
    std::thread thread_;
};

} // namespace

// Guards against a foreign program's success that is passed on to the caller (review/2): every
// booking that is answered with a success has run at a server.
BOOST_FIXTURE_TEST_CASE(aForeignSuccessIsNotPassedOn, Fixture)
{
    const ForeignProgram foreign;
    // Among idle endpoints the first one by its id gets the request; the servers' begin with "i".
    platform_.putOddEntry("a-foreign", foreign.entry());
    int number = 0;
    BOOST_TEST(waitFor([&] {
        const std::string id = "booking-" + std::to_string(number++);
        const Answer answer = ask(gateways_[0]->callers_, "POST", "/book/x", id, "key");
        BOOST_TEST((answer.status_ != "HTTP/1.1 200" || runsOf(id) == 1));
        return foreign.requests() > 0;
    }));
    BOOST_TEST(
            waitFor([&] { return countInLog(*gateways_[0], "success without the endpoint") > 0; }));
}
