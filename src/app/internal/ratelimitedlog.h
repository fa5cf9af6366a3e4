//! Logs at most a few lines of one kind in a second and says how many were left out.
#pragma once

#include <mutex>
#include <string>

#include "app/log.h"
#include "core/units.h"

namespace gypsumcroft::detail {

class RateLimitedLog
{
public:
    //! Counts the event and logs it if no line was written within the last second.
    void warn(LogLine line, TimePoint now)
    {
        const std::lock_guard lock(mutex_);
        ++count_;
        ++leftOut_;
        if (now < nextAt_)
            return;
        GC_LOG_WARNING(line.add("count", leftOut_));
        leftOut_ = 0;
        nextAt_ = now + std::chrono::seconds(1);
    }

    std::uint64_t count() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

private:
    mutable std::mutex mutex_;
    std::uint64_t count_ = 0;
    std::uint64_t leftOut_ = 0;
    TimePoint nextAt_;
};

} // namespace gypsumcroft::detail
