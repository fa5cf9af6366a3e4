//! Settings of a gateway, from a JSON file.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/findings.h"
#include "core/ids.h"
#include "gateway/control.h"

namespace gypsumcroft {

struct GatewaySettings
{
    InstanceId instance_;
    FailureDomainId domain_;
    //! Where other gateways send their digests, UDP.
    Address mesh_;
    Address callers_;
    //! The balancer asks here whether the process takes requests.
    Address ready_;
    std::optional<Address> metrics_;
    Address store_;
    GatewayBounds bounds_;
    LeaseLimits lease_;
    //! Partitions of a new topic in the store.
    std::uint32_t topicPartitions_ = 1;
    //! Time between a stop signal and the kill.
    Duration grace_ = std::chrono::seconds(8);
};

//! Reads settings; place names the file in findings. Nothing if there is any finding.
std::optional<GatewaySettings> decodeGatewaySettings(std::string_view text,
                                                     const std::string &place, Findings &findings);

//! True when the text is a settings document of a gateway.
bool isGatewaySettings(std::string_view text);

} // namespace gypsumcroft
