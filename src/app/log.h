//! Logging: one line of key=value pairs for each event.
#pragma once

#include <string>

#include "core/logline.h"

namespace gypsumcroft {

//! Sends lines of this level and above to the standard output. Call once.
void startLogging(LogLevel least);
//! Writes what is still waiting, for as long as someone reads it; false if lines were left.
bool stopLogging();
//! Writes a line with time and level in front. Never blocks: a full buffer drops lines.
void writeLog(LogLevel level, const std::string &text);

} // namespace gypsumcroft

#define GC_LOG(level, line) ::gypsumcroft::writeLog(level, (line).text())
#define GC_LOG_DEBUG(line) GC_LOG(::gypsumcroft::LogLevel::Debug, line)
#define GC_LOG_INFO(line) GC_LOG(::gypsumcroft::LogLevel::Info, line)
#define GC_LOG_WARNING(line) GC_LOG(::gypsumcroft::LogLevel::Warning, line)
#define GC_LOG_ERROR(line) GC_LOG(::gypsumcroft::LogLevel::Error, line)
