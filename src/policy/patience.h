//! How long callers wait for a stream.
#pragma once

#include "core/units.h"

namespace gypsumcroft {

//! Time without an event after which a caller gives a stream up, before its first event as well as
//! between two. The event gap target is zero for a stream without one.
Duration streamPatience(Duration latencyTarget, Duration eventGapTarget);

} // namespace gypsumcroft
