//! Settings of an entry or an agent, from a JSON file.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/messages.h"

namespace gypsumcroft {

enum class ProcessRole { Entry, Agent };

//! The endpoint that an agent sends requests to.
struct EndpointSettings
{
    EndpointId name_;
    Address address_;
    EndpointKind kind_ = EndpointKind::Service;
};

struct ProcessSettings
{
    ProcessRole role_ = ProcessRole::Entry;
    InstanceId instance_;
    FailureDomainId domain_;
    //! TCP and UDP address for messages from the other entries and agents.
    Address meshAddress_;
    //! HTTP address for callers; only set for an entry.
    std::optional<Address> callerAddress_;
    //! HTTP address for operators: metrics, health, active configuration, drain.
    Address operatorAddress_;
    std::string operatorToken_;
    std::vector<Address> entryAddresses_;
    Address logAddress_;
    std::optional<Address> instanceListAddress_;
    std::optional<EndpointSettings> endpoint_;
    std::uint32_t trafficThreads_ = 2;
    std::uint32_t maxBodyBytes_ = 1024 * 1024;
    std::uint32_t readTimeoutMs_ = 10000;
    //! While draining: time from turning readiness off until new requests are refused, so that the
    //! load balancer notices before.
    std::uint32_t drainNoticeMs_ = 2000;
    //! Maximum number of records in one append to the claims stream; 1 appends each record by
    //! itself.
    std::uint32_t claimsBatch_ = 256;
};

//! Decodes settings. place is the file name in the findings. Returns nullopt if there is any
//! finding.
std::optional<ProcessSettings> decodeProcessSettings(std::string_view text,
                                                     const std::string &place, Findings &findings);

//! Parses "IP:PORT".
std::optional<Address> parseAddress(std::string_view text);
std::string formatAddress(const Address &address);

} // namespace gypsumcroft
