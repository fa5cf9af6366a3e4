//! JSON encoding of configuration documents (templates, parameter sets, the fleet's policy) and of
//! the records in the configuration stream and the claims stream.
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

//! Decodes one document, whose "type" is "template", "organisation" or "fleet". Adds a finding for
//! each error, values out of range included, and then returns nullopt.
std::optional<ConfigDocument> decodeDocument(std::string_view text, const std::string &place,
                                             Findings &findings);
std::string encodeDocument(const ConfigDocument &document);

//! Checks the overrides in parameter sets against the templates among the documents: adds a finding
//! for each unknown template, unknown parameter and value out of bounds. Without any template among
//! the documents nothing is checked.
void checkOverrides(const std::vector<std::pair<std::string, ConfigDocument>> &documents,
                    Findings &findings);

//! Decodes a record of the configuration stream; never throws. A malformed record is returned as
//! MalformedRecord with its findings.
ConfigRecord decodeConfigRecord(std::string_view text);
std::string encodeConfigRecord(const ConfigRecord &record);

//! Decodes a record of the claims stream; nullopt if it is malformed.
std::optional<ClaimBatch> decodeClaimBatch(std::string_view text);
std::string encodeClaimBatch(const ClaimBatch &batch);

//! Response of the platform's log to a read of a stream.
struct LogPage
{
    //! Offset of the oldest retained record.
    LogOffset oldestOffset_;
    //! Offset of the next append.
    LogOffset nextOffset_;
    //! The log's clock.
    LogTime logTime_;
    //! How long the log retains a record.
    Duration retention_ {};
    struct Record
    {
        LogOffset offset_;
        LogTime time_;
        std::string data_;
    };
    std::vector<Record> records_;
};
//! nullopt if the text is malformed.
std::optional<LogPage> decodeLogPage(std::string_view text);

ConfigLogPage toConfigLogPage(const LogPage &page);
//! A malformed batch becomes an empty one, so that its offset still counts as read.
ClaimsPage toClaimsPage(const LogPage &page);

//! Encodes the active configuration for operators: applied offset, digest, the time since it became
//! active, and every object with its version.
std::string encodeActiveConfig(const ConfigState &state, Duration activeFor);

} // namespace gypsumcroft
