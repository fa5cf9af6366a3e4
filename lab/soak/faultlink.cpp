#include "soak/faultlink.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "core/random.h"

namespace gypsumcroft::lab {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace detail {

using std::chrono::milliseconds;

constexpr std::size_t ReadBytes = 64UL * 1024;
constexpr std::size_t FillBytes = 16UL * 1024;
constexpr milliseconds FillGap {1};
constexpr milliseconds MinDelay {5};
constexpr std::uint64_t DelaySpread = 300;
//! While such a fault is in force, one answer in so many is harmed.
constexpr std::uint64_t OneInTruncated = 4;
constexpr std::uint64_t OneInTwice = 2;
constexpr std::uint64_t OneInEndless = 8;
constexpr std::string_view AnswerStart = "HTTP/1.1 ";
constexpr std::string_view EndOfHead = "\r\n\r\n";

struct Pair
{
    explicit Pair(asio::io_context &context) : near_(context), far_(context) { }

    //! Resets both connections.
    void reset()
    {
        for (tcp::socket *socket : {&near_, &far_}) {
            boost::system::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    tcp::socket near_;
    tcp::socket far_;
    //! A second copy of an answer, sent once the next request is on its way.
    std::string late_;
    bool writingBack_ = false;
};
using PairPtr = std::shared_ptr<Pair>;

struct LinkState
{
    LinkState(asio::io_context &context, const Address &to, std::uint64_t seed)
        : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          changed_(context, asio::steady_timer::time_point::max()), to_(to), random_ {seed}
    { }

    bool has(FaultKind kind) const { return active_[static_cast<std::size_t>(kind)] > 0; }
    bool draw(FaultKind kind, std::uint64_t oneIn)
    {
        return has(kind) && randomBelow(random_, oneIn) == 0;
    }
    bool holds(bool back) const
    {
        return has(FaultKind::Silence)
               || has(back ? FaultKind::HoldAnswers : FaultKind::HoldRequests);
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    //! Cancelled whenever a fault begins or ends.
    asio::steady_timer changed_;
    Address to_;
    Random random_;
    std::array<int, FaultKinds> active_ {};
    std::vector<std::weak_ptr<Pair>> pairs_;
};
using LinkPtr = std::shared_ptr<LinkState>;

namespace {

asio::awaitable<void> pass(LinkPtr link, bool back)
{
    boost::system::error_code ignored;
    if (link->has(FaultKind::Delay)) {
        asio::steady_timer timer(link->context_,
                                 MinDelay + milliseconds(randomBelow(link->random_, DelaySpread)));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    while (link->holds(back))
        co_await link->changed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string lineOf(const std::string &head, std::string_view name)
{
    const auto at = head.find(name);
    return at == std::string::npos ? std::string()
                                   : head.substr(at, head.find("\r\n", at) + 2 - at);
}

//! The answer if it is whole in these bytes.
std::optional<std::string> wholeAnswer(const std::string &bytes)
{
    const auto end = bytes.find(EndOfHead);
    const std::string line = lineOf(bytes, "Content-Length: ");
    if (end == std::string::npos || line.empty())
        return std::nullopt;
    const auto length = std::stoull(line.substr(line.find(' ')));
    const bool whole = bytes.size() == end + EndOfHead.size() + length;
    return whole ? std::optional(bytes) : std::nullopt;
}

void planSecondAnswer(LinkState &link, Pair &pair, const std::string &bytes)
{
    const bool unnamed = link.draw(FaultKind::AnswerTwiceUnnamed, OneInTwice);
    if (!unnamed && !link.draw(FaultKind::AnswerTwice, OneInTwice))
        return;
    std::string copy = wholeAnswer(bytes).value_or("");
    const std::string line = lineOf(copy, "X-Request-Id: ");
    if (unnamed && !line.empty())
        copy.erase(copy.find(line), line.size());
    pair.late_ = std::move(copy);
}

//! Sends bytes of a head or a body until the other side closes.
asio::awaitable<void> sendEndlessly(LinkPtr link, PairPtr pair, std::string begin, bool body)
{
    const std::string text(FillBytes, 'x');
    const std::string head = "X-Fill: " + text + "\r\n";
    const std::string chunk = "4000\r\n" + text + "\r\n";
    boost::system::error_code error;
    std::string next = std::move(begin);
    while (!error) {
        co_await asio::async_write(pair->near_, asio::buffer(next),
                                   asio::redirect_error(asio::use_awaitable, error));
        next = body ? chunk : head;
        asio::steady_timer timer(link->context_, FillGap);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

//! False when the connection was given up.
asio::awaitable<bool> harmAnswer(LinkPtr link, PairPtr pair, std::string &bytes)
{
    if (link->draw(FaultKind::Truncate, OneInTruncated)) {
        boost::system::error_code ignored;
        co_await asio::async_write(pair->near_, asio::buffer(bytes, bytes.size() / 2),
                                   asio::redirect_error(asio::use_awaitable, ignored));
        pair->near_.close(ignored);
        co_return false;
    }
    if (!bytes.starts_with(AnswerStart))
        co_return true;
    if (link->draw(FaultKind::EndlessHead, OneInEndless)) {
        co_await sendEndlessly(link, pair, "HTTP/1.1 200 OK\r\n", false);
        co_return false;
    }
    if (link->draw(FaultKind::EndlessBody, OneInEndless)) {
        co_await sendEndlessly(link, pair,
                               "HTTP/1.1 200 OK\r\n" + lineOf(bytes, "X-Request-Id: ")
                                       + lineOf(bytes, "X-Response-Stamp: ")
                                       + "Transfer-Encoding: chunked\r\n\r\n",
                               true);
        co_return false;
    }
    planSecondAnswer(*link, *pair, bytes);
    co_return true;
}

asio::awaitable<void> sendLateAnswer(const LinkState &link, Pair &pair)
{
    const bool inForce
            = link.has(FaultKind::AnswerTwice) || link.has(FaultKind::AnswerTwiceUnnamed);
    const std::string late = std::exchange(pair.late_, {});
    if (late.empty() || pair.writingBack_ || !inForce)
        co_return;
    boost::system::error_code ignored;
    co_await asio::async_write(pair.near_, asio::buffer(late),
                               asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> carry(LinkPtr link, PairPtr pair, bool back)
{
    tcp::socket &from = back ? pair->far_ : pair->near_;
    tcp::socket &to = back ? pair->near_ : pair->far_;
    std::vector<char> buffer(ReadBytes);
    boost::system::error_code error;
    while (true) {
        const std::size_t size = co_await from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        co_await pass(link, back);
        if (error)
            break;
        std::string bytes(buffer.data(), size);
        pair->writingBack_ = pair->writingBack_ || back;
        if (back && !co_await harmAnswer(link, pair, bytes))
            co_return pair->reset();
        if (!back)
            co_await sendLateAnswer(*link, *pair);
        co_await asio::async_write(to, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        pair->writingBack_ = pair->writingBack_ && !back;
        if (error)
            break;
    }
    if (error != asio::error::eof)
        co_return pair->reset();
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> carryBoth(LinkPtr link, PairPtr pair)
{
    boost::system::error_code error;
    co_await pair->far_.async_connect({asio::ip::make_address(link->to_.host_), link->to_.port_},
                                      asio::redirect_error(asio::use_awaitable, error));
    if (error || link->has(FaultKind::Reset))
        co_return pair->reset();
    for (tcp::socket *socket : {&pair->near_, &pair->far_})
        socket->set_option(tcp::no_delay(true), error);
    asio::co_spawn(link->context_, carry(link, pair, true), asio::detached);
    co_await carry(link, pair, false);
}

asio::awaitable<void> acceptAll(LinkPtr link)
{
    while (true) {
        auto pair = std::make_shared<Pair>(link->context_);
        boost::system::error_code error;
        co_await link->acceptor_.async_accept(pair->near_,
                                              asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        std::erase_if(link->pairs_, [](const auto &known) { return known.expired(); });
        link->pairs_.push_back(pair);
        asio::co_spawn(link->context_, carryBoth(link, pair), asio::detached);
    }
}

} // namespace
} // namespace detail

FaultLink::FaultLink(asio::io_context &context, const Address &to, std::uint64_t seed)
    : state_(std::make_shared<detail::LinkState>(context, to, seed))
{
    asio::co_spawn(context, detail::acceptAll(state_), asio::detached);
}

Address FaultLink::address() const
{
    return {"127.0.0.1", state_->acceptor_.local_endpoint().port()};
}

void FaultLink::begin(FaultKind kind)
{
    ++state_->active_[static_cast<std::size_t>(kind)];
    state_->changed_.cancel();
    if (kind != FaultKind::Reset)
        return;
    for (const auto &known : state_->pairs_) {
        if (const auto pair = known.lock())
            pair->reset();
    }
}

void FaultLink::end(FaultKind kind)
{
    --state_->active_[static_cast<std::size_t>(kind)];
    state_->changed_.cancel();
}

} // namespace gypsumcroft::lab
