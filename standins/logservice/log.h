//! The platform's append-only log: offsets, retention, a bound on appends a second, outages.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gypsumcroft::standins {

struct LogRecord
{
    std::uint64_t offset_ = 0;
    std::int64_t timeMs_ = 0;
    std::string data_;
};

struct LogStream
{
    std::deque<LogRecord> records_;
    std::uint64_t next_ = 1;
};

struct LogSettings
{
    std::int64_t retentionMs_ = 7LL * 24 * 3600 * 1000;
    std::uint32_t appendsPerSecond_ = 300;
};

struct LogService
{
    LogSettings settings_;
    std::map<std::string, LogStream> streams_;
    std::int64_t outageUntilMs_ = 0;
    std::int64_t slowMs_ = 0;
    //! Appends that take effect while their answers are lost.
    std::uint32_t loseAnswers_ = 0;
    std::int64_t windowStartMs_ = 0;
    std::uint32_t windowAppends_ = 0;
    std::uint64_t appends_ = 0;
};

enum class AppendStatus { Appended, AnswerLost, TooMany, Down };

struct AppendAnswer
{
    AppendStatus status_ = AppendStatus::Down;
    std::uint64_t offset_ = 0;
};

struct ReadAnswer
{
    std::uint64_t first_ = 1;
    std::uint64_t next_ = 1;
    std::vector<LogRecord> records_;
};

bool isDown(const LogService &log, std::int64_t nowMs);
AppendAnswer appendRecord(LogService &log, const std::string &stream, std::string data,
                          std::int64_t nowMs);
//! Records from an offset on; nothing during an outage.
std::optional<ReadAnswer> readRecords(LogService &log, const std::string &stream,
                                      std::uint64_t from, std::size_t limit, std::int64_t nowMs);

} // namespace gypsumcroft::standins
