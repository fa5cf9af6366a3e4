#include "relayconnection.h"

#include <algorithm>
#include <utility>

namespace gypsumcroft::http::detail {

namespace {

//! Bytes of pipelined requests that are buffered while a request is in progress.
constexpr std::size_t MaxReadAhead = 64UL * 1024;
//! A send closes the connection if more bytes than this already wait to be sent.
constexpr std::size_t MaxWaitingBytes = 1024UL * 1024;

} // namespace

RelayConnection::RelayConnection(tcp::socket socket, std::shared_ptr<RelayShared> shared)
    : socket_(std::move(socket)), wake_(socket_.get_executor()), shared_(std::move(shared))
{
    id_ = {++shared_->accepted_};
    shared_->connections_.insert(this);
}

RelayConnection::~RelayConnection()
{
    countWaiting(0);
    countUnfinished(0);
    shared_->connections_.erase(this);
}

void RelayConnection::countWaiting(std::size_t bytes)
{
    shared_->waitingBytes_ += bytes - waitingBytes_;
    waitingBytes_ = bytes;
}

void RelayConnection::countUnfinished(std::size_t bytes)
{
    shared_->unfinishedBytes_ += bytes - unfinishedBytes_;
    unfinishedBytes_ = bytes;
}

void RelayConnection::startRead()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(
            asio::buffer(incoming_),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->reading_ = false;
                self->buffer_.commit(asio::buffer_copy(self->buffer_.prepare(size),
                                                       asio::buffer(self->incoming_, size)));
                if (error)
                    self->close();
                else if (self->inHand_ && self->buffer_.size() < MaxReadAhead)
                    self->startRead();
                self->wake_.cancel();
            });
}

void RelayConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    boost::system::error_code ignored;
    // Closing the connection would mark this response as complete; a reset shows that it is not.
    if (answer_ == Answer::Begun && ending_ == Ending::Close)
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    waiting_ = {};
    countWaiting(0);
    wake_.cancel();
    if (onGone_)
        asio::post(socket_.get_executor(), std::exchange(onGone_, nullptr));
}

void RelayConnection::send(std::string_view bytes)
{
    if (closed_)
        return;
    if (waitingBytes_ > MaxWaitingBytes)
        return close();
    countWaiting(waitingBytes_ + bytes.size());
    waiting_ += bytes;
    if (!writing_)
        writeNext();
    if (shared_->waitingBytes_ > shared_->limits_.maxWaitingBytes_)
        closeSlowest();
}

void RelayConnection::closeSlowest()
{
    const auto slower = [](const RelayConnection *left, const RelayConnection *right) {
        return left->waitingBytes_ < right->waitingBytes_;
    };
    const auto &all = shared_->connections_;
    (*std::max_element(all.begin(), all.end(), slower))->close();
}

void RelayConnection::writeNext()
{
    writing_ = true;
    progressAt_ = Clock::now();
    sending_ = std::move(waiting_);
    waiting_.clear();
    sent_ = 0;
    writeSome();
}

void RelayConnection::writeSome()
{
    socket_.async_write_some(
            asio::buffer(sending_) + sent_,
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->written(error, size);
            });
}

void RelayConnection::written(boost::system::error_code error, std::size_t size)
{
    sent_ += size;
    countWaiting(waitingBytes_ - std::min(waitingBytes_, size));
    writing_ = false;
    if (error)
        close();
    if (closed_)
        return;
    progressAt_ = Clock::now();
    writing_ = sent_ < sending_.size() || !waiting_.empty();
    if (sent_ < sending_.size())
        writeSome();
    else if (!waiting_.empty())
        writeNext();
    else
        wake_.cancel();
}

} // namespace gypsumcroft::http::detail
