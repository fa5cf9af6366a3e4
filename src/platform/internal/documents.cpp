#include "platform/documents.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <stdexcept>

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include "documents/settings.h"

namespace gypsumcroft::platform {

namespace json = boost::json;

namespace detail {
namespace {

constexpr double BytesPerMegabyte = 1e6;
constexpr double BitsPerByte = 8;
constexpr double MicrosecondsPerMillisecond = 1000;
constexpr double MillisecondsPerSecond = 1000;
//! Longer durations are decoded as this: about eleven days.
constexpr double MaxMilliseconds = 1e9;
constexpr double MaxMegabytes = 1e12;
//! More layers than any model has.
constexpr std::uint32_t MaxLayers = 100'000;
//! Longest value that an error message repeats.
constexpr std::size_t MaxShownBytes = 64;

//! A JSON member is missing, or has a wrong type or value.
struct BadMember : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

const json::value &member(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    if (found == nullptr)
        throw BadMember(std::string(name) + " is missing");
    return *found;
}

std::string text(const json::object &object, std::string_view name)
{
    const json::string *found = member(object, name).if_string();
    if (found == nullptr)
        throw BadMember(std::string(name) + " is not a string");
    return {found->data(), found->size()};
}

double number(const json::object &object, std::string_view name)
{
    const json::value &found = member(object, name);
    if (!found.is_number())
        throw BadMember(std::string(name) + " is not a number");
    return found.to_number<double>();
}

double numberOr(const json::object &object, std::string_view name, double fallback)
{
    return object.contains(name) ? number(object, name) : fallback;
}

//! A malformed pace doesn't make the rest of a report unusable.
std::optional<double> paceIn(const json::object &object)
{
    const json::value *found = object.if_contains("pace");
    if (found == nullptr)
        return std::nullopt;
    return found->is_number() ? found->to_number<double>()
                              : std::numeric_limits<double>::quiet_NaN();
}

bool flag(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_bool() && found->as_bool();
}

std::uint64_t wholeNumber(const json::object &object, std::string_view name)
{
    const double value = number(object, name);
    // A double holds every whole number up to 2^53, about 9e15, exactly.
    if (value < 0 || value > 9e15) {
        char written[32];
        std::snprintf(written, sizeof written, "%g", value);
        throw BadMember(std::string(name) + ": " + written + " is not between 0 and 9e15");
    }
    return static_cast<std::uint64_t>(value);
}

//! Like wholeNumber(), but a number with a fraction is refused.
std::uint64_t integer(const json::object &object, std::string_view name)
{
    const std::uint64_t value = wholeNumber(object, name);
    if (static_cast<double>(value) != number(object, name))
        throw BadMember(std::string(name) + " is not an integer");
    return value;
}

std::uint64_t integerOr(const json::object &object, std::string_view name, std::uint64_t fallback)
{
    return object.contains(name) ? integer(object, name) : fallback;
}

std::uint64_t wholeNumberOr(const json::object &object, std::string_view name,
                            std::uint64_t fallback)
{
    return object.contains(name) ? wholeNumber(object, name) : fallback;
}

//! The start of a text, for error messages.
std::string shown(const std::string &text)
{
    return text.size() <= MaxShownBytes ? text : text.substr(0, MaxShownBytes) + "...";
}

//! A whole number; values above 2^30 are taken as 2^30.
std::uint32_t count(const json::object &object, std::string_view name)
{
    return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(wholeNumber(object, name), 1U << 30U));
}

std::uint32_t countOr(const json::object &object, std::string_view name, std::uint32_t fallback)
{
    return object.contains(name) ? count(object, name) : fallback;
}

Duration milliseconds(double value)
{
    return Duration(static_cast<std::int64_t>(std::clamp(value, 0.0, MaxMilliseconds)
                                              * MicrosecondsPerMillisecond));
}

Bytes megabytes(double value)
{
    return {static_cast<std::uint64_t>(std::clamp(value, 0.0, MaxMegabytes) * BytesPerMegabyte)};
}

bool isIpAddress(const std::string &host)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    return !error;
}

const json::object &objectOf(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr)
        throw BadMember("a list element is not a JSON object");
    return *object;
}

const json::array &list(const json::object &object, std::string_view name)
{
    static const json::array none;
    const json::value *found = object.if_contains(name);
    if (found == nullptr || found->is_null())
        return none;
    if (!found->is_array())
        throw BadMember(std::string(name) + " is not an array");
    return found->as_array();
}

RerunPolicy repeatOf(const std::string &kind, bool resumable)
{
    if (kind == "idempotent")
        return RerunPolicy::FromStart;
    return kind == "stream" && resumable ? RerunPolicy::Resume : RerunPolicy::Never;
}

