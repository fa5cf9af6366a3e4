#include "documents/gatewaysettings.h"

#include <algorithm>

#include "objectreader.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Largest value of a setting in milliseconds.
constexpr std::int64_t MaxDurationMs = 600000;
constexpr std::uint32_t MaxPartitions = 10000;
//! Less does not hold the process and one request and response of the largest size.
constexpr std::int64_t MinMemoryMb = 64;
constexpr std::int64_t MaxMemoryMb = 1'000'000;

Duration readMilliseconds(ObjectReader &reader, std::string_view name, Duration fallback)
{
    const auto value = reader.integer(name, false, 0, MaxDurationMs);
    return value ? Duration(std::chrono::milliseconds(*value)) : fallback;
}

double readNumber(ObjectReader &reader, std::string_view name, double fallback)
{
    const boost::json::value *value = reader.member(name, false);
    if (value == nullptr)
        return fallback;
    if (!value->is_number() || value->to_number<double>() < 0) {
        reader.reportError(name, "must be a number of 0 or more");
        return fallback;
    }
    return value->to_number<double>();
}

bool readFlag(ObjectReader &reader, std::string_view name, bool fallback)
{
    const boost::json::value *value = reader.member(name, false);
    if (value == nullptr)
        return fallback;
    if (!value->is_bool()) {
        reader.reportError(name, "must be true or false");
        return fallback;
    }
    return value->as_bool();
}

void readBounds(ObjectReader &reader, GatewaySettings &settings, Findings &findings)
{
    const boost::json::value *value = reader.member("bounds", false);
    if (value == nullptr)
        return;
    ObjectReader bounds(*value, reader.placeOf("bounds"), findings);
    GatewayBounds &limits = settings.bounds_;
    const Duration revoke = readMilliseconds(bounds, "revokeMs", {});
    // Zero: keys are accepted however old the state is.
    limits.freshness_.maxKeyAge_ = readFlag(bounds, "strictRevoke", true) ? revoke : Duration();
    limits.freshness_.maxStateAge_
            = readMilliseconds(bounds, "applyMs", limits.freshness_.maxStateAge_);
    limits.freshness_.maxListAge_
            = readMilliseconds(bounds, "drainMs", limits.freshness_.maxListAge_);
    limits.retry_.ratio_ = readNumber(bounds, "retryRatio", limits.retry_.ratio_);
    limits.retry_.slack_ = readNumber(bounds, "retrySlack", limits.retry_.slack_);
    limits.retry_.window_ = std::chrono::microseconds(
            static_cast<std::int64_t>(readNumber(bounds, "retryWindowS", 10) * 1e6));
    settings.grace_ = std::chrono::microseconds(
            static_cast<std::int64_t>(readNumber(bounds, "graceS", 8) * 1e6));
    bounds.reportUnknownMembers();
}

void readMemory(ObjectReader &limits, InstanceLimits &instance)
{
    const auto memory = limits.integer("memoryMb", false, MinMemoryMb, MaxMemoryMb);
    if (memory)
        instance.memoryMb_ = static_cast<std::uint32_t>(*memory);
}

//! Less does not hold a few requests of the largest size.
constexpr std::int64_t MinCallerHeldMb = 16;
constexpr std::int64_t MinCallerConnections = 16;
constexpr std::int64_t MaxCallerConnections = 1'000'000;
//! Callers on slow links need some time for each part of a body or a response.
constexpr std::int64_t MinCallerTimeoutMs = 1000;

Duration readCallerTimeout(ObjectReader &limits, std::string_view name, Duration fallback)
{
    const auto value = limits.integer(name, false, MinCallerTimeoutMs, MaxDurationMs);
    return value ? Duration(std::chrono::milliseconds(*value)) : fallback;
}

