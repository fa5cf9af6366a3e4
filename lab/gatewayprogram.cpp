#include "gatewayprogram.h"

#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include <boost/asio.hpp>

#include "http/internal/messagereader.h"
#include "processfleet.h"

namespace gypsumcroft::lab {

namespace asio = boost::asio;
using asio::ip::tcp;

bool isWholeResponse(const std::string &text)
{
    boost::beast::flat_buffer buffer;
    buffer.commit(asio::buffer_copy(buffer.prepare(text.size()), asio::buffer(text)));
    http::detail::MessageParser<false, boost::beast::http::string_body> parser;
    return !http::detail::parseMessage(buffer, parser) && buffer.size() == 0;
}

Answer ask(const Address &to, const std::string &method, const std::string &path,
           const std::string &id, const std::string &key, const std::string &promptParts)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(to.host_), to.port_}, error);
    const std::string request
            = method + " " + path + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id
              + "\r\nX-Deadline-Ms: 4000\r\nX-Token-Count: 100,20\r\nAuthorization: Bearer " + key
              + (promptParts.empty() ? "" : "\r\nX-Prompt-Prefix: " + promptParts)
              + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request), error);
    Answer answer;
    asio::read(socket, asio::dynamic_buffer(answer.text_), error);
    answer.status_ = answer.text_.substr(0, 12);
    answer.whole_ = isWholeResponse(answer.text_);
    return answer;
}

GatewayProgram::GatewayProgram(const std::string &binary, const std::string &folder,
                               const std::string &name, const Address &store,
                               const std::string &moreSettings)
    : callers_ {"127.0.0.1", freePort()}, ready_ {"127.0.0.1", freePort()}, metrics_ {"127.0.0.1",
                                                                                      freePort()},
      log_(folder + "/" + name + ".log")
{
    settingsFile_ = folder + "/" + name + ".json";
    const auto text = [](const Address &address) {
        return '"' + address.host_ + ":" + std::to_string(address.port_) + '"';
    };
    std::ofstream(settingsFile_)
            << R"({"role":"gateway","instance":")" << name << R"(","failureDomain":"a",)"
            << R"("mesh":)" << text(metrics_) << R"(,"metrics":)" << text(metrics_)
            << R"(,"callers":)" << text(callers_) << R"(,"ready":)" << text(ready_)
            << R"(,"store":{"address":)" << text(store) << R"(,"partitions":12},)"
            << R"("bounds":{"strictRevoke":true,"revokeMs":3000,"applyMs":2000,)"
            << R"("retrySlack":100,"graceS":8})" << (moreSettings.empty() ? "" : ",")
            << moreSettings << '}';
    command_ = {binary, "gateway", "--settings", settingsFile_};
    restart();
}

GatewayProgram::~GatewayProgram()
{
    if (pid_ <= 0)
        return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void GatewayProgram::restart()
{
    if (pid_ <= 0)
        pid_ = startProgram(command_, log_).value_or(-1);
}

bool GatewayProgram::signal(int number) const
{
    return pid_ > 0 && kill(pid_, number) == 0;
}

bool GatewayProgram::holdUp()
{
    if (!signal(SIGSTOP))
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WUNTRACED) != pid_)
        return false;
    if (!WIFSTOPPED(status))
        noteEnd(status);
    return WIFSTOPPED(status);
}

bool GatewayProgram::hasEnded()
{
    if (pid_ <= 0)
        return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return false;
    noteEnd(status);
    return true;
}

void GatewayProgram::noteEnd(int status)
{
    pid_ = -1;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool GatewayProgram::isReady() const
{
    return ask(ready_, "GET", "/ready", "", "").status_ == "HTTP/1.1 200";
}

std::string GatewayProgram::log() const
{
    std::ifstream file(log_);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string GatewayProgram::settings() const
{
    std::ifstream file(settingsFile_);
    return {std::istreambuf_iterator<char>(file), {}};
}

void GatewayProgram::writeSettings(const std::string &text) const
{
    std::ofstream(settingsFile_) << text;
}

std::uint64_t GatewayProgram::peakBytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    constexpr std::uint64_t Kilobyte = 1024;
    const std::string label = "VmHWM:";
    for (std::string line; pid_ > 0 && std::getline(file, line);) {
        if (line.starts_with(label))
            return std::stoull(line.substr(label.size())) * Kilobyte;
    }
    return 0;
}

std::size_t GatewayProgram::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid_) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

} // namespace gypsumcroft::lab
