#include "relayconnection.h"

#include <algorithm>
#include <utility>

namespace gypsumcroft::http::detail {

namespace {

//! Bytes of pipelined requests that are buffered while a request is in progress.
constexpr std::size_t MaxReadAhead = 64UL * 1024;
//! A send closes the connection if more bytes than this already wait to be sent.
constexpr std::size_t MaxUnsentBytes = 1024UL * 1024;

} // namespace

RelayConnection::RelayConnection(tcp::socket socket, std::shared_ptr<RelayServerState> shared)
    : socket_(std::move(socket)), wakeTimer_(socket_.get_executor()), shared_(std::move(shared))
{
    id_ = {++shared_->accepted_};
    shared_->connections_.insert(this);
}

RelayConnection::~RelayConnection()
{
    setUnsentBytes(0);
    setIncompleteRequestBytes(0);
    shared_->connections_.erase(this);
}

void RelayConnection::setUnsentBytes(std::size_t bytes)
{
    shared_->unsentBytes_ += bytes - unsentBytes_;
    unsentBytes_ = bytes;
}

void RelayConnection::setIncompleteRequestBytes(std::size_t bytes)
{
    shared_->incompleteRequestBytes_ += bytes - incompleteRequestBytes_;
    incompleteRequestBytes_ = bytes;
}

void RelayConnection::startRead()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(
            asio::buffer(readBuffer_),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->reading_ = false;
                self->buffer_.commit(asio::buffer_copy(self->buffer_.prepare(size),
                                                       asio::buffer(self->readBuffer_, size)));
                if (error)
                    self->close();
                else if (self->requestInProgress_ && self->buffer_.size() < MaxReadAhead)
                    self->startRead();
                self->wakeTimer_.cancel();
            });
}

void RelayConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    boost::system::error_code ignored;
    // Closing the connection would mark this response as complete; a reset shows that it is not.
    if (responseProgress_ == ResponseProgress::Started && bodyFraming_ == BodyFraming::UntilClose)
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    unsent_ = {};
    setUnsentBytes(0);
    wakeTimer_.cancel();
    if (onDisconnect_)
        asio::post(socket_.get_executor(), std::exchange(onDisconnect_, nullptr));
}

void RelayConnection::send(std::string_view bytes)
{
    if (closed_)
        return;
    if (unsentBytes_ > MaxUnsentBytes)
        return close();
    setUnsentBytes(unsentBytes_ + bytes.size());
    unsent_ += bytes;
    if (!writing_)
        writeNext();
    if (shared_->unsentBytes_ > shared_->limits_.maxUnsentBytes_)
        closeSlowest();
}

void RelayConnection::closeSlowest()
{
    const auto slower = [](const RelayConnection *left, const RelayConnection *right) {
        return left->unsentBytes_ < right->unsentBytes_;
    };
    const auto &all = shared_->connections_;
    (*std::max_element(all.begin(), all.end(), slower))->close();
}

void RelayConnection::writeNext()
{
    writing_ = true;
    progressAt_ = Clock::now();
    sending_ = std::move(unsent_);
    unsent_.clear();
    sent_ = 0;
    writeSome();
}

void RelayConnection::writeSome()
{
    socket_.async_write_some(
            asio::buffer(sending_) + sent_,
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->onWritten(error, size);
            });
}

void RelayConnection::onWritten(boost::system::error_code error, std::size_t size)
{
    sent_ += size;
    setUnsentBytes(unsentBytes_ - std::min(unsentBytes_, size));
    writing_ = false;
    if (error)
        close();
    if (closed_)
        return;
    progressAt_ = Clock::now();
    writing_ = sent_ < sending_.size() || !unsent_.empty();
    if (sent_ < sending_.size())
        writeSome();
    else if (!unsent_.empty())
        writeNext();
    else
        wakeTimer_.cancel();
}

} // namespace gypsumcroft::http::detail
