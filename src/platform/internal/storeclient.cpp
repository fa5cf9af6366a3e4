#include "platform/storeclient.h"

#include <set>

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace gypsumcroft::platform {

namespace json = boost::json;

namespace detail {
namespace {

//! Time until a response begins, and for each part of it; a long poll adds the wait that it
//! requests.
constexpr std::chrono::milliseconds ResponseTimeout {700};
//! Time for a whole response, whose parts may come slowly on a link that streams share.
constexpr std::chrono::milliseconds MaxReadTime {3000};
//! Size limit of a response body: enough for a megabyte of records in base64, with their keys and
//! framing.
constexpr std::uint64_t MaxResponseBytes = 4UL * 1024 * 1024;
//! Bounds of one read of the latest records. Reading fails beyond them.
constexpr std::size_t MaxPages = 64;
//! Attempts at a page after the first one. Where all gateways read a list of many pages at once,
//! reading it from the start again after each timeout would never come to an end.
constexpr std::size_t MaxPageAttempts = 4;
constexpr std::size_t MaxTopicBytes = 16UL * 1024 * 1024;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusGone = 410;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

std::string decodeBase64(std::string_view text)
{
    constexpr std::size_t Quad = 4;
    constexpr std::size_t BytesPerQuad = 3;
    if (text.size() % Quad != 0)
        return {};
    std::string bytes(text.size() / Quad * BytesPerQuad, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size) - padding);
    return bytes;
}

//! Why a read of the latest records must not go on with the page after the given key, or nothing.
const char *reasonToStop(const CompactedTopic &gathered, std::size_t pages,
                         const std::string &after, const std::string &next)
{
    std::size_t bytes = 0;
    for (const CompactedRecord &record : gathered.records_)
        bytes += record.key_.size() + (record.value_ ? record.value_->size() : 0);
    if (next == after)
        return "a page of /log-newest doesn't go on after the one before";
    if (pages >= MaxPages || bytes > MaxTopicBytes)
        return "too many pages of /log-newest";
    return nullptr;
}

std::uint64_t bigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
        value = value << 8U | static_cast<unsigned char>(byte);
    return value;
}

std::string failureReason(const http::ClientResult &result)
{
    if (result.response_)
        return "HTTP status " + std::to_string(result.response_->status_);
    return result.reason_.empty() ? "no response" : result.reason_;
}

//! The value as an unsigned number; nullopt for a negative one, a fraction, one out of range, and
//! for another type.
template <typename Number>
std::optional<Number> unsignedOf(const json::value *value)
{
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    boost::system::error_code error;
    const auto number = value->to_number<Number>(error);
    return error ? std::nullopt : std::optional<Number>(number);
}

//! Decodes one record of a page. A malformed one has no value, and no key if that is malformed.
CompactedRecord recordOf(const json::value &item)
{
    const json::object *record = item.if_object();
    const json::value *key = record == nullptr ? nullptr : record->if_contains("Key");
    const json::value *data = record == nullptr ? nullptr : record->if_contains("Value");
    CompactedRecord decoded;
    if (key == nullptr || !key->is_string())
        return decoded;
    decoded.key_.assign(key->as_string().data(), key->as_string().size());
    if (data != nullptr && data->is_string())
        decoded.value_ = decodeBase64({data->as_string().data(), data->as_string().size()});
    return decoded;
}

//! Appends one page of latest records to topic. Returns the key to pass as "After" for the next
//! page, an empty string after the last page, or nullopt for a malformed page.
std::optional<std::string> addPage(const std::string &body, CompactedTopic &topic)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    const json::object *page = error ? nullptr : value.if_object();
    const json::value *items = page == nullptr ? nullptr : page->if_contains("Items");
    const json::value *end = page == nullptr ? nullptr : page->if_contains("EndOffset");
    const auto endOffset = unsignedOf<std::uint64_t>(end);
    if (items == nullptr || !items->is_array() || !endOffset)
        return std::nullopt;
    std::string last;
    for (const json::value &item : items->as_array()) {
        topic.records_.push_back(recordOf(item));
        if (!topic.records_.back().key_.empty())
            last = topic.records_.back().key_;
    }
    // Records may be written between two pages. The end offset of the first page is returned, so
    // that a read from there returns all of them.
    if (topic.endOffset_ == 0)
        topic.endOffset_ = *endOffset;
    const json::value *more = page->if_contains("HasMore");
    const bool hasMore = more != nullptr && more->is_bool() && more->as_bool() && !last.empty();
    return hasMore ? last : std::string();
}

