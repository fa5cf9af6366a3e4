//! Settings of a gateway, from a JSON file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "gateway/control.h"
#include "policy/callermemory.h"

namespace gypsumcroft {

//! Limits of the instance that the process runs on.
struct InstanceLimits
{
    //! Memory in MB of 10^6 bytes; absent if the platform names none.
    std::optional<std::uint32_t> memoryMb_;
    //! Limits on callers; by default derived from the memory and the descriptors.
    CallerBoundSettings callers_;
    //! Longest time for a caller to send a body, and without receiving any byte of a response.
    Duration bodyTimeout_ = std::chrono::seconds(10);
    Duration sendTimeout_ = std::chrono::seconds(10);
};

struct GatewaySettings
{
    InstanceId instance_;
    FailureDomainId domain_;
    //! UDP address to which other gateways send their digests.
    Address meshAddress_;
    //! HTTP address for callers.
    Address callerAddress_;
    //! HTTP address where the load balancer checks whether the process accepts requests.
    Address readinessAddress_;
    std::optional<Address> metricsAddress_;
    //! Token that operators' requests at the metrics address must carry; without one there are only
    //! metrics and health.
    std::optional<std::string> operatorToken_;
    Address storeAddress_;
    GatewayBounds bounds_;
    InstanceLimits limits_;
    LeaseLimits lease_;
    //! Number of partitions that the store creates for a new topic.
    std::uint32_t topicPartitions_ = 1;
    //! What the machine of this process can carry.
    GatewayCapacity capacity_;
    //! Grace period: time between the stop signal and the kill.
    Duration grace_ = std::chrono::seconds(8);
};

//! Decodes settings. place is the file name in the findings. Returns nullopt if there is any
//! finding.
std::optional<GatewaySettings> decodeGatewaySettings(std::string_view text,
                                                     const std::string &place, Findings &findings);

//! What a reload of the settings changes in a running process.
struct SettingsChanges
{
    //! Names of settings that take effect at once.
    std::vector<std::string> applied_;
    //! Names of settings that take effect when the process starts again.
    std::vector<std::string> needRestart_;
};

SettingsChanges compareSettings(const GatewaySettings &running, const GatewaySettings &loaded);

//! True if the text is a JSON object with the "role" "gateway".
bool isGatewaySettings(std::string_view text);

} // namespace gypsumcroft