void readCallerLimits(ObjectReader &limits, InstanceLimits &instance)
{
    constexpr std::size_t BytesPerMegabyte = 1'000'000;
    if (const auto held = limits.integer("callerHeldMb", false, MinCallerHeldMb, MaxMemoryMb))
        instance.callers_.heldBytes_ = static_cast<std::size_t>(*held) * BytesPerMegabyte;
    if (const auto connections
        = limits.integer("callerConnections", false, MinCallerConnections, MaxCallerConnections))
        instance.callers_.connections_ = static_cast<std::size_t>(*connections);
    instance.bodyTimeout_ = readCallerTimeout(limits, "bodyTimeoutMs", instance.bodyTimeout_);
    instance.sendTimeout_ = readCallerTimeout(limits, "sendTimeoutMs", instance.sendTimeout_);
}

void readStore(ObjectReader &reader, GatewaySettings &settings, Findings &findings)
{
    const boost::json::value *value = reader.member("store", true);
    if (value == nullptr)
        return;
    ObjectReader store(*value, reader.placeOf("store"), findings);
    settings.storeAddress_ = readAddress(store, "address", true).value_or(Address {});
    settings.topicPartitions_ = static_cast<std::uint32_t>(
            store.integer("partitions", false, 1, MaxPartitions).value_or(1));
    const Duration shortest = readMilliseconds(store, "shortestLifetimeMs", {});
    settings.lease_.lifetime_ = std::max(settings.lease_.lifetime_, shortest);
    store.reportUnknownMembers();
}

//! Largest link and number of cores that a setting may name.
constexpr double MaxLinkMbps = 1e6;
constexpr double MaxCores = 1e3;

void readCapacity(ObjectReader &limits, GatewaySettings &settings)
{
    constexpr double MilliCoresPerCore = 1000;
    const double link = readNumber(limits, "linkMbps", 0);
    const double cores = readNumber(limits, "cpuShare", 0);
    if (link > MaxLinkMbps)
        limits.reportError("linkMbps", "must be at most 1000000");
    if (cores > MaxCores)
        limits.reportError("cpuShare", "must be at most 1000");
    settings.capacity_.linkMbps_ = static_cast<std::uint32_t>(std::min(link, MaxLinkMbps));
    settings.capacity_.milliCores_
            = static_cast<std::uint32_t>(std::min(cores, MaxCores) * MilliCoresPerCore);
}

void readLimits(ObjectReader &reader, GatewaySettings &settings, Findings &findings)
{
    const boost::json::value *value = reader.member("limits", false);
    if (value == nullptr)
        return;
    ObjectReader limits(*value, reader.placeOf("limits"), findings);
    readMemory(limits, settings.limits_);
    readCapacity(limits, settings);
    readCallerLimits(limits, settings.limits_);
    limits.reportUnknownMembers();
}

//! A shorter token can be guessed.
constexpr std::size_t MinTokenLength = 8;

void readOperatorToken(ObjectReader &reader, GatewaySettings &settings)
{
    settings.operatorToken_ = reader.text("operatorToken", false);
    if (!settings.operatorToken_)
        return;
    if (settings.operatorToken_->size() < MinTokenLength)
        reader.reportError("operatorToken", "must have at least 8 characters");
    if (!settings.metricsAddress_)
        reader.reportError("operatorToken", "needs the setting 'metrics'");
}

} // namespace
} // namespace detail

std::optional<GatewaySettings> decodeGatewaySettings(std::string_view text,
                                                     const std::string &place, Findings &findings)
{
    const std::size_t before = findings.size();
    const auto value = detail::parseJson(text, place, findings);
    if (!value)
        return std::nullopt;
    detail::ObjectReader reader(*value, place, findings);
    GatewaySettings settings;
    const auto role = reader.text("role", true);
    if (role && *role != "gateway")
        reader.reportError("role", "must be 'gateway'");
    settings.instance_ = {reader.text("instance", true).value_or("")};
    settings.domain_ = {reader.text("failureDomain", true).value_or("")};
    settings.meshAddress_ = detail::readAddress(reader, "mesh", true).value_or(Address {});
    settings.callerAddress_ = detail::readAddress(reader, "callers", true).value_or(Address {});
    settings.readinessAddress_ = detail::readAddress(reader, "ready", true).value_or(Address {});
    settings.metricsAddress_ = detail::readAddress(reader, "metrics", false);
    detail::readOperatorToken(reader, settings);
    detail::readStore(reader, settings, findings);
    detail::readBounds(reader, settings, findings);
    detail::readLimits(reader, settings, findings);
    reader.reportUnknownMembers();
    if (findings.size() != before)
        return std::nullopt;
    return settings;
}

