#include "wire/mesh.h"

#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <boost/asio.hpp>

#include "wire/codec.h"

namespace gypsumcroft {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace detail {

//! Size limit of the frames queued for one peer; above it the connection fails.
constexpr std::size_t MaxQueuedBytes = 64UL * 1024 * 1024;
//! The buffer of a payload grows by at most this much ahead of the received bytes.
constexpr std::size_t MaxBufferGrowthBytes = 64UL * 1024;
constexpr std::chrono::milliseconds AcceptRetryDelay {20};
//! Datagrams that are taken from a socket before they are handled.
constexpr std::size_t MaxDatagramsPerTurn = 512;

//! An outgoing connection. Not thread-safe: all members are used on its io_context's single thread.
struct PeerConnection : std::enable_shared_from_this<PeerConnection>
{
    PeerConnection(asio::io_context &context, Address to, std::function<void(Address)> onDown)
        : context_(context), to_(std::move(to)), onDown_(std::move(onDown))
    { }

    void enqueue(std::string frame)
    {
        if (queuedBytes_ + frame.size() > MaxQueuedBytes)
            return fail();
        queuedBytes_ += frame.size();
        queue_.push_back(std::make_shared<const std::string>(std::move(frame)));
        if (!open_ && !connecting_)
            connect();
        else if (open_ && !writing_)
            write();
    }

    void connect()
    {
        boost::system::error_code error;
        const auto host = asio::ip::make_address(to_.host_, error);
        if (error)
            return fail();
        connecting_ = true;
        socket_ = std::make_shared<tcp::socket>(context_);
        socket_->async_connect({host, to_.port_}, [self = shared_from_this(), socket = socket_](
                                                          boost::system::error_code result) {
            if (self->socket_ == socket)
                self->connected(result);
        });
    }

    void connected(boost::system::error_code error)
    {
        connecting_ = false;
        if (error)
            return fail();
        boost::system::error_code ignored;
        socket_->set_option(tcp::no_delay(true), ignored);
        open_ = true;
        awaitClose();
        if (!queue_.empty())
            write();
    }

    //! The peer never sends on this connection, so a read completes only when it closes.
    void awaitClose()
    {
        socket_->async_read_some(asio::buffer(&discardedByte_, 1),
                                 [self = shared_from_this(),
                                  socket = socket_](boost::system::error_code, std::size_t) {
                                     if (self->socket_ == socket)
                                         self->fail();
                                 });
    }

    void write()
    {
        writing_ = true;
        asio::async_write(*socket_, asio::buffer(*queue_.front()),
                          [self = shared_from_this(), socket = socket_,
                           frame = queue_.front()](boost::system::error_code error, std::size_t) {
                              if (self->socket_ == socket)
                                  self->written(error);
                          });
    }

    void written(boost::system::error_code error)
    {
        writing_ = false;
        if (error)
            return fail();
        queuedBytes_ -= queue_.front()->size();
        queue_.pop_front();
        if (!queue_.empty())
            write();
    }

    void fail()
    {
        boost::system::error_code ignored;
        if (socket_)
            socket_->close(ignored);
        socket_.reset();
        open_ = connecting_ = writing_ = false;
        queue_.clear();
        queuedBytes_ = 0;
        onDown_(to_);
    }

    asio::io_context &context_;
    //! Shared with pending operations: after fail(), a pending write keeps its socket and its frame
    //! alive.
    std::shared_ptr<tcp::socket> socket_;
    Address to_;
    std::function<void(Address)> onDown_;
    std::deque<std::shared_ptr<const std::string>> queue_;
    std::size_t queuedBytes_ = 0;
    bool open_ = false;
    bool connecting_ = false;
    bool writing_ = false;
    char discardedByte_ = 0;
};

} // namespace detail

struct Mesh::Impl : std::enable_shared_from_this<Mesh::Impl>
{
    asio::io_context &contextFor(std::size_t hash) { return *contexts_[hash % contexts_.size()]; }

    std::shared_ptr<detail::PeerConnection> peer(const Address &to)
    {
        const std::lock_guard lock(mutex_);
        auto &peer = peers_[to];
        if (!peer)
            peer = std::make_shared<detail::PeerConnection>(contextFor(std::hash<Address> {}(to)),
                                                            to, handlers_.onPeerDown_);
        return peer;
    }

    asio::awaitable<void> accept()
    {
        std::size_t next = 0;
        while (acceptor_->is_open()) {
            tcp::socket socket(contextFor(next++));
            boost::system::error_code error;
            co_await acceptor_->async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                co_await pauseAccepting(*contexts_.front());
                continue;
            }
            auto executor = socket.get_executor();
            asio::co_spawn(executor, read(shared_from_this(), std::move(socket)), asio::detached);
        }
    }

    //! Allocates memory as bytes arrive, so that a peer that only announces a large frame takes
    //! none.
    static asio::awaitable<std::string> readPayload(tcp::socket &socket, std::size_t length,
                                                    boost::system::error_code &error)
    {
        std::string payload;
        while (payload.size() < length && !error) {
            const std::size_t received = payload.size();
            payload.resize(received + std::min(length - received, detail::MaxBufferGrowthBytes));
            co_await asio::async_read(
                    socket, asio::buffer(payload.data() + received, payload.size() - received),
                    asio::redirect_error(asio::use_awaitable, error));
        }
        co_return payload;
    }

