//! HTTP client on Boost.Beast that keeps connections open.
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

//! An answer, or how far the request got.
struct ClientResult
{
    std::optional<HttpResponse> response_;
    //! No byte of the request was sent.
    bool notSent_ = false;
    //! Nobody listens there, or the connection broke: the server is gone.
    bool broken_ = false;
    std::string reason_;
};

//! Largest body of an answer that is taken, in bytes, where a call does not say.
inline constexpr std::uint64_t DefaultMaxAnswerBytes = 64UL * 1024 * 1024;

struct ClientOptions
{
    std::chrono::milliseconds timeout_ {10000};
    //! Opens a connection for this request alone, so that "not sent" is certain and the answer is
    //! to no other request.
    bool freshConnection_ = false;
    std::uint64_t maxAnswerBytes_ = DefaultMaxAnswerBytes;
};

//! Use it on its io_context's thread; callbacks come on that thread, never from within send().
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
