//! HTTP server for requests that are passed on. Everything runs on one io_context's thread.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

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

//! One request and the way to answer it. Calls do nothing once the answer is whole or the caller
//! is gone.
class RelayExchange
{
public:
    explicit RelayExchange(std::shared_ptr<detail::RelayConnection> connection);
    //! Sends a whole answer.
    void answer(const RelayHead &head, const std::string &body);
    //! Begins an answer of unknown length.
    void begin(const RelayHead &head);
    void write(std::string_view bytes);
    void finish();
    //! Closes the connection, so that the answer can't be taken for a whole one.
    void breakOff();
    //! Called once, never from within a call, if the caller closes before the answer is whole.
    void onGone(std::function<void()> handler);
    ConnectionId connection() const;
    RequestOrdinal ordinal() const { return {exchange_}; }

private:
    std::shared_ptr<detail::RelayConnection> connection_;
    std::uint64_t exchange_ = 0;
};

using RelayHandler = std::function<void(RelayRequest, std::shared_ptr<RelayExchange>)>;

//! May change while the server runs; connections take them up with their next request.
struct RelayServerLimits
{
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    std::uint64_t maxBodyBytes_ = 4UL * 1024 * 1024;
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration bodyTimeout_ = std::chrono::seconds(10);
    Duration idleTimeout_ = std::chrono::seconds(15);
    //! A caller that takes none of the bytes that wait for it is given up on after this time.
    Duration sendTimeout_ = std::chrono::seconds(10);
    //! Beyond these, connections that have been idle for longest end, then callers wait.
    std::size_t maxConnections_ = 8192;
    //! Bytes that wait for all callers; beyond these the caller that is most behind is given up.
    std::size_t maxWaitingBytes_ = 64UL * 1024 * 1024;
    //! Bytes of all requests that are not whole yet; beyond these they are refused.
    std::size_t maxUnfinishedBytes_ = 64UL * 1024 * 1024;
};

class RelayServer
{
public:
    RelayServer(boost::asio::io_context &context, RelayHandler handler);
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    Result<Address> listen(const Address &address);
    void setLimits(const RelayServerLimits &limits);
    //! From now on answers say that the connection closes after them.
    void closeAfterAnswers();
    //! Stops accepting and closes connections without a request in hand.
    void stopAccepting();
    std::size_t connections() const;
    //! Bytes that wait for callers, and bytes of requests that are not whole yet.
    std::size_t bytesHeld() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
