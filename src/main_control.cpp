#include "controld.h"
#include "daemonbase.h"

int main(int argc, char** argv) {
    using namespace fireflycrank;
    return run_daemon(argc, argv, "fireflycrank control daemon", true,
                      [](process_config const& settings, daemon_switches const& switches) {
                          return run_control(settings, switches.force_sole_member);
                      });
}