RouteRule routeOf(const json::object &object)
{
    RouteRule route;
    route.name_ = {text(object, "Name")};
    route.host_ = text(object, "Host");
    route.pathPrefix_ = text(object, "PathPrefix");
    const std::string kind = text(object, "Kind");
    route.isStream_ = kind == "stream";
    route.rerunPolicy_ = repeatOf(kind, flag(object, "StreamResume"));
    route.timeout_ = milliseconds(number(object, "TimeoutMs"));
    route.latencyTarget_ = milliseconds(numberOr(object, "TargetLatencyMs", 1000));
    route.eventGapTarget_ = milliseconds(numberOr(object, "TargetGapMs", 0));
    route.priority_ = {countOr(object, "Priority", 0)};
    route.maxAttempts_ = std::max(1U, countOr(object, "MaxAttempts", 1));
    route.allowAnonymous_ = flag(object, "AllowAnonymous");
    if (object.contains("Service"))
        route.targets_.push_back({{text(object, "Service")}, 1});
    for (const json::value &part : list(object, "TrafficSplit")) {
        const json::object &split = objectOf(part);
        route.targets_.push_back({{text(split, "Service")}, count(split, "Weight")});
    }
    return route;
}

EngineSpec engineOf(const json::object &object)
{
    EngineSpec engine;
    engine.layers_ = count(object, "Layers");
    engine.layerBytes_ = megabytes(number(object, "LayerMb"));
    engine.kvBytesPerToken_ = {wholeNumber(object, "KvTokenBytes")};
    engine.activationBytesPerToken_ = {wholeNumberOr(object, "ActivationBytes", 0)};
    engine.slots_ = count(object, "Slots");
    engine.decodeStepTime_ = milliseconds(number(object, "step_ms"));
    engine.decodeStepTimePerSequence_ = milliseconds(numberOr(object, "per_seq_ms", 0));
    engine.prefillTokensPerSecond_ = number(object, "read_per_s");
    engine.concurrentLoads_ = std::max(1U, countOr(object, "loads_at_once", 1));
    engine.linkBytesPerSecond_ = numberOr(object, "LinkMbps", 0) * BytesPerMegabyte / BitsPerByte;
    engine.crossDomainBytesPerSecond_
            = numberOr(object, "PipeMbps", 0) * BytesPerMegabyte / BitsPerByte;
    for (const json::value &entry : list(object, "Models")) {
        const double seconds = numberOr(objectOf(entry), "LoadS", 0);
        engine.loadTime_
                = std::max(engine.loadTime_, milliseconds(seconds * MillisecondsPerSecond));
    }
    for (const json::value &entry : list(object, "Kinds")) {
        const json::object &kind = objectOf(entry);
        // "pace" of an accelerator kind is the factor on the model's step time; it is not a
        // server's state.
        engine.accelerators_[{text(kind, "Name")}]
                = {megabytes(number(kind, "SizeMb")), numberOr(kind, "pace", 1),
                   numberOr(kind, "ReadFactor", 1)};
    }
    for (const json::value &entry : list(object, "delays")) {
        const json::object &delay = objectOf(entry);
        engine.domainDelays_[{{text(delay, "From")}, {text(delay, "Target")}}]
                = milliseconds(number(delay, "delay_ms"));
    }
    if (const json::value *usual = object.if_contains("usual"); usual && usual->is_object()) {
        engine.typicalPrompt_ = {countOr(usual->as_object(), "prompt", 0)};
        engine.typicalOutput_ = {countOr(usual->as_object(), "answer", 0)};
    }
    return engine;
}

TargetSpec targetOf(const json::object &object)
{
    TargetSpec target;
    target.name_ = {text(object, "Name")};
    target.healthPath_ = object.contains("HealthCheck") ? text(object, "HealthCheck") : "";
    target.maxConnections_ = countOr(object, "MaxConnections", 0);
    const json::value *engine = object.if_contains("Engine");
    if (engine != nullptr && engine->is_object() && engine->as_object().contains("Layers"))
        target.engine_ = engineOf(engine->as_object());
    return target;
}

OrganisationRule organisationOf(const json::object &object)
{
    OrganisationRule organisation;
    organisation.organisation_ = {text(object, "Name")};
    for (const json::value &key : list(object, "ApiKeys")) {
        if (key.is_string())
            organisation.apiKeys_.emplace_back(key.as_string().data(), key.as_string().size());
    }
    if (const json::value *priority = object.if_contains("Priority");
        priority && priority->is_number())
        organisation.priority_ = Priority {priority->to_number<std::uint32_t>()};
    return organisation;
}

void readLimits(const json::object &object, CallerLimits &limits)
{
    limits.maxHeaderBytes_ = countOr(object, "MaxHeaderBytes", limits.maxHeaderBytes_);
    limits.maxBodyBytes_ = wholeNumberOr(object, "MaxBodyBytes", limits.maxBodyBytes_);
    limits.headerTimeout_ = milliseconds(
            numberOr(object, "HeaderTimeoutMs", toMilliseconds(limits.headerTimeout_)));
    limits.idleTimeout_
            = milliseconds(numberOr(object, "IdleTimeoutMs", toMilliseconds(limits.idleTimeout_)));
}

