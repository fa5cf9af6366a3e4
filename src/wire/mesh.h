//! TCP and UDP transport between the system's own processes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/result.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft {

//! The handlers run on the thread of the connection's io_context.
struct MeshHandlers
{
    std::function<void(Message)> onMessage_;
    //! The outgoing connection to this address failed or closed, or its queue overflowed; the
    //! queued messages are lost.
    std::function<void(Address)> onPeerDown_;
    //! An incoming connection carried bytes that are not a valid frame; it is closed.
    std::function<void(const std::string &reason)> onMalformedInput_;
};

//! Keeps one outgoing connection open per peer. Messages to a peer arrive in order or are lost.
class Mesh
{
public:
    Mesh(std::vector<boost::asio::io_context *> contexts, MeshHandlers handlers);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    //! Starts to accept connections; port 0 binds a free port. Returns the bound address.
    Result<Address> listen(const Address &address);
    //! Queues the message and connects to the peer if needed. Thread-safe; does not wait for I/O.
    void send(const Address &to, const Message &message);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

//! UDP socket for datagrams between the system's own processes. The handlers run on the
//! io_context's thread.
class DatagramSocket
{
public:
    using Handler = std::function<void(Datagram)>;
    using MalformedInputHandler = std::function<void(const std::string &reason)>;
    DatagramSocket(boost::asio::io_context &context, Handler handler,
                   MalformedInputHandler onMalformedInput);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    //! Binds the socket and starts to receive; port 0 binds a free port. Returns the bound address.
    Result<Address> bind(const Address &address);
    //! Call on the io_context's thread only. Errors are ignored: a datagram may be lost.
    void send(const Address &to, const Datagram &datagram);
    //! Sends the same datagram to several addresses.
    void send(const std::vector<Address> &to, const Datagram &datagram);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft
