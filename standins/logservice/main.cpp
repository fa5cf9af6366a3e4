//! Log service stand-in: docs/PROTOCOLS.md, "The platform's log".
#include <list>

#include <gflags/gflags.h>

#include "common/program.h"
#include "logservice/log.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_int64(retention_ms, 7LL * 24 * 3600 * 1000, "how long a record is kept");
DEFINE_int32(appends_per_second, 300, "appends taken in a second");
DEFINE_int64(append_us, 2000, "time for one append, in microseconds");

namespace json = boost::json;
using namespace gypsumcroft;
using namespace gypsumcroft::standins;

namespace {

constexpr std::size_t PageLimit = 1000;

//! A read that waits for the next record.
struct WaitingRead
{
    std::string stream_;
    std::uint64_t from_ = 0;
    std::shared_ptr<http::Exchange> exchange_;
    std::uint64_t id_ = 0;
};

struct LogProgram
{
    Program program_;
    LogService log_;
    std::list<WaitingRead> waiting_;
    std::uint64_t nextId_ = 1;
};

//! Name of the stream in "/v1/streams/NAME/records".
std::string streamOf(const std::string &path)
{
    const std::string prefix = "/v1/streams/";
    const auto end = path.find('/', prefix.size());
    return path.substr(prefix.size(), end - prefix.size());
}

json::value pageOf(const LogProgram &self, const ReadAnswer &answer)
{
    json::array records;
    for (const LogRecord &record : answer.records_)
        records.push_back(
                {{"offset", record.offset_}, {"time", record.timeMs_}, {"data", record.data_}});
    return {{"first", answer.first_},
            {"next", answer.next_},
            {"now", wallMilliseconds()},
            {"retentionMs", self.log_.settings_.retentionMs_},
            {"records", records}};
}

void answerRead(LogProgram &self, const std::string &stream, std::uint64_t from,
                const std::shared_ptr<http::Exchange> &exchange)
{
    const auto answer = readRecords(self.log_, stream, from, PageLimit, wallMilliseconds());
    if (!answer)
        exchange->respond(jsonAnswer({{"error", "outage"}}, 503));
    else
        exchange->respond(jsonAnswer(pageOf(self, *answer)));
}

void wakeReaders(LogProgram &self, const std::string &stream)
{
    for (auto at = self.waiting_.begin(); at != self.waiting_.end();) {
        const auto current = at++;
        if (current->stream_ != stream)
            continue;
        answerRead(self, stream, current->from_, current->exchange_);
        self.waiting_.erase(current);
    }
}

void read(LogProgram &self, const http::HttpRequest &request,
          const std::shared_ptr<http::Exchange> &exchange)
{
    const std::string stream = streamOf(request.path_);
    const auto query = [&](const char *name) {
        const auto found = request.query_.find(name);
        return found == request.query_.end() ? std::uint64_t {0}
                                             : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    const std::uint64_t from = query("from");
    const auto waitMs = static_cast<std::int64_t>(query("waitMs"));
    const bool atEnd = from >= self.log_.streams_[stream].next_;
    if (!atEnd || waitMs == 0 || isDown(self.log_, wallMilliseconds())) {
        self.program_.after(
                std::chrono::milliseconds(self.log_.slowMs_),
                [&self, stream, from, exchange] { answerRead(self, stream, from, exchange); });
        return;
    }
    const std::uint64_t id = self.nextId_++;
    self.waiting_.push_back({stream, from, exchange, id});
    self.program_.after(std::chrono::milliseconds(waitMs), [&self, id] {
        const auto found = std::find_if(self.waiting_.begin(), self.waiting_.end(),
                                        [&](const auto &waiting) { return waiting.id_ == id; });
        if (found == self.waiting_.end())
            return;
        answerRead(self, found->stream_, found->from_, found->exchange_);
        self.waiting_.erase(found);
    });
}

void append(LogProgram &self, const http::HttpRequest &request,
            const std::shared_ptr<http::Exchange> &exchange)
{
    const std::string stream = streamOf(request.path_);
    const auto delay = std::chrono::microseconds(FLAGS_append_us)
                       + std::chrono::milliseconds(self.log_.slowMs_);
    self.program_.after(delay, [&self, stream, exchange, body = request.body_] {
        const AppendAnswer answer = appendRecord(self.log_, stream, body, wallMilliseconds());
        switch (answer.status_) {
        case AppendStatus::Appended:
            exchange->respond(jsonAnswer({{"offset", answer.offset_}}));
            break;
        case AppendStatus::AnswerLost:
            break;
        case AppendStatus::TooMany:
            exchange->respond(jsonAnswer({{"error", "too many appends"}}, 429));
            return;
        case AppendStatus::Down:
            exchange->respond(jsonAnswer({{"error", "outage"}}, 503));
            return;
        }
        wakeReaders(self, stream);
    });
}

void faults(LogProgram &self, const http::HttpRequest &request,
            const std::shared_ptr<http::Exchange> &exchange)
{
    const json::object body = bodyObject(request);
    if (body.contains("outageMs"))
        self.log_.outageUntilMs_ = wallMilliseconds() + numberOr(body, "outageMs", 0);
    self.log_.slowMs_ = numberOr(body, "slowMs", self.log_.slowMs_);
    self.log_.loseAnswers_
            = static_cast<std::uint32_t>(numberOr(body, "loseAnswers", self.log_.loseAnswers_));
    exchange->respond(jsonAnswer({{"ok", true}}));
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    LogProgram self;
    self.log_.settings_.retentionMs_ = FLAGS_retention_ms;
    self.log_.settings_.appendsPerSecond_ = static_cast<std::uint32_t>(FLAGS_appends_per_second);
    self.program_.route("GET /v1/streams/", [&self](const auto &request, auto exchange) {
        read(self, request, exchange);
    });
    self.program_.route("POST /v1/streams/", [&self](const auto &request, auto exchange) {
        append(self, request, exchange);
    });
    self.program_.route("POST /faults", [&self](const auto &request, auto exchange) {
        faults(self, request, exchange);
    });
    self.program_.route("GET /stats", [&self](const auto &, auto exchange) {
        exchange->respond(jsonAnswer({{"appends", self.log_.appends_}}));
    });
    return self.program_.run(FLAGS_listen);
}
