#include "agentd.h"
#include "daemonbase.h"

int main(int argc, char** argv) {
    using namespace fireflycrank;
    return run_daemon(argc, argv, "fireflycrank agent daemon", false,
                      [](process_config const& settings, daemon_switches const& /*switches*/) {
                          return run_agent(settings);
                      });
}
