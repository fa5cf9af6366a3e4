//! Calls of RelayClient whose handlers record what they are given, for tests.
#pragma once

#include <string>

#include "http/relayclient.h"

namespace gypsumcroft::http::tests {

//! Without an id if it is empty.
inline RelayCallRequest requestOf(const Address &to, const std::string &id)
{
    RelayCallRequest call;
    call.address_ = to;
    call.request_.method_ = "GET";
    call.request_.target_ = "/";
    if (id.empty())
        return call;
    call.request_.headers_ = {{"X-Id", id}};
    call.correlationHeader_ = "X-Id";
    call.correlationId_ = id;
    return call;
}

//! Calls of the handlers so far.
struct CallRecord
{
    std::string head_;
    std::string body_;
    std::string end_;
    std::size_t size_ = 0;
};

inline RelayCallHandlers recordInto(CallRecord &record)
{
    constexpr std::size_t MostShown = 100;
    RelayCallHandlers handlers;
    handlers.onHead_
            = [&](const ResponseHead &got) { record.head_ = std::to_string(got.status_) + " "; };
    handlers.onBody_ = [&](std::string_view bytes) {
        record.size_ += bytes.size();
        record.body_ += bytes.substr(0, MostShown);
    };
    handlers.onComplete_ = [&] { record.end_ = "done"; };
    handlers.onFailed_ = [&](RelayFailure failure, const std::string &) {
        static constexpr const char *Names[] = {"not-sent", "connection-lost", "protocol-error"};
        record.end_ = Names[static_cast<int>(failure)];
    };
    return handlers;
}

inline std::string textOf(const CallRecord &record)
{
    return record.head_ + record.body_ + (record.body_.empty() ? "" : " ") + record.end_;
}

} // namespace gypsumcroft::http::tests
