//! Virtual front end, for tests only: one thread, virtual time and a seeded network drive the real
//! cores over the stand-ins' arithmetic.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "agent/control.h"
#include "agent/traffic.h"
#include "entry/control.h"
#include "entry/traffic.h"
#include "evidence.h"
#include "logservice/log.h"
#include "naive.h"
#include "plainservice/service.h"
#include "stageengine/engine.h"

namespace gypsumcroft::lab {

//! Delays and faults of the network.
struct NetworkOptions
{
    Duration delay_ = std::chrono::microseconds(150);
    Duration jitter_ = std::chrono::microseconds(100);
    Duration callerDelay_ = std::chrono::milliseconds(1);
    //! Shares of messages that are repeated, or held back so that later ones overtake them.
    double repeatShare_ = 0;
    double lateShare_ = 0;
    Duration lateMost_ = std::chrono::milliseconds(300);
    double datagramLoss_ = 0;
};

struct LogOptions
{
    Duration appendDelay_ = std::chrono::milliseconds(2);
    Duration readDelay_ = std::chrono::milliseconds(1);
    standins::LogSettings settings_;
};

struct FleetOptions
{
    std::uint64_t seed_ = 1;
    NetworkOptions network_;
    LogOptions log_;
    EntryLimits entryLimits_;
    AgentLimits agentLimits_;
    ClaimsLimits claimsLimits_;
    //! How late the load figures are that agents put into heartbeats.
    Duration reportLag_ {};
    //! Entries decide naively.
    bool naive_ = false;
};

//! A simulated process: alive, frozen or dead.
struct Node
{
    std::string name_;
    Address address_;
    FailureDomainId domain_;
    bool alive_ = true;
    bool frozen_ = false;
    bool draining_ = false;
    bool stopped_ = false;
    std::uint64_t generation_ = 1;
    std::vector<std::function<void()>> deferred_;
};

struct EntryNode : Node
{
    EntryControl control_;
    EntryTraffic traffic_;
    std::shared_ptr<const RoutingView> view_;
    //! Requests in hand, by the index of their caller's record.
    std::map<RequestId, std::size_t> callers_;
    bool readScheduled_ = false;
    //! Set for comparison: decides in place of the traffic core.
    std::optional<NaiveEntry> naive_;
};

struct PendingStep
{
    RunStep step_;
    std::string agent_;
    std::uint64_t agentGeneration_ = 0;
    std::uint64_t id_ = 0;
};

struct EndpointNode : Node
{
    EndpointKind kind_ = EndpointKind::Stage;
    EndpointReport report_;
    standins::StageEngine engine_;
    standins::PlainService service_;
    std::vector<PendingStep> waiting_;
    std::uint32_t running_ = 0;
    std::uint32_t loseAnswers_ = 0;
    Duration callTime_ = std::chrono::milliseconds(3);
    bool leaving_ = false;
};

struct AgentNode : Node
{
    AgentControl control_;
    AgentTraffic traffic_;
    std::shared_ptr<const AgentView> view_;
    std::string endpoint_;
    bool readScheduled_ = false;
};

class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    TimePoint now() const { return now_; }
    void at(TimePoint time, std::function<void()> action);
    void runUntil(TimePoint time);

    void addEntry(const std::string &name, const std::string &domain);
    //! Adds an endpoint with its agent; both carry the name.
    void addStage(const std::string &name, const std::string &domain,
                  const standins::EngineSettings &settings);
    void addService(const std::string &name, const std::string &domain, const std::string &service,
                    std::uint32_t slots);

    //! Publishes as an operator does; the verdict is in the configuration states.
    void publish(const ConfigDocument &document, LogOffset replaces, const std::string &id);
    void appendSnapshot(const ConfigSnapshot &snapshot);
    void appendRaw(const std::string &stream, const std::string &text);

    //! Sends a request and returns the index of its record.
    std::size_t send(const std::string &entry, CallerRecord request);
    //! The caller of a record closes its connection.
    void closeCaller(std::size_t record);

    void killEntry(const std::string &name);
    void startEntry(const std::string &name);
    void drainEntry(const std::string &name);
    void killAgent(const std::string &name);
    void startAgent(const std::string &name);
    void drainAgent(const std::string &name);
    void killEndpoint(const std::string &name);
    void startEndpoint(const std::string &name);
    void freeze(const std::string &name);
    void thaw(const std::string &name);
    void cutLink(const std::string &left, const std::string &right);
    void healLink(const std::string &left, const std::string &right);
    void slowLink(const std::string &left, const std::string &right, Duration delay);
    void setLeaving(const std::string &endpoint);
    void outage(Duration length);

