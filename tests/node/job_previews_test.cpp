// Previews of where a job would go, asked for at any instance.

#include "node/cluster.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

net::http_response preview(const cluster& all, std::size_t index,
                           const std::string& path, const std::string& body)
{
    const entry& where = *all.entries[index];
    net::http_request request;
    request.method = "POST";
    request.target = "/placement" + path;
    request.host = "h";
    request.body = body;
    const auto port =
        static_cast<std::uint16_t>(where.settings.first_internal_port + 1);
    return all.client.http->send({"127.0.0.1", port}, request,
                                 base::steady_now() + 5s, "preview");
}

} // namespace

// Guards against a preview that only the owner of the pool can give, and
// against one that submits the job.
TEST_CASE("any instance previews a job without submitting it")
{
    cluster all(2);
    for (std::size_t index = 0; index < 2; ++index)
    {
        CAPTURE(index);
        REQUIRE(eventually(
            [&]
            { return preview(all, index, "/q/", two_steps).status == 200; }));
        const std::string text = preview(all, index, "/q/", two_steps).body;
        CHECK(text.find("\"admission\":\"accepted\"") != std::string::npos);
        CHECK(text.find("\"owner\":\"e" + std::to_string(all.owner()) + '"') !=
              std::string::npos);
        CHECK(text.find("starts after step 0") != std::string::npos);
    }
    CHECK(all.client.call(*all.entries[0], "GET", "/q/").body ==
          R"({"Pending":0})");
    CHECK(preview(all, 0, "/none/", two_steps).status == 404);
    CHECK(preview(all, 0, "/q/", "{}").status == 400);
}
