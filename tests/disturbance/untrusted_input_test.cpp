// Malformed input from outside the instance.

#include "node/cluster.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include <random>

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

using boost::asio::ip::tcp;

// Sends the bytes on a new connection and closes it; the server may refuse.
void send_raw(std::uint16_t port, const std::string& bytes)
{
    tcp::socket socket(net::this_thread_io());
    boost::system::error_code failure;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, failure);
    if (failure)
        return;
    boost::asio::write(socket, boost::asio::buffer(bytes), failure);
    boost::this_fiber::sleep_for(2ms);
}

std::string framed(const std::string& body)
{
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
        frame += static_cast<char>((body.size() >> shift) & 0xff);
    return frame + body;
}

std::vector<std::string> awkward_messages()
{
    const std::string deep = std::string(20'000, '[');
    const std::string objects = [&]
    {
        std::string text;
        for (int index = 0; index < 5'000; ++index)
            text += "{\"a\":";
        return text;
    }();
    const auto post = [](const std::string& body)
    {
        return "POST /q/00000000000000aa HTTP/1.1\r\nHost: h\r\n"
               "Content-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    return {"",
            "\r\n\r\n",
            "GET",
            "GET / HTTP/9.9\r\n\r\n",
            "POST /q/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            "POST /q/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            post("{"),
            post(deep),
            post(objects),
            post(R"({"Spec":"s","Steps":[{"Count":-1}]})"),
            post(R"({"Spec":"s","Steps":[{"Count":1e300,"Cpu":"x"}]})"),
            post(R"({"Spec":7,"Steps":[{"After":[9]}]})"),
            post(R"({"Spec":"s","Steps":[{"Count":1,"After":[0]}]})"),
            post(R"({"Spec":"\ud800","Steps":[{"Count":1}]})"),
            framed("{}"),
            framed(deep),
            framed(objects),
            framed(R"({"id":1,"jsonrpc":"2.0","method":7})"),
            framed(std::string(100, '\xff')),
            std::string("\xff\xff\xff\xff", 4) + "rest"};
}

} // namespace

// Guards against a message that crashes the process.
TEST_CASE("no message on any listener terminates an instance")
{
    cluster all(1);
    const auto& settings = all.entries[0]->settings;
    const std::uint16_t ports[] = {
        settings.caller_listen.port, settings.readiness_listen.port,
        settings.first_internal_port,
        static_cast<std::uint16_t>(settings.first_internal_port + 1)};
    for (const std::uint16_t port : ports)
        for (const std::string& message : awkward_messages())
            send_raw(port, message);
    std::mt19937 random(20261204);
    for (int round = 0; round < 100; ++round)
    {
        std::string bytes = awkward_messages()[random() % 20];
        for (int change = 0; change < 4 && !bytes.empty(); ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        send_raw(ports[random() % 4], bytes);
    }
    CHECK(all.client.submit(*all.entries[0], id_b, two_steps) == 200);
    CHECK(all.completes(0, id_b));
}

// Guards against a platform answer that terminates the process or gives a job a
// wrong result.
TEST_CASE("garbled answers of store, workers and machine service are survived")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    CHECK(all.client.submit(only, id_a, lasting) == 200);
    CHECK(eventually([&]
                     { return all.platform.starts_of(id_a + ".0.0.0") == 1; }));
    all.platform.store.faults.is_garbled = true;
    all.platform.is_machine_service_garbled = true;
    boost::this_fiber::sleep_for(600ms);
    const unsigned status = all.client.submit(only, id_b, two_steps);
    CHECK(status != 200);
    all.platform.store.faults.is_garbled = false;
    all.platform.is_machine_service_garbled = false;
    CHECK(eventually(
        [&] { return all.client.submit(only, id_b, two_steps) == 200; }));
    CHECK(all.completes(0, id_b));
    for (const char* worker : {"w0", "w1"})
        all.platform.worker(worker).is_garbled = true;
    boost::this_fiber::sleep_for(500ms);
    for (const char* worker : {"w0", "w1"})
        all.platform.worker(worker).is_garbled = false;
    const std::string id_c = "00000000000000cc";
    CHECK(eventually(
        [&] { return all.client.submit(only, id_c, two_steps) == 200; }));
    CHECK(all.completes(0, id_c));
    CHECK(all.client.state(only, id_a) == running);
}

// Guards against an unreadable entry of another writer that hides valid
// workers.
TEST_CASE("unreadable worker entries hide no worker")
{
    cluster all(1, 1);
    const auto& only = *all.entries[0];
    const std::string entries[] = {
        "\xff\xfe", "[]",
        R"({"Service":"pool","Address":"nowhere","State":"ready"})",
        R"({"Service":7,"Address":[],"State":"ready","Capacity":"x"})",
        R"({"Service":"pool","Address":"127.0.0.1:1","State":"odd"})"};
    int number = 0;
    for (const std::string& entry : entries)
        all.platform.store.put("servers/x" + std::to_string(number++), entry);
    all.platform.add_worker("w9", "pool", 100ms);
    CHECK(eventually(
        [&]
        {
            all.client.submit(only,
                              "00000000000001" + std::to_string(10 + number++),
                              two_steps);
            return !all.platform.worker("w9").starts.empty();
        },
        10s));
}

// Guards against tasks that start again, and a worker that is not used any
// more, since another writer has replaced the entry of the worker for a while.
TEST_CASE("an invalid entry of a worker at work leaves its tasks alone")
{
    cluster all(1, 1, 700ms);
    const auto& only = *all.entries[0];
    CHECK(all.client.submit(only, id_a, lasting) == 200);
    CHECK(all.client.submit(only, id_b, two_steps) == 200);
    CHECK(eventually(
        [&]
        {
            return all.platform.starts_of(id_a + ".0.0.0") == 1 &&
                   all.platform.starts_of(id_b + ".0.0.0") == 1;
        }));
    const std::string entries[] = {
        "\xff\xfe", std::string(100'000, '['),
        R"({"Service":"pool","Address":"127.0.0.1:0","State":"ready"})",
        R"({"Service":"pool","Address":"127.0.0.1:1","State":"ready",
        "Capacity":{"Cpu":1e300}})"};
    for (const std::string& entry : entries)
    {
        all.platform.store.put("servers/w0", entry);
        boost::this_fiber::sleep_for(500ms);
    }
    CHECK(all.client.state(only, id_a) == running);
    all.platform.announce("w0");
    CHECK(all.completes(0, id_b));
    CHECK(all.client.state(only, id_a) == running);
    for (const std::string& task :
         {id_a + ".0.0.0", id_b + ".0.0.0", id_b + ".0.0.1", id_b + ".0.0.2",
          id_b + ".0.1.0"})
    {
        CAPTURE(task);
        CHECK(all.platform.starts_of(task) == 1);
    }
}

// Guards against tasks that start on a second worker while they run on the
// first, whose entry another writer has replaced: the start time in it does not
// show that the worker has restarted.
TEST_CASE("an entry with another start time starts no task twice")
{
    cluster all(1, 2, 1500ms);
    const auto& only = *all.entries[0];
    CHECK(all.client.submit(only, id_b, two_steps) == 200);
    const std::vector<std::string> tasks{id_b + ".0.0.0", id_b + ".0.0.1",
                                         id_b + ".0.0.2"};
    CHECK(eventually(
        [&]
        {
            return std::all_of(tasks.begin(), tasks.end(),
                               [&](const std::string& task)
                               { return all.platform.starts_of(task) == 1; });
        }));
    const std::int64_t born = all.platform.worker("w0").born_ms() + 1;
    all.platform.store.put("servers/w0",
                           R"({"Service":"pool","Address":"127.0.0.1:1",
        "State":"ready","Capacity":{"Cpu":4000,"MemMb":1000,"Gpu":0},"born":)" +
                               std::to_string(born) + "}");
    boost::this_fiber::sleep_for(900ms);
    all.platform.announce("w0");
    CHECK(all.completes(0, id_b));
    for (const std::string& task : tasks)
        CHECK(all.platform.starts_of(task) == 1);
}
