#include "app/log.h"

#include <chrono>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>

namespace gypsumcroft {

namespace logging = boost::log;

namespace detail {

constexpr std::size_t MaxWaitingLines = 100000;
//! Time for the last lines to be written.
constexpr std::chrono::milliseconds FlushTime {300};

using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::asynchronous_sink<
        Backend,
        logging::sinks::bounded_fifo_queue<MaxWaitingLines, logging::sinks::drop_on_overflow>>;
using Logger = logging::sources::severity_logger_mt<LogLevel>;

boost::shared_ptr<Sink> &sink()
{
    static boost::shared_ptr<Sink> instance;
    return instance;
}

Logger &logger()
{
    static Logger instance;
    return instance;
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

} // namespace detail

void startLogging(LogLevel least)
{
    auto backend = boost::make_shared<detail::Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    detail::sink() = boost::make_shared<detail::Sink>(backend);
    detail::sink()->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(detail::sink());
    logging::core::get()->set_filter(logging::expressions::attr<LogLevel>("Severity") >= least);
}

bool stopLogging()
{
    if (!detail::sink())
        return true;
    const auto flushed = std::make_shared<std::promise<void>>();
    std::thread([flushed, sink = detail::sink()] {
        sink->stop();
        sink->flush();
        flushed->set_value();
    }).detach();
    if (flushed->get_future().wait_for(detail::FlushTime) != std::future_status::ready)
        return false;
    logging::core::get()->remove_sink(detail::sink());
    detail::sink().reset();
    return true;
}

void writeLog(LogLevel level, const std::string &text)
{
    using boost::posix_time::microsec_clock;
    using boost::posix_time::to_iso_extended_string;
    BOOST_LOG_SEV(detail::logger(), level)
            << "time=" << to_iso_extended_string(microsec_clock::universal_time())
            << "Z level=" << detail::levelName(level) << ' ' << text;
}

} // namespace gypsumcroft
