#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 16384;
constexpr std::size_t Partitions = 12;
constexpr std::size_t PageEntries = 500;
constexpr std::size_t PageBytes = 1000000;
constexpr milliseconds MemberLifetime {2000};

const Clock::time_point &startTime()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char ch) { return static_cast<char>(std::tolower(ch)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string decodePercent(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            plain += text[i] == '+' ? ' ' : text[i];
        }
    }
    return plain;
}

std::string base64(const std::string &bytes)
{
    constexpr std::string_view Digits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : Digits[group >> (18U - 6U * j) & 63U];
    }
    return text;
}

std::string bigEndian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned i = bytes; i-- > 0;)
        text += static_cast<char>(value >> (8U * i) & 255U);
    return text;
}

//! Text value of a member in a flat JSON object.
std::string textMember(const std::string &json, const std::string &name)
{
    const auto at = json.find('"' + name + "\":\"");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return json.substr(begin, json.find('"', begin) - begin);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

int boundSocket(int type)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    static_cast<void>(bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    return socket;
}

std::uint16_t freePort()
{
    const int socket = boundSocket(SOCK_STREAM);
    const std::uint16_t port = boundPort(socket);
    close(socket);
    return port;
}

//! Splits a header section after its first line.
std::vector<std::pair<std::string, std::string>> parseHeaders(const std::string &head)
{
    std::vector<std::pair<std::string, std::string>> headers;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            headers.emplace_back(lower(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
    }
    return headers;
}

//! Reads one request. Bytes behind it stay in the buffer.
std::optional<Request> readRequest(int socket, std::string &buffer)
{
    std::size_t end = 0;
    const auto more = [&] {
        std::string bytes(ReadBytes, '\0');
        const ssize_t got = recv(socket, bytes.data(), bytes.size(), 0);
        if (got <= 0)
            return false;
        buffer.append(bytes, 0, static_cast<std::size_t>(got));
        return true;
    };
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return std::nullopt;
    }
    Request request;
    std::istringstream first(buffer.substr(0, buffer.find("\r\n")));
    first >> request.method_ >> request.target_;
    request.headers_ = parseHeaders(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!more())
            return std::nullopt;
    }
    request.body_ = buffer.substr(0, length);
    buffer.erase(0, length);
    return request;
}

void serveConnection(int socket, const Handler &handler)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    while (const auto request = readRequest(socket, buffer)) {
        if (!handler(*request, socket))
            break;
    }
    close(socket);
}

void acceptConnections(int listener, const Handler &handler)
{
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
            std::thread(serveConnection, socket, handler).detach();
    }
}

//! Reads bytes as they come, no faster than allowed.
class Reader
{
public:
    Reader(int socket, const CallOptions &options)
        : socket_(socket), options_(options), start_(Clock::now())
    { }

    //! Appends bytes to the text. Returns false at the end, with the problem if there was one.
    bool more(std::string &text, std::string &problem)
    {
        if (options_.bytesPerSecond_ > 0) {
            const auto due = start_ + milliseconds(1000 * total_ / options_.bytesPerSecond_);
            std::this_thread::sleep_until(due);
        }
        const auto left = std::chrono::duration_cast<milliseconds>(start_ + options_.patience_
                                                                   - Clock::now());
        pollfd wait {socket_, POLLIN, 0};
        if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
            problem = "no end in time";
            return false;
        }
        std::string bytes(ReadBytes, '\0');
        const ssize_t got = recv(socket_, bytes.data(), bytes.size(), 0);
        if (got < 0)
            problem = "reset";
        if (got <= 0)
            return false;
        total_ += static_cast<std::size_t>(got);
        text.append(bytes, 0, static_cast<std::size_t>(got));
        return true;
    }

private:
    int socket_;
    CallOptions options_;
    Clock::time_point start_;
    std::size_t total_ = 0;
};

//! Body of a chunked answer. Complete only if the last chunk is there.
void decodeChunks(const std::string &bytes, Answer &answer)
{
    std::size_t at = 0;
    while (true) {
        const auto line = bytes.find("\r\n", at);
        if (line == std::string::npos)
            return;
        const std::size_t size = std::strtoul(bytes.c_str() + at, nullptr, 16);
        if (size == 0) {
            answer.complete_ = bytes.size() >= line + 4;
            return;
        }
        if (bytes.size() < line + 2 + size + 2)
            return;
        answer.body_ += bytes.substr(line + 2, size);
        at = line + 2 + size + 2;
    }
}

bool isWhole(Answer &answer, const std::string &rest)
{
    if (answer.headers_["transfer-encoding"] == "chunked") {
        answer.body_.clear();
        decodeChunks(rest, answer);
        return answer.complete_;
    }
    const std::string &length = answer.headers_["content-length"];
    answer.body_ = rest;
    answer.complete_ = !length.empty() && rest.size() >= std::strtoul(length.c_str(), nullptr, 10);
    return answer.complete_;
}

