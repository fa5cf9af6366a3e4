//! What callers send, what they see, and what follows from it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/platformstandin.h"

namespace gypsumcroft::lab {

using SoakClock = std::chrono::steady_clock;
using SoakTime = SoakClock::time_point;

enum class RequestKind { Stream, Booking, Lookup };

enum class Ending {
    //! The whole answer came.
    Answered,
    //! The connection ended, or the caller gave up an answer that went on too long.
    Broken,
    //! The caller left.
    Left,
    //! Nothing had come when the caller's patience was over.
    Unanswered,
};

struct RequestRecord
{
    std::string id_;
    RequestKind kind_ = RequestKind::Lookup;
    std::string key_;
    std::uint32_t gateway_ = 0;
    SoakTime sentAt_;
    SoakTime endedAt_;
    std::chrono::milliseconds deadline_ {0};
    Ending ending_ = Ending::Broken;
    unsigned status_ = 0;
};

struct SeenAnswer
{
    unsigned status_ = 0;
    std::optional<std::string> id_;
    std::optional<std::string> stamp_;
    std::string body_;
};

struct Finding
{
    std::string what_;
    SoakTime at_;
    std::string request_;
    std::string gateway_;
    std::string endpoint_;
};

bool isSuccess(unsigned status);

//! What a request of that id carries.
std::string targetOf(RequestKind kind, const std::string &id);
std::string bodyOf(const std::string &id);
std::string requestHead(const RequestRecord &request, std::size_t bodyBytes);

//! What is wrong with an answer; nothing if it may be the request's own.
std::optional<std::string> judgeAnswer(const RequestRecord &request, const SeenAnswer &answer);

//! When each key's revocation was acknowledged.
using Revocations = std::map<std::string, SoakTime>;
using Requests = std::map<std::string, RequestRecord>;

//! Whether only a stop asked for may have disturbed the request on its way.
using WasUnharmed = std::function<bool(const RequestRecord &)>;

//! What is wrong between the requests and the runs that endpoints saw, at the end.
std::vector<Finding> judgeRuns(const Requests &requests,
                               const std::vector<standins::ServerRun> &runs,
                               const Revocations &revocations, const WasUnharmed &wasUnharmed);

} // namespace gypsumcroft::lab
