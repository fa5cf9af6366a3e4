#include "app/commands.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/json.hpp>

#include "controllers/config.h"
#include "documents/configdocuments.h"
#include "documents/gatewaysettings.h"
#include "documents/settings.h"
#include "http/client.h"
#include "logclient.h"
#include "runtime.h"

namespace gypsumcroft {

namespace detail {

constexpr int ExitOk = 0;
constexpr int ExitFindings = 1;
constexpr int ExitUsage = 2;
constexpr std::chrono::milliseconds RequestTimeout {5000};
constexpr std::chrono::milliseconds PublishAppendTimeout {2000};
constexpr std::chrono::milliseconds PublishPoll {200};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printFindings(const Findings &findings)
{
    for (const Finding &finding : findings)
        std::cerr << finding.place_ << ": " << finding.message_ << "\n";
}

//! Settings have a "role", documents a "type".
bool looksLikeSettings(const std::string &text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    return !error && value.is_object() && value.as_object().contains("role");
}

std::string randomPublishId()
{
    std::random_device device;
    std::ostringstream id;
    id << "pub-" << std::hex << device() << device() << device() << device();
    return id.str();
}

//! One publication: reads the log, appends once, reads until its own record is judged.
class Publisher
{
public:
    Publisher(const PublishOptions &options, ConfigDocument document)
        : options_(options), document_(std::move(document)), id_ {randomPublishId()},
          log_(context_, options.log_), deadline_(monotonicNow() + options.timeout_),
          replaces_(options.replaces_)
    { }

    int run()
    {
        readOn();
        context_.run();
        return exitCode_;
    }

private:
    void readOn()
    {
        log_.read(ConfigStream, {state_.appliedOffset_.value_ + 1}, std::chrono::milliseconds(0),
                  [this](const std::optional<LogPage> &page) { pageRead(page); });
    }

    void pageRead(const std::optional<LogPage> &page)
    {
        if (monotonicNow() >= deadline_)
            return giveUp();
        if (!page)
            return later();
        applyConfigPage(state_, toConfigLogPage(*page), monotonicNow());
        if (report())
            return;
        const bool atEnd = state_.appliedOffset_.value_ + 1 >= page->nextOffset_.value_;
        if (!atEnd && !page->records_.empty())
            return readOn();
        if (!appended_ && !inFlight_)
            return append();
        later();
    }

    //! Appends again only after the log said that it did not take the record: the answer may be
    //! lost after the append took effect.
    void append()
    {
        const auto current = state_.entries_.find(objectNameOf(document_));
        if (!replaces_)
            replaces_ = current == state_.entries_.end() ? LogOffset {} : current->second.version_;
        inFlight_ = true;
        const std::string record = encodeConfigRecord(ConfigPublish {{id_}, *replaces_, document_});
        log_.append(ConfigStream, record, PublishAppendTimeout, [this](const AppendResult &result) {
            inFlight_ = false;
            appended_ = !result.notTaken_;
            if (!result.offset_)
                std::cerr << "append: " << result.reason_ << "\n";
            readOn();
        });
    }

    void later()
    {
        timer_.expires_after(PublishPoll);
        timer_.async_wait([this](boost::system::error_code) { readOn(); });
    }

    bool report()
    {
        const auto verdict = state_.publishResults_.find({id_});
        if (verdict == state_.publishResults_.end())
            return false;
        const std::string object = objectNameOf(document_).value_;
        if (verdict->second.accepted_) {
            std::cout << "accepted object=" << object
                      << " version=" << verdict->second.offset_.value_ << "\n";
        } else {
            std::cout << "refused object=" << object << " offset=" << verdict->second.offset_.value_
                      << "\n";
            printFindings(verdict->second.findings_);
        }
        exitCode_ = verdict->second.accepted_ ? ExitOk : ExitFindings;
        return true;
    }

    void giveUp()
    {
        std::cout << "unknown publish=" << id_ << "\n";
        std::cerr << "the log did not answer in time; the record may still be accepted\n";
        exitCode_ = ExitFindings;
    }

    PublishOptions options_;
    ConfigDocument document_;
    std::string id_;
    asio::io_context context_ {1};
    LogClient log_;
    asio::steady_timer timer_ {context_};
    TimePoint deadline_;
    ConfigState state_;
    std::optional<LogOffset> replaces_;
    bool inFlight_ = false;
    bool appended_ = false;
    int exitCode_ = ExitFindings;
};

} // namespace detail

int runCheck(const std::vector<std::string> &files)
{
    if (files.empty()) {
        std::cerr << "check: name at least one file\n";
        return detail::ExitUsage;
    }
    Findings findings;
    std::vector<std::pair<std::string, ConfigDocument>> documents;
    for (const std::string &file : files) {
        const auto text = detail::readFile(file);
        if (!text) {
            addFinding(findings, file, "can't be read");
            continue;
        }
        if (isGatewaySettings(*text)) {
            decodeGatewaySettings(*text, file, findings);
            continue;
        }
        if (detail::looksLikeSettings(*text)) {
            decodeProcessSettings(*text, file, findings);
            continue;
        }
        auto document = decodeDocument(*text, file, findings);
        if (document)
            documents.emplace_back(file, std::move(*document));
    }
    checkOverrides(documents, findings);
    detail::printFindings(findings);
    if (findings.empty())
        std::cout << "ok files=" << files.size() << "\n";
    return findings.empty() ? detail::ExitOk : detail::ExitFindings;
}

int runPublish(const PublishOptions &options)
{
    Findings findings;
    const auto text = detail::readFile(options.file_);
    if (!text)
        addFinding(findings, options.file_, "can't be read");
    auto document = text ? decodeDocument(*text, options.file_, findings) : std::nullopt;
    if (!document) {
        detail::printFindings(findings);
        return detail::ExitFindings;
    }
    detail::Publisher publisher(options, std::move(*document));
    return publisher.run();
}

int runOperatorRequest(const Address &address, const std::string &method, const std::string &path,
                       const std::string &token, const std::string &body)
{
    detail::asio::io_context context(1);
    http::Client client(context);
    http::HttpRequest request;
    request.method_ = method;
    const auto mark = path.find('?');
    request.path_ = path.substr(0, mark);
    if (mark != std::string::npos) {
        const std::string pair = path.substr(mark + 1);
        const auto equals = pair.find('=');
        request.query_[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    request.headers_["Authorization"] = "Bearer " + token;
    request.body_ = body;
    int exitCode = detail::ExitFindings;
    client.send(address, std::move(request), {detail::RequestTimeout, true},
                [&](const http::ClientResult &result) {
                    if (!result.response_) {
                        std::cerr << formatAddress(address) << ": " << result.reason_ << "\n";
                        return;
                    }
                    std::cout << result.response_->body_;
                    exitCode = result.response_->status_ == 200 ? detail::ExitOk
                                                                : detail::ExitFindings;
                });
    context.run();
    return exitCode;
}

} // namespace gypsumcroft
