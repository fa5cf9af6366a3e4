#include "documents/gatewaysettings.h"

#include <algorithm>

#include "objectreader.h"

namespace gypsumcroft {

namespace detail {
namespace {

//! Largest value of a setting in milliseconds.
constexpr std::int64_t MaxDurationMs = 600000;
constexpr std::uint32_t MaxPartitions = 10000;

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
    limits.retry_.ratio_ = readNumber(bounds, "retryRatio", limits.retry_.ratio_);
    limits.retry_.slack_ = readNumber(bounds, "retrySlack", limits.retry_.slack_);
    limits.retry_.window_ = std::chrono::microseconds(
            static_cast<std::int64_t>(readNumber(bounds, "retryWindowS", 10) * 1e6));
    settings.grace_ = std::chrono::microseconds(
            static_cast<std::int64_t>(readNumber(bounds, "graceS", 8) * 1e6));
    bounds.reportUnknownMembers();
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
    detail::readStore(reader, settings, findings);
    detail::readBounds(reader, settings, findings);
    reader.reportUnknownMembers();
    if (findings.size() != before)
        return std::nullopt;
    return settings;
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