int connectTo(std::uint16_t port, const CallOptions &options)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.window_ > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &options.window_, sizeof options.window_);
    if (options.segment_ > 0)
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &options.segment_, sizeof options.segment_);
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return socket;
    close(socket);
    return -1;
}

} // namespace

std::int64_t sinceStart()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - startTime()).count();
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

Record::Record(const std::string &path) : file_(path)
{
    startTime();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    file_ << sinceStart() << " ms  " << text << std::endl;
}

std::string Request::header(const std::string &name) const
{
    for (const auto &[header, value] : headers_) {
        if (header == lower(name))
            return value;
    }
    return {};
}

std::string Request::parameter(const std::string &name) const
{
    const auto mark = target_.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream pairs(target_.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const auto equals = pair.find('=');
        if (equals != std::string::npos && decodePercent(pair.substr(0, equals)) == name)
            return decodePercent(pair.substr(equals + 1));
    }
    return {};
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t got = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (got <= 0)
            return false;
        sent += static_cast<std::size_t>(got);
    }
    return true;
}

std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpServer::HttpServer(Handler handler)
{
    const int listener = boundSocket(SOCK_STREAM);
    listen(listener, SOMAXCONN);
    port_ = boundPort(listener);
    std::thread(acceptConnections, listener, std::move(handler)).detach();
}

Store::Store()
    : server_(std::make_unique<HttpServer>(
            [this](const Request &request, int socket) { return answer(request, socket); }))
{ }

void Store::putConfig(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    configs_.push_back(text);
    changed_.notify_all();
}

void Store::putEntry(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    entries_[key] = value;
    ++entriesEnd_;
}

std::uint64_t Store::calls()
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

bool Store::answer(const Request &request, int socket)
{
    const std::string path = request.target_.substr(0, request.target_.find('?'));
    std::string body;
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
    }
    if (path == "/log-newest")
        body = newest(request);
    else if (path == "/log-read")
        body = read(request);
    else if (path == "/log-join")
        body = join(request);
    else if (path == "/log-owners")
        body = owners();
    else if (path == "/log-leave") {
        const std::lock_guard lock(mutex_);
        generation_ += members_.erase(textMember(request.body_, "Member"));
        body = "{}";
    }
    return sendAll(socket, answerText(200, "Content-Type: application/json\r\n", body));
}

//! A page holds at most 500 records or 1 MB, in the order of their keys.
std::string Store::newest(const Request &request)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> records;
    std::uint64_t end = entriesEnd_;
    if (request.parameter("Topic") == "keyed.servers") {
        records = entries_;
    } else {
        end = configs_.size();
        if (!configs_.empty())
            records["config"] = configs_.back();
    }
    std::string items;
    std::size_t count = 0;
    std::size_t bytes = 0;
    auto next = records.upper_bound(request.parameter("After"));
    for (; next != records.end() && count < PageEntries; ++next) {
        if (count > 0 && bytes + next->second.size() > PageBytes)
            break;
        bytes += next->second.size();
        items += (count++ > 0 ? "," : "") + std::string(R"({"Key":")") + next->first
                 + R"(","Value":")" + base64(next->second) + R"(","Offset":0})";
    }
    return R"({"Items":[)" + items + R"(],"HasMore":)" + (next != records.end() ? "true" : "false")
           + R"(,"EndOffset":)" + std::to_string(end) + "}";
}

std::string Store::read(const Request &request)
{
    const std::size_t from = std::strtoul(request.parameter("From").c_str(), nullptr, 10);
    const milliseconds wait(std::strtol(request.parameter("WaitMs").c_str(), nullptr, 10));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return configs_.size() > from; });
    std::string bytes = bigEndian(configs_.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < configs_.size(); ++i) {
        const std::string record = std::string(1, '\x06') + "config" + configs_[i];
        bytes += bigEndian(record.size(), 4) + record;
    }
    return bytes;
}

void Store::dropSilentMembers()
{
    const auto now = Clock::now();
    generation_ += std::erase_if(
            members_, [&](const auto &entry) { return now - entry.second > MemberLifetime; });
}

std::string Store::join(const Request &request)
{
    const std::lock_guard lock(mutex_);
    const std::string member = textMember(request.body_, "Member");
    dropSilentMembers();
    if (!members_.contains(member))
        ++generation_;
    members_[member] = Clock::now();
    const auto place
            = static_cast<std::size_t>(std::distance(members_.begin(), members_.find(member)));
    std::string parts;
    for (std::size_t part = place; part < Partitions; part += members_.size())
        parts += (parts.empty() ? "" : ",") + std::string(R"(["placement",)") + std::to_string(part)
                 + ",0]";
    return R"({"Generation":)" + std::to_string(generation_) + R"(,"parts":[)" + parts + "]}";
}

