#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/cluster_view.hpp>

#include <tuple>
#include <utility>

namespace knapweedchute {

auto cluster_view::adopt(std::shared_ptr<const route_table> table, feed_position position,
                         time_point now) -> bool
{
    static const auto log_line = logger{"config"};
    if (table_ &&
        std::tuple{table->version(), position} <= std::tuple{table_->version(), table_position_}) {
        return false;
    }
    table_ = std::move(table);
    table_position_ = position;
    adopted_at_ = now;
    log_line.info("Configuration in force.", {{"version", std::to_string(table_->version())},
                                              {"revision", std::to_string(position.revision)},
                                              {"routes", std::to_string(table_->routes().size())}});
    return true;
}

} // namespace knapweedchute
