//! Stand-ins of the platform's store, servers and clients for the cases of the review, and the
//! gateways' processes. Blocking sockets on loopback, a thread for each connection.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

//! Milliseconds since the program started.
std::int64_t sinceStart();
void sleepFor(milliseconds time);

//! Writes lines with their time to a file.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Request
{
    std::string method_;
    std::string target_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string header(const std::string &name) const;
    //! Value of a query parameter, decoded.
    std::string parameter(const std::string &name) const;
};

//! Writes all bytes. Returns false if the peer has gone.
bool sendAll(int socket, const std::string &bytes);
std::string answerText(int status, const std::string &headers, const std::string &body);

//! Handles a request and writes its answer to the socket. Returns false to close the connection.
using Handler = std::function<bool(const Request &, int socket)>;

class HttpServer
{
public:
    explicit HttpServer(Handler handler);
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    std::uint16_t port_ = 0;
};

//! The platform's store with the operator's desired state and the servers' entries.
class Store
{
public:
    Store();
    std::string address() const { return server_->address(); }
    void putConfig(const std::string &text);
    void putEntry(const std::string &key, const std::string &value);
    std::uint64_t calls();

private:
    bool answer(const Request &request, int socket);
    std::string newest(const Request &request);
    std::string join(const Request &request);
    std::string owners();
    void dropSilentMembers();
    std::string read(const Request &request);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> configs_;
    std::map<std::string, std::string> entries_;
    std::uint64_t entriesEnd_ = 0;
    std::map<std::string, Clock::time_point> members_;
    std::uint64_t generation_ = 0;
    std::uint64_t calls_ = 0;
    std::unique_ptr<HttpServer> server_;
};

//! Entry of a plain server in the store.
std::string plainEntry(const std::string &address);
//! Desired state with the routes /book/ (non_idempotent) and /look/ (idempotent) of host "desk",
//! key "key".
std::string plainConfig(std::uint64_t version, int timeoutMs);

//! One gateway process, started with the command of the deploy file.
class Gateway
{
public:
    //! The folder takes the settings file and the process's output.
    Gateway(std::string folder, std::string name, const std::string &store);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void signal(int number) const;
    //! True once the process has ended.
    bool hasEnded();
    bool isReady() const;
    //! Waits until the process is ready. Returns false if it doesn't become so.
    bool awaitReady(milliseconds patience) const;
    std::uint64_t residentBytes() const;
    std::uint16_t callers() const { return callers_; }
    const std::string &name() const { return name_; }

private:
    std::string folder_;
    std::string name_;
    std::uint16_t callers_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t mesh_ = 0;
    pid_t pid_ = 0;
};

//! How a client hears the end of a request.
struct Answer
{
    //! 0 if there was none.
    int status_ = 0;
    std::map<std::string, std::string> headers_;
    std::string body_;
    //! The answer came to its end as its framing says.
    bool complete_ = false;
    std::string problem_;
};

struct CallOptions
{
    milliseconds patience_ {5000};
    //! Receive window in bytes; 0 for the default.
    int window_ = 0;
    //! Segment size; 0 for the default.
    int segment_ = 0;
    //! Most bytes to read in a second; 0 for no limit.
    std::size_t bytesPerSecond_ = 0;
};

//! One client attempt on a new connection.
Answer call(std::uint16_t port, const std::string &request, const CallOptions &options = {});
std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body = {});

bool troubleIsOn();
//! Temporary folder of this run, removed at the end.
class Folder
{
public:
    Folder();
    ~Folder();
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    const std::string &path() const { return path_; }

private:
    std::string path_;
};

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace review
