//! The one client of the platform's metadata store.
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

//! Where the operator's desired state stands, under ConfigKey.
inline const std::string ConfigTopic = "keyed.op";
inline const std::string ConfigKey = "config";
//! Where servers register, each under its id.
inline const std::string EndpointTopic = "keyed.servers";

//! Newest record of one key.
struct KeyedRecord
{
    std::string key_;
    //! Nothing when the record deletes the key.
    std::optional<std::string> value_;
};

//! The newest record of every key, and where to read on.
struct KeyedTopic
{
    std::vector<KeyedRecord> records_;
    std::uint64_t end_ = 0;
};

//! Records from an offset on.
struct KeyedSpan
{
    std::vector<KeyedRecord> records_;
    std::uint64_t next_ = 0;
    //! The records asked for are gone: read the newest of every key instead.
    bool expired_ = false;
};

struct Membership
{
    std::uint64_t generation_ = 0;
    //! Partitions of the topic that this member holds.
    std::vector<std::uint32_t> partitions_;
};

struct JoinRequest
{
    std::string group_;
    std::string member_;
    std::string topic_;
    Duration lifetime_ {};
    std::uint64_t generation_ = 0;
};

//! Use it on its io_context's thread. A callback gets a value or the reason why there is none.
class StoreClient
{
public:
    StoreClient(boost::asio::io_context &context, Address store);

    void newest(const std::string &topic, std::function<void(Result<KeyedTopic>)> callback);
    //! Answers as soon as there is a record at from, or with none after wait.
    void read(const std::string &topic, std::uint64_t from, Duration wait,
              std::function<void(Result<KeyedSpan>)> callback);
    void join(const JoinRequest &request, std::function<void(Result<Membership>)> callback);
    //! The group deals the member's partitions to the others. The callback gets a reason on
    //! failure.
    void leave(const std::string &group, const std::string &member,
               std::function<void(std::optional<std::string>)> callback);
    //! Names of a group's members that hold a partition.
    void members(const std::string &group,
                 std::function<void(Result<std::vector<std::string>>)> callback);

private:
    void newestPage(const std::string &topic, KeyedTopic gathered, const std::string &after,
                    std::function<void(Result<KeyedTopic>)> callback);

    Address store_;
    http::Client client_;
};

} // namespace gypsumcroft::platform