SettingsChanges compareSettings(const GatewaySettings &running, const GatewaySettings &loaded)
{
    SettingsChanges changes;
    const auto compare = [](std::vector<std::string> &names, const char *name, const auto &before,
                            const auto &after) {
        if (before != after)
            names.emplace_back(name);
    };
    const GatewayBounds &old = running.bounds_;
    const GatewayBounds &now = loaded.bounds_;
    compare(changes.applied_, "bounds/revokeMs", old.freshness_.maxKeyAge_,
            now.freshness_.maxKeyAge_);
    compare(changes.applied_, "bounds/applyMs", old.freshness_.maxStateAge_,
            now.freshness_.maxStateAge_);
    compare(changes.applied_, "bounds/drainMs", old.freshness_.maxListAge_,
            now.freshness_.maxListAge_);
    compare(changes.applied_, "bounds/retryRatio", old.retry_.ratio_, now.retry_.ratio_);
    compare(changes.applied_, "bounds/retrySlack", old.retry_.slack_, now.retry_.slack_);
    compare(changes.applied_, "bounds/retryWindowS", old.retry_.window_, now.retry_.window_);
    compare(changes.applied_, "bounds/graceS", running.grace_, loaded.grace_);
    compare(changes.applied_, "store/shortestLifetimeMs", running.lease_.lifetime_,
            loaded.lease_.lifetime_);
    compare(changes.applied_, "store/partitions", running.topicPartitions_,
            loaded.topicPartitions_);
    compare(changes.applied_, "limits/linkMbps", running.capacity_.linkMbps_,
            loaded.capacity_.linkMbps_);
    compare(changes.applied_, "limits/cpuShare", running.capacity_.milliCores_,
            loaded.capacity_.milliCores_);
    compare(changes.needRestart_, "instance", running.instance_, loaded.instance_);
    compare(changes.needRestart_, "failureDomain", running.domain_, loaded.domain_);
    compare(changes.needRestart_, "mesh", running.meshAddress_, loaded.meshAddress_);
    compare(changes.needRestart_, "callers", running.callerAddress_, loaded.callerAddress_);
    compare(changes.needRestart_, "ready", running.readinessAddress_, loaded.readinessAddress_);
    compare(changes.needRestart_, "metrics", running.metricsAddress_, loaded.metricsAddress_);
    compare(changes.needRestart_, "operatorToken", running.operatorToken_, loaded.operatorToken_);
    compare(changes.needRestart_, "limits/memoryMb", running.limits_.memoryMb_,
            loaded.limits_.memoryMb_);
    compare(changes.needRestart_, "limits/callerHeldMb", running.limits_.callers_.heldBytes_,
            loaded.limits_.callers_.heldBytes_);
    compare(changes.needRestart_, "limits/callerConnections", running.limits_.callers_.connections_,
            loaded.limits_.callers_.connections_);
    compare(changes.needRestart_, "limits/bodyTimeoutMs", running.limits_.bodyTimeout_,
            loaded.limits_.bodyTimeout_);
    compare(changes.needRestart_, "limits/sendTimeoutMs", running.limits_.sendTimeout_,
            loaded.limits_.sendTimeout_);
    compare(changes.needRestart_, "store/address", running.storeAddress_, loaded.storeAddress_);
    return changes;
}

bool isGatewaySettings(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    const boost::json::object *object = error ? nullptr : value.if_object();
    const boost::json::value *role = object == nullptr ? nullptr : object->if_contains("role");
    return role != nullptr && role->is_string() && role->as_string() == "gateway";
}

} // namespace gypsumcroft
