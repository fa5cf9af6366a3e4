//! A gateway as a process on loopback.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "core/ids.h"

namespace gypsumcroft::lab {

struct Answer
{
    std::string status_;
    std::string text_;
    //! See isWholeResponse().
    bool whole_ = false;
};

//! Whether the text is a valid response, complete and with nothing behind it.
bool isWholeResponse(const std::string &text);

//! Sends one request, with the given parts in its prompt, on a connection of its own and waits for
//! the answer.
Answer ask(const Address &to, const std::string &method, const std::string &path,
           const std::string &id, const std::string &key, const std::string &promptParts = {});

class GatewayProgram
{
public:
    //! Writes the settings, with further members given as JSON text, and starts the process.
    GatewayProgram(const std::string &binary, const std::string &folder, const std::string &name,
                   const Address &store, const std::string &moreSettings = {});
    //! Ends the process at once if it is still there.
    ~GatewayProgram();
    GatewayProgram(const GatewayProgram &) = delete;
    GatewayProgram &operator=(const GatewayProgram &) = delete;

    //! Starts the process again after its end.
    void restart();
    //! False if the process is gone.
    bool signal(int number) const;
    //! Stops the process with SIGSTOP and waits until none of its threads runs any more. False if
    //! the process is gone.
    bool holdUp();
    //! Reaps the process if it has ended.
    bool hasEnded();
    //! Of the last process that ended; negative for the signal that ended it.
    int exitCode() const { return exitCode_; }
    bool isReady() const;
    std::string log() const;
    std::string settings() const;
    void writeSettings(const std::string &text) const;
    //! The most memory that the running process has held; 0 if it is gone.
    std::uint64_t peakBytes() const;
    //! Number of file descriptors that the running process has open; 0 if it is gone.
    std::size_t openDescriptors() const;

    Address callers_;
    Address ready_;
    Address metrics_;

private:
    void noteEnd(int status);

    std::vector<std::string> command_;
    std::string settingsFile_;
    std::string log_;
    pid_t pid_ = -1;
    int exitCode_ = 0;
};

} // namespace gypsumcroft::lab
