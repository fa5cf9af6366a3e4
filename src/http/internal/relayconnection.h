//! One caller's connection: what is read, what waits to be sent, and the request in hand.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include "core/ids.h"
#include "http/relayserver.h"

namespace gypsumcroft::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Clock = asio::steady_timer::clock_type;

constexpr std::size_t ReadBytes = 8192;

enum class Answer { None, Begun, Whole };

//! How the body of an answer in parts ends.
enum class Ending { NoBody, Chunks, Close };

//! State that connections share with their server.
struct RelayShared
{
    RelayHandler handler_;
    RelayServerLimits limits_;
    std::unordered_set<RelayConnection *> connections_;
    //! Bytes that wait for callers, and bytes of requests that are not whole yet.
    std::size_t waitingBytes_ = 0;
    std::size_t unfinishedBytes_ = 0;
    std::uint64_t accepted_ = 0;
    bool closing_ = false;
    bool stopped_ = false;
    bool ended_ = false;
};

struct RelayConnection : std::enable_shared_from_this<RelayConnection>
{
    RelayConnection(tcp::socket socket, std::shared_ptr<RelayShared> shared);
    ~RelayConnection();

    void countWaiting(std::size_t bytes);
    void countUnfinished(std::size_t bytes);
    void startRead();
    void close();
    void send(std::string_view bytes);
    //! Gives up the connection with the most bytes waiting.
    void closeSlowest();
    void writeNext();
    void writeSome();
    void written(boost::system::error_code error, std::size_t size);

    tcp::socket socket_;
    asio::steady_timer wake_;
    std::shared_ptr<RelayShared> shared_;
    ConnectionId id_;
    //! A read may be under way while the buffer is consumed, so it has a place of its own.
    std::array<char, ReadBytes> incoming_;
    beast::flat_buffer buffer_;
    std::string waiting_;
    std::string sending_;
    std::size_t sent_ = 0;
    std::size_t waitingBytes_ = 0;
    std::size_t unfinishedBytes_ = 0;
    //! When bytes were last taken by the caller, or began to be sent.
    Clock::time_point progressAt_;
    //! When the last request was taken, or the connection accepted.
    Clock::time_point usedAt_ = Clock::now();
    std::function<void()> onGone_;
    Answer answer_ = Answer::None;
    Ending ending_ = Ending::Chunks;
    //! Counts requests, so that a late answer to an earlier one does nothing.
    std::uint64_t exchange_ = 0;
    bool headRequest_ = false;
    bool knowsChunks_ = true;
    bool keepAlive_ = true;
    bool inHand_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool closed_ = false;
};

} // namespace gypsumcroft::http::detail
