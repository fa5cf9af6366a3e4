#include "platform/forwarding.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "core/hash.h"
#include "documents/settings.h"

namespace gypsumcroft::platform {

namespace detail {
namespace {

constexpr std::string_view RequestIdHeader = "X-Request-Id";
constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";
//! Number of prompt tokens, a comma, and the largest number of tokens in the output.
constexpr std::string_view TokenCountHeader = "X-Token-Count";
//! The caller's estimate of the number of tokens in the output.
constexpr std::string_view LengthHintHeader = "X-Length-Hint";
//! Parts of the prompt in order, ID:TOKENS each, joined by commas.
constexpr std::string_view PromptPartsHeader = "X-Prompt-Prefix";
//! Further parts are left out.
constexpr std::size_t MaxPromptParts = 64;
constexpr std::string_view LastEventHeader = "Last-Event-Id";
constexpr std::string_view TenantHeader = "X-Tenant";
constexpr std::string_view ExpectInstanceHeader = "X-Expect-Instance";
//! Despite its name not a count: the servers that run the request one after the other and the
//! half-open layer range of each, IP:PORT=FIRST-END, joined by commas.
constexpr std::string_view PathHeader = "X-Hop-Count";
constexpr std::string_view PriorityHeader = "X-Request-Priority";
constexpr std::string_view NotExecutedHeader = "X-Not-Executed";
//! In every response of a server that ran the request; a success without it is not the server's.
constexpr std::string_view StampHeader = "X-Response-Stamp";
//! Address of the server further along the path that caused the failure.
constexpr std::string_view FaultyServerHeader = "At-Server";
//! Numbers of running requests, waiting requests and slots, joined by commas.
constexpr std::string_view LoadHeader = "X-Server-Load";
//! "1" in every response of a server that is about to stop.
constexpr std::string_view LeavingHeader = "Server-Leaving";
//! With a 503: seconds, possibly with a fraction, for which the server wants no request.
constexpr std::string_view RetryAfterHeader = "Retry-After";
//! Longer waits are decoded as this, to stay within Duration.
constexpr double MaxRetryAfterSeconds = 1e6;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::uint16_t StatusMisdirected = 421;
constexpr std::uint16_t StatusesPerClass = 100;
constexpr std::uint16_t SuccessClass = 2;
//! Servers accept the priorities 0 to 9; the gateway's priorities are multiplied by PriorityStep to
//! spread them over that range.
constexpr std::uint32_t PriorityStep = 3;
constexpr std::uint32_t MaxPriority = 9;

//! Headers of the caller that are not forwarded. The gateway sets most of them itself, so a caller
//! can't forge them.
constexpr std::array<std::string_view, 9> StrippedHeaders
        = {"Authorization", DeadlineHeader, TenantHeader,    ExpectInstanceHeader, PathHeader,
           PriorityHeader,  "Expect",       LastEventHeader, "X-Expect-Version"};

std::optional<std::uint64_t> parseNumber(std::optional<std::string_view> text)
{
    if (!text)
        return std::nullopt;
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return value;
}

//! Seconds of a Retry-After header; nullopt if it is no finite number of 0 or more, such as a date.
std::optional<Duration> parseSeconds(std::string_view text)
{
    double seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds,
                                        std::chars_format::fixed);
    const bool isWhole = !text.empty() && parsed.ptr == text.data() + text.size();
    if (parsed.ec == std::errc::result_out_of_range && isWhole && text.front() != '-')
        seconds = MaxRetryAfterSeconds;
    else if (parsed.ec != std::errc() || !isWhole || !std::isfinite(seconds) || seconds < 0)
        return std::nullopt;
    return Duration(static_cast<std::int64_t>(std::min(seconds, MaxRetryAfterSeconds) * 1e6));
}

//! A hint of 0 says nothing, and one above the limit no more than the limit.
std::optional<Tokens> lengthHint(std::uint64_t hint, Tokens limit)
{
    constexpr std::uint64_t MaxTokens = 1'000'000'000;
    if (hint == 0)
        return std::nullopt;
    const auto tokens = static_cast<std::int64_t>(std::min(hint, MaxTokens));
    return Tokens {limit.value_ > 0 ? std::min(tokens, limit.value_) : tokens};
}

bool isStripped(std::string_view name)
{
    for (const std::string_view stripped : StrippedHeaders) {
        if (http::isSameFieldName(stripped, name))
            return true;
    }
    return false;
}

std::optional<std::string> bearerKey(const http::HeaderList &headers)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto value = http::findHeader(headers, "Authorization");
    if (!value || value->size() <= Scheme.size()
        || !http::isSameFieldName(value->substr(0, Scheme.size()), Scheme))
        return std::nullopt;
    return std::string(value->substr(Scheme.size()));
}

std::vector<PromptPartId> parsePromptParts(std::string_view text)
{
    std::vector<PromptPartId> parts;
    while (!text.empty() && parts.size() < MaxPromptParts) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const std::size_t begin = std::min(part.size(), part.find_first_not_of(" \t"));
        parts.push_back({std::string(part.substr(begin, part.find(':') - begin))});
    }
    return parts;
}

