//! Server with a list of prepared responses, for tests of clients.
#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "core/ids.h"
#include "rununtil.h"

namespace gypsumcroft::http::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t RequestBytes = 4096;

//! Bytes that the server sends when it receives a request.
struct Reply
{
    std::string response_;
    //! A second response to this request, sent on its connection when the next request arrives.
    std::string lateResponse_;
};

//! Sends the replies in order, one for each request, whichever connection a request arrives on.
class ReplyingServer
{
public:
    ReplyingServer(asio::io_context &context, std::vector<Reply> replies)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          replies_(std::move(replies))
    {
        accept();
    }
    Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    std::size_t connections() const { return connections_.size(); }

private:
    struct Connection
    {
        explicit Connection(tcp::socket socket) : socket_(std::move(socket)) { }
        tcp::socket socket_;
        char request_[RequestBytes] = {};
    };

    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            read(connections_.emplace_back(std::move(socket)));
            accept();
        });
    }

    void read(Connection &connection)
    {
        connection.socket_.async_read_some(
                asio::buffer(connection.request_),
                [this, &connection](boost::system::error_code error, std::size_t) {
                    if (error || next_ == replies_.size())
                        return;
                    if (last_ != nullptr)
                        write(*last_, replies_[next_ - 1].lateResponse_);
                    last_ = &connection;
                    write(connection, replies_[next_++].response_);
                    read(connection);
                });
    }

    static void write(Connection &connection, const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(connection.socket_, asio::buffer(bytes), ignored);
    }

    tcp::acceptor acceptor_;
    std::vector<Reply> replies_;
    std::size_t next_ = 0;
    std::list<Connection> connections_;
    Connection *last_ = nullptr;
};

} // namespace gypsumcroft::http::tests
