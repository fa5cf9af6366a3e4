#include "documents/settings.h"

#include <charconv>

#include "objectreader.h"

namespace gypsumcroft {

namespace detail {

constexpr std::uint32_t MaxTrafficThreads = 64;
constexpr std::uint32_t MaxBodyLimit = 64 * 1024 * 1024;

std::optional<Address> readAddress(ObjectReader &reader, std::string_view name, bool required)
{
    const auto text = reader.text(name, required);
    if (!text)
        return std::nullopt;
    auto address = parseAddress(*text);
    if (!address)
        reader.reportError(
                name, "'" + *text + "' is not an IP address and a port, such as 127.0.0.1:8080");
    return address;
}

void readAddresses(ObjectReader &reader, std::string_view name, std::vector<Address> &addresses,
                   Findings &findings)
{
    const auto *array = reader.array(name, false);
    if (array == nullptr)
        return;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto *text = (*array)[i].if_string();
        const auto address
                = text == nullptr ? std::nullopt : parseAddress({text->data(), text->size()});
        if (address)
            addresses.push_back(*address);
        else
            addFinding(findings, reader.placeOf(name) + "/" + std::to_string(i),
                       "must be an IP address and a port, such as 127.0.0.1:8080");
    }
}

void readPlatform(ObjectReader &reader, ProcessSettings &settings, Findings &findings)
{
    const auto *value = reader.member("platform", true);
    if (value == nullptr)
        return;
    ObjectReader platform(*value, reader.placeOf("platform"), findings);
    settings.logAddress_ = readAddress(platform, "log", true).value_or(Address {});
    settings.instanceListAddress_ = readAddress(platform, "instances", false);
    platform.reportUnknownMembers();
}

void readEndpoint(ObjectReader &reader, ProcessSettings &settings, Findings &findings)
{
    const auto *value = reader.member("endpoint", true);
    if (value == nullptr)
        return;
    ObjectReader endpoint(*value, reader.placeOf("endpoint"), findings);
    EndpointSettings read;
    read.name_ = {endpoint.text("name", true).value_or("")};
    read.address_ = readAddress(endpoint, "address", true).value_or(Address {});
    const auto kind = endpoint.text("kind", true);
    if (kind == "stage")
        read.kind_ = EndpointKind::Stage;
    else if (kind && kind != "service")
        endpoint.reportError("kind", "must be 'stage' or 'service'");
    endpoint.reportUnknownMembers();
    settings.endpoint_ = read;
}

void readOperators(ObjectReader &reader, ProcessSettings &settings, Findings &findings)
{
    const auto *value = reader.member("operators", true);
    if (value == nullptr)
        return;
    ObjectReader operators(*value, reader.placeOf("operators"), findings);
    settings.operatorAddress_ = readAddress(operators, "address", true).value_or(Address {});
    settings.operatorToken_ = operators.text("token", true).value_or("");
    if (settings.operatorToken_.empty())
        operators.reportError("token", "must not be empty");
    operators.reportUnknownMembers();
}

std::uint32_t readCount(ObjectReader &reader, std::string_view name, std::uint32_t fallback,
                        std::uint32_t minimum, std::uint32_t maximum)
{
    return static_cast<std::uint32_t>(
            reader.integer(name, false, minimum, maximum).value_or(fallback));
}

void readLimits(ObjectReader &reader, ProcessSettings &settings)
{
    settings.trafficThreads_
            = readCount(reader, "trafficThreads", settings.trafficThreads_, 1, MaxTrafficThreads);
    settings.maxBodyBytes_
            = readCount(reader, "maxBodyBytes", settings.maxBodyBytes_, 1, MaxBodyLimit);
    settings.readTimeoutMs_
            = readCount(reader, "readTimeoutMs", settings.readTimeoutMs_, 10, 600000);
    settings.drainNoticeMs_
            = readCount(reader, "drainNoticeMs", settings.drainNoticeMs_, 0, 600000);
    settings.claimsBatch_ = readCount(reader, "claimsBatch", settings.claimsBatch_, 1, 10000);
}

} // namespace detail

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    Address address {std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto read = std::from_chars(port.data(), port.data() + port.size(), address.port_);
    if (read.ec != std::errc() || read.ptr != port.data() + port.size())
        return std::nullopt;
    const bool numeric
            = address.host_.find_first_not_of("0123456789.:abcdefABCDEF[]") == std::string::npos;
    if (!numeric)
        return std::nullopt;
    return address;
}

std::string formatAddress(const Address &address)
{
    return address.host_ + ":" + std::to_string(address.port_);
}

std::optional<ProcessSettings> decodeProcessSettings(std::string_view text,
                                                     const std::string &place, Findings &findings)
{
    const std::size_t before = findings.size();
    const auto value = detail::parseJson(text, place, findings);
    if (!value)
        return std::nullopt;
    ProcessSettings settings;
    detail::ObjectReader reader(*value, place, findings);
    const auto role = reader.text("role", true);
    if (role == "agent")
        settings.role_ = ProcessRole::Agent;
    else if (role && role != "entry")
        reader.reportError("role", "must be 'entry' or 'agent'");
    settings.instance_ = {reader.text("instance", true).value_or("")};
    settings.domain_ = {reader.text("failureDomain", true).value_or("")};
    settings.meshAddress_ = detail::readAddress(reader, "mesh", true).value_or(Address {});
    detail::readOperators(reader, settings, findings);
    detail::readAddresses(reader, "entries", settings.entryAddresses_, findings);
    detail::readPlatform(reader, settings, findings);
    detail::readLimits(reader, settings);
    if (settings.role_ == ProcessRole::Entry)
        settings.callerAddress_ = detail::readAddress(reader, "callers", true);
    else
        detail::readEndpoint(reader, settings, findings);
    reader.reportUnknownMembers();
    if (findings.size() != before)
        return std::nullopt;
    return settings;
}

} // namespace gypsumcroft
