#include "wire/codec.h"

#include <algorithm>
#include <cstring>
#include <limits>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "boundedarchive.h"
#include "core/hash.h"

namespace gypsumcroft {

template <typename Archive, typename Tag, typename Rep>
void serialize(Archive &archive, StrongType<Tag, Rep> &value)
{
    archive(value.value_);
}

template <typename Archive>
void serialize(Archive &archive, KeyHash &key)
{
    archive(key.high_, key.low_);
}

template <typename Archive>
void serialize(Archive &archive, Address &address)
{
    archive(address.host_, address.port_);
}

template <typename Archive>
void serialize(Archive &archive, LayerRange &range)
{
    archive(range.first_, range.end_);
}

template <typename Archive>
void serialize(Archive &archive, RouteHop &hop)
{
    archive(hop.endpoint_, hop.agent_, hop.layers_);
}

template <typename Archive>
void serialize(Archive &archive, StreamPlan &plan)
{
    archive(plan.request_, plan.epoch_, plan.entry_, plan.route_, plan.organisation_,
            plan.template_, plan.fingerprint_, plan.rank_, plan.maxTokens_, plan.suspect_,
            plan.minShare_);
}

template <typename Archive>
void serialize(Archive &archive, StepMessage &step)
{
    archive(step.plan_, step.hop_, step.firstPosition_, step.inputs_);
}

template <typename Archive>
void serialize(Archive &archive, TokenMessage &token)
{
    archive(token.request_, token.epoch_, token.index_, token.text_, token.last_);
}

template <typename Archive>
void serialize(Archive &archive, StreamFailedMessage &failure)
{
    archive(failure.request_, failure.epoch_, failure.endpoint_, failure.code_, failure.run_,
            failure.endpointDied_, failure.reason_);
}

template <typename Archive>
void serialize(Archive &archive, EndStreamMessage &end)
{
    archive(end.request_, end.epoch_);
}

template <typename Archive>
void serialize(Archive &archive, IdempotencyScope &scope)
{
    archive(scope.key_, scope.idempotencyWindow_);
}

template <typename Archive>
void serialize(Archive &archive, CallMessage &call)
{
    archive(call.request_, call.attempt_, call.entry_, call.organisation_, call.template_,
            call.fingerprint_, call.rank_, call.body_, call.scope_, call.remainingTime_);
}

template <typename Archive>
void serialize(Archive &archive, CallOutcome &outcome)
{
    archive(outcome.status_, outcome.body_);
}

template <typename Archive>
void serialize(Archive &archive, Refusal &refusal)
{
    archive(refusal.code_, refusal.run_, refusal.reason_, refusal.retryAfter_);
}

template <typename Archive>
void serialize(Archive &archive, CallResultMessage &result)
{
    archive(result.request_, result.attempt_, result.outcome_, result.refusal_,
            result.endpointDied_, result.endpoint_);
}

template <typename Archive>
void serialize(Archive &archive, EndpointReport &report)
{
    archive(report.kind_, report.target_, report.version_, report.layers_, report.modelLayers_,
            report.accelerator_, report.slots_, report.slotsBusy_, report.costPerToken_);
}

template <typename Archive>
void serialize(Archive &archive, LinkReport &link)
{
    archive(link.to_, link.roundTrip_);
}

template <typename Archive>
void serialize(Archive &archive, HeartbeatMessage &heartbeat)
{
    archive(heartbeat.endpoint_, heartbeat.instance_, heartbeat.domain_, heartbeat.agent_,
            heartbeat.incarnation_, heartbeat.sequence_, heartbeat.state_, heartbeat.report_,
            heartbeat.slotsUsedByReceiver_, heartbeat.links_, heartbeat.claimsAppliedOffset_);
}

template <typename Archive>
void serialize(Archive &archive, DemandReport &demand)
{
    archive(demand.organisation_, demand.requestsPerSecond_);
}

template <typename Archive>
void serialize(Archive &archive, DeathReport &death)
{
    archive(death.endpoint_, death.domain_, death.age_);
}

template <typename Archive>
void serialize(Archive &archive, SuspectReport &suspect)
{
    archive(suspect.fingerprint_, suspect.deaths_, suspect.remainingTime_, suspect.lifted_);
}

//! Loads are most of a digest, so they are packed: ids are short, and the precision of a float is
//! enough for a sum of tokens.
template <typename Archive>
void save(Archive &archive, const EndpointLoad &load)
{
    constexpr std::size_t MaxIdBytes = 255;
    const std::string &id = load.endpoint_.value_;
    const auto size = static_cast<std::uint8_t>(std::min(id.size(), MaxIdBytes));
    archive(size);
    for (std::size_t i = 0; i < size; ++i)
        archive(id[i]);
    archive(static_cast<float>(load.kvUsed_),
            static_cast<std::int32_t>(std::min<std::int64_t>(
                    load.pendingPrefill_.count(), std::numeric_limits<std::int32_t>::max())),
            load.streams_, load.begun_, load.calls_);
}

template <typename Archive>
void load(Archive &archive, EndpointLoad &load)
{
    std::uint8_t size = 0;
    archive(size);
    load.endpoint_.value_.resize(size);
    for (char &character : load.endpoint_.value_)
        archive(character);
    float kvUsed = 0;
    std::int32_t pendingPrefill = 0;
    archive(kvUsed, pendingPrefill, load.streams_, load.begun_, load.calls_);
    load.kvUsed_ = static_cast<double>(kvUsed);
    load.pendingPrefill_ = Duration(pendingPrefill);
}

template <typename Archive>
void serialize(Archive &archive, LoadedLayersReport &report)
{
    archive(report.endpoint_, report.hasLayers_, report.layers_, report.incarnation_, report.age_);
}

template <typename Archive>
void serialize(Archive &archive, LayerMoveReport &move)
{
    archive(move.endpoint_, move.layers_, move.remainingTime_);
}

template <typename Archive>
void serialize(Archive &archive, LeavingEndpointReport &leaving)
{
    archive(leaving.endpoint_, leaving.incarnation_);
}

template <typename Archive>
void serialize(Archive &archive, GatewayCapacity &capacity)
{
    archive(capacity.linkMbps_, capacity.milliCores_);
}

template <typename Archive>
void serialize(Archive &archive, GatewayMemberReport &member)
{
    archive(member.address_, member.domain_, member.age_, member.capacity_);
}

template <typename Archive>
void serialize(Archive &archive, RankDemandReport &demand)
{
    archive(demand.target_, demand.rank_, demand.waitingTokens_, demand.arrivingTokensPerSecond_,
            demand.startedTokensPerSecond_);
}

template <typename Archive>
void serialize(Archive &archive, EndpointSpeedReport &speed)
{
    archive(speed.endpoint_, speed.incarnation_, speed.slowdown_, speed.age_);
}

template <typename Archive>
void serialize(Archive &archive, ListedEndpoint &endpoint)
{
    archive(endpoint.id_, endpoint.target_, endpoint.address_, endpoint.domain_, endpoint.state_,
            endpoint.slots_, endpoint.accelerator_, endpoint.layers_, endpoint.model_,
            endpoint.modelVersion_, endpoint.incarnation_);
}

template <typename Archive>
void serialize(Archive &archive, ListedEndpointUpdate &update)
{
    archive(update.endpoint_, update.state_, update.layers_, update.model_, update.modelVersion_,
            update.incarnation_);
}

template <typename Archive>
void serialize(Archive &archive, EndpointListChanges &changes)
{
    archive(changes.fromHash_, changes.toHash_, changes.changed_, changes.updated_,
            changes.removed_);
}

template <typename Archive>
void serialize(Archive &archive, DigestEcho &echo)
{
    archive(echo.to_, echo.sentAt_, echo.heldFor_);
}

template <typename Archive>
void serialize(Archive &archive, StoreNews &news)
{
    archive(news.configVersion_, news.configAge_, news.listHash_, news.listOffset_, news.listAge_,
            news.listChanges_, news.echoes_);
}

template <typename Archive>
void serialize(Archive &archive, CrashReport &crash)
{
    archive(crash.endpoint_, crash.incarnation_, crash.age_, crash.ranFor_);
}

template <typename Archive>
void serialize(Archive &archive, TraitReport &report)
{
    archive(report.trait_, report.crashes_, report.answerAge_);
}

template <typename Archive>
void serialize(Archive &archive, GatewayDigestMessage &digest)
{
    // stateKindOf() reads the first two without the rest.
    archive(digest.scope_, digest.domain_);
    archive(digest.sentAt_, digest.settled_, digest.stopping_, digest.storeNews_);
    archive(digest.instance_, digest.gateway_, digest.incarnation_, digest.sequence_, digest.loads_,
            digest.loadedLayers_, digest.layerMoves_, digest.downEndpoints_,
            digest.leavingEndpoints_, digest.members_, digest.traits_, digest.capacity_,
            digest.demand_, digest.speeds_);
}

template <typename Archive>
void serialize(Archive &archive, DigestMessage &digest)
{
    archive(digest.instance_, digest.entry_, digest.configAppliedOffset_, digest.configDigest_,
            digest.demand_, digest.suspects_);
}

template <typename Archive>
void serialize(Archive &archive, ConfigFetchMessage &fetch)
{
    archive(fetch.replyTo_, fetch.appliedOffset_);
}

template <typename Archive>
void serialize(Archive &archive, ParameterSpec &spec)
{
    archive(spec.default_, spec.minimum_, spec.maximum_);
}

template <typename Archive>
void serialize(Archive &archive, Template &requestTemplate)
{
    archive(requestTemplate.id_, requestTemplate.kind_, requestTemplate.target_,
            requestTemplate.rank_, requestTemplate.responseTimeout_, requestTemplate.repeat_,
            requestTemplate.idempotencyWindow_, requestTemplate.parameters_);
}

template <typename Archive>
void serialize(Archive &archive, ParameterSet &set)
{
    archive(set.organisation_, set.apiKeyHashes_, set.weight_, set.overrides_);
}

template <typename Archive>
void serialize(Archive &archive, ModelGoal &goal)
{
    archive(goal.model_, goal.version_, goal.pipelines_);
}

template <typename Archive>
void serialize(Archive &archive, FleetPolicy &fleet)
{
    archive(fleet.minShares_, fleet.models_);
}

template <typename Archive>
void serialize(Archive &archive, ConfigEntry &entry)
{
    archive(entry.document_, entry.version_);
}

template <typename Archive>
void serialize(Archive &archive, ConfigSnapshot &snapshot)
{
    archive(snapshot.throughOffset_, snapshot.entries_);
}

template <typename Archive>
void serialize(Archive &archive, ConfigStateMessage &state)
{
    archive(state.snapshot_);
}

template <typename Archive>
void serialize(Archive &archive, ProbeMessage &probe)
{
    archive(probe.replyTo_, probe.from_, probe.sentMicros_, probe.echo_);
}

namespace detail {

//! The bytes "CGC1".
constexpr std::uint32_t FrameMagic = 0x31434743;
constexpr std::uint64_t HashSeed = 0x67797073756d;

template <typename Value>
std::string encodeValue(const Value &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

//! The hash was checked before, so the bytes are as they were sent: a value that can't be decoded
//! was encoded by another version of the software.
template <typename Value>
std::optional<Value> decodeValue(std::string_view bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void putLittleEndian(std::string &bytes, std::uint64_t value, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        bytes += static_cast<char>(value >> (8 * i) & 0xff);
}

std::uint64_t getLittleEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i-- > 0;)
        value = value << 8 | static_cast<unsigned char>(bytes[i]);
    return value;
}

std::string frame(const std::string &payload)
{
    std::string bytes;
    bytes.reserve(FrameHeaderBytes + payload.size());
    putLittleEndian(bytes, FrameMagic, 4);
    putLittleEndian(bytes, payload.size(), 4);
    putLittleEndian(bytes, hashText(payload, HashSeed), 8);
    return bytes + payload;
}

bool matches(const FrameHeader &header, std::string_view payload)
{
    return payload.size() == header.length_ && hashText(payload, HashSeed) == header.hash_;
}

} // namespace detail

std::string encodeFrame(const Message &message)
{
    return detail::frame(detail::encodeValue(message));
}

std::string encodeDatagram(const Datagram &datagram)
{
    return detail::frame(detail::encodeValue(datagram));
}

std::optional<FrameHeader> decodeFrameHeader(std::string_view bytes)
{
    if (bytes.size() < FrameHeaderBytes
        || detail::getLittleEndian(bytes.substr(0, 4)) != detail::FrameMagic)
        return std::nullopt;
    const auto length = static_cast<std::uint32_t>(detail::getLittleEndian(bytes.substr(4, 4)));
    if (length > MaxPayloadBytes)
        return std::nullopt;
    return FrameHeader {length, detail::getLittleEndian(bytes.substr(8, 8))};
}

std::optional<Message> decodePayload(const FrameHeader &header, std::string_view payload)
{
    if (!detail::matches(header, payload))
        return std::nullopt;
    return detail::decodeValue<Message>(payload);
}

std::optional<StateKind> stateKindOf(std::string_view bytes)
{
    // Encoded text is short; the rest of a datagram can be large.
    constexpr std::size_t PrefixBytes = 512;
    if (bytes.size() < FrameHeaderBytes)
        return std::nullopt;
    try {
        detail::BoundedInputArchive archive(bytes.substr(FrameHeaderBytes, PrefixBytes));
        std::int32_t index = 0; // As cereal encodes the alternative of a variant.
        archive(index);
        if (static_cast<std::size_t>(index) != Datagram(GatewayDigestMessage {}).index())
            return std::nullopt;
        StateKind kind;
        archive(kind.scope_, kind.domain_);
        const bool isNews = kind.scope_ == DigestScope::CrashNews
                            || kind.scope_ == DigestScope::RelayedCrashNews;
        return isNews ? std::nullopt : std::optional(kind);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::optional<Datagram> decodeDatagram(std::string_view bytes)
{
    const auto header = decodeFrameHeader(bytes);
    if (!header || !detail::matches(*header, bytes.substr(FrameHeaderBytes)))
        return std::nullopt;
    return detail::decodeValue<Datagram>(bytes.substr(FrameHeaderBytes));
}

} // namespace gypsumcroft
