#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/cluster_view.hpp>

#include <utility>

namespace knapweedchute {

auto cluster_view::adopt(std::shared_ptr<const route_table> table, time_point now) -> bool
{
    static const auto log_line = logger{"config"};
    if (table_ && table->version() <= table_->version()) {
        return false;
    }
    table_ = std::move(table);
    adopted_at_ = now;
    log_line.info("Configuration in force.", {{"version", std::to_string(table_->version())},
                                              {"routes", std::to_string(table_->routes().size())}});
    return true;
}

} // namespace knapweedchute
