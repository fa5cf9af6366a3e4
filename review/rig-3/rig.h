//! Stand-ins for the cases of the third review, in one process: the platform's store, plain
//! servers, callers and the operator. The gateway is the project's own program, started as a
//! separate process. Loopback addresses and the real clock only.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

//! Writes the record of a case: one line an event, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

struct Message
{
    //! Request line or status line.
    std::string first_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string header(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

//! One HTTP/1.1 connection with blocking reads and writes.
class Connection
{
public:
    explicit Connection(int socket) : socket_(socket) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    //! Empty if the connection ends before the message does.
    std::optional<Message> read(bool isResponse = false);
    bool write(const std::string &bytes) const;
    //! Unblocks reads and writes of other threads.
    void shutDown() const;
    //! Closes with a reset.
    void reset();
    int socket() const { return socket_; }

private:
    std::optional<std::string> line();
    bool fill();

    int socket_;
    std::string buffer_;
};

//! Connects to a loopback port; -1 if that fails.
int connectTo(int port);
//! A port that nobody listens on.
int freePort();

//! Accepts connections on a loopback port and serves each in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;
    Listener(int port, Serve serve);
    ~Listener();
    int port() const { return port_; }
    //! Refuses connections. The open ones are closed, or left open without a sign.
    void stop(bool closeOpen);
    void start();

private:
    void accept(int listening);

    int port_;
    Serve serve_;
    std::mutex mutex_;
    int listening_ = -1;
    std::thread acceptor_;
    std::list<std::thread> threads_;
    std::set<Connection *> open_;
};

//! The platform's store: the topics keyed.op and keyed.servers, and the groups of members.
class Store
{
public:
    explicit Store(Record &record);
    ~Store();
    int port() const { return listener_->port(); }
    //! Returns the offset of the record.
    std::uint64_t put(const std::string &topic, const std::string &key, const std::string &value);
    std::uint64_t end(const std::string &topic);
    bool isAway() const { return away_; }
    //! Rises by one with each return from a copy.
    std::uint64_t era() const { return era_; }
    //! Keeps a copy of what the store holds now.
    void copy();
    //! The store goes away. Calls that are open get no answer any more.
    void goAway();
    //! The store comes back with what the copy held, and a higher Store-Era.
    void comeBackFromCopy();
    //! Deals all partitions of all groups anew, which raises their generations.
    void rebalance();

private:
    struct Item
    {
        std::string key_;
        std::string value_;
    };
    struct Group
    {
        std::uint64_t generation_ = 0;
        std::map<std::string, Clock::time_point> members_;
    };
    struct Content
    {
        std::map<std::string, std::vector<Item>> topics_;
        std::map<std::string, Group> groups_;
    };

    void serve(Connection &connection);
    std::string answer(const Message &request, std::uint64_t incarnation);
    std::string readLog(const Message &request, std::uint64_t incarnation);
    std::string readNewest(const Message &request);
    std::string join(const Message &request);
    std::string leave(const Message &request);
    std::string owners();
    std::string reply(int status, const std::string &body,
                      const std::string &type = "application/json") const;

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    Content content_;
    Content copy_;
    std::atomic<std::uint64_t> era_ {1};
    //! Raised when the store goes away, so that calls of before stay without an answer.
    std::atomic<std::uint64_t> incarnation_ {0};
    std::atomic<bool> away_ {false};
    std::atomic<bool> ended_ {false};
    std::unique_ptr<Listener> listener_;
};

struct Run
{
    std::string server_;
    std::string request_;
    std::string tenant_;
    Clock::time_point at_;
};

//! Tells when a server writes its entry: at each heartbeat, and at once when the store is back from
//! a copy.
class Beat
{
public:
    explicit Beat(const Store &store);
    bool isDue();

private:
    const Store &store_;
    Clock::time_point next_;
    std::uint64_t era_;
};

//! A plain server: registers itself in the store and runs what it gets.
class Server
{
public:
    Server(Record &record, Store &store, std::string id, Milliseconds work);
    ~Server();
    //! Writes its entry at once; returns when the store has it.
    void setState(const std::string &state);
    //! The server exits: its connections end, and nobody listens at its address.
    void exit();
    std::vector<Run> runs();
    const std::string &id() const { return id_; }
    int port() const { return listener_->port(); }

private:
    void serve(Connection &connection);
    void beat();
    void writeEntry();
    std::string leaving();

