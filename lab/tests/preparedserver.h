//! Server at the address of an endpoint's entry that answers with prepared bytes.
#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "core/ids.h"
#include "gatewayprogram.h"

namespace gypsumcroft::lab::tests {

struct PreparedAnswer
{
    //! @ID stands for the id of the request.
    std::string begin_;
    //! Sent without end after the beginning. If it is empty, the server sends no more on the
    //! connection.
    std::string repeated_;
};

//! Runs on a thread of its own.
class PreparedServer
{
public:
    PreparedServer() : guard_(boost::asio::make_work_guard(context_))
    {
        thread_ = std::jthread([this] { context_.run(); });
    }
    ~PreparedServer() { context_.stop(); }
    PreparedServer(const PreparedServer &) = delete;
    PreparedServer &operator=(const PreparedServer &) = delete;

    //! Opens one more port. If an endpoint is given, reports are passed on from there.
    Address listen(const std::optional<Address> &endpoint)
    {
        const std::lock_guard lock(mutex_);
        Port &port = ports_.emplace_back(context_, endpoint);
        accept(port);
        return {"127.0.0.1", port.acceptor_.local_endpoint().port()};
    }

    //! Answers to the next requests, of which the last is repeated. Sets the number of requests to
    //! zero.
    void prepare(std::vector<PreparedAnswer> answers)
    {
        const std::lock_guard lock(mutex_);
        answers_ = std::move(answers);
        requests_ = 0;
    }

    std::size_t requests() const { return requests_; }

private:
    using tcp = boost::asio::ip::tcp;

    struct Port
    {
        Port(boost::asio::io_context &context, std::optional<Address> endpoint)
            : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
              endpoint_(std::move(endpoint))
        { }
        tcp::acceptor acceptor_;
        std::optional<Address> endpoint_;
    };

    struct Connection
    {
        Connection(tcp::socket socket, std::optional<Address> endpoint)
            : socket_(std::move(socket)), endpoint_(std::move(endpoint))
        { }
        tcp::socket socket_;
        std::optional<Address> endpoint_;
        std::string request_;
        PreparedAnswer answer_;
    };

    void accept(Port &port)
    {
        port.acceptor_.async_accept(
                [this, &port](boost::system::error_code error, tcp::socket socket) {
                    if (error)
                        return;
                    read(connections_.emplace_back(std::move(socket), port.endpoint_));
                    accept(port);
                });
    }

    void read(Connection &connection)
    {
        boost::asio::async_read_until(
                connection.socket_, boost::asio::dynamic_buffer(connection.request_), "\r\n\r\n",
                [this, &connection](boost::system::error_code error, std::size_t) {
                    if (!error)
                        begin(connection);
                });
    }

    void begin(Connection &connection)
    {
        const bool report = connection.endpoint_ && connection.request_.starts_with("GET /report ");
        connection.answer_
                = report ? reportOf(*connection.endpoint_) : nextAnswer(connection.request_);
        boost::asio::async_write(connection.socket_, boost::asio::buffer(connection.answer_.begin_),
                                 [this, &connection](boost::system::error_code error, std::size_t) {
                                     if (!error)
                                         writeOn(connection);
                                 });
    }

    void writeOn(Connection &connection)
    {
        boost::system::error_code ignored;
        const std::string &repeated = connection.answer_.repeated_;
        if (repeated.empty()) {
            connection.socket_.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        boost::asio::async_write(connection.socket_, boost::asio::buffer(repeated),
                                 [this, &connection](boost::system::error_code error, std::size_t) {
                                     if (!error)
                                         writeOn(connection);
                                 });
    }

    static PreparedAnswer reportOf(const Address &endpoint)
    {
        return {ask(endpoint, "GET", "/report", "", "").text_, ""};
    }

    PreparedAnswer nextAnswer(const std::string &request)
    {
        const std::lock_guard lock(mutex_);
        PreparedAnswer answer = answers_.at(std::min(requests_++, answers_.size() - 1));
        const std::string place = "@ID";
        const std::string id = idOf(request);
        for (auto at = answer.begin_.find(place); at != std::string::npos;
             at = answer.begin_.find(place, at + id.size()))
            answer.begin_.replace(at, place.size(), id);
        return answer;
    }

    //! Empty for requests without one, as probes.
    static std::string idOf(const std::string &request)
    {
        const std::string field = "X-Request-Id: ";
        const auto at = request.find(field);
        if (at == std::string::npos)
            return {};
        return request.substr(at + field.size(), request.find('\r', at) - at - field.size());
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::mutex mutex_;
    std::list<Port> ports_;
    std::list<Connection> connections_;
    std::vector<PreparedAnswer> answers_;
    std::atomic<std::size_t> requests_ {0};
    std::jthread thread_;
};

} // namespace gypsumcroft::lab::tests
