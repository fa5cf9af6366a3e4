//! The real processes of a fleet on loopback, for tests: started, signalled and ended by id.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/units.h"

namespace gypsumcroft::lab {

//! Where the built programs are.
struct ProgramPaths
{
    std::string gypsumcroft_;
    std::string standins_;
};

struct ChildProcess
{
    pid_t pid_ = 0;
    std::vector<std::string> command_;
    Address http_;
    Address operators_;
    bool running_ = false;
    int exitCode_ = -1;
};

struct ProcessFleetOptions
{
    std::uint32_t entries_ = 2;
    std::uint32_t pipelines_ = 1;
    std::uint32_t stages_ = 4;
    std::uint32_t layers_ = 8;
    std::uint32_t services_ = 1;
    std::uint32_t slots_ = 8;
    Duration costPerToken_ = std::chrono::milliseconds(2);
    std::uint32_t claimsBatch_ = 256;
    std::uint32_t appendsPerSecond_ = 300;
};

class ProcessFleet
{
public:
    ProcessFleet(ProgramPaths paths, ProcessFleetOptions options);
    //! Ends every process that is still there and removes the working folder.
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    //! Starts the stand-ins, the entries and the agents.
    void startAll();
    //! Starts a process again that has ended, with its old settings.
    void restart(const std::string &name);
    void signal(const std::string &name, int number);
    //! Reaps the process if it has ended; true when it is gone.
    bool hasEnded(const std::string &name);
    const ChildProcess &child(const std::string &name) const { return children_.at(name); }
    std::vector<std::string> names(const std::string &prefix) const;

    //! Settings file of an entry or an agent.
    std::string settingsFile(const std::string &name) const;
    //! Effects of all plain services, with those of dead ones.
    std::map<std::string, std::uint32_t> effects() const;
    Address log() const;
    const std::string &folder() const { return folder_; }
    const std::string &token() const { return token_; }
    //! Resident memory in bytes, and processor time used so far.
    std::uint64_t residentBytes(const std::string &name) const;
    Duration processorTime(const std::string &name) const;

private:
    void spawn(const std::string &name);
    void addStandins();
    void addEntry(std::uint32_t number);
    void addAgent(const std::string &name, const std::string &kind, const std::string &domain,
                  const Address &endpoint);
    std::string platformJson() const;
    std::string entriesJson() const;

    ProgramPaths paths_;
    ProcessFleetOptions options_;
    std::string folder_;
    std::string token_ = "test-token";
    std::map<std::string, ChildProcess> children_;
    std::vector<std::string> order_;
    std::vector<Address> entryMesh_;
};

//! Starts a program whose standard output and error are appended to a file; nothing if it can't be
//! started.
std::optional<pid_t> startProgram(std::vector<std::string> words, const std::string &output);

//! A TCP port of loopback that was free a moment ago.
std::uint16_t freePort();

} // namespace gypsumcroft::lab
