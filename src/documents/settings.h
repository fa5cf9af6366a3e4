//! Settings of a process, from a JSON file.
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

//! The endpoint beside an agent.
struct EndpointSettings
{
    EndpointId name_;
    Address address_;
    EndpointKind kind_ = EndpointKind::Service;
};

struct Settings
{
    ProcessRole role_ = ProcessRole::Entry;
    InstanceId instance_;
    FailureDomainId domain_;
    //! Address of this process for other processes of the system, TCP and UDP.
    Address mesh_;
    //! Entry: callers' HTTP. Agent: none.
    std::optional<Address> callers_;
    //! Operators' HTTP: metrics, health, what is in force, drain.
    Address operators_;
    std::string operatorToken_;
    std::vector<Address> entries_;
    Address platformLog_;
    std::optional<Address> platformInstances_;
    std::optional<EndpointSettings> endpoint_;
    std::uint32_t trafficThreads_ = 2;
    std::uint32_t maxBodyBytes_ = 1024 * 1024;
    std::uint32_t readTimeoutMs_ = 10000;
    //! Time between readiness going off and the refusal of new requests, while a balancer notices.
    std::uint32_t drainNoticeMs_ = 2000;
    //! Records in one append of the claims stream; 1 writes each claim by itself.
    std::uint32_t claimsBatch_ = 256;
};

//! Reads settings; place names the file in findings. Nothing if there is any finding.
std::optional<Settings> decodeSettings(std::string_view text, const std::string &place,
                                       Findings &findings);

//! "HOST:PORT" with an IP number.
std::optional<Address> parseAddress(std::string_view text);
std::string formatAddress(const Address &address);

} // namespace gypsumcroft
