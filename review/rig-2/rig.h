//! Stand-ins and clients of the cases of the second review: HTTP over blocking sockets, the
//! platform's store, a plain server, gateways as processes. All addresses are loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

//! Milliseconds since the case began.
std::int64_t sinceStart();
void pause(Milliseconds time);

//! A request or a response: its first line, header fields and body.
struct Message
{
    std::string start_;
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;
};

std::string fieldOf(const Message &message, std::string_view name);
//! Value of a parameter of the target's query; empty if there is none.
std::string parameterOf(const Message &request, const std::string &name);
//! Method and path, without the query.
std::string callOf(const Message &request);
std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body);

class Connection
{
public:
    explicit Connection(int descriptor) : descriptor_(descriptor) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    //! The next message; nothing if the connection ends, is reset or the time is over.
    std::optional<Message> read(std::optional<Milliseconds> timeout = std::nullopt);
    bool write(const std::string &text);
    //! Closes the connection with a reset.
    void reset();
    //! Ends a read or write that is in progress in another thread.
    void shutDown() const;
    //! True if the last read ended because of its time.
    bool timedOut() const { return timedOut_; }

private:
    bool receive(Clock::time_point until);
    bool readSized(std::string &body, std::size_t size, Clock::time_point until);
    bool readChunks(std::string &body, Clock::time_point until);

    int descriptor_ = -1;
    std::string received_;
    bool timedOut_ = false;
};

using Handler = std::function<bool(const Message &, Connection &)>;

//! Serves each connection in a thread of its own. The handler answers a request and returns false
//! if the connection ends.
class Listener
{
public:
    explicit Listener(Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    std::uint16_t port() const { return port_; }
    //! Resets all connections.
    void resetAll();

private:
    void accept();
    void serve(const std::shared_ptr<Connection> &connection);

    Handler handler_;
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::set<std::shared_ptr<Connection>> open_;
    std::vector<std::thread> threads_;
    std::atomic<bool> ending_ {false};
    std::thread acceptor_;
};

std::string addressText(std::uint16_t port);
std::uint16_t freePort();

//! What a client saw of one request. The status is 0 if there was no whole response.
struct Reply
{
    int status_ = 0;
    Message message_;
    bool timedOut_ = false;
    Milliseconds after_ {0};
};

Reply call(std::uint16_t port, const std::string &request, Milliseconds timeout);

//! Raises the number of descriptors of this process as far as it may.
void allowManyConnections();

//! Connections of callers that send and don't read.
class Crowd
{
public:
    Crowd(std::uint16_t port, std::size_t connections);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    //! False if some could not be opened.
    bool isComplete() const { return isComplete_; }
    //! Sends the same bytes on each connection, as far as it takes them, at less than 1,000 Mbit/s.
    void sendOnAll(const std::string &bytes) const;
    //! Sends the same requests again and again on each connection, as far as it takes them, at less
    //! than 1,000 Mbit/s, until it is over.
    void keepSending(const std::string &requests, const std::function<bool()> &isOver);

private:
    std::vector<int> sockets_;
    //! Bytes sent by keepSending() on each connection.
    std::vector<std::size_t> sent_;
    bool isComplete_ = false;
};

//! What was sent, answered and run, in the order of time.
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct StoredRecord
{
    std::string key_;
    std::string value_;
};

//! Records of one partition; the offset of a record is its position.
using Log = std::vector<StoredRecord>;

//! The platform's store: keyed topics that are read, and one group. Joins keep a member in the
//! group for the time that it names; a partition moves to another member when the one that had it
//! has joined with the newer generation, has left or has been silent for its time.
class Store
{
public:
    struct Group
    {
        std::uint64_t generation_ = 0;
        std::map<std::string, Clock::time_point> members_;
        std::map<std::string, Milliseconds> lifetimes_;
        std::vector<std::string> holders_;
        std::vector<std::string> assigned_;
    };
    //! What the store has stored at some time.
    struct Copy
    {
        std::map<std::string, Log> topics_;
        Group group_;
    };

    Store(Record &record, std::uint32_t partitions);
    std::uint16_t port() const { return listener_.port(); }
    //! Appends a record and returns its offset once it is acknowledged.
    std::uint64_t write(const std::string &topic, const std::string &key, const std::string &value);
    Copy copy();
    //! Resets all connections, and each new one with its first call, until comeBack().
    void goAway();
    //! Serves again, from the copy, with a higher era. The writes run before any other call.
    void comeBack(const Copy &copy, const std::function<void()> &writes);
    //! The group's generation, and the member that has the partition.
    std::pair<std::uint64_t, std::string> holderOf(std::uint32_t partition);

private:
    bool onCall(const Message &request, Connection &connection);
    std::string readLog(const Message &request, std::unique_lock<std::mutex> &lock, int &status);
    boost::json::object newest(const std::string &topic);
    boost::json::object join(const Message &request);
    void leave(const std::string &member);
    void assign();
    void release(const std::string &member);
    void removeSilent();

    Record &record_;
    std::uint32_t partitions_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Log> topics_;
    Group group_;
    std::uint64_t era_ = 1;
    bool away_ = false;
    Listener listener_;
};

//! One request as a server ran it.
struct Run
{
    std::string id_;
    std::string tenant_;
    std::int64_t at_ = 0;
};

//! A plain server. It runs each request for the given time, then answers it with its whole body.
class PlainServer
{
public:
    PlainServer(Record &record, std::string id, Milliseconds work);
    const std::string &id() const { return id_; }
    //! The server's entry in the store.
    std::string entry(const std::string &service) const;
    std::vector<Run> runs();

private:
    bool onRequest(const Message &request, Connection &connection);

    Record &record_;
    std::string id_;
    Milliseconds work_;
    std::mutex mutex_;
    std::vector<Run> runs_;
    std::atomic<std::uint64_t> heartbeats_ {0};
    Listener listener_;
};

//! A model server that holds all layers. It streams its events at a steady pace.
class ModelServer
{
public:
    ModelServer(std::string id, int events, Milliseconds gap);
    const std::string &id() const { return id_; }
    std::string entry(const std::string &service) const;

private:
    bool onRequest(const Message &request, Connection &connection) const;

    std::string id_;
    int events_ = 0;
    Milliseconds gap_;
    Listener listener_;
};

//! A gateway as a process, started as the deploy file says, with the settings of its template.
class Gateway
{
public:
    Gateway(const std::string &folder, std::string name, std::uint16_t store);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    bool start();
    bool isReady() const;
    //! False if the process has ended by itself.
    bool lives();
    //! Ends the process at once.
    void end();
    //! Memory of the process, with the bytes that callers' connections have received and that it
    //! has not read, in bytes.
    std::int64_t memory() const;
    std::uint16_t callers() const { return callers_; }
    const std::string &name() const { return name_; }

private:
    std::string folder_;
    std::string name_;
    std::uint16_t callers_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t mesh_ = 0;
    int process_ = -1;
};

bool waitUntil(const std::function<bool()> &condition, Milliseconds time);

//! True unless the environment has TROUBLE=0.
bool withTrouble();

} // namespace review
