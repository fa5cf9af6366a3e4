#include "controllers/config.h"

#include <algorithm>

#include "core/hash.h"

namespace gypsumcroft {

namespace detail {

constexpr std::size_t MaxVerdicts = 1000;
constexpr Duration MaxSnapshotJitter = std::chrono::seconds(2);

std::uint64_t digestOf(const ConfigState &state)
{
    std::uint64_t digest = 0;
    for (const auto &[name, entry] : state.entries_)
        digest = mixHash(digest, mixHash(hashText(name.value_), entry.version_.value_));
    return digest;
}

void noteVerdict(ConfigState &state, const PublishId &id, PublishVerdict verdict)
{
    if (!state.verdicts_.emplace(id, std::move(verdict)).second)
        return;
    state.verdictOrder_.push_back(id);
    if (state.verdictOrder_.size() <= MaxVerdicts)
        return;
    state.verdicts_.erase(state.verdictOrder_.front());
    state.verdictOrder_.pop_front();
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
    if (state.verdicts_.contains(publish.id_))
        return logEvent(LogLevel::Info, LogLine("config-repeated").add("offset", record.offset_));
    Findings findings = findingsOf(state, publish);
    const bool accepted = findings.empty();
    LogLine line(accepted ? "config-accepted" : "config-refused");
    line.add("offset", record.offset_).add("object", name).add("publish", publish.id_);
    if (accepted) {
        state.entries_[name] = {publish.document_, record.offset_};
        if (state.oldestUncovered_.value_ == 0)
            state.oldestUncovered_ = record.time_;
    } else {
        line.add("reason", findings.front().message_);
    }
    noteVerdict(state, publish.id_, {record.offset_, accepted, std::move(findings)});
    return logEvent(LogLevel::Info, line);
}

void noteSnapshot(ConfigState &state, const ConfigLogRecord &record, const ConfigSnapshot &snapshot)
{
    if (snapshot.throughOffset_ < state.coveredThrough_)
        return;
    state.coveredThrough_ = snapshot.throughOffset_;
    state.coveredTime_ = record.time_;
    const bool uncovered
            = std::any_of(state.entries_.begin(), state.entries_.end(), [&](const auto &entry) {
                  return entry.second.version_ > snapshot.throughOffset_;
              });
    if (!uncovered)
        state.oldestUncovered_ = {};
}

LogEvent applyRecord(ConfigState &state, const ConfigLogRecord &record)
{
    state.through_ = record.offset_;
    if (const auto *publish = std::get_if<ConfigPublish>(&record.record_))
        return applyPublish(state, record, *publish);
    if (const auto *snapshot = std::get_if<ConfigSnapshot>(&record.record_)) {
        noteSnapshot(state, record, *snapshot);
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
void takeSnapshot(ConfigState &state, const ConfigSnapshot &snapshot)
{
    state.entries_.clear();
    for (const ConfigEntry &entry : snapshot.entries_)
        state.entries_[objectNameOf(entry.document_)] = entry;
    state.through_ = snapshot.throughOffset_;
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

void foldRecords(ConfigState &state, const std::vector<ConfigLogRecord> &records,
                 std::vector<LogEvent> &events)
{
    for (const ConfigLogRecord &record : records) {
        if (record.offset_ > state.through_)
            events.push_back(applyRecord(state, record));
    }
}

//! Handles a page after records that the log deleted before they were read: only a snapshot that
//! includes these can replace them. Until one is read, the later records are collected.
void closeGap(ConfigState &state, const ConfigLogPage &page, std::vector<LogEvent> &events)
{
    if (!page.records_.empty() && page.records_.front().offset_ == page.first_)
        state.gapRecords_.clear();
    state.gapRecords_.insert(state.gapRecords_.end(), page.records_.begin(), page.records_.end());
    const ConfigLogRecord *record = bestSnapshot(state.gapRecords_);
    const auto *snapshot = record == nullptr ? nullptr : &std::get<ConfigSnapshot>(record->record_);
    const bool covers = snapshot != nullptr
                        && snapshot->throughOffset_.value_ + 1 >= page.first_.value_
                        && snapshot->throughOffset_ > state.through_;
    if (!covers) {
        events.push_back(logEvent(
                LogLevel::Warning,
                LogLine("config-gap").add("through", state.through_).add("first", page.first_)));
        return;
    }
    takeSnapshot(state, *snapshot);
    noteSnapshot(state, *record, *snapshot);
    foldRecords(state, state.gapRecords_, events);
    state.gapRecords_.clear();
}

} // namespace detail

std::vector<LogEvent> applyConfigPage(ConfigState &state, const ConfigLogPage &page, TimePoint now)
{
    std::vector<LogEvent> events;
    const LogOffset before = state.through_;
    state.logNow_ = page.now_;
    state.retention_ = page.retention_;
    state.logNext_ = page.next_;
    if (page.first_.value_ > state.through_.value_ + 1)
        detail::closeGap(state, page, events);
    else
        detail::foldRecords(state, page.records_, events);
    if (state.through_ == before)
        return events;
    state.digest_ = detail::digestOf(state);
    state.changedAt_ = now;
    return events;
}

bool adoptConfig(ConfigState &state, const ConfigSnapshot &snapshot, TimePoint now)
{
    if (snapshot.throughOffset_ <= state.through_)
        return false;
    detail::takeSnapshot(state, snapshot);
    state.gapRecords_.clear();
    if (state.oldestUncovered_.value_ == 0)
        state.oldestUncovered_ = state.logNow_;
    state.digest_ = detail::digestOf(state);
    state.changedAt_ = now;
    return true;
}

ConfigSnapshot snapshotOf(const ConfigState &state)
{
    ConfigSnapshot snapshot;
    snapshot.throughOffset_ = state.through_;
    for (const auto &[name, entry] : state.entries_)
        snapshot.entries_.push_back(entry);
    return snapshot;
}

std::optional<ConfigSnapshot> dueSnapshot(ConfigState &state, Random &random, TimePoint now)
{
    if (state.entries_.empty() || state.retention_ <= Duration::zero())
        return std::nullopt;
    const std::int64_t halfMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(state.retention_).count() / 2;
    const auto old = [&](LogTime time) {
        return time.value_ > 0 && state.logNow_.value_ - time.value_ >= halfMs;
    };
    const bool never = state.coveredTime_.value_ == 0 && state.oldestUncovered_.value_ == 0;
    if (!never && !old(state.oldestUncovered_) && !old(state.coveredTime_))
        return std::nullopt;
    if (state.snapshotAfter_ == TimePoint {}) {
        const auto most = static_cast<std::uint64_t>(detail::MaxSnapshotJitter.count());
        state.snapshotAfter_ = now + Duration(1 + randomBelow(random, most));
    }
    if (now < state.snapshotAfter_)
        return std::nullopt;
    state.snapshotAfter_ = {};
    return snapshotOf(state);
}

ConfigIndex indexConfig(const ConfigState &state)
{
    ConfigIndex index;
    index.through_ = state.through_;
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
