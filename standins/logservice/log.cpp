#include "logservice/log.h"

#include <algorithm>

namespace gypsumcroft::standins {

namespace detail {

constexpr std::int64_t RateWindowMs = 1000;

void dropExpired(const LogService &log, LogStream &stream, std::int64_t nowMs)
{
    while (!stream.records_.empty()
           && stream.records_.front().timeMs_ + log.settings_.retentionMs_ <= nowMs)
        stream.records_.pop_front();
}

bool takeAppend(LogService &log, std::int64_t nowMs)
{
    if (nowMs - log.windowStartMs_ >= RateWindowMs) {
        log.windowStartMs_ = nowMs;
        log.windowAppends_ = 0;
    }
    return ++log.windowAppends_ <= log.settings_.appendsPerSecond_;
}

} // namespace detail

bool isDown(const LogService &log, std::int64_t nowMs)
{
    return nowMs < log.outageUntilMs_;
}

AppendAnswer appendRecord(LogService &log, const std::string &stream, std::string data,
                          std::int64_t nowMs)
{
    if (isDown(log, nowMs))
        return {AppendStatus::Down, 0};
    if (!detail::takeAppend(log, nowMs))
        return {AppendStatus::TooMany, 0};
    LogStream &to = log.streams_[stream];
    ++log.appends_;
    const std::uint64_t offset = to.next_++;
    to.records_.push_back({offset, nowMs, std::move(data)});
    if (log.loseAnswers_ == 0)
        return {AppendStatus::Appended, offset};
    --log.loseAnswers_;
    return {AppendStatus::AnswerLost, offset};
}

std::optional<ReadAnswer> readRecords(LogService &log, const std::string &stream,
                                      std::uint64_t from, std::size_t limit, std::int64_t nowMs)
{
    if (isDown(log, nowMs))
        return std::nullopt;
    LogStream &source = log.streams_[stream];
    detail::dropExpired(log, source, nowMs);
    ReadAnswer answer;
    answer.next_ = source.next_;
    answer.first_ = source.records_.empty() ? source.next_ : source.records_.front().offset_;
    const std::uint64_t start = std::max(from, answer.first_);
    for (std::uint64_t offset = start; offset < source.next_ && answer.records_.size() < limit;
         ++offset)
        answer.records_.push_back(source.records_[offset - answer.first_]);
    return answer;
}

} // namespace gypsumcroft::standins
