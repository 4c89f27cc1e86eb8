// scenario_runner: runs one scenario written in Lua against instances and stand-ins.
#include "scenario_world.hpp"

#include <knapweedchute/core/log.hpp>

#include <lua.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace {

using namespace knapweedchute;
using namespace knapweedchute::test;

auto world_of(lua_State* lua) -> scenario_world&
{
    return *static_cast<scenario_world*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

auto text_at(lua_State* lua, int index) -> std::string
{
    return luaL_checkstring(lua, index);
}

auto field_or(lua_State* lua, int table, const char* key, lua_Integer fallback) -> lua_Integer
{
    lua_getfield(lua, table, key);
    const auto value = lua_isnil(lua, -1) ? fallback : lua_tointeger(lua, -1);
    lua_pop(lua, 1);
    return value;
}

auto text_field(lua_State* lua, int table, const char* key, const char* fallback) -> std::string
{
    lua_getfield(lua, table, key);
    auto value = std::string{lua_isnil(lua, -1) ? fallback : lua_tostring(lua, -1)};
    lua_pop(lua, 1);
    return value;
}

auto names_at(lua_State* lua, int table) -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    const auto count = luaL_len(lua, table);
    for (auto index = lua_Integer{1}; index <= count; ++index) {
        lua_geti(lua, table, index);
        names.emplace_back(lua_tostring(lua, -1));
        lua_pop(lua, 1);
    }
    return names;
}

auto push_number(lua_State* lua, const char* key, std::uint64_t value) -> void
{
    lua_pushinteger(lua, static_cast<lua_Integer>(value));
    lua_setfield(lua, -2, key);
}

auto push_json(lua_State* lua, const nlohmann::json& json) -> void
{
    if (json.is_object() || json.is_array()) {
        lua_newtable(lua);
        auto index = lua_Integer{1};
        for (const auto& [key, value] : json.items()) {
            push_json(lua, value);
            if (json.is_object()) {
                lua_setfield(lua, -2, key.c_str());
            } else {
                lua_seti(lua, -2, index++);
            }
        }
    } else if (json.is_string()) {
        lua_pushstring(lua, json.get<std::string>().c_str());
    } else if (json.is_number_integer()) {
        lua_pushinteger(lua, json.get<lua_Integer>());
    } else if (json.is_number()) {
        lua_pushnumber(lua, json.get<double>());
    } else {
        lua_pushboolean(lua, json.is_boolean() && json.get<bool>() ? 1 : 0);
    }
}

auto push_view(lua_State* lua, const caller_view& view) -> int
{
    push_json(lua, view.body.is_object() ? view.body : nlohmann::json::object());
    push_number(lua, "status", static_cast<std::uint64_t>(view.status));
    return 1;
}

/// target{version=, zone=, snapshot=, shards=, shard=, latency_ms=} -> index
auto lua_target(lua_State* lua) -> int
{
    auto options = target_options{};
    options.latency = std::chrono::milliseconds{field_or(lua, 1, "latency_ms", 1)};
    options.serving = {{static_cast<std::uint64_t>(field_or(lua, 1, "snapshot", 1)),
                        static_cast<std::uint32_t>(field_or(lua, 1, "shards", 1)),
                        static_cast<std::uint32_t>(field_or(lua, 1, "shard", 0))}};
    const auto index = world_of(lua).add_target(text_field(lua, 1, "version", "v1"),
                                                text_field(lua, 1, "zone", "a"), options);
    lua_pushinteger(lua, static_cast<lua_Integer>(index));
    return 1;
}

