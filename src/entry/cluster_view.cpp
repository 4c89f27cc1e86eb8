#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/cluster_view.hpp>

#include <tuple>
#include <utility>

namespace knapweedchute {

auto cluster_view::adopt(std::shared_ptr<const route_table> table, std::uint64_t revision,
                         time_point now) -> bool
{
    static const auto log_line = logger{"config"};
    if (table_ &&
        std::tuple{table->version(), revision} <= std::tuple{table_->version(), table_revision_}) {
        return false;
    }
    table_ = std::move(table);
    table_revision_ = revision;
    adopted_at_ = now;
    log_line.info("Configuration in force.", {{"version", std::to_string(table_->version())},
                                              {"revision", std::to_string(revision)},
                                              {"routes", std::to_string(table_->routes().size())}});
    return true;
}

} // namespace knapweedchute