//! Decodes the body of /log-read: the end of the log, the first offset that it still has, which is
//! not used here, then for each record a big-endian length and the record, which is one byte of key
//! length, the key and the value. A record without a value deletes its key; one that is too short
//! for its key is skipped.
std::optional<RecordRange> decodeRange(std::string_view bytes, std::uint64_t from)
{
    if (bytes.size() < 2 * OffsetBytes)
        return std::nullopt;
    RecordRange span;
    span.nextOffset_ = from;
    const std::uint64_t end = bigEndian(bytes.substr(0, OffsetBytes));
    bytes.remove_prefix(2 * OffsetBytes);
    while (bytes.size() >= LengthBytes) {
        const std::uint64_t length = bigEndian(bytes.substr(0, LengthBytes));
        bytes.remove_prefix(LengthBytes);
        if (length > bytes.size())
            return std::nullopt;
        const std::string_view record = bytes.substr(0, length);
        bytes.remove_prefix(length);
        ++span.nextOffset_;
        const std::size_t keySize = record.empty() ? 0 : static_cast<unsigned char>(record.front());
        if (record.empty() || record.size() < 1 + keySize)
            continue;
        CompactedRecord keyed {std::string(record.substr(1, keySize)), std::nullopt};
        if (record.size() > 1 + keySize)
            keyed.value_ = std::string(record.substr(1 + keySize));
        span.records_.push_back(std::move(keyed));
    }
    span.hasMore_ = span.nextOffset_ < end;
    return span;
}

std::optional<GroupMembership> decodeMembership(const std::string &body, const std::string &topic)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *generation = object == nullptr ? nullptr : object->if_contains("Generation");
    const json::value *parts = object == nullptr ? nullptr : object->if_contains("parts");
    const auto number = unsignedOf<std::uint64_t>(generation);
    if (!number || parts == nullptr || !parts->is_array())
        return std::nullopt;
    GroupMembership membership;
    membership.generation_ = *number;
    for (const json::value &entry : parts->as_array()) {
        // Each row is an array of topic, partition and committed offset.
        const json::array *row = entry.if_array();
        if (row == nullptr || row->size() < 2 || !(*row)[0].is_string())
            return std::nullopt;
        const auto partition = unsignedOf<std::uint32_t>(&(*row)[1]);
        if (!partition)
            return std::nullopt;
        if ((*row)[0].as_string() == topic)
            membership.partitions_.push_back(*partition);
    }
    return membership;
}

//! Decodes rows of topic, partition, member and offset. The array of rows is either the whole
//! document or the value of a member of an object.
std::optional<std::vector<std::string>> decodeMembers(const std::string &body)
{
    constexpr std::size_t MemberColumn = 2;
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error)
        return std::nullopt;
    const json::array *rows = value.if_array();
    if (const json::object *object = value.if_object()) {
        for (const auto &entry : *object)
            rows = entry.value().is_array() ? &entry.value().as_array() : rows;
    }
    if (rows == nullptr)
        return std::nullopt;
    std::set<std::string> members;
    for (const json::value &entry : *rows) {
        const json::array *row = entry.if_array();
        if (row == nullptr || row->size() <= MemberColumn || !(*row)[MemberColumn].is_string())
            return std::nullopt;
        members.emplace((*row)[MemberColumn].as_string().c_str());
    }
    return std::vector<std::string>(members.begin(), members.end());
}

} // namespace
} // namespace detail

StoreClient::StoreClient(boost::asio::io_context &context, Address store)
    : store_(std::move(store)), client_(context)
{ }

void StoreClient::readLatest(const std::string &topic,
                             std::function<void(Result<CompactedTopic>)> callback)
{
    readLatestPage(topic, {}, {{}, 1, 1}, std::move(callback));
}

