#include "soak/requests.h"

#include <algorithm>

#include "core/hash.h"

namespace gypsumcroft::lab {

namespace detail {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxBodyRepeats = 200;
//! The bound in the gateways' settings.
constexpr milliseconds RevokeBound {3000};
constexpr int StreamEvents = 6;
const char *const Tenant = "firm";

namespace {

std::string expectedBody(const RequestRecord &request)
{
    if (request.kind_ != RequestKind::Stream)
        return "done " + request.id_;
    std::string body;
    for (int i = 1; i <= StreamEvents; ++i) {
        const std::string number = std::to_string(i);
        body.append("id: ").append(number).append("\nevent: ").append(request.id_);
        body.append("\ndata: ").append(number).append("\n\n");
    }
    return body;
}

//! Statuses that promise that the request has not run and never will.
bool isPromiseNotRun(unsigned status)
{
    constexpr unsigned Promises[] = {408, 421, 429, 503};
    return std::ranges::find(Promises, status) != std::end(Promises);
}

std::string gatewayName(const RequestRecord &request)
{
    return "g" + std::to_string(request.gateway_ + 1);
}

std::optional<std::string> faultOfRun(const RequestRecord &request, const standins::ServerRun &run,
                                      const Revocations &revocations)
{
    if (run.target_ != targetOf(request.kind_, request.id_))
        return "run with another target: " + run.target_;
    if (run.body_ != bodyOf(request.id_))
        return "run with another body of " + std::to_string(run.body_.size()) + " bytes";
    if (run.tenant_ != Tenant)
        return "run for another organisation: " + run.tenant_;
    if ((request.kind_ == RequestKind::Stream) != run.server_.starts_with("i-model"))
        return "run by another service";
    const auto revoked = revocations.find(request.key_);
    if (revoked != revocations.end() && request.sentAt_ > revoked->second + RevokeBound)
        return "run with a revoked key";
    return std::nullopt;
}

} // namespace
} // namespace detail

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

std::string targetOf(RequestKind kind, const std::string &id)
{
    static constexpr std::string_view Prefixes[] = {"/quote/", "/book/", "/look/"};
    return std::string(Prefixes[static_cast<std::size_t>(kind)]) + id;
}

std::string bodyOf(const std::string &id)
{
    std::string body;
    for (std::uint64_t i = hashText(id) % detail::MaxBodyRepeats; i > 0; --i)
        body += id;
    return body;
}

std::string requestHead(const RequestRecord &request, std::size_t bodyBytes)
{
    const char *const method = request.kind_ == RequestKind::Lookup ? "PUT " : "POST ";
    return method + targetOf(request.kind_, request.id_)
           + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + request.id_
           + "\r\nX-Deadline-Ms: " + std::to_string(request.deadline_.count())
           + "\r\nX-Token-Count: 100,20\r\nAuthorization: Bearer " + request.key_
           + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

std::optional<std::string> judgeAnswer(const RequestRecord &request, const SeenAnswer &answer)
{
    if (answer.id_ && *answer.id_ != request.id_)
        return "an answer with another id: " + *answer.id_;
    if (answer.stamp_ && *answer.stamp_ != standins::stampOf(request.id_))
        return "an answer with another stamp, body: " + answer.body_.substr(0, 80);
    if (!isSuccess(answer.status_))
        return std::nullopt;
    if (!answer.stamp_)
        return "a success without a stamp";
    if (answer.body_ != detail::expectedBody(request))
        return "a success with another body: " + answer.body_.substr(0, 200);
    return std::nullopt;
}

std::vector<Finding> judgeRuns(const Requests &requests,
                               const std::vector<standins::ServerRun> &runs,
                               const Revocations &revocations, const WasUnharmed &wasUnharmed)
{
    std::vector<Finding> findings;
    std::map<std::string, int> counts;
    for (const standins::ServerRun &run : runs) {
        const auto found = requests.find(run.request_);
        if (found == requests.end()) {
            findings.push_back({"run that no caller sent: " + run.target_, run.at_, run.request_,
                                "", run.server_});
            continue;
        }
        const RequestRecord &request = found->second;
        const auto add = [&](const std::string &what) {
            findings.push_back(
                    {what, run.at_, run.request_, detail::gatewayName(request), run.server_});
        };
        if (const auto fault = detail::faultOfRun(request, run, revocations))
            add(*fault);
        if (++counts[run.request_] == 2 && request.kind_ == RequestKind::Booking)
            add("a booking run twice");
        if (request.ending_ == Ending::Answered && detail::isPromiseNotRun(request.status_))
            add("run, though refused as not run: " + std::to_string(request.status_));
    }
    for (const auto &[id, request] : requests) {
        const bool success = request.ending_ == Ending::Answered && isSuccess(request.status_);
        const bool ran = counts.contains(id);
        if (ran && request.ending_ == Ending::Broken && wasUnharmed(request))
            findings.push_back({"run, and cut without cause", request.endedAt_, id,
                                detail::gatewayName(request), ""});
        if (success && !ran)
            findings.push_back({"a success that no endpoint ran", request.endedAt_, id,
                                detail::gatewayName(request), ""});
    }
    return findings;
}

} // namespace gypsumcroft::lab
