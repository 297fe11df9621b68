/// @file
/// Numbered log events. docs/EVENTS.md is their catalogue; CI compares the two.
#pragma once

#include <string_view>

namespace fireflycrank {

/// Severity of a log event.
enum class log_level { debug, info, warn, error };

/// A kind of log event. Numbers are stable: a retired number is never used again.
struct log_event_kind {
    int number;
    std::string_view name;
    log_level level;
};

namespace events {

// 1xx: daemon and settings.
inline constexpr log_event_kind process_started{101, "process_started", log_level::info};
inline constexpr log_event_kind process_stopping{102, "process_stopping", log_level::info};
inline constexpr log_event_kind process_stopped{103, "process_stopped", log_level::info};
inline constexpr log_event_kind process_failed{107, "process_failed", log_level::error};
inline constexpr log_event_kind engine_probe_changed{108, "engine_probe_changed", log_level::warn};
inline constexpr log_event_kind mailbox_close_stuck{109, "mailbox_close_stuck", log_level::warn};
inline constexpr log_event_kind message_malformed{106, "message_malformed", log_level::warn};

// 2xx: routing, admission, retries.
inline constexpr log_event_kind request_received{201, "request_received", log_level::debug};
inline constexpr log_event_kind route_chosen{202, "route_chosen", log_level::info};
inline constexpr log_event_kind route_impossible{203, "route_impossible", log_level::warn};
inline constexpr log_event_kind request_refused{204, "request_refused", log_level::info};
inline constexpr log_event_kind request_answered{205, "request_answered", log_level::info};
inline constexpr log_event_kind attempt_refused{206, "attempt_refused", log_level::info};
inline constexpr log_event_kind attempt_failed{207, "attempt_failed", log_level::warn};
inline constexpr log_event_kind answer_broken{208, "answer_broken", log_level::warn};
inline constexpr log_event_kind caller_gone{209, "caller_gone", log_level::info};
inline constexpr log_event_kind attempt_started{210, "attempt_started", log_level::info};
inline constexpr log_event_kind attempt_ended{211, "attempt_ended", log_level::info};
inline constexpr log_event_kind stream_steered{212, "stream_steered", log_level::info};

// 3xx: orders and quarantine.
inline constexpr log_event_kind order_claimed{301, "order_claimed", log_level::info};
inline constexpr log_event_kind order_claim_lost{302, "order_claim_lost", log_level::warn};
inline constexpr log_event_kind crash_reported{303, "crash_reported", log_level::warn};
inline constexpr log_event_kind crash_recorded{305, "crash_recorded", log_level::warn};
inline constexpr log_event_kind quarantine_updated{304, "quarantine_updated", log_level::warn};
inline constexpr log_event_kind evacuation_ordered{306, "evacuation_ordered", log_level::info};

// 4xx: control.
inline constexpr log_event_kind leader_changed{401, "leader_changed", log_level::info};
inline constexpr log_event_kind change_committed{402, "change_committed", log_level::info};
inline constexpr log_event_kind change_refused{403, "change_refused", log_level::info};
inline constexpr log_event_kind replica_failed{404, "replica_failed", log_level::error};
inline constexpr log_event_kind replica_recovered{405, "replica_recovered", log_level::info};
inline constexpr log_event_kind replica_member_changed{406, "replica_member_changed",
                                                       log_level::info};

// 5xx: membership and configuration.
inline constexpr log_event_kind member_changed{501, "member_changed", log_level::info};
inline constexpr log_event_kind membership_notice_given{502, "membership_notice_given",
                                                        log_level::warn};
inline constexpr log_event_kind config_adopted{503, "config_adopted", log_level::info};
inline constexpr log_event_kind config_stale{504, "config_stale", log_level::warn};
inline constexpr log_event_kind config_expired{505, "config_expired", log_level::error};
inline constexpr log_event_kind config_contact_restored{506, "config_contact_restored",
                                                        log_level::info};
inline constexpr log_event_kind config_repaired{507, "config_repaired", log_level::warn};
inline constexpr log_event_kind config_unreadable{508, "config_unreadable", log_level::error};

// 6xx: experts and placement.
inline constexpr log_event_kind placement_decided{601, "placement_decided", log_level::info};
inline constexpr log_event_kind target_order_sent{602, "target_order_sent", log_level::info};
inline constexpr log_event_kind target_order_ended{603, "target_order_ended", log_level::info};
inline constexpr log_event_kind rollout_phase_changed{604, "rollout_phase_changed",
                                                      log_level::info};
inline constexpr log_event_kind rollout_turned_back{605, "rollout_turned_back", log_level::warn};
inline constexpr log_event_kind target_order_applied{606, "target_order_applied", log_level::info};
inline constexpr log_event_kind target_order_refused{607, "target_order_refused", log_level::warn};
inline constexpr log_event_kind map_planned{621, "map_planned", log_level::info};
inline constexpr log_event_kind map_preparing{622, "map_preparing", log_level::info};
inline constexpr log_event_kind map_armed{623, "map_armed", log_level::info};
inline constexpr log_event_kind map_decided{624, "map_decided", log_level::info};
inline constexpr log_event_kind rank_waiting{625, "rank_waiting", log_level::warn};
inline constexpr log_event_kind rank_running{626, "rank_running", log_level::info};

// 7xx: gateway, registrar and rank agent.
inline constexpr log_event_kind settings_reloaded{701, "settings_reloaded", log_level::info};
inline constexpr log_event_kind settings_refused{702, "settings_refused", log_level::error};
inline constexpr log_event_kind dependency_lost{703, "dependency_lost", log_level::warn};
inline constexpr log_event_kind dependency_regained{704, "dependency_regained", log_level::info};
inline constexpr log_event_kind gateway_stop_ended{705, "gateway_stop_ended", log_level::info};
inline constexpr log_event_kind call_attempt{711, "call_attempt", log_level::info};
inline constexpr log_event_kind call_attempt_ended{712, "call_attempt_ended", log_level::info};
inline constexpr log_event_kind call_answered{713, "call_answered", log_level::info};
inline constexpr log_event_kind call_refused{714, "call_refused", log_level::info};
inline constexpr log_event_kind call_failed{715, "call_failed", log_level::warn};
inline constexpr log_event_kind call_abandoned{716, "call_abandoned", log_level::info};
inline constexpr log_event_kind log_lines_dropped{717, "log_lines_dropped", log_level::warn};
inline constexpr log_event_kind target_changed{721, "target_changed", log_level::info};
inline constexpr log_event_kind departure_settled{725, "departure_settled", log_level::info};
inline constexpr log_event_kind gateway_readiness{722, "gateway_readiness", log_level::info};
inline constexpr log_event_kind configuration_in_force{723, "configuration_in_force",
                                                       log_level::info};
inline constexpr log_event_kind configuration_unreadable{724, "configuration_unreadable",
                                                         log_level::error};
inline constexpr log_event_kind registrar_attachment{726, "registrar_attachment", log_level::info};
inline constexpr log_event_kind target_suspected{727, "target_suspected", log_level::info};
inline constexpr log_event_kind target_checked{728, "target_checked", log_level::info};
inline constexpr log_event_kind crash_noted{729, "crash_noted", log_level::warn};
inline constexpr log_event_kind crash_report_dropped{730, "crash_report_dropped", log_level::warn};
inline constexpr log_event_kind target_leaving{736, "target_leaving", log_level::info};
inline constexpr log_event_kind target_paused{737, "target_paused", log_level::info};
inline constexpr log_event_kind target_cold{744, "target_cold", log_level::info};
inline constexpr log_event_kind response_end_judged{738, "response_end_judged", log_level::info};
inline constexpr log_event_kind evacuations_in_force{743, "evacuations_in_force", log_level::warn};
inline constexpr log_event_kind part_suspected{739, "part_suspected", log_level::warn};
inline constexpr log_event_kind outsider_limits{740, "outsider_limits", log_level::info};
inline constexpr log_event_kind requests_refused{741, "requests_refused", log_level::warn};
inline constexpr log_event_kind connections_refused{742, "connections_refused", log_level::warn};
inline constexpr log_event_kind group_reformed{731, "group_reformed", log_level::info};
inline constexpr log_event_kind map_change_planned{732, "map_change_planned", log_level::info};
inline constexpr log_event_kind map_change_stage{733, "map_change_stage", log_level::info};
inline constexpr log_event_kind rank_order_ended{734, "rank_order_ended", log_level::info};
inline constexpr log_event_kind map_change_completed{735, "map_change_completed", log_level::warn};
inline constexpr log_event_kind group_start_changed{745, "group_start_changed", log_level::info};
inline constexpr log_event_kind departures_recovered{746, "departures_recovered", log_level::info};
inline constexpr log_event_kind departure_log_failed{747, "departure_log_failed", log_level::error};

} // namespace events

} // namespace fireflycrank
