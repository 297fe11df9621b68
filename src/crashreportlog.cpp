#include "crashreportlog.h"

#include "claimwire.h"
#include "events.h"

#include <vector>

namespace fireflycrank {

namespace {

std::string joined(std::vector<std::string> const& texts) {
    std::string out;
    for (auto const& text : texts) {
        out += (out.empty() ? "" : ",") + text;
    }
    return out;
}

} // namespace

void log_recorded_report(event_loop& loop, crash_report_message const& report,
                         std::string const& reply) {
    auto const command = decode_quarantine_command(report.command);
    auto const decided = decode_quarantine_reply(reply);
    auto const* const crash =
        command ? std::get_if<report_crash>(&command.value().action) : nullptr;
    if (crash == nullptr || !decided) {
        return;
    }
    log_bounded(loop, events::crash_recorded,
                {{"gateway", report.gateway},
                 {"crash", crash->crash_id},
                 {"running", crash->running.size()},
                 {"quarantined", joined(decided.value().quarantined)}});
}

} // namespace fireflycrank
