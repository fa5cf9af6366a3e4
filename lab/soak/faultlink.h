//! A loopback proxy that harms the connections it carries.
#pragma once

#include <memory>

#include "core/ids.h"
#include "core/units.h"
#include "soak/plan.h"

namespace boost::asio {
class io_context;
}

namespace gypsumcroft::lab {

namespace detail {
struct LinkState;
}

//! Everything runs on the io_context's one thread.
class FaultLink
{
public:
    FaultLink(boost::asio::io_context &context, const Address &to, std::uint64_t seed);
    Address address() const;
    //! Faults of several kinds, and several of one kind, may be in force at a time.
    void begin(FaultKind kind);
    void end(FaultKind kind);

private:
    std::shared_ptr<detail::LinkState> state_;
};

} // namespace gypsumcroft::lab
