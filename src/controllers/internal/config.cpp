#include "controllers/config.h"

#include <algorithm>

#include "core/hash.h"

namespace gypsumcroft {

namespace detail {

constexpr std::size_t MaxPublishResults = 1000;
constexpr Duration MaxSnapshotJitter = std::chrono::seconds(2);

std::uint64_t digestOf(const ConfigState &state)
{
    std::uint64_t digest = 0;
    for (const auto &[name, entry] : state.entries_)
        digest = mixHash(digest, mixHash(hashText(name.value_), entry.version_.value_));
    return digest;
}

void recordPublishResult(ConfigState &state, const PublishId &id, PublishResult result)
{
    if (!state.publishResults_.emplace(id, std::move(result)).second)
        return;
    state.resultOrder_.push_back(id);
    if (state.resultOrder_.size() <= MaxPublishResults)
        return;
    state.publishResults_.erase(state.resultOrder_.front());
    state.resultOrder_.pop_front();
}

Findings findingsOf(const ConfigState &state, const ConfigPublish &publish)
{
    const ObjectName name = objectNameOf(publish.document_);
    Findings findings;
    validateDocument(publish.document_, name.value_, findings);
    const auto current = state.entries_.find(name);
    const LogOffset version
            = current == state.entries_.end() ? LogOffset {} : current->second.version_;
    if (version != publish.replaces_)
        addFinding(findings, name.value_,
                   "replaces version " + std::to_string(publish.replaces_.value_) + ", but version "
                           + std::to_string(version.value_) + " is in force");
    return findings;
}

LogEvent applyPublish(ConfigState &state, const ConfigLogRecord &record,
                      const ConfigPublish &publish)
{
    const ObjectName name = objectNameOf(publish.document_);
    if (state.publishResults_.contains(publish.id_))
        return logEvent(LogLevel::Info, LogLine("config-repeated").add("offset", record.offset_));
    Findings findings = findingsOf(state, publish);
    const bool accepted = findings.empty();
    LogLine line(accepted ? "config-accepted" : "config-refused");
    line.add("offset", record.offset_).add("object", name).add("publish", publish.id_);
    if (accepted) {
        state.entries_[name] = {publish.document_, record.offset_};
        if (state.oldestSinceSnapshot_.value_ == 0)
            state.oldestSinceSnapshot_ = record.time_;
    } else {
        line.add("reason", findings.front().message_);
    }
    recordPublishResult(state, publish.id_, {record.offset_, accepted, std::move(findings)});
    return logEvent(LogLevel::Info, line);
}

void recordSnapshot(ConfigState &state, const ConfigLogRecord &record,
                    const ConfigSnapshot &snapshot)
{
    if (snapshot.throughOffset_ < state.snapshotOffset_)
        return;
    state.snapshotOffset_ = snapshot.throughOffset_;
    state.snapshotTime_ = record.time_;
    const bool uncovered
            = std::any_of(state.entries_.begin(), state.entries_.end(), [&](const auto &entry) {
                  return entry.second.version_ > snapshot.throughOffset_;
              });
    if (!uncovered)
        state.oldestSinceSnapshot_ = {};
}

LogEvent applyRecord(ConfigState &state, const ConfigLogRecord &record)
{
    state.appliedOffset_ = record.offset_;
    if (const auto *publish = std::get_if<ConfigPublish>(&record.record_))
        return applyPublish(state, record, *publish);
    if (const auto *snapshot = std::get_if<ConfigSnapshot>(&record.record_)) {
        recordSnapshot(state, record, *snapshot);
        return logEvent(LogLevel::Info, LogLine("config-snapshot")
                                                .add("offset", record.offset_)
                                                .add("through", snapshot->throughOffset_));
    }
    const auto &malformed = std::get<MalformedRecord>(record.record_);
    return logEvent(LogLevel::Warning,
                    LogLine("config-skipped")
                            .add("offset", record.offset_)
                            .add("reason", malformed.findings_.empty()
                                                   ? "malformed"
                                                   : malformed.findings_.front().message_));
}

//! Replaces the entries by those of a snapshot; the caller has checked that it is ahead.
void restoreSnapshot(ConfigState &state, const ConfigSnapshot &snapshot)
{
    state.entries_.clear();
    for (const ConfigEntry &entry : snapshot.entries_)
        state.entries_[objectNameOf(entry.document_)] = entry;
    state.appliedOffset_ = snapshot.throughOffset_;
}

const ConfigLogRecord *bestSnapshot(const std::vector<ConfigLogRecord> &records)
{
    const ConfigLogRecord *best = nullptr;
    LogOffset through;
    for (const ConfigLogRecord &record : records) {
        const auto *snapshot = std::get_if<ConfigSnapshot>(&record.record_);
        if (snapshot == nullptr || (best != nullptr && snapshot->throughOffset_ <= through))
            continue;
        best = &record;
        through = snapshot->throughOffset_;
    }
    return best;
}

void applyRecords(ConfigState &state, const std::vector<ConfigLogRecord> &records,
                  std::vector<LogEvent> &events)
{
    for (const ConfigLogRecord &record : records) {
        if (record.offset_ > state.appliedOffset_)
            events.push_back(applyRecord(state, record));
    }
}

//! Handles a page after records that the log deleted before they were read: only a snapshot that
//! includes these can replace them. Until one is read, the later records are collected.
void closeGap(ConfigState &state, const ConfigLogPage &page, std::vector<LogEvent> &events)
{
    if (!page.records_.empty() && page.records_.front().offset_ == page.firstOffset_)
        state.gapRecords_.clear();
    state.gapRecords_.insert(state.gapRecords_.end(), page.records_.begin(), page.records_.end());
    const ConfigLogRecord *record = bestSnapshot(state.gapRecords_);
    const auto *snapshot = record == nullptr ? nullptr : &std::get<ConfigSnapshot>(record->record_);
    const bool covers = snapshot != nullptr
                        && snapshot->throughOffset_.value_ + 1 >= page.firstOffset_.value_
                        && snapshot->throughOffset_ > state.appliedOffset_;
    if (!covers) {
        events.push_back(logEvent(LogLevel::Warning, LogLine("config-gap")
                                                             .add("through", state.appliedOffset_)
                                                             .add("first", page.firstOffset_)));
        return;
    }
    restoreSnapshot(state, *snapshot);
    recordSnapshot(state, *record, *snapshot);
    applyRecords(state, state.gapRecords_, events);
    state.gapRecords_.clear();
}

} // namespace detail

std::vector<LogEvent> applyConfigPage(ConfigState &state, const ConfigLogPage &page, TimePoint now)
{
    std::vector<LogEvent> events;
    const LogOffset before = state.appliedOffset_;
    state.logTime_ = page.logTime_;
    state.retention_ = page.retention_;
    state.logEnd_ = page.nextOffset_;
    if (page.firstOffset_.value_ > state.appliedOffset_.value_ + 1)
        detail::closeGap(state, page, events);
    else
        detail::applyRecords(state, page.records_, events);
    if (state.appliedOffset_ == before)
        return events;
    state.digest_ = detail::digestOf(state);
    state.changedAt_ = now;
    return events;
}

bool applyPeerConfig(ConfigState &state, const ConfigSnapshot &snapshot, TimePoint now)
{
    if (snapshot.throughOffset_ <= state.appliedOffset_)
        return false;
    detail::restoreSnapshot(state, snapshot);
    state.gapRecords_.clear();
    if (state.oldestSinceSnapshot_.value_ == 0)
        state.oldestSinceSnapshot_ = state.logTime_;
    state.digest_ = detail::digestOf(state);
    state.changedAt_ = now;
    return true;
}

ConfigSnapshot snapshotOf(const ConfigState &state)
{
    ConfigSnapshot snapshot;
    snapshot.throughOffset_ = state.appliedOffset_;
    for (const auto &[name, entry] : state.entries_)
        snapshot.entries_.push_back(entry);
    return snapshot;
}

std::optional<ConfigSnapshot> takeDueSnapshot(ConfigState &state, Random &random, TimePoint now)
{
    if (state.entries_.empty() || state.retention_ <= Duration::zero())
        return std::nullopt;
    const std::int64_t halfMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(state.retention_).count() / 2;
    const auto old = [&](LogTime time) {
        return time.value_ > 0 && state.logTime_.value_ - time.value_ >= halfMs;
    };
    const bool never = state.snapshotTime_.value_ == 0 && state.oldestSinceSnapshot_.value_ == 0;
    if (!never && !old(state.oldestSinceSnapshot_) && !old(state.snapshotTime_))
        return std::nullopt;
    if (state.snapshotDueAt_ == TimePoint {}) {
        const auto most = static_cast<std::uint64_t>(detail::MaxSnapshotJitter.count());
        state.snapshotDueAt_ = now + Duration(1 + randomBelow(random, most));
    }
    if (now < state.snapshotDueAt_)
        return std::nullopt;
    state.snapshotDueAt_ = {};
    return snapshotOf(state);
}

ConfigIndex buildConfigIndex(const ConfigState &state)
{
    ConfigIndex index;
    index.appliedOffset_ = state.appliedOffset_;
    for (const auto &[name, entry] : state.entries_) {
        if (const auto *work = std::get_if<Template>(&entry.document_))
            index.templates_.emplace(work->id_, *work);
        if (const auto *fleet = std::get_if<FleetPolicy>(&entry.document_))
            index.fleet_ = *fleet;
        const auto *set = std::get_if<ParameterSet>(&entry.document_);
        if (set == nullptr)
            continue;
        index.organisations_.emplace(set->organisation_, *set);
        for (const ApiKeyHash &hash : set->apiKeyHashes_)
            index.byApiKey_.emplace(hash, set->organisation_);
    }
    return index;
}

} // namespace gypsumcroft
