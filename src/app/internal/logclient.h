//! Client of the platform's log: tails a stream, reads pages, appends.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "documents/configdocuments.h"
#include "http/client.h"
#include "runtime.h"

namespace gypsumcroft::detail {

inline const std::string ConfigStream = "config";
inline const std::string ClaimsStream = "claims";

//! How an append ended; notTaken_ is only true when the log said so.
struct AppendResult
{
    std::optional<LogOffset> offset_;
    bool notTaken_ = false;
    std::string reason_;
};

//! Use on one io_context's thread only.
class LogClient
{
public:
    LogClient(asio::io_context &context, Address log);

    void append(const std::string &stream, std::string data, std::chrono::milliseconds timeout,
                std::function<void(AppendResult)> callback);
    //! One page; nothing when the log did not answer.
    void read(const std::string &stream, LogOffset from, std::chrono::milliseconds wait,
              std::function<void(std::optional<LogPage>)> callback);
    //! Reads on for ever: next says from where, each page is handed to the callback.
    void tail(const std::string &stream, const std::function<LogOffset()> &next,
              const std::function<void(const LogPage &)> &callback);

private:
    void tailOnce(const std::string &stream, const std::function<LogOffset()> &next,
                  const std::function<void(const LogPage &)> &callback);

    asio::io_context &context_;
    Address log_;
    http::Client client_;
};

} // namespace gypsumcroft::detail