ContentHash hashContent(const http::RelayRequest &request)
{
    const std::uint64_t url = mixHash(hashText(request.method_), hashText(request.target_));
    return {mixHash(url, hashText(request.body_))};
}

std::string hostName(std::string_view host)
{
    return std::string(host.substr(0, host.find(':')));
}

std::string encodePath(const LayerPath &path)
{
    std::string text;
    for (const PathSegment &part : path)
        text += (text.empty() ? "" : ",") + formatAddress(part.address_) + "="
                + std::to_string(part.layers_.first_.value_) + "-"
                + std::to_string(part.layers_.end_.value_);
    return text;
}

std::uint16_t statusOf(GatewayRefusal refusal)
{
    switch (refusal) {
    case GatewayRefusal::UnknownRoute:
        return 404;
    case GatewayRefusal::Unauthorised:
        return 401;
    case GatewayRefusal::Unready:
    case GatewayRefusal::Overloaded:
    case GatewayRefusal::NoEndpoint:
    case GatewayRefusal::Quarantined:
    case GatewayRefusal::Stopping:
        return 503;
    case GatewayRefusal::TimedOut:
        return 504;
    case GatewayRefusal::Failed:
        return 502;
    }
    return 502;
}

} // namespace
} // namespace detail

GatewayRequest decodeCallerRequest(const http::RelayRequest &request, ExchangeId exchange)
{
    GatewayRequest decoded;
    decoded.exchange_ = exchange;
    const http::HeaderList &headers = request.headers_;
    decoded.id_ = {std::string(http::findHeader(headers, detail::RequestIdHeader).value_or(""))};
    decoded.host_ = detail::hostName(http::findHeader(headers, "Host").value_or(""));
    decoded.path_ = request.target_.substr(0, request.target_.find('?'));
    decoded.apiKey_ = detail::bearerKey(headers);
    if (const auto timeout = detail::parseNumber(http::findHeader(headers, detail::DeadlineHeader)))
        decoded.timeout_ = std::chrono::milliseconds(*timeout);
    if (const auto tokens = http::findHeader(headers, detail::TokenCountHeader)) {
        decoded.promptTokens_
                = {static_cast<std::int64_t>(detail::parseNumber(tokens).value_or(0))};
        const auto comma = tokens->find(',');
        if (comma != std::string_view::npos)
            decoded.expectedOutput_ = {static_cast<std::int64_t>(
                    detail::parseNumber(tokens->substr(comma + 1)).value_or(0))};
        decoded.outputLimit_ = decoded.expectedOutput_;
    }
    if (const auto hint
        = detail::parseNumber(http::findHeader(headers, detail::LengthHintHeader))) {
        decoded.expectedOutput_
                = {std::min(decoded.expectedOutput_.value_, static_cast<std::int64_t>(*hint))};
        decoded.lengthHint_ = detail::lengthHint(*hint, decoded.outputLimit_);
    }
    if (const auto last = detail::parseNumber(http::findHeader(headers, detail::LastEventHeader)))
        decoded.resumeAfter_ = EventId {*last};
    decoded.content_ = detail::hashContent(request);
    if (const auto parts = http::findHeader(headers, detail::PromptPartsHeader))
        decoded.promptParts_ = detail::parsePromptParts(*parts);
    return decoded;
}

