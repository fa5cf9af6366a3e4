//! Templates, parameter sets, the fleet's policy and the records that carry them, as JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/claims.h"
#include "controllers/config.h"
#include "core/findings.h"
#include "core/template.h"

namespace gypsumcroft {

//! Reads one document; its "type" says which kind. Adds a finding for each fault, values out of
//! range included; nothing if there is any.
std::optional<ConfigDocument> decodeDocument(std::string_view text, const std::string &place,
                                             Findings &findings);
std::string encodeDocument(const ConfigDocument &document);

//! Findings about names that one document uses and no other defines.
void checkReferences(const std::vector<std::pair<std::string, ConfigDocument>> &documents,
                     Findings &findings);

//! A record of the configuration stream; MalformedRecord when it can't be read.
ConfigRecord decodeConfigRecord(std::string_view text);
std::string encodeConfigRecord(const ConfigRecord &record);

//! A record of the claims stream; nothing when it can't be read.
std::optional<ClaimBatch> decodeClaimBatch(std::string_view text);
std::string encodeClaimBatch(const ClaimBatch &batch);

//! The platform's answer to a read of a stream.
struct LogPage
{
    LogOffset first_;
    LogOffset next_;
    LogTime now_;
    Duration retention_ {};
    struct Record
    {
        LogOffset offset_;
        LogTime time_;
        std::string data_;
    };
    std::vector<Record> records_;
};
std::optional<LogPage> decodeLogPage(std::string_view text);

ConfigLogPage configPageOf(const LogPage &page);
//! Malformed batches count as empty.
ClaimsPage claimsPageOf(const LogPage &page);

//! What is in force, for operators: offset, digest, every object with its version.
std::string encodeConfigState(const ConfigState &state, Duration inForceFor);

} // namespace gypsumcroft
