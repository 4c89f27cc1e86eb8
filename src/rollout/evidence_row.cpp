#include <knapweedchute/rollout/evidence_row.hpp>

#include <xxhash.h>

#include <string>

namespace knapweedchute {

auto key_of_rollout(const service_spec& service) -> rollout_key
{
    const auto& rollout = service.rollout.value();
    const auto text = service.name + '\0' + service.version + '\0' + rollout.to + '\0' +
                      std::to_string(rollout.finish_by_unix_s);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace knapweedchute
