//! TCP and UDP between the system's own processes.
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

//! Called on the thread of the connection's io_context.
struct MeshHandlers
{
    std::function<void(Message)> onMessage_;
    //! A connection to this address failed or closed; messages in its queue are lost.
    std::function<void(Address)> onPeerDown_;
    //! Bytes that are no frame of this system came in; the connection is closed.
    std::function<void(const std::string &reason)> onGarbage_;
};

//! One outgoing connection per peer, kept open; messages to a peer arrive in order or are lost.
class Mesh
{
public:
    Mesh(std::vector<boost::asio::io_context *> contexts, MeshHandlers handlers);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    //! Accepts connections; port 0 takes a free one. Returns the bound address.
    Result<Address> listen(const Address &address);
    //! Safe from any thread; never blocks.
    void send(const Address &to, const Message &message);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

//! A UDP socket for datagrams of this system.
class DatagramSocket
{
public:
    using Handler = std::function<void(Datagram)>;
    using GarbageHandler = std::function<void(const std::string &reason)>;
    DatagramSocket(boost::asio::io_context &context, Handler handler, GarbageHandler onGarbage);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    Result<Address> bind(const Address &address);
    //! Call on the io_context's thread only.
    void send(const Address &to, const Datagram &datagram);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace gypsumcroft
