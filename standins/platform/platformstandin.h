//! Stand-in of the users' platform in the test's own process: the store, model servers that hold
//! layers, and a plain server. It speaks what the platform's pages say, as far as gateways use it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/ids.h"
#include "http/relayserver.h"

namespace gypsumcroft::standins {

//! One request as a server ran it.
struct ServerRun
{
    std::string server_;
    std::string request_;
    std::string tenant_;
    std::string path_;
    std::string lastEvent_;
    std::string target_;
    std::string body_;
    std::string promptParts_;
    std::chrono::steady_clock::time_point at_;
};

//! Stamp that every server puts on its answer to a request.
std::string stampOf(const std::string &request);

enum class StreamBreak : std::uint8_t { Closed, InsideEvent };

class PlatformStandin
{
public:
    //! Model servers hold no layers at first, each has room for half of the model's.
    explicit PlatformStandin(std::size_t modelServers, std::size_t plainServers = 1);
    ~PlatformStandin();
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    Address store() const { return store_; }
    //! Puts a desired state in force: its version, the caller keys, and the routes' prefixes by
    //! kind.
    void putConfig(std::uint64_t version, const std::vector<std::string> &keys,
                   bool withExtraRoute);
    //! The store answers nothing from now on, or again.
    void setStoreDown(bool down);
    //! The next stream breaks off after so many events, or ends in the middle of the next one.
    void breakNextStream(int afterEvents, StreamBreak how = StreamBreak::Closed);
    //! From now on a server crashes when it begins to run a request with the text in its URL, and
    //! is back after the given time, without layers.
    void crashOn(const std::string &text, std::chrono::milliseconds downFor);
    //! Times of the crashes so far.
    std::vector<std::chrono::steady_clock::time_point> crashes();
    void setDraining(const std::string &server);
    //! The server says in all its answers that it leaves; its entry in the store stays as it is.
    void setLeaving(const std::string &server);
    //! The server turns all requests away, not run, and asks for no other for that long.
    void turnAwayFor(const std::string &server, std::chrono::milliseconds retryAfter);
    //! Puts an entry of another writer beside those of the servers.
    void putOddEntry(const std::string &key, const std::string &bytes);
    std::vector<ServerRun> runs();
    //! All requests that reached a server, those that it turned away included.
    std::vector<ServerRun> arrivals();
    //! Layers that a model server holds, "none" or "FIRST-END".
    std::string layersOf(const std::string &server);
    std::vector<std::string> modelServers() const;
    std::vector<std::string> servers() const;
    //! Where a server listens, which may differ from the address in its entry.
    Address addressOf(const std::string &server) const;
    void setEntryAddress(const std::string &server, const Address &address);
    //! Plain servers work on each request for a time of its own below this one.
    void setLongestWork(std::chrono::milliseconds longest);
    //! Plain servers pad their answers to this size.
    void setAnswerBytes(std::size_t bytes);
    void setEventGap(std::chrono::milliseconds gap);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
    Address store_;
};

} // namespace gypsumcroft::standins
