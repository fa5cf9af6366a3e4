//! Configuration controller: derives the configuration from the platform's log. The result depends
//! on the log alone, so that all readers arrive at the same state.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/logline.h"
#include "core/messages.h"
#include "core/random.h"
#include "core/template.h"

namespace gypsumcroft {

//! A publication: its document becomes active if replaces_ is the version active at that point of
//! the log.
struct ConfigPublish
{
    PublishId id_;
    //! Version that the operator expects to replace; 0 for a new object.
    LogOffset replaces_;
    ConfigDocument document_;
};

//! A record that could not be decoded; every reader skips it.
struct MalformedRecord
{
    Findings findings_;
};

using ConfigRecord = std::variant<ConfigPublish, ConfigSnapshot, MalformedRecord>;

struct ConfigLogRecord
{
    LogOffset offset_;
    LogTime time_;
    ConfigRecord record_;
};

//! Result of one read of the log.
struct ConfigLogPage
{
    //! Oldest record that the log still has.
    LogOffset firstOffset_;
    //! Offset that the next append will get.
    LogOffset nextOffset_;
    //! Current time of the log's clock.
    LogTime logTime_;
    //! Time after which the log deletes a record.
    Duration retention_ {};
    std::vector<ConfigLogRecord> records_;
};

//! Whether a publication was accepted, as decided by its position in the log.
struct PublishResult
{
    LogOffset offset_;
    bool accepted_ = false;
    Findings findings_;
};

struct ConfigState
{
    LogOffset appliedOffset_;
    std::map<ObjectName, ConfigEntry> entries_;
    std::uint64_t digest_ = 0;
    //! When this process last applied a change.
    TimePoint changedAt_;
    std::map<PublishId, PublishResult> publishResults_;
    std::deque<PublishId> resultOrder_;
    //! Records collected since a gap in the log, until a snapshot that covers the gap is read.
    std::vector<ConfigLogRecord> gapRecords_;
    //! Last offset that the newest snapshot in the log includes, and the time of that snapshot.
    LogOffset snapshotOffset_;
    LogTime snapshotTime_;
    //! Time of the oldest accepted publication that no snapshot includes; 0 if there is none.
    LogTime oldestSinceSnapshot_;
    LogTime logTime_;
    Duration retention_ {};
    //! End of the log at the last read; not after the last applied offset if the log lost records.
    LogOffset logEnd_;
    //! When the snapshot that is due is to be appended; unset while none is due.
    TimePoint snapshotDueAt_;
};

//! Applies a page; returns a log event for each record that was accepted, refused or skipped.
std::vector<LogEvent> applyConfigPage(ConfigState &state, const ConfigLogPage &page, TimePoint now);

//! Replaces the state by a peer's if the peer has read further; returns whether it did.
bool applyPeerConfig(ConfigState &state, const ConfigSnapshot &snapshot, TimePoint now);

ConfigSnapshot snapshotOf(const ConfigState &state);

//! Returns a snapshot to append when the newest one, or a publication that none includes, is older
//! than half the log's retention. A random delay spreads the appends of several processes.
std::optional<ConfigSnapshot> takeDueSnapshot(ConfigState &state, Random &random, TimePoint now);

//! The active configuration, indexed for lookups by the traffic threads.
struct ConfigIndex
{
    LogOffset appliedOffset_;
    std::map<TemplateId, Template> templates_;
    std::map<OrganisationId, ParameterSet> organisations_;
    std::map<ApiKeyHash, OrganisationId> byApiKey_;
    FleetPolicy fleet_;
};

ConfigIndex buildConfigIndex(const ConfigState &state);

} // namespace gypsumcroft
