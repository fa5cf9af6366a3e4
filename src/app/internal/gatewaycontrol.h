//! Carries out the gateway's control core: the platform's store and endpoints' orders on the
//! control thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "documents/gatewaysettings.h"
#include "gateway/control.h"
#include "gatewaytraffic.h"
#include "platform/endpointclient.h"
#include "platform/storeclient.h"
#include "ratelimitedlog.h"
#include "runtime.h"
#include "wire/mesh.h"

namespace gypsumcroft::detail {

class GatewayControlLoop
{
public:
    using Publish = std::function<void(std::shared_ptr<const GatewayView>)>;
    GatewayControlLoop(asio::io_context &context, const GatewaySettings &settings,
                       std::uint64_t incarnation, Publish publish);

    Result<Address> listen(const Address &mesh);
    void start();
    //! Takes the settings that may change in a running process.
    void applySettings(const GatewaySettings &settings);
    void note(TrafficNote note);
    //! The process is stopping; the lease goes to another.
    void beginStop();
    bool isReady() const { return isGatewayReady(control_, monotonicNow()); }
    const GatewayControl &state() const { return control_; }
    //! Number of entries of the endpoint list that name no endpoint.
    std::size_t unreadableEntries() const { return unreadable_.size(); }

private:
    void readNewestConfig();
    void waitForConfig(Duration wait);
    void configFailed(const std::string &reason);
    void takeConfig(const std::vector<platform::CompactedRecord> &records, TimePoint asked);
    void readEndpoints();
    void takeEndpoints(const platform::CompactedTopic &topic, TimePoint asked);
    void logUnreadable(const std::map<std::string, std::string> &unreadable);
    Duration tick();
    void logLoad(TimePoint now);

    void perform();
    void perform(GatewayControlEffect &effect);
    void join(const JoinGroup &join);
    void leave();
    void askPeers();
    void onDatagram(Datagram datagram);
    void ask(const RequestStatusReport &ask);
    void order(const SendLoadOrder &order);
    void check(const CheckEndpoint &check);

    asio::io_context &context_;
    GatewayControl control_;
    std::string member_;
    std::uint32_t topicPartitions_;
    Publish publish_;
    std::uint64_t configNext_ = 0;
    platform::StoreClient store_;
    platform::EndpointClient endpoints_;
    RateLimitedLog garbage_;
    RateLimitedLog errors_;
    //! Reason for which an entry of the endpoint list could not be read, by its key.
    std::map<std::string, std::string> unreadable_;
    DatagramSocket datagrams_;
    TimePoint loadLoggedAt_;
    Duration processorTime_ {};
    std::optional<Ticker> ticker_;
};

} // namespace gypsumcroft::detail
