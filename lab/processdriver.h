//! Drives a ProcessFleet over HTTP as callers, operators and the platform do, on one io_context.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "evidence.h"
#include "http/client.h"
#include "processfleet.h"

namespace gypsumcroft::lab {

class ProcessDriver
{
public:
    explicit ProcessDriver(ProcessFleet &fleet);

    boost::asio::io_context &context() { return context_; }
    TimePoint now() const;
    void after(Duration delay, std::function<void()> action);
    //! Runs until the condition holds, checked between events; false after the timeout.
    bool runUntil(const std::function<bool()> &condition, Duration timeout);

    //! Sends any request and waits for its answer.
    http::ClientResult ask(const Address &to, http::HttpRequest request,
                           std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));
    //! Sends a caller's request; its record is filled when the answer comes.
    std::size_t send(const std::string &entry, CallerRecord record, bool events);
    bool allEnded() const;

    //! Publishes a document with the product's own sub-command; true when it was accepted.
    bool publish(const std::string &document, const std::string &name);
    //! With "replaces" the document is refused unless that version of its object is in force.
    void publishAsync(const std::string &document, const std::string &name,
                      std::optional<std::uint64_t> replaces = {});
    //! Takes the verdicts of publications that have ended.
    void reapPublishers();
    bool arePublishing() const { return !publishers_.empty(); }
    //! Whether the publication of this name was accepted; none until it has ended.
    std::optional<bool> verdictOf(const std::string &name) const;
    //! Version of an object after the last publication that was accepted; 0 if there is none.
    std::uint64_t versionOf(const std::string &object) const;

    //! Waits until every entry knows the configuration and sees all agents ready.
    bool waitReady();
    //! A fault of a stand-in, as JSON.
    void fault(const std::string &standin, const std::string &json);

    std::vector<CallerRecord> records_;

private:
    void fill(std::size_t index, const http::ClientResult &result, bool events);
    std::string outputOf(const std::string &name) const;
    void takeVerdict(const std::string &name, bool accepted);

    std::map<pid_t, std::string> publishers_;
    std::map<std::string, bool> verdicts_;
    std::map<std::string, std::uint64_t> versions_;
    ProcessFleet &fleet_;
    boost::asio::io_context context_ {1};
    http::Client client_;
};

//! Documents that the fleet starts with, as JSON.
std::vector<std::string> startDocuments();
//! A model template of the tests.
std::string quoteDocument(std::uint32_t maxTokens);

} // namespace gypsumcroft::lab
