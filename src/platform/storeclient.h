//! HTTP client of the platform's metadata store, whose topics are compacted logs of keyed records.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "core/units.h"
#include "http/client.h"

namespace gypsumcroft::platform {

//! Topic with the operator's desired state, under DesiredStateKey.
inline const std::string DesiredStateTopic = "keyed.op";
inline const std::string DesiredStateKey = "config";
//! Topic in which each server registers under its id.
inline const std::string EndpointTopic = "keyed.servers";

//! One record of a compacted topic.
struct CompactedRecord
{
    std::string key_;
    //! nullopt when the record deletes the key or can't be read.
    std::optional<std::string> value_;
};

//! The latest record of every key of a topic.
struct CompactedTopic
{
    std::vector<CompactedRecord> records_;
    //! Offset from which to read the records that follow.
    std::uint64_t endOffset_ = 0;
};

//! Consecutive records of a topic.
struct RecordRange
{
    std::vector<CompactedRecord> records_;
    //! Offset of the record after the last one.
    std::uint64_t nextOffset_ = 0;
    //! The store had more records than it returned at once.
    bool hasMore_ = false;
    //! The store no longer has the requested offset: read the latest record of every key instead.
    bool expired_ = false;
};

//! This process's membership in a consumer group of the store.
struct GroupMembership
{
    std::uint64_t generation_ = 0;
    //! Partitions of the topic that the store assigned to this member.
    std::vector<std::uint32_t> partitions_;
};

struct GroupJoinRequest
{
    std::string group_;
    std::string member_;
    std::string topic_;
    Duration lifetime_ {};
    std::uint64_t generation_ = 0;
};

//! Not thread-safe: call it on the thread that runs its io_context. Callbacks run there too and get
//! a value, or the reason of the failure.
class StoreClient
{
public:
    StoreClient(boost::asio::io_context &context, Address store);

    //! Reads the latest record of every key.
    void readLatest(const std::string &topic, std::function<void(Result<CompactedTopic>)> callback);
    //! Long poll: the callback runs as soon as there are records from offset from on, or without
    //! any after wait. Of many records only the first ones are returned.
    void read(const std::string &topic, std::uint64_t from, Duration wait,
              std::function<void(Result<RecordRange>)> callback);
    void joinGroup(const GroupJoinRequest &request,
                   std::function<void(Result<GroupMembership>)> callback);
    //! Leaves the group, which then assigns the member's partitions to the other members. The
    //! callback gets the reason of a failure, or nullopt on success.
    void leaveGroup(const std::string &group, const std::string &member,
                    std::function<void(std::optional<std::string>)> callback);
    //! Names of the group's members that have at least one partition.
    void listMembers(const std::string &group,
                     std::function<void(Result<std::vector<std::string>>)> callback);

private:
    //! A page of a read of the latest records.
    struct Page
    {
        //! Key that the page goes on after; empty for the first page.
        std::string after_;
        std::size_t number_ = 1;
        std::size_t attempt_ = 1;
    };
    void readLatestPage(const std::string &topic, CompactedTopic gathered, const Page &page,
                        std::function<void(Result<CompactedTopic>)> callback);

    Address store_;
    http::Client client_;
};

} // namespace gypsumcroft::platform
