//! HTTP client that hands an answer on as it arrives. Everything runs on one io_context's thread.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "core/units.h"
#include "http/relaytypes.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::http {

enum class RelayFailure : std::uint8_t {
    //! No byte was sent: nobody listens, or no connection came about in time.
    NotSent,
    //! The connection broke after the request was sent.
    Broken,
    //! What came is no answer in the protocol.
    Garbled,
};

//! How a call's connection was come by, and what came on it beside the call's own answer.
struct RelayTrace
{
    bool kept_ = false;
    //! Answers to other requests.
    std::uint32_t strays_ = 0;
};

struct RelayCallRequest
{
    Address to_;
    RelayRequest request_;
    //! Never uses a kept connection.
    bool freshConnection_ = false;
    //! The server echoes this header; an answer with another value belongs to another request, and
    //! one without the header counts only as the first on its connection. A request without it
    //! gets a connection of its own.
    std::string echoHeader_;
    std::string echoValue_;
};

//! Called on the client's thread, never from within a call of the client.
struct RelayCallHandlers
{
    std::function<void(RelayHead)> onHead_;
    std::function<void(std::string_view)> onBody_;
    //! The answer is whole.
    std::function<void()> onDone_;
    std::function<void(RelayFailure, std::string reason)> onFailed_;
};

namespace detail {
struct RelayCallState;
}

//! A call in hand.
class RelayCall
{
public:
    RelayCall() = default;
    explicit RelayCall(std::shared_ptr<detail::RelayCallState> state);
    //! Closes the connection; no handler is called after it.
    void cancel();
    RelayTrace trace() const;

private:
    std::shared_ptr<detail::RelayCallState> state_;
};

struct RelayClientOptions
{
    Duration connectTimeout_ = std::chrono::milliseconds(250);
    std::size_t maxIdlePerServer_ = 16;
};

class RelayClient
{
public:
    RelayClient(boost::asio::io_context &context, RelayClientOptions options = {});
    ~RelayClient();
    RelayClient(const RelayClient &) = delete;
    RelayClient &operator=(const RelayClient &) = delete;

    RelayCall send(RelayCallRequest request, RelayCallHandlers handlers);
    //! Connections that were opened since the start.
    std::uint64_t opened() const;
    //! Answers to other requests that have come since the start.
    std::uint64_t strays() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
