#include "relayconnection.h"

#include <algorithm>
#include <utility>

namespace gypsumcroft::http::detail {

namespace {

//! Bytes of pipelined requests that are buffered while a request is in progress.
constexpr std::size_t MaxReadAhead = 64UL * 1024;
//! A send closes the connection if more bytes than this already wait to be sent.
constexpr std::size_t MaxUnsentBytes = 1024UL * 1024;

//! Gives back the memory, which an assignment keeps.
void release(std::string &text)
{
    std::string().swap(text);
}

} // namespace

RelayConnection::RelayConnection(tcp::socket socket, std::shared_ptr<RelayServerState> shared)
    : socket_(std::move(socket)), wakeTimer_(socket_.get_executor()), shared_(std::move(shared))
{
    id_ = {++shared_->accepted_};
    held_ = HeldBytes(shared_->callerBytes_);
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
    countHeld();
}

void RelayConnection::countHeld()
{
    held_.set(buffer_.capacity() + incompleteRequestBytes_ + unsent_.capacity()
              + sending_.capacity());
}

void RelayConnection::releaseReadBuffer()
{
    if (buffer_.size() > 0 || buffer_.capacity() == 0)
        return;
    buffer_.shrink_to_fit();
    countHeld();
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
                self->countHeld();
                if (error)
                    self->close();
                else if (self->requestInProgress_)
                    self->readAhead();
                self->wakeTimer_.cancel();
            });
}

void RelayConnection::readAhead()
{
    // Half of the memory is left to requests that are needed now.
    const bool hasMemory = shared_->callerBytes_->used_ < shared_->callerBytes_->limit_ / 2;
    if (hasMemory && buffer_.size() < MaxReadAhead)
        startRead();
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
    release(unsent_);
    setUnsentBytes(0);
    countHeld();
    wakeTimer_.cancel();
    if (onDisconnect_)
        asio::post(socket_.get_executor(), std::exchange(onDisconnect_, nullptr));
}

void RelayConnection::send(std::string bytes)
{
    if (closed_)
        return;
    if (unsentBytes_ > MaxUnsentBytes)
        return close();
    setUnsentBytes(unsentBytes_ + bytes.size());
    if (unsent_.empty())
        unsent_ = std::move(bytes);
    else
        unsent_ += bytes;
    if (!writing_)
        writeNext();
    countHeld();
    if (shared_->unsentBytes_ > shared_->limits_.maxUnsentBytes_)
        closeSlowest();
}

void RelayConnection::closeSlowest()
{
    const auto slower = [](const RelayConnection *left, const RelayConnection *right) {
        return left->unsentBytes_ < right->unsentBytes_;
    };
    const auto &all = shared_->connections_;
    ++shared_->counters_.closedForMemory_;
    (*std::max_element(all.begin(), all.end(), slower))->close();
}

void RelayConnection::writeNext()
{
    writing_ = true;
    progressAt_ = Clock::now();
    sending_ = std::move(unsent_);
    release(unsent_);
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
        return writeSome();
    release(sending_);
    if (!unsent_.empty())
        writeNext();
    else
        wakeTimer_.cancel();
    countHeld();
}

} // namespace gypsumcroft::http::detail
