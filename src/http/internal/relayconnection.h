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

#include "core/heldbytes.h"
#include "core/ids.h"
#include "http/relayserver.h"

namespace gypsumcroft::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using Clock = asio::steady_timer::clock_type;

constexpr std::size_t ReadBytes = 8192;

enum class ResponseProgress { NotStarted, Started, Complete };

//! How the end of a streamed response's body is marked.
enum class BodyFraming { NoBody, Chunked, UntilClose };

//! State shared by the server and its connections.
struct RelayServerState
{
    RelayHandler handler_;
    RelayServerLimits limits_;
    std::unordered_set<RelayConnection *> connections_;
    //! Bytes held for all callers.
    std::shared_ptr<ByteBudget> callerBytes_;
    //! Bytes waiting to be sent on all connections.
    std::size_t unsentBytes_ = 0;
    //! Bytes of incomplete requests on all connections.
    std::size_t incompleteRequestBytes_ = 0;
    std::uint64_t accepted_ = 0;
    bool closeAfterResponses_ = false;
    bool acceptingStopped_ = false;
    bool serverDestroyed_ = false;
    RelayServerCounters counters_;
};

struct RelayConnection : std::enable_shared_from_this<RelayConnection>
{
    RelayConnection(tcp::socket socket, std::shared_ptr<RelayServerState> shared);
    ~RelayConnection();

    void setUnsentBytes(std::size_t bytes);
    void setIncompleteRequestBytes(std::size_t bytes);
    //! Counts the bytes that the connection holds now for its caller.
    void countHeld();
    //! Gives back the memory of the read buffer if nothing is left in it.
    void releaseReadBuffer();
    void startRead();
    //! Reads pipelined requests, as far as limits allow.
    void readAhead();
    void close();
    void send(std::string bytes);
    //! Closes the connection of this server that has the most bytes waiting to be sent.
    void closeSlowest();
    void writeNext();
    void writeSome();
    void onWritten(boost::system::error_code error, std::size_t size);

    tcp::socket socket_;
    //! Cancelled to resume the coroutine that serves the connection.
    asio::steady_timer wakeTimer_;
    std::shared_ptr<RelayServerState> shared_;
    ConnectionId id_;
    //! Target of the pending read. Separate from buffer_, which may be consumed during a read.
    std::array<char, ReadBytes> readBuffer_;
    beast::flat_buffer buffer_;
    //! Bytes to send after sending_.
    std::string unsent_;
    //! Bytes of the write in progress, of which the first sent_ are written.
    std::string sending_;
    std::size_t sent_ = 0;
    //! Bytes waiting to be sent.
    std::size_t unsentBytes_ = 0;
    //! Bytes of the incomplete request.
    std::size_t incompleteRequestBytes_ = 0;
    HeldBytes held_;
    //! When the last write completed or the first one started.
    Clock::time_point progressAt_;
    //! When the last request was complete, or else when the connection was accepted.
    Clock::time_point lastRequestAt_ = Clock::now();
    std::function<void()> onDisconnect_;
    ResponseProgress responseProgress_ = ResponseProgress::NotStarted;
    BodyFraming bodyFraming_ = BodyFraming::Chunked;
    //! Number of the current request. Calls on a RelayExchange with another number are ignored.
    std::uint64_t exchangeNumber_ = 0;
    bool headRequest_ = false;
    bool supportsChunked_ = true;
    bool keepAlive_ = true;
    bool requestInProgress_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool closed_ = false;
    //! The incomplete request is to be refused, because callers hold too much memory.
    bool refusedForMemory_ = false;
};

} // namespace gypsumcroft::http::detail
