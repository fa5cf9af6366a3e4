#include "processdriver.h"

#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/json.hpp>

#include "app/apikey.h"

namespace gypsumcroft::lab {

namespace asio = boost::asio;
namespace json = boost::json;

namespace detail {

constexpr Duration PollDelay = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds CallerTimeout {60000};
const std::string ApiKey = "test-key";

json::object objectOf(const std::string &text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    return error || !value.is_object() ? json::object() : value.as_object();
}

std::string textOf(const json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

void fillRefusal(CallerRecord &record, const json::object &object)
{
    record.ending_ = textOf(object, "run") == "not-run" ? Ending::NotRun : Ending::Unknown;
    record.outcome_.body_ = textOf(object, "code");
}

//! Server-sent events: tokens in order, then an end marker or an error.
void fillEvents(CallerRecord &record, const std::string &body)
{
    record.ending_ = Ending::Cut;
    std::istringstream lines(body);
    std::string event;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("event: "))
            event = line.substr(7);
        if (!line.starts_with("data: "))
            continue;
        const json::object data = objectOf(line.substr(6));
        if (event == "token")
            record.tokens_.push_back(textOf(data, "text"));
        else if (event == "end")
            record.ending_ = Ending::Whole;
        else if (event == "error")
            fillRefusal(record, data);
    }
}

//! A whole answer carries the text as one; tokens of the stand-in end with a space.
void fillWhole(CallerRecord &record, const json::object &object)
{
    record.ending_ = Ending::Whole;
    std::string token;
    for (const char ch : textOf(object, "text")) {
        token += ch;
        if (ch != ' ')
            continue;
        record.tokens_.push_back(token);
        token.clear();
    }
}

} // namespace detail

std::string quoteDocument(std::uint32_t maxTokens)
{
    return R"({"type":"template","name":"quote","kind":"model","target":"panels","rank":"urgent",)"
           R"("patienceMs":8000,"repeat":"safe","parameters":{"maxTokens":{"default":)"
           + std::to_string(maxTokens) + R"(,"minimum":1,"maximum":4096}}})";
}

std::vector<std::string> startDocuments()
{
    return {quoteDocument(64),
            R"({"type":"template","name":"booking","kind":"service","target":"bookings",)"
            R"("rank":"urgent","patienceMs":4000,"repeat":"never","repeatWindowS":86400})",
            R"({"type":"template","name":"lookup","kind":"service","target":"bookings",)"
            R"("rank":"standard","patienceMs":4000,"repeat":"safe"})",
            R"({"type":"organisation","organisation":"org-1","apiKeyHashes":[")"
                    + hashApiKey(detail::ApiKey).value_ + R"("]})"};
}

ProcessDriver::ProcessDriver(ProcessFleet &fleet) : fleet_(fleet), client_(context_) { }

TimePoint ProcessDriver::now() const
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(since));
}

void ProcessDriver::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

bool ProcessDriver::runUntil(const std::function<bool()> &condition, Duration timeout)
{
    const TimePoint deadline = now() + timeout;
    while (!condition()) {
        if (now() >= deadline)
            return false;
        context_.restart();
        context_.run_for(detail::PollDelay);
    }
    return true;
}

http::ClientResult ProcessDriver::ask(const Address &to, http::HttpRequest request,
                                      std::chrono::milliseconds timeout)
{
    std::optional<http::ClientResult> result;
    client_.send(to, std::move(request), {timeout, true},
                 [&](http::ClientResult answer) { result = std::move(answer); });
    runUntil([&] { return result.has_value(); }, timeout + std::chrono::seconds(1));
    return result.value_or(http::ClientResult {});
}

std::size_t ProcessDriver::send(const std::string &entry, CallerRecord record, bool events)
{
    const std::size_t index = records_.size();
    record.entry_ = entry;
    record.sent_ = now();
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/requests";
    request.headers_["Authorization"] = "Bearer " + detail::ApiKey;
    if (events)
        request.headers_["Accept"] = "text/event-stream";
    if (!record.key_.empty())
        request.headers_["Idempotency-Key"] = record.key_;
    json::object body {{"template", record.template_}, {"caller", record.caller_}};
    if (record.template_ == "quote")
        body["prompt"] = record.body_;
    else
        body["call"] = record.body_;
    if (record.maxTokens_ > 0)
        body["maxTokens"] = record.maxTokens_;
    request.body_ = json::serialize(body);
    records_.push_back(std::move(record));
    client_.send(fleet_.child(entry).http_, std::move(request), {detail::CallerTimeout, true},
                 [this, index, events](const http::ClientResult &result) {
                     fill(index, result, events);
                 });
    return index;
}

