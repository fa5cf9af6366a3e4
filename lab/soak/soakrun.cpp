#include "soak/soakrun.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <thread>

#include <boost/asio.hpp>

#include "core/hash.h"
#include "soak/callers.h"
#include "soak/faultlink.h"
#include "soak/gatewaycare.h"

namespace gypsumcroft::lab {

namespace asio = boost::asio;

namespace detail {

using std::chrono::milliseconds;

constexpr milliseconds ReadyPatience {15000};
constexpr milliseconds MemoryPoll {250};
constexpr milliseconds EndPoll {50};
//! Callers are through with their last requests after the longest deadline and its margin.
constexpr milliseconds CallersPatience {8000};
constexpr milliseconds LinkSettleTime {1000};
const char *const LastingKey = "key";

struct Soak
{
    Soak(const SoakPlan &plan, const std::string &binary, const std::string &folder);
    void start();
    void setFaultTimers();
    void begin(const Fault &fault);
    void beginAt(CaredGateway &gateway, const Fault &fault);
    void end(const Fault &fault);
    void beginOrEndLinks(const Fault &fault, bool begin);
    void putState(bool revoke);
    bool wasCalmFor(std::uint32_t gateway, SoakTime from, SoakTime to) const;
    bool wasFaultAt(SoakTime from, SoakTime to, const std::function<bool(const Fault &)> &is) const;
    asio::awaitable<void> watch();
    asio::awaitable<void> finish();
    void judgeRest();

