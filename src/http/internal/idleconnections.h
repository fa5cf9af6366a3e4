//! Idle connections of a client, kept for reuse within limits.
#pragma once

#include <cstddef>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/ids.h"

namespace gypsumcroft::http::detail {

//! A server: its address, and a name where the address may be used again by another server.
struct ServerKey
{
    Address address_;
    std::string name_;
    auto operator<=>(const ServerKey &) const = default;
};

struct IdleLimits
{
    std::size_t perServer_ = 0;
    std::size_t total_ = 0;
};

//! Connection is a pointer to a connection; removing it closes the connection.
template <typename Connection>
struct IdleConnections
{
    struct Entry
    {
        ServerKey server_;
        Connection connection_;
    };
    using Entries = std::list<Entry>;

    IdleLimits limits_;
    //! Least recently used first.
    Entries entries_;
    //! Entries of each server, least recently used first; no server is without entries.
    std::map<ServerKey, std::vector<typename Entries::iterator>> byServer_;
};

//! Removes an entry and returns its connection.
template <typename Connection>
Connection removeIdle(IdleConnections<Connection> &idle,
                      typename IdleConnections<Connection>::Entries::iterator entry)
{
    const auto server = idle.byServer_.find(entry->server_);
    std::erase(server->second, entry);
    if (server->second.empty())
        idle.byServer_.erase(server);
    Connection connection = std::move(entry->connection_);
    idle.entries_.erase(entry);
    return connection;
}

//! Adds the most recently used connection. Above a limit the least recently used one is closed.
template <typename Connection>
void addIdle(IdleConnections<Connection> &idle, const ServerKey &server, Connection connection)
{
    idle.entries_.push_back({server, std::move(connection)});
    auto &ofServer = idle.byServer_[server];
    ofServer.push_back(std::prev(idle.entries_.end()));
    if (ofServer.size() > idle.limits_.perServer_)
        removeIdle(idle, ofServer.front());
    if (idle.entries_.size() > idle.limits_.total_)
        removeIdle(idle, idle.entries_.begin());
}

//! Takes the server's most recently used connection for which the condition holds.
template <typename Connection, typename Condition>
std::optional<Connection> takeIdle(IdleConnections<Connection> &idle, const ServerKey &server,
                                   const Condition &condition)
{
    const auto found = idle.byServer_.find(server);
    if (found == idle.byServer_.end())
        return std::nullopt;
    for (auto entry = found->second.rbegin(); entry != found->second.rend(); ++entry) {
        if (condition(*(*entry)->connection_))
            return removeIdle(idle, *entry);
    }
    return std::nullopt;
}

//! Closes the connections for whose entry the condition holds.
template <typename Connection, typename Condition>
void closeIdleIf(IdleConnections<Connection> &idle, const Condition &condition)
{
    for (auto entry = idle.entries_.begin(); entry != idle.entries_.end();) {
        const auto current = entry++;
        if (condition(*current))
            removeIdle(idle, current);
    }
}

//! False if an idle connection is readable: the server closed it or sent unexpected bytes.
inline bool isReusable(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek,
                   error);
    return error == boost::asio::error::would_block;
}

} // namespace gypsumcroft::http::detail
