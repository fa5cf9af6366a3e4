//! Connection of a caller to RelayServer: read buffer, send buffers and the request in progress.
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

//! How the end of a streamed response's body is marked.
enum class Ending { NoBody, Chunks, Close };

//! State shared by the server and its connections.
struct RelayShared
{
    RelayHandler handler_;
    RelayServerLimits limits_;
    std::unordered_set<RelayConnection *> connections_;
    //! Bytes waiting to be sent on all connections.
    std::size_t waitingBytes_ = 0;
    //! Bytes of incomplete requests on all connections.
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
    //! Closes the connection of this server that has the most bytes waiting to be sent.
    void closeSlowest();
    void writeNext();
    void writeSome();
    void written(boost::system::error_code error, std::size_t size);

    tcp::socket socket_;
    //! Cancelled to resume the coroutine that serves the connection.
    asio::steady_timer wake_;
    std::shared_ptr<RelayShared> shared_;
    ConnectionId id_;
    //! Target of the pending read. Separate from buffer_, which may be consumed during a read.
    std::array<char, ReadBytes> incoming_;
    beast::flat_buffer buffer_;
    //! Bytes to send after sending_.
    std::string waiting_;
    //! Bytes of the write in progress, of which the first sent_ are written.
    std::string sending_;
    std::size_t sent_ = 0;
    //! Bytes waiting to be sent.
    std::size_t waitingBytes_ = 0;
    //! Bytes of the incomplete request.
    std::size_t unfinishedBytes_ = 0;
    //! When the last write completed or the first one started.
    Clock::time_point progressAt_;
    //! When the last request was complete, or else when the connection was accepted.
    Clock::time_point usedAt_ = Clock::now();
    std::function<void()> onGone_;
    Answer answer_ = Answer::None;
    Ending ending_ = Ending::Chunks;
    //! Number of the current request. Calls on a RelayExchange with another number are ignored.
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
