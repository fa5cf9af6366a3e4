//! Drives a ProcessFleet over HTTP as callers, operators and the platform do, on one io_context.
#pragma once

#include <functional>
#include <memory>
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
    void publishAsync(const std::string &document, const std::string &name);
    //! Publications begun with publishAsync: how many were accepted and refused so far.
    void reapPublishers();

    //! Waits until every entry knows the configuration and sees all agents ready.
    bool waitReady();
    //! A fault of a stand-in, as JSON.
    void fault(const std::string &standin, const std::string &json);

    std::vector<CallerRecord> records_;
    std::uint32_t accepted_ = 0;
    std::uint32_t refused_ = 0;
    std::vector<pid_t> publishers_;

private:
    void fill(std::size_t index, const http::ClientResult &result, bool events);

    ProcessFleet &fleet_;
    boost::asio::io_context context_ {1};
    http::Client client_;
};

//! Documents that the fleet starts with, as JSON.
std::vector<std::string> startDocuments();
//! A model template of the tests.
std::string quoteDocument(std::uint32_t maxTokens);

} // namespace gypsumcroft::lab
