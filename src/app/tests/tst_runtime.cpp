// An exception out of one handler ends that handler; the threads, tickers and all later handlers go
// on.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

#include "../internal/runtime.h"

using namespace gypsumcroft;
using namespace gypsumcroft::detail;

namespace {

enum class Thread : std::uint8_t { Control, Traffic };
enum class Source : std::uint8_t { Handler, Ticker, Mailbox };

struct ErrorCase
{
    const char *name_;
    Thread thread_;
    Source source_;
};

std::ostream &operator<<(std::ostream &out, const ErrorCase &test)
{
    return out << test.name_;
}

const ErrorCase ErrorCases[] = {
        {"a handler on the control thread", Thread::Control, Source::Handler},
        {"a handler on a traffic thread", Thread::Traffic, Source::Handler},
        {"a ticker on the control thread", Thread::Control, Source::Ticker},
        {"a ticker on a traffic thread", Thread::Traffic, Source::Ticker},
        {"a note in the mailbox", Thread::Control, Source::Mailbox},
};

//! Fails the first three times.
struct Failing
{
    int calls_ = 0;

    void call()
    {
        if (++calls_ <= 3)
            throw std::runtime_error("unforeseen");
    }
};

} // namespace

BOOST_DATA_TEST_CASE(anErrorEndsOnlyItsHandler, ErrorCases, test)
{
    constexpr int Calls = 6;
    Runtime runtime(1);
    asio::io_context &context
            = test.thread_ == Thread::Control ? runtime.control() : *runtime.traffic().front();
    Failing failing;
    const auto stopWhenDone = [&] {
        if (failing.calls_ >= Calls)
            runtime.stop();
    };
    std::optional<Ticker> ticker;
    Mailbox<int> mailbox(runtime.control(), [&](int) {
        failing.call();
        stopWhenDone();
    });
    if (test.source_ == Source::Ticker)
        ticker.emplace(context, [&] {
            failing.call();
            stopWhenDone();
            return Duration(std::chrono::milliseconds(1));
        });
    for (int i = 0; i < Calls && test.source_ == Source::Handler; ++i)
        asio::post(context, [&] {
            failing.call();
            stopWhenDone();
        });
    for (int i = 0; i < Calls && test.source_ == Source::Mailbox; ++i)
        mailbox.push(i);
    callLater(runtime.control(), std::chrono::seconds(5), [&] { runtime.stop(); });
    runtime.run();
    BOOST_TEST(failing.calls_ >= Calls);
}