    //! While the process is out of file descriptors, accepting fails at once: without a pause, the
    //! accept loop would spin.
    static asio::awaitable<void> pauseAccepting(asio::io_context &context)
    {
        asio::steady_timer timer(context, detail::AcceptRetryDelay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    static asio::awaitable<void> read(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        std::string header(FrameHeaderBytes, '\0');
        std::string payload;
        boost::system::error_code error;
        while (true) {
            co_await asio::async_read(socket, asio::buffer(header),
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            const auto frame = decodeFrameHeader(header);
            if (!frame) {
                self->handlers_.onMalformedInput_("invalid frame header");
                co_return;
            }
            payload = co_await readPayload(socket, frame->length_, error);
            if (error)
                co_return;
            auto message = decodePayload(*frame, payload);
            if (!message) {
                self->handlers_.onMalformedInput_("payload malformed or not matching its hash");
                co_return;
            }
            self->handlers_.onMessage_(std::move(*message));
        }
    }

    std::vector<asio::io_context *> contexts_;
    MeshHandlers handlers_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::mutex mutex_;
    std::unordered_map<Address, std::shared_ptr<detail::PeerConnection>> peers_;
};

Mesh::Mesh(std::vector<asio::io_context *> contexts, MeshHandlers handlers)
    : impl_(std::make_shared<Impl>())
{
    impl_->contexts_ = std::move(contexts);
    impl_->handlers_ = std::move(handlers);
}

//! Coroutines keep Impl alive until the last io_context is destroyed. The acceptor and the peers'
//! sockets are destroyed here, because each must go before its own io_context.
Mesh::~Mesh()
{
    impl_->acceptor_.reset();
    impl_->peers_.clear();
}

Result<Address> Mesh::listen(const Address &address)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host_), address.port_);
        impl_->acceptor_ = std::make_unique<tcp::acceptor>(*impl_->contexts_.front(), endpoint);
        asio::co_spawn(*impl_->contexts_.front(), impl_->accept(), asio::detached);
        return success(Address {address.host_, impl_->acceptor_->local_endpoint().port()});
    } catch (const boost::system::system_error &error) {
        return failure<Address>("can't listen on " + address.host_ + ":"
                                + std::to_string(address.port_) + ": " + error.code().message());
    }
}

void Mesh::send(const Address &to, const Message &message)
{
    auto peer = impl_->peer(to);
    asio::post(peer->context_,
               [peer, frame = encodeFrame(message)]() mutable { peer->enqueue(std::move(frame)); });
}

struct DatagramSocket::Impl : std::enable_shared_from_this<DatagramSocket::Impl>
{
    explicit Impl(asio::io_context &context) : socket_(context) { }

    void receive()
    {
        socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](
                                                           boost::system::error_code error) {
            if (error == asio::error::operation_aborted || !self->socket_.is_open())
                return;
            const ReceiveAgain again {*self};
            self->handleWaiting();
        });
    }

    //! The time for the next receive also comes when a handler throws.
    struct ReceiveAgain
    {
        Impl &socket_;
        ~ReceiveAgain() { socket_.receive(); }
    };

    //! Takes all datagrams that wait, and handles them without those that a later one replaces: a
    //! receiver that was held up would only fall further behind with them.
    void handleWaiting()
    {
        std::vector<std::string> datagrams;
        std::map<std::pair<udp::endpoint, StateKind>, std::size_t> newest;
        boost::system::error_code error;
        socket_.non_blocking(true, error);
        while (!error && datagrams.size() < detail::MaxDatagramsPerTurn) {
            udp::endpoint from;
            const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
            if (error)
                break;
            datagrams.emplace_back(buffer_.data(), size);
            const auto kind = stateKindOf(datagrams.back());
            if (!kind)
                continue;
            const auto [known, isNew] = newest.try_emplace({from, *kind}, datagrams.size() - 1);
            if (!isNew)
                datagrams[std::exchange(known->second, datagrams.size() - 1)].clear();
        }
        for (const std::string &datagram : datagrams) {
            if (!datagram.empty())
                handle(datagram);
        }
    }

    void handle(std::string_view bytes)
    {
        auto datagram = decodeDatagram(bytes);
        if (datagram)
            handler_(std::move(*datagram));
        else
            onMalformedInput_("malformed datagram");
    }

    udp::socket socket_;
    std::array<char, 65536> buffer_ {};
    Handler handler_;
    MalformedInputHandler onMalformedInput_;
};

DatagramSocket::DatagramSocket(asio::io_context &context, Handler handler,
                               MalformedInputHandler onMalformedInput)
    : impl_(std::make_shared<Impl>(context))
{
    impl_->handler_ = std::move(handler);
    impl_->onMalformedInput_ = std::move(onMalformedInput);
}

DatagramSocket::~DatagramSocket()
{
    boost::system::error_code ignored;
    impl_->socket_.close(ignored);
}

Result<Address> DatagramSocket::bind(const Address &address)
{
    try {
        const udp::endpoint endpoint(asio::ip::make_address(address.host_), address.port_);
        impl_->socket_.open(endpoint.protocol());
        impl_->socket_.bind(endpoint);
        impl_->receive();
        return success(Address {address.host_, impl_->socket_.local_endpoint().port()});
    } catch (const boost::system::system_error &error) {
        return failure<Address>("can't bind UDP " + address.host_ + ":"
                                + std::to_string(address.port_) + ": " + error.code().message());
    }
}

void DatagramSocket::send(const Address &to, const Datagram &datagram)
{
    send(std::vector<Address> {to}, datagram);
}

void DatagramSocket::send(const std::vector<Address> &to, const Datagram &datagram)
{
    const auto bytes = std::make_shared<std::string>(encodeDatagram(datagram));
    for (const Address &address : to) {
        boost::system::error_code error;
        const auto host = asio::ip::make_address(address.host_, error);
        if (error)
            continue;
        impl_->socket_.async_send_to(asio::buffer(*bytes), {host, address.port_},
                                     [bytes](boost::system::error_code, std::size_t) {});
    }
}

} // namespace gypsumcroft
