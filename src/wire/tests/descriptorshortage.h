//! For tests of servers: accepting connections while the process is out of file descriptors.
#pragma once

#include <chrono>
#include <ctime>

#include <boost/asio.hpp>

#include <sys/resource.h>

#include "core/ids.h"

namespace gypsumcroft::tests {

//! CPU time that the process uses in 200 ms while a client waits to be accepted and no file
//! descriptor is left.
template <typename Listen>
std::chrono::milliseconds cpuTimeWithoutDescriptors(boost::asio::io_context &context,
                                                    const Listen &listen)
{
    const Address address = listen();
    boost::asio::io_context own;
    boost::asio::ip::tcp::socket caller(own, boost::asio::ip::tcp::v4());
    context.run_for(std::chrono::milliseconds(20));
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    rlimit none = before;
    none.rlim_cur = 3;
    setrlimit(RLIMIT_NOFILE, &none);
    caller.connect({boost::asio::ip::make_address(address.host_), address.port_});
    const std::clock_t start = std::clock();
    context.restart();
    context.run_for(std::chrono::milliseconds(200));
    const std::clock_t spent = std::clock() - start;
    setrlimit(RLIMIT_NOFILE, &before);
    return std::chrono::milliseconds(spent * 1000 / CLOCKS_PER_SEC);
}

} // namespace gypsumcroft::tests
