#include <knapweedchute/core/impl/line_appender.hpp>
#include <knapweedchute/core/log.hpp>

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <iomanip>
#include <memory>
#include <sstream>

namespace knapweedchute {
namespace {

auto to_log4cplus(log_level level) -> log4cplus::LogLevel
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

auto quoted(const std::string& value) -> std::string
{
    if (!value.empty() && value.find_first_of(" \"\n") == std::string::npos) {
        return value;
    }
    auto text = std::ostringstream{};
    text << std::quoted(value);
    auto line = text.str();
    std::replace(line.begin(), line.end(), '\n', ' ');
    return line;
}

/// Owned by the logging library, which lives as long as the process.
impl::line_appender* output = nullptr;

} // namespace

logger::logger(std::string part) : part_{std::move(part)} {}

auto logger::info(std::string_view sentence, fields pairs) const -> void
{
    write(log_level::info, sentence, pairs);
}

auto logger::warning(std::string_view sentence, fields pairs) const -> void
{
    write(log_level::warning, sentence, pairs);
}

auto logger::failure(std::string_view sentence, fields pairs) const -> void
{
    write(log_level::error, sentence, pairs);
}

auto logger::write(log_level level, std::string_view sentence, fields pairs) const -> void
{
    auto line = part_ + ": " + std::string{sentence};
    for (const auto& [key, value] : pairs) {
        line += " " + std::string{key} + "=" + quoted(value);
    }
    log4cplus::Logger::getRoot().log(to_log4cplus(level), line);
}

auto start_logging(log_level lowest, int descriptor) -> void
{
    static const auto initializer = log4cplus::Initializer{};
    output = new impl::line_appender{descriptor};
    auto appender = log4cplus::SharedAppenderPtr{output};
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(lowest));
}

auto lost_log_lines() -> std::uint64_t
{
    return output == nullptr ? 0 : output->lost();
}

} // namespace knapweedchute
