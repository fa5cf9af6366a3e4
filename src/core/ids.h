//! Strong types for identifiers. They don't convert to one another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace gypsumcroft {

//! Wraps a value of type Rep; only values with the same Tag can be compared or assigned.
template <typename Tag, typename Rep>
struct StrongType
{
    using RepType = Rep;
    Rep value_ {};
    auto operator<=>(const StrongType &) const = default;
};

using InstanceId = StrongType<struct InstanceTag, std::string>;
using EndpointId = StrongType<struct EndpointTag, std::string>;
using FailureDomainId = StrongType<struct FailureDomainTag, std::string>;
using OrganisationId = StrongType<struct OrganisationTag, std::string>;
using CallerId = StrongType<struct CallerTag, std::string>;
using TemplateId = StrongType<struct TemplateTag, std::string>;
//! Name of a model or of a plain service, as endpoints report it and templates refer to it.
using TargetName = StrongType<struct TargetTag, std::string>;
using ModelVersion = StrongType<struct ModelVersionTag, std::string>;
using AcceleratorKind = StrongType<struct AcceleratorTag, std::string>;
//! Identifies a request inside the system; unique across entries.
using RequestId = StrongType<struct RequestTag, std::string>;
//! Name of a configuration object, such as "template/quote".
using ObjectName = StrongType<struct ObjectTag, std::string>;
using PublishId = StrongType<struct PublishTag, std::string>;
//! SHA-256 of an API key, in lower-case hexadecimal.
using ApiKeyHash = StrongType<struct ApiKeyTag, std::string>;

//! Incremented each time a request is planned again; steps of an older epoch are discarded.
using Epoch = StrongType<struct EpochTag, std::uint32_t>;
//! Position in a model's input and output. The whole prompt is position 0; its output is token 0.
using TokenIndex = StrongType<struct TokenIndexTag, std::uint32_t>;
using LayerIndex = StrongType<struct LayerIndexTag, std::uint32_t>;
//! Offset in one stream of the platform's log. The first record has offset 1; 0 means no record.
using LogOffset = StrongType<struct LogOffsetTag, std::uint64_t>;
//! Log offset of the lease record that authorises a placement order. It grows with each new lease,
//! so that orders of an earlier lease holder can be rejected.
using FencingToken = StrongType<struct FencingTag, std::uint64_t>;
//! Identifies a claim on an idempotency key.
using ClaimNonce = StrongType<struct ClaimNonceTag, std::uint64_t>;
//! Identifies one dispatch of a call from an entry to an agent.
using AttemptId = StrongType<struct AttemptTag, std::uint64_t>;
//! Sequence number of a caller's connection to one process.
using ConnectionId = StrongType<struct ConnectionTag, std::uint64_t>;
//! Sequence number of a request on its connection, from 1.
using RequestOrdinal = StrongType<struct RequestOrdinalTag, std::uint64_t>;
//! Distinguishes a restarted process from the earlier one with the same instance id.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

//! 128-bit hash of an organisation and an idempotency key; see hashIdempotencyKey().
struct KeyHash
{
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
    auto operator<=>(const KeyHash &) const = default;
};

//! 64-bit hash of a request's organisation, template and body; see fingerprintOf().
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

//! 64-bit hash of what a caller sent: method, URL and body.
using ContentHash = StrongType<struct ContentHashTag, std::uint64_t>;

//! Id of a part of a prompt; requests with the same part have it in common.
using PromptPartId = StrongType<struct PromptPartTag, std::string>;
//! Hash of something that requests have in common and that may crash the endpoints that run them.
using RequestTrait = StrongType<struct RequestTraitTag, std::uint64_t>;

//! IP address and port.
struct Address
{
    std::string host_;
    std::uint16_t port_ = 0;
    auto operator<=>(const Address &) const = default;
};

} // namespace gypsumcroft

template <typename Tag, typename Rep>
struct std::hash<gypsumcroft::StrongType<Tag, Rep>>
{
    std::size_t operator()(const gypsumcroft::StrongType<Tag, Rep> &id) const
    {
        return std::hash<Rep> {}(id.value_);
    }
};

template <>
struct std::hash<gypsumcroft::KeyHash>
{
    std::size_t operator()(const gypsumcroft::KeyHash &key) const { return key.low_; }
};

template <>
struct std::hash<gypsumcroft::Address>
{
    std::size_t operator()(const gypsumcroft::Address &address) const
    {
        return std::hash<std::string> {}(address.host_) * 31 + address.port_;
    }
};