std::string Store::owners()
{
    const std::lock_guard lock(mutex_);
    dropSilentMembers();
    std::string rows;
    std::size_t part = 0;
    for (const auto &[member, at] : members_) {
        rows += (part > 0 ? "," : "") + std::string(R"(["placement",)") + std::to_string(part)
                + R"(,")" + member + R"(",0])";
        ++part;
    }
    return R"({"parts":[)" + rows + "]}";
}

std::string plainEntry(const std::string &address)
{
    return R"({"Service":"desk","Address":")" + address
           + R"(","Zone":"a","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,)"
           + R"("Sequence":1,"born":1764900000000})";
}

std::string plainConfig(std::uint64_t version, int timeoutMs)
{
    const auto route = [&](const std::string &prefix, const std::string &kind) {
        return R"({"Name":")" + kind + R"(","Host":"desk","PathPrefix":")" + prefix
               + R"(","Kind":")" + kind + R"(","Service":"desk","TimeoutMs":)"
               + std::to_string(timeoutMs)
               + R"(,"TargetLatencyMs":300,"Priority":0,"MaxAttempts":2})";
    };
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)"
           + route("/book/", "non_idempotent") + "," + route("/look/", "idempotent")
           + R"(],"Services":[{"Name":"desk","HealthCheck":"/health","MaxConnections":968}],)"
           + R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
           + R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"firm","ApiKeys":["key"]}]})";
}

Gateway::Gateway(std::string folder, std::string name, const std::string &store)
    : folder_(std::move(folder)), name_(std::move(name)), callers_(freePort()), ready_(freePort()),
      mesh_(freePort())
{
    const auto address
            = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(folder_ + "/" + name_ + ".json")
            << R"({"role":"gateway","instance":")" << name_ << R"(","failureDomain":"a","mesh":)"
            << address(mesh_) << R"(,"callers":)" << address(callers_) << R"(,"ready":)"
            << address(ready_) << R"(,"metrics":)" << address(mesh_) << R"(,"store":{"address":")"
            << store << R"(","partitions":12,"shortestLifetimeMs":1000},"bounds":)"
            << R"({"strictRevoke":true,"revokeMs":5000,"applyMs":2000,"retryRatio":0.2,)"
            << R"("retrySlack":198,"retryWindowS":10,"graceS":8}})";
}

Gateway::~Gateway()
{
    if (pid_ <= 0)
        return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void Gateway::start()
{
    const std::string settings = folder_ + "/" + name_ + ".json";
    const std::string output = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ != 0)
        return;
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    setenv("GYPSUMCROFT_SETTINGS", settings.c_str(), 1);
    execl("target/src/app/gypsumcroft", "target/src/app/gypsumcroft", "gateway", nullptr);
    _exit(127);
}

void Gateway::signal(int number) const
{
    if (pid_ > 0)
        kill(pid_, number);
}

bool Gateway::hasEnded()
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
        pid_ = 0;
    return pid_ <= 0;
}

bool Gateway::isReady() const
{
    return call(ready_, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", {milliseconds(1000)}).status_
           == 200;
}

bool Gateway::awaitReady(milliseconds patience) const
{
    const auto until = Clock::now() + patience;
    while (Clock::now() < until) {
        if (isReady())
            return true;
        sleepFor(milliseconds(50));
    }
    return false;
}

std::uint64_t Gateway::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

Answer call(std::uint16_t port, const std::string &request, const CallOptions &options)
{
    Answer answer;
    const int socket = connectTo(port, options);
    if (socket < 0) {
        answer.problem_ = "not connected";
        return answer;
    }
    Reader reader(socket, options);
    std::string text;
    if (!sendAll(socket, request))
        answer.problem_ = "can't send";
    std::size_t end = std::string::npos;
    while ((end = text.find("\r\n\r\n")) == std::string::npos && reader.more(text, answer.problem_))
        continue;
    if (end != std::string::npos) {
        answer.status_ = std::atoi(text.substr(text.find(' ') + 1, 3).c_str());
        for (const auto &[name, value] : parseHeaders(text.substr(0, end)))
            answer.headers_[name] = value;
        std::string rest = text.substr(end + 4);
        while (!isWhole(answer, rest) && reader.more(rest, answer.problem_))
            continue;
    }
    close(socket);
    if (!answer.complete_ && answer.problem_.empty())
        answer.problem_ = "closed";
    return answer;
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id
           + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
           + "\r\nAuthorization: Bearer key\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

bool troubleIsOn()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

Folder::Folder()
{
    std::string path = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    path_ = mkdtemp(path.data()) == nullptr ? "" : path;
}

Folder::~Folder()
{
    std::error_code ignored;
    if (!path_.empty())
        std::filesystem::remove_all(path_, ignored);
}

} // namespace review
