#include "soak/callers.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/internal/messagereader.h"

namespace gypsumcroft::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace detail {

using std::chrono::milliseconds;
using AnswerParser = http::detail::MessageParser<false, beast::http::string_body>;

constexpr std::size_t MaxAnswerBytes = 256UL * 1024;
constexpr milliseconds ReconnectGap {30};
constexpr milliseconds MinDeadline {600};
constexpr std::uint64_t DeadlineSpread = 3000;
//! A gateway that runs undisturbed has answered by the deadline and this margin.
constexpr milliseconds AnswerMargin {1000};
constexpr std::uint64_t OneInLeaving = 25;
constexpr std::uint64_t LeaveSpread = 150;
constexpr std::uint64_t OneInTwoPieces = 4;
constexpr std::uint64_t OneInChangingKey = 4;
constexpr std::uint64_t OneInMovingOn = 60;
//! Keys before the newest that callers still use.
constexpr std::size_t OldKeysInUse = 2;
constexpr unsigned Unauthorized = 401;
constexpr unsigned Forbidden = 403;
constexpr unsigned NotFound = 404;

struct Caller
{
    Caller(asio::io_context &context, CallersState &state, std::uint32_t number)
        : context_(context), state_(state), number_(number), random_ {state.seed_ * 1000 + number},
          socket_(context)
    { }

