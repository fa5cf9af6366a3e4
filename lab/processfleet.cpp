#include "processfleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <boost/asio.hpp>

extern char **environ;

namespace gypsumcroft::lab {

namespace detail {

Address loopback()
{
    return {"127.0.0.1", freePort()};
}

std::string text(const Address &address)
{
    return address.host_ + ":" + std::to_string(address.port_);
}

std::string makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "gypsumcroft-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("can't make a working folder");
    return name;
}

} // namespace detail

//! Below the range from which the kernel takes the ports of outgoing connections.
std::uint16_t freePort()
{
    using boost::asio::ip::tcp;
    constexpr std::uint32_t FirstPort = 12000;
    constexpr std::uint32_t PortCount = 18000;
    constexpr std::uint32_t PortsPerProcess = 211;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * PortsPerProcess;
    boost::asio::io_context context;
    for (std::uint32_t tries = 0; tries < PortCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
        boost::system::error_code error;
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4(), error);
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("no port is free");
}

std::optional<pid_t> startProgram(std::vector<std::string> words, const std::string &output)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child must not keep listening sockets of a stand-in open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = 0;
    const int failed
            = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return failed == 0 ? std::optional<pid_t>(pid) : std::nullopt;
}

ProcessFleet::ProcessFleet(ProgramPaths paths, ProcessFleetOptions options)
    : paths_(std::move(paths)), options_(options), folder_(detail::makeFolder())
{
    addStandins();
    for (std::uint32_t i = 0; i < options_.entries_; ++i)
        entryMesh_.push_back(detail::loopback());
    for (std::uint32_t i = 0; i < options_.entries_; ++i)
        addEntry(i + 1);
    static const char *const domains[] = {"a", "b", "c"};
    for (std::uint32_t p = 1; p <= options_.pipelines_; ++p) {
        for (std::uint32_t s = 1; s <= options_.stages_; ++s) {
            const std::string name = "stage-" + std::to_string(p) + "-" + std::to_string(s);
            addAgent(name, "stage", domains[(p + s) % 3], children_.at("engine-" + name).http_);
        }
    }
    for (std::uint32_t i = 1; i <= options_.services_; ++i) {
        const std::string name = "booking-" + std::to_string(i);
        addAgent(name, "service", domains[i % 3], children_.at("service-" + name).http_);
    }
}

ProcessFleet::~ProcessFleet()
{
    for (auto &[name, child] : children_) {
        if (!child.running_)
            continue;
        kill(child.pid_, SIGKILL);
        waitpid(child.pid_, nullptr, 0);
    }
    //! Logs are kept for a look when this variable is set.
    if (std::getenv("GC_KEEP_LOGS") != nullptr)
        return;
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void ProcessFleet::addStandins()
{
    const auto add = [this](const std::string &name, std::vector<std::string> command) {
        ChildProcess child;
        child.http_ = detail::loopback();
        command.insert(command.end(), {"--listen", detail::text(child.http_)});
        child.command_ = std::move(command);
        children_[name] = std::move(child);
        order_.push_back(name);
    };
    add("log", {paths_.standins_ + "/standin-logservice", "--appends_per_second",
                std::to_string(options_.appendsPerSecond_)});
    add("list", {paths_.standins_ + "/standin-instancelist"});
    const std::uint32_t width = options_.layers_ / options_.stages_;
    for (std::uint32_t p = 1; p <= options_.pipelines_; ++p) {
        for (std::uint32_t s = 0; s < options_.stages_; ++s)
            add("engine-stage-" + std::to_string(p) + "-" + std::to_string(s + 1),
                {paths_.standins_ + "/standin-stageengine", "--first", std::to_string(s * width),
                 "--end", std::to_string((s + 1) * width), "--layers",
                 std::to_string(options_.layers_), "--slots", std::to_string(options_.slots_),
                 "--cost_us", std::to_string(options_.costPerToken_.count())});
    }
    for (std::uint32_t i = 1; i <= options_.services_; ++i) {
        const std::string name = "service-booking-" + std::to_string(i);
        add(name, {paths_.standins_ + "/standin-plainservice", "--effects",
                   folder_ + "/" + name + ".effects"});
    }
}

std::string ProcessFleet::platformJson() const
{
    return R"({"log":")" + detail::text(children_.at("log").http_) + R"(","instances":")"
           + detail::text(children_.at("list").http_) + R"("})";
}