    Record &record_;
    Store &store_;
    std::string id_;
    Milliseconds work_;
    std::mutex mutex_;
    std::string state_ = "ready";
    std::uint64_t sequence_ = 0;
    std::vector<Run> runs_;
    std::atomic<bool> ended_ {false};
    std::atomic<bool> exited_ {false};
    std::unique_ptr<Listener> listener_;
    std::thread beats_;
};

//! A model server: holds the layers that it is ordered to hold, and streams answers.
class ModelServer
{
public:
    ModelServer(Record &record, Store &store, std::string service, std::string id);
    ~ModelServer();
    //! Requests whose answer began here.
    std::vector<Run> runs();
    //! Requests that came, those that were turned away included.
    std::vector<Run> arrivals();
    //! "none" or "FIRST-END".
    std::string layers();
    int port() const { return listener_->port(); }
    //! From now on, the last server of a path crashes when it begins to write an answer to a prompt
    //! with this part. It is back after the given time, without layers.
    static void crashOn(const std::string &part, Milliseconds downFor);
    static std::vector<Clock::time_point> crashes();

private:
    struct Range
    {
        std::uint32_t first_ = 0;
        std::uint32_t end_ = 0;
    };

    void serve(Connection &connection);
    void order(Connection &connection, const Message &request);
    void stream(Connection &connection, const Message &request);
    //! Address of the first server of the path that doesn't hold its part; empty if all do.
    static std::string missingOn(const std::string &path);
    bool holds(const Range &range);
    void crash();
    //! The server's start, or nothing while it is down.
    std::optional<std::int64_t> lifetime();
    std::string state(bool isEntry);
    void writeEntry();
    void beat();

    Record &record_;
    Store &store_;
    std::string service_;
    std::string id_;
    std::int64_t born_;
    std::mutex mutex_;
    std::optional<Range> layers_;
    std::optional<Range> loading_;
    Clock::time_point loadedAt_;
    std::uint64_t orders_ = 0;
    std::uint64_t beats_ = 0;
    std::vector<Run> runs_;
    std::vector<Run> arrivals_;
    //! Set while the server is down.
    std::optional<Clock::time_point> backAt_;
    bool isListening_ = true;
    std::atomic<bool> ended_ {false};
    std::unique_ptr<Listener> listener_;
    std::thread beater_;
};

//! The gateway program, with the settings that the template of the deploy file gives it.
class Gateway
{
public:
    Gateway(const std::string &root, const std::string &folder, const std::string &name, int store,
            Milliseconds revoke = Milliseconds(5000));
    ~Gateway();
    bool waitUntilReady(Milliseconds limit) const;
    int callers() const { return callers_; }
    int ready() const { return ready_; }
    pid_t pid() const { return pid_; }

private:
    int callers_;
    int ready_;
    int mesh_;
    pid_t pid_ = -1;
};

struct Answer
{
    int status_ = 0;
    std::string stamp_;
    std::string body_;
    bool complete_ = false;
    Clock::time_point sentAt_;
};

//! Sends one request on a new connection and waits for its answer, at most for the given time.
//! More headers end with CR LF each.
Answer ask(int port, const std::string &method, const std::string &path, const std::string &id,
           const std::string &key, const std::string &moreHeaders = "X-Deadline-Ms: 1500\r\n",
           Milliseconds limit = Milliseconds(30000));

std::string stampOf(const std::string &server, const std::string &request);

//! The desired state: the routes /look/ (idempotent) and /book/ (not idempotent) of the service
//! "desk", and for each model service NAME a route /NAME/ of streams.
std::string desiredState(std::uint64_t version, const std::vector<std::string> &keys,
                         const std::vector<std::string> &models = {});

void sleepUntil(Clock::time_point time);

} // namespace rig
