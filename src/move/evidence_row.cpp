#include <knapweedchute/move/evidence_row.hpp>

#include <xxhash.h>

#include <string>

namespace knapweedchute {

auto key_of_move(const service_spec& service) -> move_key
{
    const auto& move = service.move.value();
    const auto text = service.name + '\0' + service.version + '\0' + move.to + '\0' +
                      std::to_string(move.finish_by_unix_s);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace knapweedchute
