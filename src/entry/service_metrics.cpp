#include "entry/services.hpp"

namespace pimentograde::entry
{

void services::add_metrics()
{
    const auto gauge = [this](std::string_view name, std::string_view label,
                              std::function<double()> read)
    {
        metrics.add_gauge(name, label, std::move(read));
    };
    gauge("pimentograde_members", "",
          [this]
          { return static_cast<double>(members->table().live().size()); });
    gauge("pimentograde_bundle_version", "",
          [this] { return static_cast<double>(bundle_document.version()); });
    gauge("pimentograde_fleet_version", "",
          [this] { return static_cast<double>(fleet_document.version()); });
    gauge("pimentograde_store_calls", metrics::label("kind", "read"),
          [this] { return static_cast<double>(store->counts().reads()); });
    gauge("pimentograde_store_calls", metrics::label("kind", "write"),
          [this] { return static_cast<double>(store->counts().writes()); });
    gauge("pimentograde_store_calls", metrics::label("kind", "failed"),
          [this] { return static_cast<double>(store->counts().failed); });
    gauge("pimentograde_slots_granted", "",
          [this] { return static_cast<double>(slots->counters().granted); });
    gauge("pimentograde_slots_retried", "",
          [this] { return static_cast<double>(slots->counters().retried); });
    gauge("pimentograde_slots_borrowed", "",
          [this] { return static_cast<double>(slots->counters().borrowed); });
    gauge("pimentograde_slots_lent", "",
          [this] { return static_cast<double>(slots->counters().lent); });
    gauge("pimentograde_requests_running", "",
          [this]
          { return static_cast<double>(dispatcher->requests().running()); });
    gauge("pimentograde_jobs_running", "",
          [this] { return static_cast<double>(dispatcher->jobs().running()); });
    gauge("pimentograde_jobs_waiting", "",
          [this] { return static_cast<double>(dispatcher->jobs().waiting()); });
}

} // namespace pimentograde::entry
