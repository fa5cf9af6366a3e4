//! HTTP client on Boost.Beast with persistent connections.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "core/ids.h"
#include "http/httptypes.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::http {

//! The response to a request, or how far the request got before it failed.
struct ClientResult
{
    std::optional<HttpResponse> response_;
    //! No byte of the request was sent.
    bool notSent_ = false;
    //! The connection was refused, reset or closed: the server process has ended.
    bool connectionLost_ = false;
    //! Why there is no response.
    std::string reason_;
};

//! Default limit of a response body.
inline constexpr std::uint64_t DefaultMaxResponseBytes = 64UL * 1024 * 1024;

struct ClientOptions
{
    //! Limit of the whole exchange.
    std::chrono::milliseconds timeout_ {10000};
    //! Opens a connection for this request alone. On a reused connection a failed request may still
    //! have been sent, and the response may belong to another request.
    bool newConnection_ = false;
    //! Largest response body that is accepted, in bytes.
    std::uint64_t maxResponseBytes_ = DefaultMaxResponseBytes;
    //! Set: each part of the response may take timeout_, and the whole exchange this long. For
    //! large responses on slow links.
    std::optional<std::chrono::milliseconds> maxTotalTime_ {};
};

//! Not thread-safe: call it on the thread of its io_context only. Callbacks run on the same thread,
//! never from within send().
class Client
{
public:
    explicit Client(boost::asio::io_context &context);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    void send(const Address &to, HttpRequest request, ClientOptions options,
              std::function<void(ClientResult)> callback);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
