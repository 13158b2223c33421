#include "capacity/fleet_codec.hpp"

#include "base/error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <initializer_list>
#include <utility>

namespace pimentograde::capacity
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t format_number = 1;

void put_time(json::object& out, std::string_view name, base::wall_time moment)
{
    if (moment != base::wall_time{})
        out[name] = base::to_millis(moment);
}

void put_text(json::object& out, std::string_view name, std::string_view text)
{
    if (!text.empty())
        out[name] = text;
}

json::object worker_json(const base::worker_id& id, const worker_status& status)
{
    json::object out;
    out["id"] = id.str();
    out["pool"] = status.pool.str();
    out["state"] = to_string(status.state);
    put_time(out, "since", status.since);
    put_time(out, "out_since", status.out_since);
    put_time(out, "maintained", status.maintained);
    put_time(out, "moved", status.moved);
    put_text(out, "wave", status.wave);
    put_text(out, "target", status.target.str());
    if (status.hold != hold_kind::none)
        out["hold"] = to_string(status.hold);
    if (status.leaving)
        out["leaving"] = true;
    if (status.incarnation != 0)
        out["incarnation"] = status.incarnation;
    return out;
}

json::object wave_json(const std::string& name, const wave_status& status)
{
    json::object out;
    out["name"] = name;
    put_time(out, "started", status.started);
    if (status.immediate)
        out["immediate"] = true;
    if (status.pause != wave_pause::none)
        out["pause"] = to_string(status.pause);
    put_text(out, "pause_reason", status.pause_reason);
    if (status.worker_time != base::duration{})
        out["worker_time_ms"] = base::count_millis(status.worker_time);
    return out;
}

[[noreturn]] void fail(std::string_view path, std::string_view what)
{
    throw base::error(base::error_code::invalid, "read fleet state", "",
                      std::string(path) + ": " + std::string(what));
}

/// Reads the members of one object; a member that nobody asked for is an error.
class object_reader
{
public:
    object_reader(const json::value& value, std::string path)
        : path_(std::move(path))
    {
        if (!value.is_object())
            fail(path_, "not an object");
        object_ = &value.get_object();
    }

    const json::value* find(std::string_view name)
    {
        const json::value* found = object_->if_contains(name);
        if (found)
            ++used_;
        return found;
    }

    std::string text(std::string_view name)
    {
        const json::value* found = find(name);
        if (!found)
            return {};
        if (!found->is_string())
            fail(at(name), "not a string");
        return std::string(found->get_string());
    }

    std::string required_text(std::string_view name)
    {
        std::string found = text(name);
        if (found.empty())
            fail(at(name), "missing or empty");
        return found;
    }

    std::uint64_t number(std::string_view name)
    {
        const json::value* found = find(name);
        if (!found)
            return 0;
        boost::system::error_code failure;
        const auto value = found->to_number<std::uint64_t>(failure);
        if (failure || found->is_double())
            fail(at(name), "not a whole number of at least 0");
        return value;
    }

    base::wall_time time(std::string_view name)
    {
        return base::from_millis(static_cast<std::int64_t>(number(name)));
    }

    bool flag(std::string_view name)
    {
        const json::value* found = find(name);
        if (found && !found->is_bool())
            fail(at(name), "not a boolean");
        return found && found->get_bool();
    }

    const json::array& array(std::string_view name)
    {
        const json::value* found = find(name);
        if (!found || !found->is_array())
            fail(at(name), "not an array");
        return found->get_array();
    }

    template <class Value, std::size_t Count>
    Value one_of(std::string_view name, const std::array<Value, Count>& values,
                 std::string_view chosen)
    {
        for (const Value value : values)
            if (to_string(value) == chosen)
                return value;
        fail(at(name), "unknown value");
    }

    void finish() const
    {
        if (used_ != object_->size())
            fail(path_, "unknown member");
    }

