//! HTTP client that passes on a response while it is being received. Everything runs on the thread
//! of one io_context.
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
    //! No byte was sent: no connection was established.
    NotSent,
    //! The connection was lost while the request was sent or the response received.
    ConnectionLost,
    //! No valid HTTP response to this request was received, or it exceeded a limit of size or time.
    ProtocolError,
};

//! Details about the connection of a call, for diagnosis.
struct RelayCallInfo
{
    //! The connection had carried earlier requests.
    bool connectionReused_ = false;
    //! Responses during this call that did not match its request: with the id of another request,
    //! or without an id although not the first on their connection.
    std::uint32_t unmatchedResponses_ = 0;
};

struct RelayCallRequest
{
    Address address_;
    //! Name of the server at the address. Only connections to a server of this name are reused,
    //! because another server may use the address later.
    std::string serverName_;
    RelayRequest request_;
    //! Opens a new connection instead of reusing an idle one.
    bool newConnection_ = false;
    //! Header field that the server copies from the request into the response. A response with
    //! another value belongs to another request; one without the field is accepted only as the
    //! first response on its connection. If empty, a new connection is opened for the request.
    std::string correlationHeader_;
    std::string correlationId_;
};

//! Called on the client's thread, never from within RelayClient::send() or RelayCall::cancel().
struct RelayCallHandlers
{
    //! Optional. Asked before a connection is taken and again before the request is written, which
    //! may be much later. If it returns false the call has ended: nothing was sent, and no other
    //! handler is called.
    std::function<bool()> maySend_;
    std::function<void(ResponseHead)> onHead_;
    std::function<void(std::string_view)> onBody_;
    //! The response is complete.
    std::function<void()> onComplete_;
    std::function<void(RelayFailure, std::string reason)> onFailed_;
};

namespace detail {
struct RelayCallState;
}

//! Handle to a call: a request and its response.
class RelayCall
{
public:
    RelayCall() = default;
    explicit RelayCall(std::shared_ptr<detail::RelayCallState> state);
    //! Closes the connection; no handler is called afterwards.
    void cancel();
    RelayCallInfo info() const;

private:
    std::shared_ptr<detail::RelayCallState> state_;
};

struct RelayClientOptions
{
    Duration connectTimeout_ = std::chrono::milliseconds(250);
    //! Number of idle connections that are kept for reuse, for each server address.
    std::size_t maxIdleConnectionsPerServer_ = 16;
    //! Number of idle connections to all servers; above it the least recently used one is closed.
    //! A fifth of the descriptors of a small gateway (2,870).
    std::size_t maxIdleConnections_ = 512;
};

//! Whether a server of this address and name is still in use.
using RelayServerFilter = std::function<bool(const Address &, const std::string &serverName)>;

class RelayClient
{
public:
    RelayClient(boost::asio::io_context &context, RelayClientOptions options = {});
    ~RelayClient();
    RelayClient(const RelayClient &) = delete;
    RelayClient &operator=(const RelayClient &) = delete;

    RelayCall send(RelayCallRequest request, RelayCallHandlers handlers);
    //! Closes the idle connections to servers that are not known, those that the server has closed
    //! and those that have become too old. To be called regularly, because the connection of a call
    //! in progress becomes idle later.
    void closeIdleExcept(const RelayServerFilter &isKnown);
    std::size_t idleConnections() const;
    //! Number of connections opened by this client.
    std::uint64_t connectionsOpened() const;
    //! Number of responses received by this client that did not match the request of their call.
    std::uint64_t unmatchedResponses() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft::http
