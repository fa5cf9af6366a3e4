//! HTTP server on Boost.Beast.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "http/httptypes.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::http {

namespace detail {
struct Connection;
}

//! One request and its response. All functions are thread-safe and have no effect once the response
//! is complete or the caller has disconnected.
class Exchange
{
public:
    explicit Exchange(std::shared_ptr<detail::Connection> connection);
    void respond(HttpResponse response);
    //! Starts a response of server-sent events.
    void startEvents();
    void sendEvent(const std::string &event, const std::string &data);
    void finishEvents();
    //! Sets the handler for a connection that is closed before the response is sent completely. It
    //! is called at most once, on the connection's thread.
    void onDisconnect(std::function<void()> handler);

private:
    std::shared_ptr<detail::Connection> connection_;
    std::uint64_t exchangeNumber_ = 0;
};

using Handler = std::function<void(HttpRequest, std::shared_ptr<Exchange>)>;

struct ServerOptions
{
    std::uint64_t maxBodyBytes_ = 1024UL * 1024;
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    //! Longest time from the first byte of a request to its last.
    std::chrono::milliseconds readTimeout_ {10000};
    //! Longest time without a request before the connection is closed.
    std::chrono::milliseconds idleTimeout_ {60000};
    //! Longest time for a caller to receive a response, or one piece of a stream of events.
    std::chrono::milliseconds sendTimeout_ {60000};
};

class Server
{
public:
    Server(std::vector<boost::asio::io_context *> contexts, Handler handler,
           ServerOptions options = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    //! Starts accepting connections and returns the bound address. Port 0 selects a free port.
    Result<Address> listen(const Address &address);
    //! Stops accepting connections; requests in progress continue.
    void stopAccepting();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