    std::map<std::string, std::unique_ptr<EntryNode>> entries_;
    std::map<std::string, std::unique_ptr<AgentNode>> agents_;
    std::map<std::string, std::unique_ptr<EndpointNode>> endpoints_;
    standins::LogService log_;
    Duration logSlow_ {};
    std::vector<CallerRecord> records_;
    std::vector<LayerRun> layerRuns_;
    //! Everything that a judge needs; moves the records out.
    Evidence takeEvidence();
    std::uint64_t events_ = 0;
    //! Lines that the cores logged, kept when keepLog_ is set.
    std::vector<std::string> logLines_;
    bool keepLog_ = false;
    bool keepLayerRuns_ = true;
    Random random_;
    FleetOptions options_;

private:
    struct Event
    {
        TimePoint time_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;
        bool operator<(const Event &other) const
        {
            return time_ != other.time_ ? time_ > other.time_ : order_ > other.order_;
        }
    };

    void after(Duration delay, std::function<void()> action);
    //! Runs on the node unless it died meanwhile; waits while it is frozen.
    void deliver(Node &node, Duration delay, std::function<void()> action);
    void runOn(Node &node, std::uint64_t generation, const std::function<void()> &action);
    Node *nodeAt(const Address &address);
    Node *nodeNamed(const std::string &name);
    bool isCut(const std::string &left, const std::string &right) const;
    Duration netDelay(const Node &from, const Node &to);
    std::int64_t logNow() const;

    void sendMessage(Node &from, const Address &to, const Message &message);
    void deliverMessage(Node &from, Node &to, const Message &message, Duration delay);
    void sendDatagram(Node &from, const Address &to, const Datagram &datagram);
    void receiveMessage(Node &to, const Message &message);
    void peerDown(Node &node, const Address &peer);
    void tellPeersOfDeath(const Node &dead);

    template <typename Action>
    void entryTraffic(EntryNode &entry, const Action &action);
    template <typename Action>
    void agentTraffic(AgentNode &agent, const Action &action);
    void flushEntry(EntryNode &entry);
    void flushEntryControl(EntryNode &entry);
    void performEntryControl(EntryNode &entry, EntryControlEffect &effect);
    void flushAgent(AgentNode &agent);
    void flushAgentControl(AgentNode &agent);
    void performAgentControl(AgentNode &agent, AgentControlEffect &effect);
    void performEntry(EntryNode &entry, EntryEffect &effect);
    void performAgent(AgentNode &agent, AgentEffect &effect);
    void keepLine(const Node &node, const LogEvent &event);

    void agentDown(EntryNode &entry, const Address &agent);
    void naiveMessage(EntryNode &entry, const Message &message);
    void tickEntry(EntryNode &entry);
    void tickEntryControl(EntryNode &entry);
    void tickAgent(AgentNode &agent);
    void tickAgentControl(AgentNode &agent);
    void pollEndpoint(AgentNode &agent);
    void resetEntry(EntryNode &entry);
    void resetAgent(AgentNode &agent);

    void appendToLog(Node &node, const std::string &stream, const std::string &text,
                     const std::function<void(bool ok)> &done);
    void wakeReaders();
    void pollConfig(EntryNode &entry);
    void pollClaims(AgentNode &agent);
    void readConfig(EntryNode &entry);
    void readClaims(AgentNode &agent);
    ClaimsPage claimsPage(LogOffset from, const standins::ReadAnswer &answer) const;

    void runEngineStep(AgentNode &agent, const RunStep &step);
    void startSteps(EndpointNode &endpoint);
    void finishStep(EndpointNode &endpoint, const PendingStep &pending);
    void failSteps(EndpointNode &endpoint);
    void callEndpoint(AgentNode &agent, const CallService &call);
    void finishCall(AgentNode &agent, EndpointNode &endpoint, const CallService &call);
    void resetEngine(AgentNode &agent);
    void endCaller(EntryNode &entry, const RequestId &request, Ending ending);
    void addAgent(const std::string &name, const std::string &domain);

    TimePoint now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Event> queue_;
    std::uint16_t nextPort_ = 1;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t nextStep_ = 1;
    std::uint64_t incarnation_ = 1;
    std::map<std::string, Node *> byName_;
    std::map<Address, Node *> byAddress_;
    std::set<std::pair<std::string, std::string>> connections_;
    std::map<std::pair<std::string, std::string>, TimePoint> lastDelivery_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::pair<std::string, std::string>, std::vector<Message>> held_;
    std::map<std::pair<std::string, std::string>, Duration> slow_;
    //! Steps in hand at engines, by id.
    std::map<std::uint64_t, PendingStep> runningSteps_;
    //! Batches of the claims stream, kept decoded.
    std::map<std::uint64_t, ClaimBatch> claimBatches_;
    std::map<std::uint64_t, ConfigRecord> configRecords_;
};

//! Stands for the hash of an organisation's only API key.
ApiKeyHash apiKeyOf(const std::string &organisation);

//! Settings with which every scenario starts: fast detection, small limits.
FleetOptions defaultFleetOptions(std::uint64_t seed);

} // namespace gypsumcroft::lab