void StoreClient::readLatestPage(const std::string &topic, CompactedTopic gathered,
                                 const Page &page,
                                 std::function<void(Result<CompactedTopic>)> callback)
{
    http::HttpRequest request;
    request.path_ = "/log-newest";
    request.query_ = {{"Topic", topic}, {"part", "0"}};
    if (!page.after_.empty())
        request.query_["After"] = page.after_;
    client_.send(store_, std::move(request),
                 {detail::ResponseTimeout, false, detail::MaxResponseBytes, detail::MaxReadTime},
                 [this, topic, page, gathered = std::move(gathered),
                  callback = std::move(callback)](const http::ClientResult &result) mutable {
                     const bool failed
                             = !result.response_ || result.response_->status_ != detail::StatusOk;
                     if (failed && page.number_ > 1 && page.attempt_ < detail::MaxPageAttempts)
                         return readLatestPage(topic, std::move(gathered),
                                               {page.after_, page.number_, page.attempt_ + 1},
                                               std::move(callback));
                     if (failed)
                         return callback(failure<CompactedTopic>(detail::failureReason(result)));
                     const auto next = detail::addPage(result.response_->body_, gathered);
                     if (!next)
                         return callback(
                                 failure<CompactedTopic>("malformed response to /log-newest"));
                     if (next->empty())
                         return callback(success(std::move(gathered)));
                     if (const char *reason
                         = detail::reasonToStop(gathered, page.number_, page.after_, *next))
                         return callback(failure<CompactedTopic>(reason));
                     readLatestPage(topic, std::move(gathered), {*next, page.number_ + 1, 1},
                                    std::move(callback));
                 });
}

void StoreClient::read(const std::string &topic, std::uint64_t from, Duration wait,
                       std::function<void(Result<RecordRange>)> callback)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    http::HttpRequest request;
    request.path_ = "/log-read";
    request.query_ = {{"Topic", topic},
                      {"part", "0"},
                      {"From", std::to_string(from)},
                      {"WaitMs", std::to_string(waitMs.count())}};
    client_.send(store_, std::move(request),
                 {waitMs + detail::ResponseTimeout, false, detail::MaxResponseBytes,
                  waitMs + detail::MaxReadTime},
                 [from, callback = std::move(callback)](const http::ClientResult &result) {
                     if (result.response_ && result.response_->status_ == detail::StatusGone)
                         return callback(success(RecordRange {{}, from, true}));
                     if (!result.response_ || result.response_->status_ != detail::StatusOk)
                         return callback(failure<RecordRange>(detail::failureReason(result)));
                     auto span = detail::decodeRange(result.response_->body_, from);
                     callback(span ? success(std::move(*span))
                                   : failure<RecordRange>("malformed response to /log-read"));
                 });
}

void StoreClient::joinGroup(const GroupJoinRequest &join,
                            std::function<void(Result<GroupMembership>)> callback)
{
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(join.lifetime_);
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/log-join";
    request.headers_["Content-Type"] = "application/json";
    request.body_ = json::serialize(json::object {{"group", join.group_},
                                                  {"Member", join.member_},
                                                  {"Topics", json::array {join.topic_}},
                                                  {"TtlMs", lifetime.count()},
                                                  {"Generation", join.generation_}});
    client_.send(
            store_, std::move(request), {detail::ResponseTimeout, false, detail::MaxResponseBytes},
            [topic = join.topic_,
             callback = std::move(callback)](const http::ClientResult &result) {
                if (!result.response_ || result.response_->status_ != detail::StatusOk)
                    return callback(failure<GroupMembership>(detail::failureReason(result)));
                auto membership = detail::decodeMembership(result.response_->body_, topic);
                callback(membership ? success(std::move(*membership))
                                    : failure<GroupMembership>("malformed response to /log-join"));
            });
}

void StoreClient::leaveGroup(const std::string &group, const std::string &member,
                             std::function<void(std::optional<std::string>)> callback)
{
    http::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/log-leave";
    request.headers_["Content-Type"] = "application/json";
    request.body_ = json::serialize(json::object {{"group", group}, {"Member", member}});
    client_.send(
            store_, std::move(request), {detail::ResponseTimeout, false, detail::MaxResponseBytes},
            [callback = std::move(callback)](const http::ClientResult &result) {
                const bool succeeded
                        = result.response_ && result.response_->status_ == detail::StatusOk;
                callback(succeeded ? std::nullopt
                                   : std::optional<std::string>(detail::failureReason(result)));
            });
}

void StoreClient::listMembers(const std::string &group,
                              std::function<void(Result<std::vector<std::string>>)> callback)
{
    http::HttpRequest request;
    request.path_ = "/log-owners";
    request.query_ = {{"group", group}};
    client_.send(store_, std::move(request),
                 {detail::ResponseTimeout, false, detail::MaxResponseBytes},
                 [callback = std::move(callback)](const http::ClientResult &result) {
                     using Members = std::vector<std::string>;
                     if (!result.response_ || result.response_->status_ != detail::StatusOk)
                         return callback(failure<Members>(detail::failureReason(result)));
                     auto members = detail::decodeMembers(result.response_->body_);
                     callback(members ? success(std::move(*members))
                                      : failure<Members>("malformed response to /log-owners"));
                 });
}

} // namespace gypsumcroft::platform