DesiredState desiredStateOf(const json::object &object)
{
    DesiredState state;
    state.version_ = {wholeNumber(object, "Version")};
    for (const json::value &route : list(object, "Routes"))
        state.routes_.push_back(routeOf(objectOf(route)));
    for (const json::value &target : list(object, "Services"))
        state.targets_.push_back(targetOf(objectOf(target)));
    const json::value *tenants = object.if_contains("Tenants");
    state.keysRequired_ = tenants != nullptr && !tenants->is_null();
    for (const json::value &organisation : list(object, "Tenants"))
        state.organisations_.push_back(organisationOf(objectOf(organisation)));
    if (const json::value *limits = object.if_contains("Limits"); limits && limits->is_object())
        readLimits(limits->as_object(), state.limits_);
    return state;
}

//! Reads the last model of "Models" and the server's layer range; here "From" is the first layer
//! and "Target" the end of the half-open range. An empty range means that no layers are loaded.
void readModels(const json::object &object, ListedEndpoint &endpoint)
{
    for (const json::value &entry : list(object, "Models")) {
        const json::object &model = objectOf(entry);
        endpoint.model_ = text(model, "Name");
        endpoint.modelVersion_ = integerOr(model, "Version", 0);
    }
    const json::value *layers = object.if_contains("Layers");
    if (layers == nullptr || layers->is_null())
        return;
    if (!layers->is_object())
        throw BadMember("Layers is not an object");
    const json::object &range = layers->as_object();
    integer(range, "From");
    integer(range, "Target");
    const LayerRange loaded {{count(range, "From")}, {count(range, "Target")}};
    if (loaded.end_.value_ > MaxLayers)
        throw BadMember("Layers: Target is above " + std::to_string(MaxLayers));
    if (loaded.first_ < loaded.end_)
        endpoint.layers_ = loaded;
}

ListedEndpoint serverEntryOf(const std::string &id, const json::object &object)
{
    ListedEndpoint endpoint;
    endpoint.id_ = {id};
    endpoint.target_ = {text(object, "Service")};
    const auto address = parseAddress(text(object, "Address"));
    if (!address || address->port_ == 0 || !isIpAddress(address->host_))
        throw BadMember("Address: '" + shown(text(object, "Address")) + "' is not IP:PORT");
    endpoint.address_ = *address;
    endpoint.domain_ = {text(object, "Zone")};
    const std::string state = text(object, "State");
    if (state != "ready" && state != "draining")
        throw BadMember("State: '" + shown(state) + "' is not 'ready' or 'draining'");
    endpoint.state_ = state == "ready" ? ListedState::Ready : ListedState::Draining;
    integer(object, "Slots");
    endpoint.slots_ = count(object, "Slots");
    // Not used here. Another writer's entry, which may lack them, names no endpoint.
    text(object, "Version");
    integer(object, "Sequence");
    if (object.contains("Kind"))
        endpoint.accelerator_ = {text(object, "Kind")};
    endpoint.incarnation_ = integerOr(object, "born", 0);
    readModels(object, endpoint);
    return endpoint;
}

template <typename T, typename Decode>
Result<T> decode(std::string_view input, const Decode &decoder)
{
    boost::system::error_code error;
    const json::value value = json::parse(input, error);
    if (error || !value.is_object())
        return failure<T>(error ? error.message() : "the document is not a JSON object");
    try {
        return success(decoder(value.as_object()));
    } catch (const std::exception &bad) {
        return failure<T>(bad.what());
    }
}

} // namespace
} // namespace detail

Result<DesiredState> decodeDesiredState(std::string_view text)
{
    return detail::decode<DesiredState>(text, detail::desiredStateOf);
}

Result<ListedEndpoint> decodeListedEndpoint(const std::string &id, std::string_view text)
{
    return detail::decode<ListedEndpoint>(
            text, [&](const json::object &object) { return detail::serverEntryOf(id, object); });
}

Result<EndpointStatusReport> decodeServerReport(std::string_view text)
{
    return detail::decode<EndpointStatusReport>(text, [](const json::object &object) {
        EndpointStatusReport facts;
        // "Sequence" counts accepted orders in a report, but heartbeats in an entry of the list.
        facts.acceptedOrders_ = {detail::wholeNumber(object, "Sequence")};
        facts.busy_ = detail::flag(object, "Busy");
        facts.incarnation_ = detail::wholeNumberOr(object, "born", 0);
        facts.pace_ = detail::paceIn(object);
        ListedEndpoint loaded;
        detail::readModels(object, loaded);
        facts.layers_ = loaded.layers_;
        return facts;
    });
}

std::string encodeLoadOrder(const LayerRange &layers, OrderCount expected)
{
    // Method "wait": requests that run on the current layers finish before the change.
    return json::serialize(json::object {{"Operation", "place"},
                                         {"From", layers.first_.value_},
                                         {"Target", layers.end_.value_},
                                         {"Method", "wait"},
                                         {"Precondition", expected.value_}});
}

OrderOutcome toOrderOutcome(std::uint16_t status)
{
    switch (status) {
    case 200:
        return OrderOutcome::AlreadyLoaded;
    case 202:
        return OrderOutcome::Started;
    case 409:
        return OrderOutcome::Conflict;
    default:
        return OrderOutcome::Refused;
    }
}

} // namespace gypsumcroft::platform