void ProcessDriver::fill(std::size_t index, const http::ClientResult &result, bool events)
{
    CallerRecord &record = records_[index];
    record.ended_ = now();
    record.ending_ = Ending::Cut;
    if (!result.response_)
        return;
    for (const auto &[name, value] : result.response_->headers_) {
        if (name == "X-Request-Id")
            record.request_ = {value};
    }
    const std::string &body = result.response_->body_;
    if (events && result.response_->contentType_ == "text/event-stream")
        return detail::fillEvents(record, body);
    const json::object object = detail::objectOf(body);
    if (result.response_->status_ != 200)
        return detail::fillRefusal(record, object);
    if (object.contains("text"))
        return detail::fillWhole(record, object);
    record.ending_ = Ending::Done;
    record.outcome_ = {200, json::serialize(object.at("answer"))};
}

bool ProcessDriver::allEnded() const
{
    return std::none_of(records_.begin(), records_.end(),
                        [](const CallerRecord &record) { return record.ending_ == Ending::None; });
}

std::string ProcessDriver::outputOf(const std::string &name) const
{
    return fleet_.folder() + "/" + name + ".out";
}

void ProcessDriver::publishAsync(const std::string &document, const std::string &name,
                                 std::optional<std::uint64_t> replaces)
{
    const std::string file = fleet_.folder() + "/" + name + ".json";
    std::ofstream(file) << document;
    const Address log = fleet_.log();
    std::vector<std::string> words = {fleet_.child("entry-1").command_[0], "publish", "--log",
                                      log.host_ + ":" + std::to_string(log.port_)};
    if (replaces)
        words.push_back("--replaces=" + std::to_string(*replaces));
    words.push_back(file);
    if (const auto pid = startProgram(std::move(words), outputOf(name)))
        publishers_[*pid] = name;
}

void ProcessDriver::takeVerdict(const std::string &name, bool accepted)
{
    verdicts_[name] = accepted;
    std::ifstream output(outputOf(name));
    for (std::string line; std::getline(output, line);) {
        std::istringstream words(line);
        std::string verdict;
        std::string object;
        std::string version;
        words >> verdict >> object >> version;
        if (verdict != "accepted")
            continue;
        object.erase(0, object.find('=') + 1);
        version.erase(0, version.find('=') + 1);
        std::uint64_t &newest = versions_[object];
        newest = std::max<std::uint64_t>(newest, std::stoull(version));
    }
}

void ProcessDriver::reapPublishers()
{
    std::erase_if(publishers_, [this](const auto &publisher) {
        int status = 0;
        if (waitpid(publisher.first, &status, WNOHANG) != publisher.first)
            return false;
        takeVerdict(publisher.second, WIFEXITED(status) && WEXITSTATUS(status) == 0);
        return true;
    });
}

std::optional<bool> ProcessDriver::verdictOf(const std::string &name) const
{
    const auto found = verdicts_.find(name);
    return found == verdicts_.end() ? std::nullopt : std::optional<bool>(found->second);
}

std::uint64_t ProcessDriver::versionOf(const std::string &object) const
{
    const auto found = versions_.find(object);
    return found == versions_.end() ? 0 : found->second;
}

bool ProcessDriver::publish(const std::string &document, const std::string &name)
{
    publishAsync(document, name);
    runUntil(
            [this, &name] {
                reapPublishers();
                return verdictOf(name).has_value();
            },
            std::chrono::seconds(30));
    return verdictOf(name).value_or(false);
}

bool ProcessDriver::waitReady()
{
    const std::size_t agents = fleet_.names("stage-").size() + fleet_.names("booking-").size();
    const auto ready = [&] {
        for (const std::string &name : fleet_.names("entry-")) {
            http::HttpRequest request;
            request.path_ = "/v1/endpoints";
            request.headers_["Authorization"] = "Bearer " + fleet_.token();
            const auto result = ask(fleet_.child(name).operators_, request);
            if (!result.response_)
                return false;
            std::size_t count = 0;
            const std::string wanted = R"("state":"ready")";
            const std::string &body = result.response_->body_;
            for (auto at = body.find(wanted); at != std::string::npos;
                 at = body.find(wanted, at + 1))
                ++count;
            if (count < agents)
                return false;
        }
        return true;
    };
    const auto logUp = [&] {
        http::HttpRequest request;
        request.path_ = "/stats";
        return ask(fleet_.log(), request).response_.has_value();
    };
    if (!runUntil(logUp, std::chrono::seconds(20)))
        return false;
    int number = 0;
    for (const std::string &document : startDocuments()) {
        if (!publish(document, "start-" + std::to_string(number++)))
            return false;
    }
    return runUntil(ready, std::chrono::seconds(30));
}

void ProcessDriver::fault(const std::string &standin, const std::string &body)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/faults";
    request.body_ = body;
    client_.send(fleet_.child(standin).http_, std::move(request),
                 {std::chrono::milliseconds(5000), true}, [](const http::ClientResult &) {});
}

} // namespace gypsumcroft::lab