/// target_is(index, behaviour, value)
auto lua_target_is(lua_State* lua) -> int
{
    auto& target = world_of(lua).target(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    const auto behaviour = text_at(lua, 2);
    const auto on = lua_toboolean(lua, 3) != 0;
    if (behaviour == "leaving") {
        target.set_leaving(on);
    } else if (behaviour == "failing") {
        target.set_failing(on);
    } else if (behaviour == "truncating") {
        target.set_truncating(on);
    } else if (behaviour == "crossing") {
        target.set_crossing(on);
    } else if (behaviour == "losing_run_answers") {
        target.set_losing_run_answers(on);
    } else if (behaviour == "latency_ms") {
        target.set_latency(std::chrono::milliseconds{luaL_checkinteger(lua, 3)});
    } else {
        return luaL_error(lua, "no behaviour %s", behaviour.c_str());
    }
    return 0;
}

/// target_serves(index, snapshot, shards, shard)
auto lua_target_serves(lua_State* lua) -> int
{
    auto& target = world_of(lua).target(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    target.set_serving({{static_cast<std::uint64_t>(luaL_checkinteger(lua, 2)),
                         static_cast<std::uint32_t>(luaL_checkinteger(lua, 3)),
                         static_cast<std::uint32_t>(luaL_checkinteger(lua, 4))}});
    return 0;
}

/// target_parts(index) -> parts served
auto lua_target_parts(lua_State* lua) -> int
{
    const auto& target = world_of(lua).target(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    lua_pushinteger(lua, static_cast<lua_Integer>(target.parts_served()));
    return 1;
}

auto lua_entry(lua_State* lua) -> int
{
    const auto lifetime = static_cast<int>(luaL_optinteger(lua, 3, 300));
    world_of(lua).start_entry(text_at(lua, 1), text_at(lua, 2), lifetime);
    return 0;
}

auto lua_stop(lua_State* lua) -> int
{
    world_of(lua).stop_entry(text_at(lua, 1));
    return 0;
}

auto lua_kill(lua_State* lua) -> int
{
    world_of(lua).kill_entry(text_at(lua, 1));
    return 0;
}

auto lua_cut(lua_State* lua) -> int
{
    world_of(lua).cut(text_at(lua, 1), text_at(lua, 2), lua_toboolean(lua, 3) != 0);
    return 0;
}

auto lua_zone(lua_State* lua) -> int
{
    world_of(lua).set_zone(text_at(lua, 1), text_at(lua, 2) == "out");
    return 0;
}

auto lua_version(lua_State* lua) -> int
{
    world_of(lua).set_version(text_at(lua, 1));
    return 0;
}

/// move(version, seconds_left)
auto lua_move(lua_State* lua) -> int
{
    world_of(lua).set_move(text_at(lua, 1), luaL_checkinteger(lua, 2));
    return 0;
}

/// reports() -> list of stored final reports, each a table
auto lua_reports(lua_State* lua) -> int
{
    auto reports = nlohmann::json::array();
    for (const auto& text : world_of(lua).platform().values_with("move.")) {
        reports.push_back(nlohmann::json::parse(text));
    }
    push_json(lua, reports);
    return 1;
}

/// apply(base) -> version or nil, error name
auto lua_apply(lua_State* lua) -> int
{
    auto failure = std::string{};
    const auto base = static_cast<std::uint64_t>(luaL_checkinteger(lua, 1));
    const auto version = world_of(lua).apply(base, failure);
    if (version == 0) {
        lua_pushnil(lua);
        lua_pushstring(lua, failure.c_str());
        return 2;
    }
    lua_pushinteger(lua, static_cast<lua_Integer>(version));
    return 1;
}

auto lua_push_to(lua_State* lua) -> int
{
    world_of(lua).push(text_at(lua, 1));
    return 0;
}

auto lua_in_force(lua_State* lua) -> int
{
    const auto version = world_of(lua).entry(text_at(lua, 1)).configuration_version();
    lua_pushinteger(lua, static_cast<lua_Integer>(version));
    return 1;
}

auto lua_members(lua_State* lua) -> int
{
    auto serving = lua_Integer{0};
    for (const auto& known : world_of(lua).entry(text_at(lua, 1)).members()) {
        serving += known.serving() ? 1 : 0;
    }
    lua_pushinteger(lua, serving);
    return 1;
}

/// query(entry, deadline_ms) -> the answer's JSON as a table, with status
auto lua_query(lua_State* lua) -> int
{
    const auto body = nlohmann::json{{"request_id", "scenario"},
                                     {"service", "s"},
                                     {"text", "slope closed"},
                                     {"deadline_ms", luaL_optinteger(lua, 2, 1'000)}};
    return push_view(lua, world_of(lua).post(text_at(lua, 1), "/v1/query", body));
}

auto lua_issue_id(lua_State* lua) -> int
{
    return push_view(lua, world_of(lua).post(text_at(lua, 1), "/v1/request-ids", {}));
}

/// run(entry, id, deadline_ms)
auto lua_run(lua_State* lua) -> int
{
    const auto body = nlohmann::json{{"request_id", text_at(lua, 2)},
                                     {"service", "s"},
                                     {"key", "cedar ridge"},
                                     {"document", "snow depth 84 cm"},
                                     {"deadline_ms", luaL_optinteger(lua, 3, 1'000)}};
    return push_view(lua, world_of(lua).post(text_at(lua, 1), "/v1/run", body));
}

auto lua_executions(lua_State* lua) -> int
{
    const auto total = world_of(lua).executions();
    const auto found = total.find(text_at(lua, 1));
    lua_pushinteger(lua, found == total.end() ? 0 : found->second);
    return 1;
}

auto lua_addresses(lua_State* lua) -> int
{
    return push_view(lua, world_of(lua).addresses(text_at(lua, 1)));
}

auto lua_start_load(lua_State* lua) -> int
{
    world_of(lua).start_load(names_at(lua, 1));
    return 0;
}

auto lua_stop_load(lua_State* lua) -> int
{
    const auto view = world_of(lua).stop_load();
    for (const auto& refusal : view.refusals) {
        std::cerr << "refused: " << refusal << '\n';
    }
    lua_newtable(lua);
    push_number(lua, "whole", view.whole);
    push_number(lua, "partial", view.partial);
    push_number(lua, "refused", view.refused);
    push_number(lua, "cut", view.cut);
    push_number(lua, "unreachable", view.unreachable);
    push_number(lua, "violations", view.violations);
    return 1;
}

/// platform(fault, value)
auto lua_platform(lua_State* lua) -> int
{
    auto& platform = world_of(lua).platform();
    const auto fault = text_at(lua, 1);
    if (fault == "outage") {
        platform.set_outage(lua_toboolean(lua, 2) != 0);
    } else if (fault == "lose_answers") {
        platform.lose_answers(static_cast<int>(luaL_checkinteger(lua, 2)));
    } else if (fault == "answer_old") {
        platform.answer_old(static_cast<int>(luaL_checkinteger(lua, 2)));
    } else {
        return luaL_error(lua, "no fault %s", fault.c_str());
    }
    return 0;
}

/// Lets time pass between two looks at a condition; scenarios use wait_until.
auto lua_pause(lua_State* lua) -> int
{
    std::this_thread::sleep_for(std::chrono::milliseconds{luaL_checkinteger(lua, 1)});
    return 0;
}

auto lua_now_ms(lua_State* lua) -> int
{
    const auto now = steady_clock::now().time_since_epoch();
    lua_pushinteger(lua, std::chrono::duration_cast<milliseconds>(now).count());
    return 1;
}

constexpr auto prelude = R"lua(
function wait_until(what, condition, limit_ms)
    local last = now_ms() + (limit_ms or 5000)
    repeat
        if condition() then return end
        pause(10)
    until now_ms() > last
    error("not within " .. (limit_ms or 5000) .. " ms: " .. what, 2)
end
function expect(value, what)
    if not value then error("expected: " .. what, 2) end
end
function whole(entry)
    local answer = query(entry)
    return answer.status == 200 and answer.coverage.answered == answer.coverage.shards
end
function ready(entries)
    for _, entry in ipairs(entries) do
        wait_until(entry .. " answers whole", function() return whole(entry) end, 10000)
    end
end
function in_force_at(entries, version, limit_ms)
    for _, entry in ipairs(entries) do
        wait_until("version " .. version .. " at " .. entry,
            function() return in_force(entry) >= version end, limit_ms)
    end
end
function standard_start(next_version)
    for _, name in ipairs({"v1", next_version}) do
        for shard = 0, 1 do
            target{version = name, zone = "a", shards = 2, shard = shard}
            target{version = name, zone = "b", shards = 2, shard = shard}
        end
    end
    local all = {"e1", "e2", "e3"}
    for index, zone in ipairs({"a", "b", "c"}) do entry(all[index], zone) end
    expect(apply(0) == 1, "the first file is version 1")
    in_force_at(all, 1)
    ready(all)
    return all
end
)lua";

auto register_all(lua_State* lua, scenario_world& world) -> void
{
    const auto functions = std::vector<luaL_Reg>{
        {"target", lua_target},
        {"target_is", lua_target_is},
        {"target_serves", lua_target_serves},
        {"target_parts", lua_target_parts},
        {"entry", lua_entry},
        {"stop", lua_stop},
        {"kill", lua_kill},
        {"cut", lua_cut},
        {"zone", lua_zone},
        {"version", lua_version},
        {"apply", lua_apply},
        {"move", lua_move},
        {"reports", lua_reports},
        {"push_to", lua_push_to},
        {"in_force", lua_in_force},
        {"members", lua_members},
        {"query", lua_query},
        {"issue_id", lua_issue_id},
        {"run", lua_run},
        {"executions", lua_executions},
        {"addresses", lua_addresses},
        {"start_load", lua_start_load},
        {"stop_load", lua_stop_load},
        {"platform", lua_platform},
        {"pause", lua_pause},
        {"now_ms", lua_now_ms},
    };
    for (const auto& function : functions) {
        lua_pushlightuserdata(lua, &world);
        lua_pushcclosure(lua, function.func, 1);
        lua_setglobal(lua, function.name);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: scenario_runner FILE.lua\n";
        return 2;
    }
    start_logging(log_level::warning);
    auto world = scenario_world{};
    auto* lua = luaL_newstate();
    luaL_openlibs(lua);
    register_all(lua, world);
    const auto failed = luaL_dostring(lua, prelude) != 0 || luaL_dofile(lua, argv[1]) != 0;
    if (failed) {
        std::cerr << lua_tostring(lua, -1) << '\n';
    }
    lua_close(lua);
    return failed ? 1 : 0;
}
