//! Configuration controller: a fold of the platform's log that every reader computes alike.
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

//! A publication: puts a document in force if replaces_ is the version then in force.
struct ConfigPublish
{
    PublishId id_;
    //! Version that the operator saw; 0 for a new object.
    LogOffset replaces_;
    ConfigDocument document_;
};

//! A record that could not be read; skipped by all readers alike.
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

//! One read of the log.
struct ConfigLogPage
{
    //! Oldest record that the log still keeps.
    LogOffset first_;
    //! Offset that the next append will get.
    LogOffset next_;
    //! The log's own clock, and how long it keeps a record.
    LogTime now_;
    Duration retention_ {};
    std::vector<ConfigLogRecord> records_;
};

//! What the log's order made of a publication.
struct PublishVerdict
{
    LogOffset offset_;
    bool accepted_ = false;
    Findings findings_;
};

struct ConfigState
{
    LogOffset through_;
    std::map<ObjectName, ConfigEntry> entries_;
    std::uint64_t digest_ = 0;
    //! When the state last changed here.
    TimePoint changedAt_;
    std::map<PublishId, PublishVerdict> verdicts_;
    std::deque<PublishId> verdictOrder_;
    //! Records gathered while a gap is being closed.
    std::vector<ConfigLogRecord> gapRecords_;
    //! Newest record of the log that holds the whole state up to coveredThrough_.
    LogOffset coveredThrough_;
    LogTime coveredTime_;
    //! Time of the oldest accepted publication after coveredThrough_; 0 if there is none.
    LogTime oldestUncovered_;
    LogTime logNow_;
    Duration retention_ {};
    //! Where the log ended at the last read; below through_ after the log lost its records.
    LogOffset logNext_;
    TimePoint snapshotAfter_;
};

//! Folds a page in; returns log lines for each record that was accepted, refused or skipped.
std::vector<LogEvent> applyConfigPage(ConfigState &state, const ConfigLogPage &page, TimePoint now);

//! Takes a peer's state if it is ahead. Never goes back; returns whether it changed anything.
bool adoptConfig(ConfigState &state, const ConfigSnapshot &snapshot, TimePoint now);

ConfigSnapshot snapshotOf(const ConfigState &state);

//! A snapshot to append when records near half their retention are not covered by one.
std::optional<ConfigSnapshot> dueSnapshot(ConfigState &state, Random &random, TimePoint now);

//! Configuration in a form that traffic looks things up in.
struct ConfigIndex
{
    LogOffset through_;
    std::map<TemplateId, Template> templates_;
    std::map<OrganisationId, ParameterSet> organisations_;
    std::map<ApiKeyHash, OrganisationId> byApiKey_;
    FleetPolicy fleet_;
};

ConfigIndex indexConfig(const ConfigState &state);

} // namespace gypsumcroft
