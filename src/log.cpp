#include "log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <memory>

namespace fireflycrank {

namespace {

constexpr std::chrono::seconds flush_period{1};
constexpr std::size_t background_lines = 4096; // about 1 MB of lines
constexpr char const* line_pattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

std::shared_ptr<spdlog::logger>& process_logger() {
    static std::shared_ptr<spdlog::logger> logger;
    return logger;
}

spdlog::level::level_enum spdlog_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warn:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

} // namespace

std::string json_quote(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log_field::log_field(std::string_view name, std::string_view text)
    : key{name}, json{json_quote(text)} {}

log_field::log_field(std::string_view name, double number)
    : key{name}, json{std::isfinite(number) ? nlohmann::json(number).dump() : "null"} {}

result<void> open_log(std::string const& level, std::string const& file) {
    try {
        auto logger = file.empty() ? spdlog::stderr_logger_mt("fireflycrank")
                                   : spdlog::basic_logger_mt("fireflycrank", file);
        logger->set_level(spdlog::level::from_str(level));
        logger->set_pattern(line_pattern, spdlog::pattern_time_type::utc);
        logger->flush_on(spdlog::level::warn);
        spdlog::flush_every(flush_period);
        process_logger() = logger;
    } catch (spdlog::spdlog_ex const& failure) {
        return fail(error_kind::invalid_settings, failure.what(),
                    "set log_file to a path in an existing folder that this user may write");
    }
    return ok();
}

result<void> open_background_log(std::string const& level) {
    try {
        spdlog::init_thread_pool(background_lines, 1);
        auto logger = std::make_shared<spdlog::async_logger>(
            "fireflycrank", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
            spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
        logger->set_level(spdlog::level::from_str(level));
        logger->set_pattern(line_pattern, spdlog::pattern_time_type::utc);
        logger->flush_on(spdlog::level::warn);
        spdlog::register_logger(logger);
        spdlog::flush_every(flush_period);
        process_logger() = logger;
    } catch (spdlog::spdlog_ex const& failure) {
        return fail(error_kind::invalid_settings, failure.what(),
                    "use one of debug, info, warn and error as log level");
    }
    return ok();
}

std::uint64_t dropped_log_lines() {
    auto const pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void log_event(log_event_kind const& kind, std::vector<log_field> const& fields) {
    auto const& logger = process_logger();
    auto const level = spdlog_level(kind.level);
    if (!logger || !logger->should_log(level)) {
        return;
    }
    std::string line =
        "\"event\":" + std::to_string(kind.number) + ",\"name\":\"" + std::string{kind.name} + "\"";
    for (log_field const& field : fields) {
        line += ",\"" + field.key + "\":" + field.json;
    }
    logger->log(level, line);
}

void flush_log() {
    if (process_logger()) {
        process_logger()->flush();
    }
}

void close_log() {
    process_logger().reset();
    spdlog::shutdown();
}

} // namespace fireflycrank