    [[nodiscard]] std::string at(std::string_view name) const
    {
        return path_ + "/" + std::string(name);
    }

private:
    std::string path_;
    const json::object* object_ = nullptr;
    std::size_t used_ = 0;
};

constexpr std::array all_states{
    worker_state::serving,   worker_state::draining,  worker_state::moving,
    worker_state::rebooting, worker_state::probation, worker_state::down};
constexpr std::array all_holds{hold_kind::hold, hold_kind::drain};
constexpr std::array all_pauses{wave_pause::failure, wave_pause::ordered};

std::pair<base::worker_id, worker_status> read_worker(const json::value& value,
                                                      const std::string& path)
{
    object_reader reader(value, path);
    base::worker_id id(reader.required_text("id"));
    worker_status status;
    status.pool = base::pool_name(reader.required_text("pool"));
    status.state =
        reader.one_of("state", all_states, reader.required_text("state"));
    status.since = reader.time("since");
    status.out_since = reader.time("out_since");
    status.maintained = reader.time("maintained");
    status.moved = reader.time("moved");
    status.wave = reader.text("wave");
    status.target = base::pool_name(reader.text("target"));
    if (const std::string hold = reader.text("hold"); !hold.empty())
        status.hold = reader.one_of("hold", all_holds, hold);
    status.leaving = reader.flag("leaving");
    status.incarnation = reader.number("incarnation");
    reader.finish();
    return {std::move(id), std::move(status)};
}

std::pair<std::string, wave_status> read_wave(const json::value& value,
                                              const std::string& path)
{
    object_reader reader(value, path);
    std::string name = reader.required_text("name");
    wave_status status;
    status.started = reader.time("started");
    status.immediate = reader.flag("immediate");
    if (const std::string pause = reader.text("pause"); !pause.empty())
        status.pause = reader.one_of("pause", all_pauses, pause);
    status.pause_reason = reader.text("pause_reason");
    status.worker_time = std::chrono::milliseconds{
        static_cast<std::int64_t>(reader.number("worker_time_ms"))};
    reader.finish();
    return {std::move(name), std::move(status)};
}

template <class Target, class Read>
void read_items(const json::array& items, std::string_view name, Target& target,
                Read read)
{
    for (std::size_t index = 0; index < items.size(); ++index)
    {
        const std::string path =
            "/" + std::string(name) + "/" + std::to_string(index);
        if (!target.insert(read(items[index], path)).second)
            fail(path, "listed twice");
    }
}

} // namespace

json::object to_json(const fleet_state& state)
{
    json::object out;
    out["format"] = format_number;
    out["version"] = state.version;
    put_time(out, "written", state.written);
    put_text(out, "writer", state.writer);
    json::array waves;
    for (const auto& [name, status] : state.waves)
        waves.emplace_back(wave_json(name, status));
    out["waves"] = std::move(waves);
    json::array workers;
    for (const auto& [id, status] : state.workers)
        workers.emplace_back(worker_json(id, status));
    out["workers"] = std::move(workers);
    return out;
}

std::string encode(const fleet_state& state)
{
    return json::serialize(to_json(state));
}

fleet_state decode(std::string_view text)
{
    boost::system::error_code failure;
    const json::value value = json::parse(text, failure);
    if (failure)
        fail("", failure.message());
    object_reader reader(value, "");
    if (reader.number("format") != format_number)
        fail("/format", "not 1");
    fleet_state state;
    state.version = reader.number("version");
    state.written = reader.time("written");
    state.writer = reader.text("writer");
    read_items(reader.array("waves"), "waves", state.waves, read_wave);
    read_items(reader.array("workers"), "workers", state.workers, read_worker);
    reader.finish();
    // The parser keeps the last of several equal member names. Comparing with
    // the one text that `encode` writes finds them.
    if (encode(state) != text)
        fail("", "repeated member, or not in the form that encode writes");
    return state;
}

} // namespace pimentograde::capacity
