#include "daemonbase.h"
#include "entryd.h"

int main(int argc, char** argv) {
    using namespace fireflycrank;
    return run_daemon(argc, argv, "fireflycrank entry daemon", false,
                      [](process_config const& settings, daemon_switches const& /*switches*/) {
                          return run_entry(settings);
                      });
}