http::RelayCallRequest encodeEndpointRequest(const http::RelayRequest &request,
                                             const DispatchRequest &dispatch)
{
    http::RelayCallRequest call;
    call.address_ = dispatch.address_;
    call.serverName_ = dispatch.endpoint_.value_;
    call.newConnection_ = dispatch.newConnection_;
    call.request_.method_ = request.method_;
    call.request_.target_ = request.target_;
    call.request_.body_ = request.body_;
    http::HeaderList &headers = call.request_.headers_;
    for (const auto &[name, value] : request.headers_) {
        if (detail::isStripped(name) || http::isHopByHopField(request.headers_, name))
            continue;
        headers.emplace_back(name, value);
        if (http::isSameFieldName(name, detail::RequestIdHeader)) {
            call.correlationHeader_ = name;
            call.correlationId_ = value;
        }
    }
    const auto timeoutMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(dispatch.timeout_).count();
    headers.emplace_back(detail::DeadlineHeader,
                         std::to_string(std::max<std::int64_t>(1, timeoutMs)));
    headers.emplace_back(detail::ExpectInstanceHeader, dispatch.endpoint_.value_);
    if (dispatch.organisation_)
        headers.emplace_back(detail::TenantHeader, dispatch.organisation_->value_);
    if (dispatch.resumeAfter_)
        headers.emplace_back(detail::LastEventHeader,
                             std::to_string(dispatch.resumeAfter_->value_));
    if (dispatch.path_.empty())
        return call;
    headers.emplace_back(detail::PathHeader, detail::encodePath(dispatch.path_));
    headers.emplace_back(detail::PriorityHeader,
                         std::to_string(std::min(dispatch.priority_.value_ * detail::PriorityStep,
                                                 detail::MaxPriority)));
    return call;
}

EndpointNotice decodeEndpointNotice(std::uint16_t status, const http::HeaderList &headers)
{
    EndpointNotice notice;
    notice.leaving_ = http::findHeader(headers, detail::LeavingHeader) == "1";
    const auto wait = http::findHeader(headers, detail::RetryAfterHeader);
    if (status != detail::StatusUnavailable || !wait)
        return notice;
    notice.pause_ = detail::parseSeconds(*wait);
    if (!notice.pause_)
        notice.ignoredPause_ = wait->empty() ? "(empty)" : std::string(*wait);
    return notice;
}

EndpointResponseHead decodeResponseHead(const http::ResponseHead &head)
{
    EndpointResponseHead decoded;
    decoded.status_ = head.status_;
    const bool successStatus = head.status_ / detail::StatusesPerClass == detail::SuccessClass;
    const bool stamped = !http::findHeader(head.headers_, detail::StampHeader).value_or("").empty();
    decoded.success_ = successStatus && stamped;
    decoded.foreign_ = successStatus && !stamped;
    decoded.notRun_ = head.status_ == detail::StatusMisdirected
                      || http::findHeader(head.headers_, detail::NotExecutedHeader).has_value();
    if (const auto faulty = http::findHeader(head.headers_, detail::FaultyServerHeader))
        decoded.faultyAddress_ = parseAddress(*faulty);
    decoded.notice_ = decodeEndpointNotice(head.status_, head.headers_);
    decoded.eventStream_ = http::findHeader(head.headers_, "Content-Type")
                                   .value_or("")
                                   .starts_with("text/event-stream");
    if (const auto load = http::findHeader(head.headers_, detail::LoadHeader)) {
        const auto comma = load->find(',');
        const auto running = detail::parseNumber(load);
        const auto waiting = comma == std::string_view::npos
                                     ? std::nullopt
                                     : detail::parseNumber(load->substr(comma + 1));
        if (running && waiting)
            decoded.reportedLoad_ = static_cast<std::uint32_t>(*running + *waiting);
    }
    return decoded;
}

http::ResponseHead encodeRefusalHead(const GatewayRequest &request, const RefuseRequest &refusal)
{
    http::ResponseHead head;
    head.status_ = detail::statusOf(refusal.refusal_);
    if (!request.id_.value_.empty())
        head.headers_.emplace_back(detail::RequestIdHeader, request.id_.value_);
    if (refusal.retryAfter_ > Duration::zero()
        && head.status_ == detail::statusOf(GatewayRefusal::Overloaded)) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", toMilliseconds(refusal.retryAfter_) / 1000);
        head.headers_.emplace_back("Retry-After", seconds);
    }
    return head;
}

} // namespace gypsumcroft::platform