std::string ProcessFleet::entriesJson() const
{
    std::string json = "[";
    for (const Address &entry : entryMesh_)
        json += (json.size() > 1 ? ",\"" : "\"") + detail::text(entry) + "\"";
    return json + "]";
}

std::string ProcessFleet::settingsFile(const std::string &name) const
{
    return folder_ + "/" + name + ".json";
}

void ProcessFleet::addEntry(std::uint32_t number)
{
    const std::string name = "entry-" + std::to_string(number);
    ChildProcess child;
    child.http_ = detail::loopback();
    child.operators_ = detail::loopback();
    std::ofstream(settingsFile(name))
            << R"({"role":"entry","instance":")" << name << R"(","failureDomain":"a","mesh":")"
            << detail::text(entryMesh_.at(number - 1)) << R"(","callers":")"
            << detail::text(child.http_) << R"(","operators":{"address":")"
            << detail::text(child.operators_) << R"(","token":")" << token_ << R"("},"entries":)"
            << entriesJson() << R"(,"platform":)" << platformJson()
            << R"(,"maxBodyBytes":4096,"readTimeoutMs":1000,"drainNoticeMs":300})";
    child.command_ = {paths_.gypsumcroft_, "entry", "--settings", settingsFile(name)};
    children_[name] = std::move(child);
    order_.push_back(name);
}

void ProcessFleet::addAgent(const std::string &name, const std::string &kind,
                            const std::string &domain, const Address &endpoint)
{
    ChildProcess child;
    child.http_ = detail::loopback();
    child.operators_ = detail::loopback();
    std::ofstream(settingsFile(name))
            << R"({"role":"agent","instance":")" << name << R"(","failureDomain":")" << domain
            << R"(","mesh":")" << detail::text(child.http_) << R"(","operators":{"address":")"
            << detail::text(child.operators_) << R"(","token":")" << token_ << R"("},"entries":)"
            << entriesJson() << R"(,"platform":)" << platformJson()
            << R"(,"trafficThreads":1,"claimsBatch":)" << options_.claimsBatch_
            << R"(,"endpoint":{"name":")" << name << R"(","address":")" << detail::text(endpoint)
            << R"(","kind":")" << kind << R"("}})";
    child.command_ = {paths_.gypsumcroft_, "agent", "--settings", settingsFile(name)};
    children_[name] = std::move(child);
    order_.push_back(name);
}

void ProcessFleet::spawn(const std::string &name)
{
    ChildProcess &child = children_.at(name);
    const auto pid = startProgram(child.command_, folder_ + "/" + name + ".log");
    if (!pid)
        throw std::runtime_error("can't start " + child.command_[0]);
    child.pid_ = *pid;
    child.running_ = true;
}

void ProcessFleet::startAll()
{
    for (const std::string &name : order_)
        spawn(name);
}

void ProcessFleet::restart(const std::string &name)
{
    if (!children_.at(name).running_)
        spawn(name);
}

void ProcessFleet::signal(const std::string &name, int number)
{
    const ChildProcess &child = children_.at(name);
    if (child.running_)
        kill(child.pid_, number);
}

bool ProcessFleet::hasEnded(const std::string &name)
{
    ChildProcess &child = children_.at(name);
    if (!child.running_)
        return true;
    int status = 0;
    if (waitpid(child.pid_, &status, WNOHANG) != child.pid_)
        return false;
    child.running_ = false;
    child.exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

std::vector<std::string> ProcessFleet::names(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[name, child] : children_) {
        if (name.starts_with(prefix))
            found.push_back(name);
    }
    return found;
}

std::map<std::string, std::uint32_t> ProcessFleet::effects() const
{
    std::map<std::string, std::uint32_t> effects;
    for (const std::string &name : names("service-")) {
        std::ifstream file(folder_ + "/" + name + ".effects");
        for (std::string line; std::getline(file, line);)
            ++effects[line];
    }
    return effects;
}

Address ProcessFleet::log() const
{
    return children_.at("log").http_;
}

std::uint64_t ProcessFleet::residentBytes(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(children_.at(name).pid_) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

Duration ProcessFleet::processorTime(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(children_.at(name).pid_) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    constexpr int FieldsBeforeTimes = 11;
    std::string skipped;
    for (int i = 0; i < FieldsBeforeTimes; ++i)
        rest >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    rest >> user >> system;
    return Duration((user + system) * 1000000 / sysconf(_SC_CLK_TCK));
}

} // namespace gypsumcroft::lab