    SoakPlan plan_;
    Random random_;
    asio::io_context context_;
    standins::PlatformStandin platform_;
    std::vector<std::unique_ptr<FaultLink>> endpointLinks_;
    std::vector<std::unique_ptr<FaultLink>> storeLinks_;
    std::vector<std::unique_ptr<FaultLink>> callerLinks_;
    std::vector<CaredGateway> gateways_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;
    CallersState callers_;
    Revocations revocations_;
    std::uint64_t version_ = 1;
    SoakTime startedAt_;
    std::vector<Finding> findings_;
    std::uint64_t links_ = 0;
    bool watching_ = true;
    //! An interrupted run ends its processes too.
    asio::signal_set signals_ {context_, SIGINT, SIGTERM};
    std::atomic<bool> interrupted_ = false;
};

Soak::Soak(const SoakPlan &plan, const std::string &binary, const std::string &folder)
    : plan_(plan), random_ {plan.seed_}, platform_(plan.modelServers_, plan.plainServers_)
{
    const auto link = [&](auto &links, const Address &to) {
        links.push_back(std::make_unique<FaultLink>(context_, to, mixHash(plan.seed_, ++links_)));
        return links.back()->address();
    };
    platform_.setLongestWork(std::chrono::duration_cast<milliseconds>(plan.longestWork_));
    platform_.setEventGap(std::chrono::duration_cast<milliseconds>(plan.eventGap_));
    for (const std::string &server : platform_.servers())
        platform_.setEntryAddress(server, link(endpointLinks_, platform_.addressOf(server)));
    callers_.keys_ = {LastingKey};
    putState(false);
    gateways_.resize(plan.gateways_);
    for (std::uint32_t i = 0; i < plan.gateways_; ++i) {
        gateways_[i].number_ = i;
        gateways_[i].program_ = std::make_unique<GatewayProgram>(
                binary, folder, "g" + std::to_string(i + 1), link(storeLinks_, platform_.store()));
        callers_.gateways_.push_back(link(callerLinks_, gateways_[i].program_->callers_));
    }
    callers_.seed_ = plan.seed_;
    callers_.onFinding_ = [this](Finding finding) { findings_.push_back(std::move(finding)); };
    callers_.wasCalm_ = [this](std::uint32_t gateway, SoakTime from, SoakTime to) {
        return wasCalmFor(gateway, from, to);
    };
}

bool Soak::wasFaultAt(SoakTime from, SoakTime to,
                      const std::function<bool(const Fault &)> &is) const
{
    return std::any_of(plan_.faults_.begin(), plan_.faults_.end(), [&](const Fault &fault) {
        return startedAt_ + fault.at_ <= to
               && from <= startedAt_ + fault.at_ + fault.length_ + LinkSettleTime && is(fault);
    });
}

bool Soak::wasCalmFor(std::uint32_t gateway, SoakTime from, SoakTime to) const
{
    return wasCalm(gateways_[gateway], from, to) && !wasFaultAt(from, to, [&](const Fault &fault) {
               return fault.place_ == FaultPlace::CallerLink && fault.target_ == gateway;
           });
}

//! Waits until every gateway is ready and has answered a request, or gives up.
void Soak::start()
{
    signals_.async_wait([this](boost::system::error_code error, int) {
        interrupted_ = !error;
        if (interrupted_)
            context_.stop();
    });
    const auto isUp = [](const CaredGateway &gateway) {
        return gateway.program_->isReady()
               && ask(gateway.program_->callers_, "POST", "/quote/", "warm-up", LastingKey).status_
                          == "HTTP/1.1 200";
    };
    std::jthread links([this] { context_.run_for(ReadyPatience); });
    const SoakTime until = SoakClock::now() + ReadyPatience;
    for (const CaredGateway &gateway : gateways_) {
        while (!interrupted_ && !isUp(gateway) && SoakClock::now() < until)
            std::this_thread::sleep_for(EndPoll);
    }
    if (!interrupted_ && SoakClock::now() >= until)
        findings_.push_back({"gateways don't become ready", until, "", "", ""});
    context_.stop();
    links.join();
    context_.restart();
}

void Soak::setFaultTimers()
{
    startedAt_ = SoakClock::now();
    const auto add = [this](Duration at, std::function<void()> action) {
        timers_.push_back(std::make_unique<asio::steady_timer>(context_, startedAt_ + at));
        timers_.back()->async_wait(
                [action = std::move(action)](boost::system::error_code) { action(); });
    };
    for (const Fault &fault : plan_.faults_) {
        add(fault.at_, [this, fault] { begin(fault); });
        add(fault.at_ + fault.length_, [this, fault] { end(fault); });
    }
    add(plan_.length_, [this] { asio::co_spawn(context_, finish(), asio::detached); });
}

void Soak::beginOrEndLinks(const Fault &fault, bool begin)
{
    auto &links = fault.place_ == FaultPlace::CallerLink  ? callerLinks_
                  : fault.place_ == FaultPlace::StoreLink ? storeLinks_
                                                          : endpointLinks_;
    for (std::size_t i = 0; i < links.size(); ++i) {
        if (fault.target_ != Everywhere && fault.target_ != i)
            continue;
        begin ? links[i]->begin(fault.kind_) : links[i]->end(fault.kind_);
    }
}

void Soak::begin(const Fault &fault)
{
    if (fault.place_ == FaultPlace::Operator)
        return putState(fault.kind_ == FaultKind::RevokeKey);
    if (fault.place_ != FaultPlace::Gateway)
        return beginOrEndLinks(fault, true);
    for (CaredGateway &gateway : gateways_) {
        if (fault.target_ == Everywhere || fault.target_ == gateway.number_)
            beginAt(gateway, fault);
    }
}

void Soak::beginAt(CaredGateway &gateway, const Fault &fault)
{
    if (fault.kind_ == FaultKind::Pause)
        return pauseGateway(gateway, SoakClock::now());
    endGateway(context_, gateway, fault.kind_ == FaultKind::Kill ? SIGKILL : SIGTERM,
               std::chrono::duration_cast<milliseconds>(fault.length_), callers_.onFinding_);
}

void Soak::end(const Fault &fault)
{
    for (CaredGateway &gateway : gateways_) {
        const bool here = fault.target_ == Everywhere || fault.target_ == gateway.number_;
        if (fault.kind_ == FaultKind::Pause && here)
            resumeGateway(gateway, SoakClock::now());
    }
    if (fault.place_ != FaultPlace::Operator && fault.place_ != FaultPlace::Gateway)
        beginOrEndLinks(fault, false);
}

//! Each state brings a new key; the one before it goes or stays.
void Soak::putState(bool revoke)
{
    auto &keys = callers_.keys_;
    const std::string gone = revoke && keys.size() > 1 ? keys.back() : "";
    keys.push_back("key-" + std::to_string(version_));
    std::vector<std::string> valid;
    for (const std::string &key : keys) {
        if (key != gone && !revocations_.contains(key))
            valid.push_back(key);
    }
    platform_.putConfig(version_++, valid, randomBelow(random_, 2) == 0);
    if (!gone.empty())
        revocations_[gone] = SoakClock::now();
}

asio::awaitable<void> Soak::watch()
{
    asio::steady_timer timer(context_);
    while (watching_) {
        for (CaredGateway &gateway : gateways_)
            watchMemory(gateway, SoakClock::now(), callers_.onFinding_);
        timer.expires_after(MemoryPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

//! Lets the callers and the gateways end, each by itself.
asio::awaitable<void> Soak::finish()
{
    asio::steady_timer timer(context_);
    const auto allEnded = [this] {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](CaredGateway &gateway) { return gateway.program_->hasEnded(); });
    };
    callers_.stopping_ = true;
    const SoakTime until = SoakClock::now() + CallersPatience;
    while (callers_.running_ > 0 && SoakClock::now() < until) {
        timer.expires_after(EndPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (callers_.running_ > 0)
        findings_.push_back({"callers don't come to an end", until, "", "", ""});
    for (CaredGateway &gateway : gateways_) {
        while (gateway.stopping_) {
            timer.expires_after(EndPoll);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
    timer.expires_after(LinkSettleTime);
    co_await timer.async_wait(asio::use_awaitable);
    for (CaredGateway &gateway : gateways_)
        endGateway(context_, gateway, SIGTERM, std::nullopt, callers_.onFinding_);
    while (!allEnded()) {
        timer.expires_after(EndPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    watching_ = false;
    timer.expires_after(MemoryPoll);
    co_await timer.async_wait(asio::use_awaitable);
    context_.stop();
}

void Soak::judgeRest()
{
    for (const CaredGateway &gateway : gateways_) {
        const std::string log = gateway.program_->log();
        const auto at = log.rfind("event=stopped");
        if (at == std::string::npos || log.find(" cut=0", at) == std::string::npos)
            findings_.push_back({"work left in hand at the end", SoakClock::now(), "",
                                 "g" + std::to_string(gateway.number_ + 1), ""});
    }
    const auto unharmed = [this](const RequestRecord &request) {
        return wasUnharmed(gateways_[request.gateway_], request.sentAt_, request.endedAt_)
               && !wasFaultAt(request.sentAt_, request.endedAt_, [&](const Fault &fault) {
                      return fault.place_ == FaultPlace::EndpointLink
                             || (fault.place_ == FaultPlace::CallerLink
                                 && fault.target_ == request.gateway_);
                  });
    };
    auto runs = platform_.runs();
    std::erase_if(runs, [](const auto &run) { return run.request_ == "warm-up"; });
    for (Finding &finding : judgeRuns(callers_.requests_, runs, revocations_, unharmed))
        findings_.push_back(std::move(finding));
}

std::string lineOf(const Soak &soak, const Finding &finding)
{
    std::ostringstream line;
    const auto at = std::chrono::duration_cast<milliseconds>(finding.at_ - soak.startedAt_);
    line << "seed=" << soak.plan_.seed_ << " at=" << at.count() << "ms request=" << finding.request_
         << " gateway=" << finding.gateway_ << " endpoint=" << finding.endpoint_ << ": "
         << finding.what_;
    return line.str();
}

SoakResult resultOf(const Soak &soak)
{
    SoakResult result;
    for (const Finding &finding : soak.findings_)
        result.findings_.push_back(lineOf(soak, finding));
    result.requests_ = soak.callers_.requests_.size();
    for (const auto &[id, request] : soak.callers_.requests_)
        result.successes_ += request.ending_ == Ending::Answered && isSuccess(request.status_);
    result.faults_ = soak.plan_.faults_.size();
    for (const CaredGateway &gateway : soak.gateways_)
        result.peakBytes_ = std::max(result.peakBytes_, gateway.peakBytes_);
    return result;
}

} // namespace detail

SoakResult runSoak(const SoakPlan &plan, const std::string &binary, const std::string &folder)
{
    detail::Soak soak(plan, binary, folder);
    soak.start();
    if (soak.interrupted_)
        return {.interrupted_ = true};
    soak.setFaultTimers();
    asio::co_spawn(soak.context_, soak.watch(), asio::detached);
    for (std::uint32_t i = 1; i <= plan.callers_; ++i)
        startCaller(soak.context_, soak.callers_, i);
    soak.context_.run();
    if (soak.interrupted_)
        return {.interrupted_ = true};
    soak.judgeRest();
    return detail::resultOf(soak);
}

} // namespace gypsumcroft::lab
