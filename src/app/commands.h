//! The sub-commands that are not daemons. Each returns the process's exit code.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace gypsumcroft {

//! Checks settings, templates and parameter sets; prints every finding with its place.
int runCheck(const std::vector<std::string> &files);

struct PublishOptions
{
    Address log_;
    std::string file_;
    std::chrono::milliseconds timeout_ {30000};
    //! The version that the document was made from; the one in force when the log is read if unset.
    std::optional<LogOffset> replaces_;
};

//! Appends a document and waits until the log's order has accepted or refused it.
int runPublish(const PublishOptions &options);

//! Asks a process's operators' address and prints the answer.
int runOperatorRequest(const Address &address, const std::string &method, const std::string &path,
                       const std::string &token, const std::string &body = {});

} // namespace gypsumcroft
