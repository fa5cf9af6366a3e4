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

//! One request in hand and the way to answer it. All functions are safe from any thread and do
//! nothing once the answer is whole or the caller is gone.
class Exchange
{
public:
    explicit Exchange(std::shared_ptr<detail::Connection> connection);
    void respond(HttpResponse response);
    //! Begins an answer of server-sent events.
    void startEvents();
    void sendEvent(const std::string &event, const std::string &data);
    void finishEvents();
    //! Called at most once, on the connection's thread, if the caller closes before the end.
    void onGone(std::function<void()> handler);

private:
    std::shared_ptr<detail::Connection> connection_;
    std::uint64_t exchange_ = 0;
};

using Handler = std::function<void(HttpRequest, std::shared_ptr<Exchange>)>;

struct ServerOptions
{
    std::uint64_t maxBodyBytes_ = 1024UL * 1024;
    std::uint32_t maxHeaderBytes_ = 16 * 1024;
    //! A request must arrive whole within this time.
    std::chrono::milliseconds readTimeout_ {10000};
    //! An idle connection is closed after this time.
    std::chrono::milliseconds idleTimeout_ {60000};
};

class Server
{
public:
    Server(std::vector<boost::asio::io_context *> contexts, Handler handler,
           ServerOptions options = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    //! Accepts connections; port 0 takes a free one. Returns the bound address.
    Result<Address> listen(const Address &address);
    //! Stops accepting; open exchanges go on.
    void stopAccepting();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
