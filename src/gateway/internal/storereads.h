//! Reads of the platform's store, by this process or relayed by another gateway. For the control
//! logic.
#pragma once

#include "gateway/control.h"

namespace gypsumcroft::detail {

//! Requests the reads from the store that are due.
void readStore(GatewayControl &state, TimePoint now);

//! True if the platform doesn't tell this process what the read is for.
bool isUnavailable(const GatewayControl &state, const StoreRead &read, TimePoint now);

//! Takes what another gateway of this domain read from the store.
void takeStoreNews(GatewayControl &state, const StoreNews &news, TimePoint now);

} // namespace gypsumcroft::detail
