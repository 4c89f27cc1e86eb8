#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/entry_settings_reader.hpp>
#include <knapweedchute/entry/settings_follower.hpp>

#include <boost/algorithm/string/join.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace knapweedchute {
namespace {

/// The platform may change the file without a signal; no time limit is specified.
constexpr auto poll_interval = seconds{5};
const auto log_line = logger{"entry"};

} // namespace

settings_follower::settings_follower(entry_instance& instance, std::string path)
    : instance_{&instance}, path_{std::move(path)}, last_text_{read_file()}
{
}

auto settings_follower::start() -> void
{
    auto& timers = instance_->timers();
    timers.at(timers.now() + poll_interval, [this] {
        if (read_file() != last_text_) {
            reload();
        }
        start();
    });
}

auto settings_follower::reload() -> void
{
    last_text_ = read_file();
    auto reader = entry_settings_reader{};
    const auto values = reader.read(last_text_);
    for (const auto& fault : reader.faults()) {
        log_line.warning("Settings not understood.", {{"reason", to_string(fault)}});
    }
    const auto pending = values ? instance_->apply(*values) : std::vector<std::string>{};
    log_line.info("Settings read again.",
                  {{"valid", values ? "true" : "false"},
                   {"at_next_start", boost::algorithm::join(pending, ",")}});
}

auto settings_follower::read_file() const -> std::string
{
    auto content = std::ostringstream{};
    content << std::ifstream{path_}.rdbuf();
    return content.str();
}

} // namespace knapweedchute
