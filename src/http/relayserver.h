//! HTTP server for requests that are forwarded. Everything runs on the thread of one io_context.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include "core/heldbytes.h"
#include "core/ids.h"
#include "core/result.h"
#include "core/units.h"
#include "http/relaytypes.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::http {

namespace detail {
struct RelayConnection;
}

//! One request and its response. Calls have no effect once the response is complete or the caller
//! has disconnected.
class RelayExchange
{
public:
    explicit RelayExchange(std::shared_ptr<detail::RelayConnection> connection);
    //! Sends a complete response.
    void respond(const ResponseHead &head, const std::string &body);
    //! Starts a response of unknown length, whose body is streamed.
    void startResponse(const ResponseHead &head);
    void writeBody(std::string_view bytes);
    void finishResponse();
    //! Closes the connection so that the caller sees the response as incomplete.
    void abort();
    //! Sets the handler for a connection that is closed before the response is sent completely. It
    //! is called once, never from within a function of this class.
    void onDisconnect(std::function<void()> handler);
    //! True if the caller has closed the connection, even if that has not been read yet.
    bool hasCallerLeft() const;
    //! Time for which the last bytes of the request had lain unread when it was complete.
    Duration readDelay() const { return readDelay_; }
    ConnectionId connectionId() const;
    //! Position of the request on its connection, from 1.
    RequestOrdinal requestOrdinal() const { return {exchangeNumber_}; }

private:
    std::shared_ptr<detail::RelayConnection> connection_;
    std::uint64_t exchangeNumber_ = 0;
    Duration readDelay_ {};
};

using RelayHandler = std::function<void(RelayRequest, std::shared_ptr<RelayExchange>)>;

//! May be changed while the server runs. The limits on a request apply from the next request of
//! each connection.
struct RelayServerLimits
{
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 4UL * 1024 * 1024;
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration bodyTimeout_ = std::chrono::seconds(10);
    Duration idleTimeout_ = std::chrono::seconds(15);
    //! A connection is closed when the caller has received none of its pending bytes for this time.
    Duration sendTimeout_ = std::chrono::seconds(10);
    //! Once it is reached, the connection that has been idle longest is closed to make room. If
    //! none is idle, new connections wait to be accepted.
    std::size_t maxConnections_ = 8192;
    //! Bytes waiting to be sent on all connections. When exceeded, the connection with the most
    //! such bytes is closed.
    std::size_t maxUnsentBytes_ = 64UL * 1024 * 1024;
    //! Bytes of incomplete requests on all connections. When exceeded, or when callers hold more
    //! than their bytes altogether, the largest incomplete requests are refused with 503.
    std::size_t maxIncompleteRequestBytes_ = 64UL * 1024 * 1024;
};

struct RelayServerCounters
{
    //! Incomplete requests refused because callers held too much memory.
    std::uint64_t refusedForMemory_ = 0;
    //! Connections closed because unsent responses took too much memory.
    std::uint64_t closedForMemory_ = 0;
};

class RelayServer
{
public:
    //! callerBytes counts the bytes that are held for callers; without one the server has its own.
    RelayServer(boost::asio::io_context &context, RelayHandler handler,
                std::shared_ptr<ByteBudget> callerBytes = nullptr);
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    Result<Address> listen(const Address &address);
    void setLimits(const RelayServerLimits &limits);
    //! Sends "Connection: close" with every response from now on and closes the connection after
    //! it.
    void closeAfterResponses();
    //! Stops accepting connections and closes those without a request in progress.
    void stopAccepting();
    std::size_t connectionCount() const;
    //! True while bytes of responses haven't been acknowledged by their callers.
    bool hasUndelivered() const;
    //! Bytes waiting to be sent plus bytes of incomplete requests, on all connections.
    std::size_t bufferedBytes() const;
    RelayServerCounters counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