    asio::io_context &context_;
    CallersState &state_;
    std::uint32_t number_;
    Random random_;
    std::uint64_t sent_ = 0;
    std::uint32_t gateway_ = 0;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
};
using CallerPtr = std::shared_ptr<Caller>;

namespace {

std::string drawKey(Caller &caller)
{
    const auto &keys = caller.state_.keys_;
    if (keys.size() < 2 || randomBelow(caller.random_, OneInChangingKey) != 0)
        return keys.front();
    const std::size_t oldest = keys.size() > OldKeysInUse + 1 ? keys.size() - 1 - OldKeysInUse : 1;
    return keys[oldest + randomBelow(caller.random_, keys.size() - oldest)];
}

RequestRecord &nextRequest(Caller &caller)
{
    const std::string id = "s" + std::to_string(caller.state_.seed_) + "-c"
                           + std::to_string(caller.number_) + "-" + std::to_string(++caller.sent_);
    RequestRecord &request = caller.state_.requests_[id];
    request.id_ = id;
    request.kind_ = static_cast<RequestKind>(randomBelow(caller.random_, 3));
    request.key_ = drawKey(caller);
    request.gateway_ = caller.gateway_;
    request.deadline_ = MinDeadline + milliseconds(randomBelow(caller.random_, DeadlineSpread));
    request.sentAt_ = SoakClock::now();
    return request;
}

void report(Caller &caller, const RequestRecord &request, const std::string &what)
{
    caller.state_.onFinding_(
            {what, SoakClock::now(), request.id_, "g" + std::to_string(request.gateway_ + 1), ""});
}

std::optional<std::string> headerOf(const AnswerParser &parser, std::string_view name)
{
    const auto found = parser.get().find(name);
    if (found == parser.get().end())
        return std::nullopt;
    return std::string(found->value());
}

asio::awaitable<boost::system::error_code> write(CallerPtr caller, const RequestRecord &request)
{
    const std::string body = bodyOf(request.id_);
    const std::string head = requestHead(request, body.size());
    boost::system::error_code error;
    if (randomBelow(caller->random_, OneInTwoPieces) != 0) {
        co_await asio::async_write(caller->socket_, asio::buffer(head + body),
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }
    co_await asio::async_write(caller->socket_, asio::buffer(head),
                               asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer pause(caller->context_, milliseconds(2));
    co_await pause.async_wait(asio::use_awaitable);
    if (!error)
        co_await asio::async_write(caller->socket_, asio::buffer(body),
                                   asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

void takeAnswer(Caller &caller, RequestRecord &request, const AnswerParser &parser)
{
    request.ending_ = Ending::Answered;
    request.status_ = parser.get().result_int();
    const SeenAnswer answer {request.status_, headerOf(parser, "X-Request-Id"),
                             headerOf(parser, "X-Response-Stamp"), parser.get().body()};
    if (const auto fault = judgeAnswer(request, answer))
        report(caller, request, *fault);
    const bool denied = request.status_ == Unauthorized || request.status_ == Forbidden
                        || request.status_ == NotFound;
    if (denied && request.key_ == caller.state_.keys_.front())
        report(caller, request, "denied: " + std::to_string(request.status_));
}

//! How the connection ended before the answer was whole.
void takeBreak(Caller &caller, RequestRecord &request, boost::system::error_code error,
               bool patienceOver, bool leaves)
{
    if (patienceOver) {
        request.ending_ = leaves ? Ending::Left : Ending::Unanswered;
        if (!leaves && caller.state_.wasCalm_(request.gateway_, request.sentAt_, request.endedAt_))
            report(caller, request,
                   "not answered " + std::to_string(AnswerMargin.count())
                           + " ms after the deadline of "
                           + std::to_string(request.deadline_.count()) + " ms");
        return;
    }
    const bool cut = error.category() == boost::system::system_category()
                     || error.category() == asio::error::get_misc_category()
                     || error == beast::http::error::end_of_stream
                     || error == beast::http::error::partial_message
                     || error == beast::http::error::body_limit;
    if (!cut)
        report(caller, request, "bytes that are no answer: " + error.message());
}

//! One request; false when the connection is not to be used again.
asio::awaitable<bool> exchange(CallerPtr caller)
{
    RequestRecord &request = nextRequest(*caller);
    const bool leaves = randomBelow(caller->random_, OneInLeaving) == 0;
    const milliseconds patience = leaves ? milliseconds(randomBelow(caller->random_, LeaveSpread))
                                         : request.deadline_ + AnswerMargin;
    auto over = std::make_shared<bool>(false);
    auto answered = std::make_shared<bool>(false);
    asio::steady_timer timer(caller->context_, patience);
    timer.async_wait([caller, over, answered](boost::system::error_code cancelled) {
        boost::system::error_code ignored;
        if (cancelled || *answered)
            return;
        *over = true;
        caller->socket_.close(ignored);
    });
    boost::system::error_code error = co_await write(caller, request);
    AnswerParser parser;
    parser.body_limit(MaxAnswerBytes);
    if (!error)
        error = co_await http::detail::readMessage(caller->socket_, caller->buffer_, parser, [] {});
    // The timer may have run out already without its handler having been called.
    *answered = true;
    timer.cancel();
    request.endedAt_ = SoakClock::now();
    if (error) {
        takeBreak(*caller, request, error, *over, leaves);
        co_return false;
    }
    takeAnswer(*caller, request, parser);
    if (!*over && caller->buffer_.size() > 0)
        report(*caller, request, "bytes behind the answer");
    co_return !*over && parser.get().keep_alive();
}

asio::awaitable<void> runCaller(CallerPtr caller)
{
    CallersState &state = caller->state_;
    ++state.running_;
    while (!state.stopping_) {
        caller->gateway_
                = static_cast<std::uint32_t>(randomBelow(caller->random_, state.gateways_.size()));
        const Address &to = state.gateways_[caller->gateway_];
        caller->socket_ = tcp::socket(caller->context_);
        caller->buffer_.clear();
        boost::system::error_code error;
        co_await caller->socket_.async_connect({asio::ip::make_address(to.host_), to.port_},
                                               asio::redirect_error(asio::use_awaitable, error));
        bool open = !error;
        while (open && !state.stopping_ && randomBelow(caller->random_, OneInMovingOn) != 0)
            open = co_await exchange(caller);
        caller->socket_.close(error);
        asio::steady_timer gap(caller->context_, ReconnectGap);
        co_await gap.async_wait(asio::use_awaitable);
    }
    --state.running_;
}

} // namespace
} // namespace detail

void startCaller(asio::io_context &context, CallersState &state, std::uint32_t number)
{
    asio::co_spawn(context,
                   detail::runCaller(std::make_shared<detail::Caller>(context, state, number)),
                   asio::detached);
}

} // namespace gypsumcroft::lab
