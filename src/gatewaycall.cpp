#include "calladmission.h"
#include "callfingerprint.h"
#include "callnames.h"
#include "digest.h"
#include "eventsplit.h"
#include "gateway.h"
#include "platform/callheaders.h"
#include "responseend.h"
#include "responseroom.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;
constexpr unsigned ok_status = 200;
constexpr unsigned first_error_status = 300;
constexpr unsigned first_server_error = 500;

// Allows for one round trip between zones and a full accept queue. A dead VM is given up early
// enough to try another target within the objective for the first token.
constexpr std::chrono::milliseconds connect_timeout{300};
// A request that must not run twice is not sent on a connection that was idle for longer.
constexpr std::chrono::milliseconds non_retryable_max_idle{800};
constexpr std::chrono::milliseconds retryable_max_idle{10'000};
// A target responds by itself when the deadline passes; the response needs this long to arrive.
constexpr std::chrono::milliseconds response_slack{120};
// With less time left, a target could not do anything useful.
constexpr std::chrono::milliseconds min_time_left{15};
// A target that does not answer a health check within this time is given up where another one can
// serve the request.
constexpr std::chrono::milliseconds target_check_timeout{500};
// Parts of a prompt that a crash is reported for. Prompts of the known workloads have fewer.
constexpr std::size_t max_suspect_parts = 8;
constexpr std::size_t max_write_backlog = 256U << 10U;
constexpr std::size_t max_response_bytes = 32U << 20U;
constexpr std::chrono::milliseconds default_time_limit{60'000};
constexpr unsigned lowest_priority = 9;
// Priority of requests that have missed their objective; they yield to those that can still meet
// theirs.
constexpr unsigned late_priority = 8;

// A gateway that has just started receives its configuration within this time, unless the
// registrars are down for longer. Requests wait meanwhile, because a refusal would use up the
// caller's retry.
constexpr std::chrono::milliseconds max_config_wait{1'500};
// Divides the caller's time limit, so that a retry still has time.
constexpr int config_wait_divisor = 3;
// Callers abandon a stream after two seconds without an event; an earlier refusal leaves them time
// to retry.
constexpr std::chrono::milliseconds stream_queue_timeout{1'500};
constexpr std::chrono::milliseconds plain_queue_timeout{350};
constexpr int queue_timeout_divisor = 3; // divides the request's time limit
// An interrupted stream is resumed before its caller notices the pause.
constexpr std::chrono::milliseconds resume_send_limit{50};
// Retry-After of refusals, before jitter.
constexpr std::chrono::milliseconds short_retry_after{300};
constexpr std::chrono::milliseconds long_retry_after{1'000};
// Another gateway can serve the request at once; jitter spreads the callers of a stopping one.
constexpr std::chrono::milliseconds stopping_retry_after{50};
constexpr char const* stopping_reason = "stopping";
constexpr char const* grace_over_reason = "grace_over";

} // namespace

/// A caller's request at the gateway.
class gateway_call : public std::enable_shared_from_this<gateway_call> {
public:
    gateway_call(gateway& owner, incoming_request request, std::shared_ptr<response_writer> writer)
        : owner_{owner}
        , request_{std::move(request)}
        , writer_{std::move(writer)}
        , headers_{platform::decode_caller_request(request_.head)}
        , access_{&owner.subscriber.evacuations.zones, &owner.settings.zone_regions, {}, {}}
        , read_at_{loop_now(owner.loop)} {}

    void begin() {
        owner_.calls.insert(shared_from_this());
        writer_->on_disconnect([weak = weak_from_this()] {
            if (auto const self = weak.lock()) {
                self->on_caller_disconnected();
            }
        });
        if (owner_.config_confirmed) {
            begin_routing();
            return;
        }
        waiting_for_config_ = true;
        auto const limit = headers_.time_limit.value_or(default_time_limit);
        deadline_ = request_.first_byte_at + limit;
        expires_at_ = request_.first_byte_at +
                      std::min<duration>(limit / config_wait_divisor, max_config_wait);
        end_if_too_late();
    }

    // Continues once the configuration is confirmed.
    void resume() {
        if (std::exchange(waiting_for_config_, false) && !ended_) {
            begin_routing();
        }
    }

    // Tells how long the present run has lasted.
    void report_run_in_progress(time_point now) {
        if (exchange_ && runs_whole()) {
            history().in_progress.push_back({now - sent_at_, output_tokens()});
        }
    }

    void sweep(time_point now) {
        bool const waits = !exchange_ && !target_check_;
        if (ended_ || (waits && end_if_too_late())) {
            return;
        }
        if (now < expires_at_) {
            resume_response();
            leave_quiet_target(now);
            return;
        }
        if (waiting_for_config_) {
            refuse("no_configuration", long_retry_after);
            return;
        }
        on_deadline();
    }

    // Ends a call that the stopping process cannot wait for any longer. Only a started response is
    // cut; any other call gets a complete one.
    void cut_off() {
        leave_queue();
        progress_.may_have_run = progress_.may_have_run || holds_slot_;
        cancel_run();
        give_up(grace_over_reason);
    }

    // Refuses a call whose request, or a part of its prompt, has crashed too many targets.
    bool refuse_if_quarantined() {
        auto left = quarantine_remaining(owner_.crashes, fingerprint_, loop_now(owner_.loop));
        for (auto const& part : parts_) {
            if (auto const of_part = part_remaining(part); of_part > left) {
                left = of_part;
                quarantined_part_ = part;
            }
        }
        if (left <= duration::zero()) {
            return false;
        }
        leave_queue();
        quarantine_left_ = std::chrono::ceil<std::chrono::milliseconds>(left);
        give_up("quarantined");
        return true;
    }

    // Ends a run that has sent nothing yet and would crash its target. A run that has sent events
    // is evidence for its parts.
    void end_quarantined_run() {
        auto const now = loop_now(owner_.loop);
        bool const quarantined =
            std::any_of(parts_.begin(), parts_.end(), [&](std::string const& part) {
                return quarantine_remaining(owner_.crashes, part, now) > duration::zero();
            });
        if (!exchange_ || run_events() > 0 || !quarantined) {
            return;
        }
        cancel_run();
        progress_.may_have_run = true;
        refuse_if_quarantined();
    }

    // Tries the request again after its target was checked.
    void retry_checked() {
        if (!ended_) {
            send_or_queue();
        }
    }

    // Sends the queued request if there is a free slot, or refuses it.
    // @return false if it waits on
    bool try_admit() {
        auto const choice = choose();
        if (refuse_if_quarantined() || refuse_if_barred(choice)) {
            return true;
        }
        check_room(choice);
        if (wait_cause_ != wait_cause::none) {
            return false;
        }
        leave_queue();
        send(choice);
        return true;
    }

    // Refuses a queued call if no target may run it any more.
    void recheck_access() { refuse_if_barred(choose()); }

    // Refuses a queued call that could not begin in time.
    void refuse_hopeless() {
        leave_queue();
        char const* const reason = "no_slot_in_time";
        if (progress_.may_have_run || !owner_.settings.policies.spread_returns) {
            give_up(reason);
            return;
        }
        auto const now = loop_now(owner_.loop);
        respond(unavailable, reason,
                plan_return(owner_.return_plans[service_], next_slot_interval(owner_, service_),
                            deadline_ - now, owner_.random, now));
    }

    void on_queue_timeout() {
        auto const choice = choose();
        leave_queue();
        bool const untried = progress_.sends == 0 && progress_.connect_failures == 0;
        if (progress_.kind != call_kind::stream && untried && !choice.id.empty()) {
            send(choice); // an unusable or busy target is better than none
            return;
        }
        give_up(choice.id.empty() ? "no_target" : "no_room");
    }

private:
    void begin_routing() {
        auto const& config = owner_.config;
        auto const* const route = find_route(*config, headers_.host, request_.head.target);
        if (route == nullptr) {
            respond(not_found, "no_route", std::nullopt);
            return;
        }
        if (route->needs_key && config->has_teams) {
            auto const* const team = find_team(*config, headers_.api_key);
            if (team == nullptr) {
                respond(unauthorized, "unknown_key", std::nullopt);
                return;
            }
            team_ = team->name;
            access_.team_regions = team->regions;
            priority_ = team->priority;
        }
        apply_route(*route);
        send_or_queue();
    }

    void apply_route(call_route const& route) {
        version_ = owner_.config->version;
        route_ = route.name;
        progress_.kind = route.kind;
        progress_.resumable = route.resumable;
        progress_.max_attempts = route.max_attempts;
        priority_ = std::min(priority_.value_or(route.priority), lowest_priority);
        route_priority_ = std::min(route.priority, lowest_priority);
        route_timeout_ = route.timeout;
        access_.route_regions = route.regions;
        latency_objective_ = route.target_latency;
        service_ = pick_service(route, next_unit(owner_.random));
        record_prompt(owner_.prompt_readings, service_, headers_.prompt_tokens);
        count_request(owner_.retry_windows[service_], owner_.shared_retry_limits,
                      request_.first_byte_at);
        fingerprint_ = call_fingerprint({headers_.host, request_.head.method, request_.head.target,
                                         team_.empty() ? headers_.api_key : team_, request_.body});
        // The last part belongs to this request alone.
        for (std::size_t number = 0; number + 1 < headers_.prompt.size(); ++number) {
            parts_.push_back(part_fingerprint(headers_.prompt[number].id));
        }
        auto const limit =
            std::min<duration>(headers_.time_limit.value_or(default_time_limit), route.timeout);
        deadline_ = request_.first_byte_at + limit;
        if (headers_.time_limit) {
            spent_before_ = estimate_time_spent(*headers_.time_limit);
            record_time_limit(owner_.time_limits, *headers_.time_limit, route_timeout_,
                              loop_now(owner_.loop));
        }
        expires_at_ = deadline_ + response_slack;
        splitter_.last_id = headers_.last_event_id;
    }

    // Time until a part may be sent to a target again, by this gateway.
    [[nodiscard]] duration part_remaining(std::string const& part) const {
        auto const& tracker = owner_.crashes;
        auto const now = loop_now(owner_.loop);
        auto const left = quarantine_remaining(tracker, part, now);
        if (left > duration::zero() || !tracker.listed_suspects.contains(part)) {
            return left;
        }
        auto const turn = trial_remaining(tracker, part, trial_turn(part), now);
        bool const is_tried = is_on_trial(tracker, part, now) &&
                              std::any_of(owner_.calls.begin(), owner_.calls.end(),
                                          [&](auto const& call) { return call->runs_part(part); });
        return is_tried ? std::max(turn, tracker.settings.trial_interval) : turn;
    }

    [[nodiscard]] bool runs_part(std::string const& part) const {
        return exchange_ && std::find(parts_.begin(), parts_.end(), part) != parts_.end();
    }

    // Number of gateways that try a part before this one.
    [[nodiscard]] unsigned trial_turn(std::string const& part) const {
        auto const order = [&](std::string const& address) { return hash64(part + address); };
        auto const own = order(owner_.subscriber.self.address);
        auto const listed =
            listed_daemons(owner_.subscriber, daemon_role::gateway, loop_now(owner_.loop));
        return static_cast<unsigned>(
            std::count_if(listed.begin(), listed.end(),
                          [&](auto const& entry) { return order(entry.first) < own; }));
    }

    // Parts that may have crashed the target of the present run. The first part, which most
    // requests of a route share, is blamed only if it is unproven.
    [[nodiscard]] std::vector<run_part> suspect_parts() const {
        std::vector<run_part> suspects;
        auto const now = loop_now(owner_.loop);
        for (std::size_t number = 0; number < std::min(parts_.size(), max_suspect_parts);
             ++number) {
            bool const unproven =
                run_events() == 0 && !is_proven_part(owner_.crashes, parts_[number], now);
            if (unproven || number > 0) {
                suspects.push_back({parts_[number], unproven});
            }
        }
        return suspects;
    }

    // Latest end of a run that begins now.
    [[nodiscard]] time_point run_limit() const {
        return owner_.stop ? std::min(deadline_, owner_.stop->finish_by) : deadline_;
    }

    [[nodiscard]] std::chrono::milliseconds time_left() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(run_limit() -
                                                                     loop_now(owner_.loop));
    }

    // Output tokens that a stream is expected or allowed to have; 0 if unknown.
    [[nodiscard]] unsigned output_tokens() const {
        bool const stream = progress_.kind == call_kind::stream;
        return stream ? headers_.expected_output_tokens.value_or(headers_.max_output_tokens) : 0;
    }

    // How long a run that begins now may last. The deadline bounds it.
    [[nodiscard]] duration longest_run() const {
        auto const until_deadline =
            std::max<duration>(deadline_ - loop_now(owner_.loop), duration::zero());
        auto const known = owner_.run_history.find({route_, service_});
        if (progress_.answer_started) {
            // Only this gateway can complete the answer, so the usual length of its rest is enough
            // to go on. A stream that has lasted longer than usual may go on for as long again.
            auto const streamed = last_event_at_ - first_event_at_;
            auto const mean = known == owner_.run_history.end()
                                  ? std::nullopt
                                  : mean_run(known->second, output_tokens());
            return std::min(mean > streamed ? *mean - streamed : streamed, until_deadline);
        }
        auto const estimate =
            known == owner_.run_history.end()
                ? std::nullopt
                : estimate_run(known->second, output_tokens(), loop_now(owner_.loop));
        return std::min(estimate.value_or(until_deadline), until_deadline);
    }

    // Whether the process stops before a run that begins now would end.
    [[nodiscard]] bool is_too_late() {
        if (!owner_.stop) {
            return false;
        }
        judged_length_ = longest_run();
        return !can_finish(*owner_.stop, loop_now(owner_.loop), *judged_length_);
    }

    // Ends a call whose deadline has passed, or whose next run could not end before the process
    // does, so that its caller can turn to another gateway at once.
    bool end_if_too_late() {
        if (loop_now(owner_.loop) >= deadline_) {
            on_deadline();
            return true;
        }
        if (!is_too_late()) {
            return false;
        }
        leave_queue();
        give_up(stopping_reason);
        return true;
    }

    run_lengths& history() { return owner_.run_history[{route_, service_}]; }

    // Whether the present run is as long as others of its route: it has a body, and a stream began
    // with its first event.
    [[nodiscard]] bool runs_whole() const {
        return events_before_run_ == 0 && !headers_.last_event_id && request_.head.method != "HEAD";
    }

    // Learns how long runs of the route last.
    void record_run_length() {
        if (runs_whole()) {
            auto const now = loop_now(owner_.loop);
            record_run(history(), {now - sent_at_, output_tokens()}, now);
        }
    }

    // The same of a run that was cut off.
    void record_unfinished() {
        if (runs_whole()) {
            auto const now = loop_now(owner_.loop);
            record_unfinished_run(history(), {now - sent_at_, output_tokens()}, now);
        }
    }

    // Whether the latency objective is missed, counted from the caller's first attempt.
    [[nodiscard]] bool is_late() const {
        return !progress_.answer_started && latency_objective_ > duration::zero() &&
               loop_now(owner_.loop) - request_.first_byte_at + spent_before_ > latency_objective_;
    }

    // Estimates the time of the caller's earlier attempts.
    [[nodiscard]] duration estimate_time_spent(duration limit) const {
        if (!owner_.settings.policies.learn_time_limits) {
            return std::max<duration>(duration::zero(), route_timeout_ - limit);
        }
        return time_spent_before(owner_.time_limits, limit, route_timeout_);
    }

    target_view* current_target() {
        auto const found = owner_.targets.find(target_id_);
        return found == owner_.targets.end() ? nullptr : &found->second;
    }

    // What the choice of a target for the next attempt depends on.
    [[nodiscard]] call_need need() const {
        call_need need;
        need.service = service_;
        need.stream = progress_.kind == call_kind::stream;
        need.resumed = progress_.answer_started;
        need.slack = latest_send_time() - loop_now(owner_.loop);
        need.prompt_tokens = headers_.prompt_tokens;
        need.access = &access_;
        need.excluded = excluded_;
        if (tried_targets_.size() >= progress_.max_attempts) {
            need.only = tried_targets_;
        }
        return need;
    }

    // Chooses a target for the next attempt.
    // @param more_excluded targets that must not be chosen besides those already excluded
    [[nodiscard]] target_choice choose(std::vector<std::string> const& more_excluded = {}) const {
        auto wanted = need();
        wanted.excluded.insert(wanted.excluded.end(), more_excluded.begin(), more_excluded.end());
        return choose_target(owner_.targets, service_, owner_.settings.zone,
                             filter_for(owner_, wanted), owner_.target_selection, owner_.random,
                             loop_now(owner_.loop));
    }

    // Waiting is useless for a request that the access rules leave without any target.
    bool refuse_if_barred(target_choice const& choice) {
        denied_ = choice.denied;
        if (!is_barred(choice)) {
            return false;
        }
        leave_queue();
        give_up(name_of(main_denial(denied_)));
        return true;
    }

    // Sets the cause to wait. A group without room for a request that could be on time is short of
    // places.
    void check_room(target_choice const& choice) {
        wait_cause_ = cause_to_wait(owner_, need(), choice);
        note_cold_wait(owner_, service_, choice);
        auto const now = loop_now(owner_.loop);
        auto const group = owner_.groups.find(choice.group);
        bool const is_short = wait_cause_ == wait_cause::full_group && latest_send_time() >= now;
        if (is_short && group != owner_.groups.end()) {
            record_shortage(group->second, now);
        }
    }

    // State of the group that the request was sent to; empty if it has none.
    [[nodiscard]] group_admission const& group_state() const {
        static group_admission const none;
        auto const group = owner_.groups.find(group_name_);
        return group == owner_.groups.end() ? none : group->second;
    }

    // Latest time to send a stream so that its first event can still meet the objective.
    [[nodiscard]] time_point latest_send_time() const {
        return request_.first_byte_at - spent_before_ + latency_objective_ -
               typical_first_event_delay;
    }

    // Sends the request at once if there is a free slot, and, for a stream, if no other call of the
    // service is queued; queues it otherwise.
    void send_or_queue() {
        auto const choice = choose();
        if (refuse_if_quarantined() || end_if_too_late() || refuse_if_barred(choice)) {
            return;
        }
        auto& outage = owner_.outages[service_];
        update_outage(outage, is_usable(choice), loop_now(owner_.loop));
        bool const stream = progress_.kind == call_kind::stream;
        if (stream && is_prolonged(outage, loop_now(owner_.loop))) {
            give_up("service_down");
            return;
        }
        bool const others_queued = queued_call_count(owner_.queue, service_) > 0 && stream;
        check_room(choice);
        if (wait_cause_ == wait_cause::none && others_queued) {
            wait_cause_ = wait_cause::other_calls;
        }
        if (wait_cause_ == wait_cause::none) {
            send(choice);
            return;
        }
        join_queue();
        if ((stream && choice.healthy) || wait_cause_ == wait_cause::cold_targets) {
            refuse_hopeless_calls(owner_, service_);
        }
    }

    void join_queue() {
        auto const now = loop_now(owner_.loop);
        bool const stream = progress_.kind == call_kind::stream;
        auto const limit =
            std::min<duration>(stream ? stream_queue_timeout : plain_queue_timeout,
                               (deadline_ - request_.first_byte_at) / queue_timeout_divisor);
        queued_call entry;
        entry.id = ++owner_.last_queue_id;
        entry.arrived = request_.first_byte_at;
        entry.send_by = progress_.answer_started ? now + resume_send_limit : latest_send_time();
        entry.expires_at = std::max(request_.first_byte_at, sent_at_) + limit;
        entry.priority =
            priority_.value_or(lowest_priority) * (lowest_priority + 1) + route_priority_;
        entry.resumed = progress_.answer_started;
        if (entry.expires_at <= now) {
            give_up("no_room");
            return;
        }
        queue_id_ = entry.id;
        enqueue(owner_.queue, service_, entry);
        owner_.queued_calls.emplace(entry.id, shared_from_this());
    }

    void leave_queue() {
        if (queue_id_ != 0) {
            remove(owner_.queue, service_, queue_id_);
            owner_.queued_calls.erase(queue_id_);
            queue_id_ = 0;
        }
    }

    // Every run begins here.
    void send(target_choice const& choice) {
        if (end_if_too_late()) {
            return;
        }
        auto const now = loop_now(owner_.loop);
        expires_at_ = run_limit() + response_slack;
        target_id_ = choice.id;
        ++sends_;
        if (prior_crash_id_.empty()) {
            prior_crash_id_ = last_crash_id(owner_.crashes, fingerprint_);
        }
        auto& chosen = owner_.targets.at(target_id_);
        sent_to_ = {chosen.announcement.address, chosen.announcement.started_at, chosen.group};
        ++chosen.own_in_flight;
        record_cold_send(chosen.cold, owner_.cold_pace, now);
        add_prompt(chosen.prompts, {headers_.prompt_tokens, now});
        holds_slot_ = true;
        group_name_ = chosen.group ? chosen.group->name : ungrouped_name(service_);
        if (auto const group = owner_.groups.find(group_name_); group != owner_.groups.end()) {
            ++group->second.streams.own;
        }
        sent_at_ = now;
        events_before_run_ = splitter_.event_count;
        response_.reset();
        response_body_.clear();
        waiting_for_room_ = false;
        exchange_end_ = {};
        log_attempt(choice);
        auto request = make_target_request(chosen);
        request_bytes_ = request.bytes.size();
        exchange_ = owner_.pool.start(std::move(request), exchange_handlers());
    }

    void log_attempt(target_choice const& choice) {
        std::vector<log_field> fields{{"call", headers_.attempt_id},
                                      {"request", fingerprint_},
                                      {"route", route_},
                                      {"version", version_},
                                      {"attempt", sends_},
                                      {"target", target_id_},
                                      {"parts", describe_parts(headers_.prompt)},
                                      {"prompt_tokens", headers_.prompt_tokens},
                                      {"load", choice.load},
                                      {"slots", choice.slots},
                                      {"report_age_ms", in_millis(choice.report_age)},
                                      {"candidates", choice.candidates},
                                      {"suspect", choice.suspect},
                                      {"cold", choice.cold},
                                      {"priority", priority_.value_or(lowest_priority)},
                                      {"route_priority", route_priority_},
                                      {"group_own", group_state().streams.own},
                                      {"group_own_limit", group_state().own_limit},
                                      {"group_running", group_state().streams.running},
                                      {"group_limit", group_state().limit},
                                      {"waited_ms", in_millis(sent_at_ - request_.first_byte_at)},
                                      {"left_ms", time_left().count()}};
        add_left_out(fields, choice.denied);
        add_stop_fields(fields);
        log_bounded(owner_.loop, events::call_attempt, fields);
    }

    // While the gateway stops, its lines tell how long after the signal the request was read and
    // the line was written, and how long its run was last expected to take.
    void add_stop_fields(std::vector<log_field>& fields) const {
        if (!owner_.stop) {
            return;
        }
        auto const begun = owner_.stop->begun;
        fields.emplace_back("stopping_ms", in_millis(loop_now(owner_.loop) - begun));
        fields.emplace_back("read_ms", in_millis(read_at_ - begun));
        if (judged_length_) {
            fields.emplace_back("expected_ms", in_millis(*judged_length_));
        }
    }

    target_request make_target_request(target_view const& chosen) {
        forwarding_fields fields;
        fields.target_id = chosen.announcement.id;
        fields.team = team_;
        fields.time_left = time_left();
        fields.priority = is_late() ? std::max(priority_.value_or(0), late_priority) : priority_;
        fields.last_event_id = splitter_.last_id;
        target_request out;
        out.address = sent_to_.address;
        out.bytes = format_request(request_.head.method, request_.head.target,
                                   platform::encode_target_headers(request_.head, fields),
                                   request_.body, request_.declares_body);
        out.head_only = request_.head.method == "HEAD";
        out.connect_timeout = connect_timeout;
        out.max_idle = is_retry_safe(progress_) ? retryable_max_idle : non_retryable_max_idle;
        out.excluded_connections = refused_on_;
        return out;
    }

    exchange_callbacks exchange_handlers() {
        auto const self = shared_from_this();
        return {[self](message_head const& head) { return self->on_head(head); },
                [self](std::string const& bytes) { return self->on_body(bytes); },
                [self](exchange_end const& end) { self->on_exchange_end(end); }};
    }

    // Returns false for a response to another request, left over on the connection; it is skipped.
    bool on_head(message_head const& head) {
        auto answer = platform::decode_target_response(head);
        if (!answer.attempt_id.empty() && answer.attempt_id != headers_.attempt_id) {
            return false;
        }
        if (auto* const known = current_target(); known != nullptr && answer.load) {
            auto const before = known->load.value_or(load_sample{});
            known->load =
                load_sample{loop_now(owner_.loop), answer.load->running, answer.load->waiting,
                            known->own_in_flight,  before.slowdown,      before.pass};
        }
        response_ = std::move(answer);
        response_head_ = head;
        record_response_part();
        apply_target_notices();
        return true;
    }

    // Applies what every response may say about its target beside the result of the request.
    void apply_target_notices() {
        auto* const known = current_target();
        if (known == nullptr) {
            return;
        }
        note_cold_target(owner_, *known, response_->cold_left);
        if (response_->leaving && !known->leaving) {
            known->leaving = true;
            log_bounded(owner_.loop, events::target_leaving,
                        {{"call", headers_.attempt_id}, {"target", target_id_}});
        }
        if (response_->status == unavailable && response_->retry_after) {
            record_pause(*known, *response_->retry_after, loop_now(owner_.loop));
            log_bounded(owner_.loop, events::target_paused,
                        {{"call", headers_.attempt_id},
                         {"target", target_id_},
                         {"for_ms", in_millis(*response_->retry_after)}});
        }
    }

    [[nodiscard]] bool has_usable_response() const {
        bool const success = response_->status < first_error_status;
        return !success || (response_->signed_by_target && !response_->attempt_id.empty());
    }

    [[nodiscard]] bool is_streaming() const {
        return progress_.kind == call_kind::stream && response_->status == ok_status &&
               has_usable_response();
    }

    void record_response_part() {
        last_byte_at_ = loop_now(owner_.loop);
        if (auto* const known = current_target()) {
            known->answered_at = last_byte_at_;
        }
    }

    bool on_body(std::string const& bytes) {
        record_response_part();
        if (!is_streaming()) {
            bool const has_room =
                reserve_response(*writer_, response_head_, response_body_, bytes.size());
            response_body_ += bytes;
            if (response_body_.size() > max_response_bytes) {
                abort_oversized_response();
            }
            waiting_for_room_ = !has_room;
            return has_room;
        }
        write_events(split_events(splitter_, bytes));
        if (exceeds_limits(splitter_)) {
            abort_oversized_response();
            return true;
        }
        bool const has_buffer_space = writer_->unsent_bytes() < max_write_backlog;
        if (!has_buffer_space) {
            writer_->on_flushed([weak = weak_from_this()] {
                auto const self = weak.lock();
                if (self && self->exchange_) {
                    self->exchange_->resume();
                }
            });
        }
        return has_buffer_space;
    }

    // Reads on once the process has room for the response.
    void resume_response() {
        if (waiting_for_room_ && exchange_ &&
            reserve_response(*writer_, response_head_, response_body_, 0)) {
            waiting_for_room_ = false;
            exchange_->resume();
        }
    }

    // Ends an exchange that exceeded a size limit; the target is avoided for a while.
    void abort_oversized_response() {
        exchange_->cancel();
        on_exchange_end({exchange_result::response_failed});
    }

    void write_events(std::string const& events) {
        if (events.empty()) {
            return;
        }
        if (auto* const known = current_target()) {
            remove_prompt(known->prompts, {headers_.prompt_tokens, sent_at_});
        }
        if (!progress_.answer_started) {
            progress_.answer_started = true;
            first_event_at_ = loop_now(owner_.loop);
            writer_->start(response_head_.status, response_head_.reason,
                           platform::encode_caller_headers(response_head_));
        }
        auto const now = loop_now(owner_.loop);
        if (last_event_at_ != time_point{} && now - last_event_at_ > longest_pause_) {
            longest_pause_ = now - last_event_at_;
            longest_pause_at_ = last_event_at_;
        }
        if (passed_event_from_ == target_id_) {
            record_group_pass(now - last_event_at_, now);
        }
        passed_event_from_ = target_id_;
        last_event_at_ = now;
        writer_->write(events);
    }

    void record_group_pass(duration pass, time_point now) {
        auto const group = owner_.groups.find(group_name_);
        if (group != owner_.groups.end() && group->second.streams.ranks > 0) {
            auto const& streams = group->second.streams;
            record_pass(group->second.passes, pass,
                        {streams.running / streams.ranks, streams.slowdown}, now);
        }
    }

    void release_slot() {
        if (!holds_slot_) {
            return;
        }
        holds_slot_ = false;
        if (auto* const known = current_target()) {
            remove_prompt(known->prompts, {headers_.prompt_tokens, sent_at_});
            release_run(*known, owner_.target_selection, loop_now(owner_.loop));
        }
        if (auto const group = owner_.groups.find(group_name_); group != owner_.groups.end()) {
            group->second.streams.own -= group->second.streams.own > 0 ? 1 : 0;
        }
        record_free_slot(owner_.slot_flows[service_], loop_now(owner_.loop));
        post_admission();
    }

    // Cancels the run in progress, if there is one.
    void cancel_run() {
        if (exchange_) {
            record_unfinished();
            exchange_->cancel();
            exchange_.reset();
        }
        release_slot();
    }

    // Admits queued calls to the freed slot. Posted to the loop because the present call is still
    // in progress.
    void post_admission() {
        if (!owner_.queued_calls.empty() && !owner_.admission_posted) {
            owner_.admission_posted = true;
            net::post(owner_.loop.context, [&owner = owner_] {
                owner.admission_posted = false;
                admit_calls(owner);
            });
        }
    }

    void on_exchange_end(exchange_end const& end) {
        exchange_.reset();
        exchange_end_ = end;
        exchange_ended_at_ = loop_now(owner_.loop);
        release_slot();
        auto const how = end.result;
        if (how == exchange_result::complete) {
            on_complete();
            return;
        }
        if (how != exchange_result::not_connected) {
            record_unfinished();
        }
        record_failed_exchange(how != exchange_result::not_connected);
        switch (how) {
        case exchange_result::not_connected:
            finish_attempt(attempt_result::not_connected);
            return;
        case exchange_result::send_failed:
            finish_attempt(attempt_result::send_cut);
            return;
        case exchange_result::no_response:
            finish_attempt(attempt_result::lost);
            return;
        default:
            finish_attempt(attempt_result::broken);
        }
    }

    // Repeats a request that may run again elsewhere when its target has fallen silent, because its
    // caller would leave before the target goes on. If nothing else can take the request, it waits.
    void leave_quiet_target(time_point now) {
        auto* const known = current_target();
        auto const& selection = owner_.target_selection;
        bool const waits_in_vain = exchange_ && known != nullptr && is_retry_safe(progress_) &&
                                   now - sent_at_ > selection.quiet_after &&
                                   is_quiet(*known, selection, now);
        if (!waits_in_vain || !can_run_elsewhere() || !take_repeat_of_quiet_run()) {
            return;
        }
        cancel_run();
        exchange_end_ = {};
        exchange_ended_at_ = now;
        if (known->announcement.state == target_phase::ready) {
            record_lost_run(*known, now); // it may have crashed under the request
        }
        finish_attempt(attempt_result::silent);
    }

    // Whether a target that is heard of has a place for the request now.
    [[nodiscard]] bool can_run_elsewhere() const {
        auto const now = loop_now(owner_.loop);
        bool const quarantined =
            quarantine_remaining(owner_.crashes, fingerprint_, now) > duration::zero() ||
            std::any_of(parts_.begin(), parts_.end(), [&](std::string const& part) {
                return part_remaining(part) > duration::zero();
            });
        if (quarantined || queued_call_count(owner_.queue, service_) > 0) {
            return false;
        }
        auto const choice = choose({target_id_});
        return !choice.quiet && cause_to_wait(owner_, need(), choice) == wait_cause::none;
    }

    // Takes one retry from the budget if the policy allows to repeat the present run.
    bool take_repeat_of_quiet_run() {
        auto after = progress_;
        ++after.sends;
        after.distinct_targets += has_tried_target() ? 0 : 1;
        after.may_retry_same_target = false;
        auto const action =
            decide_after_attempt(after, attempt_result::silent, time_left() > min_time_left,
                                 [this] { return !is_too_late() && take_retry_from_budget(); });
        repeat_taken_ = action == call_action::try_another;
        return repeat_taken_;
    }

    bool take_retry_from_budget() {
        return take_retry(owner_.retry_windows[service_], owner_.shared_retry_limits,
                          owner_.retry_share, loop_now(owner_.loop));
    }

    // Whether an earlier attempt was sent to the present target.
    [[nodiscard]] bool has_tried_target() const {
        return std::find(tried_targets_.begin(), tried_targets_.end(), target_id_) !=
               tried_targets_.end();
    }

    void record_failed_exchange(bool may_have_run) {
        auto* const known = current_target();
        if (known == nullptr) {
            return;
        }
        auto const now = loop_now(owner_.loop);
        record_failure(*known, owner_.target_selection, now);
        // A draining target aborts its unfinished requests, which is no sign of a crash.
        if (may_have_run && known->announcement.state == target_phase::ready) {
            record_lost_run(*known, now);
        }
    }

    void record_lost_run(target_view const& known, time_point now) {
        lost_run run{fingerprint_,
                     target_id_,
                     known.announcement.started_at,
                     known.announcement.address,
                     sent_at_,
                     now,
                     prior_crash_id_,
                     suspect_parts()};
        prior_crash_id_ = crash_id_of(run); // for the next attempt of this call
        handle_lost_run(owner_, run);
    }

    // A response without an attempt id may be left over from an earlier request on its connection.
    [[nodiscard]] bool answers_this_request() const {
        return !response_->attempt_id.empty() || !exchange_end_.reused;
    }

    void on_complete() {
        if (!answers_this_request()) {
            finish_attempt(attempt_result::lost);
            return;
        }
        if (response_->not_executed) {
            refused_on_.push_back(exchange_end_.connection_id);
            record_refusal();
            finish_attempt(response_->status == misdirected_request ? attempt_result::wrong_target
                                                                    : attempt_result::refused);
            return;
        }
        if (!has_usable_response()) {
            finish_attempt(attempt_result::lost);
            return;
        }
        judge_response(std::nullopt);
    }

    // Finishes a complete response, or ends the attempt whose target broke it off.
    // @param target_runs whether the target was found running after the response had ended
    void judge_response(std::optional<bool> target_runs) {
        response_end end;
        end.framing = exchange_end_.framing;
        end.stream = is_streaming();
        end.cut = is_cut(splitter_);
        end.has_event = splitter_.event_count > 0 || splitter_.last_id;
        end.target_changed = target_changed() || ended_late();
        end.target_runs = target_runs;
        auto const verdict = judge_response_end(end);
        if (verdict == response_verdict::check_target) {
            check_response_target();
            return;
        }
        if (end.framing == body_framing::connection) {
            log_response_end(end, verdict);
        }
        if (verdict == response_verdict::complete) {
            finish_response();
            return;
        }
        record_failed_exchange(true);
        finish_attempt(attempt_result::broken);
    }

    // Whether the response ended long after its last byte. A whole one ends at once. One that a
    // crash or a partition cut off may end seconds later, when a new incarnation listens at the
    // address; ranks of a broken group end theirs after the stall.
    [[nodiscard]] bool ended_late() const {
        return exchange_ended_at_ - last_byte_at_ > owner_.settings.bounds.stall / 2;
    }

    // Whether the target has restarted, or its group has broken, since the request was sent. All
    // ranks of a group break off their streams when one rank ends, and keep running.
    [[nodiscard]] bool target_changed() {
        auto const* const known = current_target();
        if (known == nullptr) {
            return false;
        }
        auto const& group = known->group;
        bool const group_broke = group && sent_to_.group && group->name == sent_to_.group->name &&
                                 (group->epoch != sent_to_.group->epoch ||
                                  (!group->open && group->reported_at > sent_at_));
        return group_broke || known->announcement.state == target_phase::departed ||
               known->announcement.started_at != sent_to_.started_at;
    }

    // Asks whoever listens at the target's address for its id: after a crash that may be another
    // incarnation, which has not announced itself yet. The connection is kept for a later request,
    // which needs one, since this response has used up its own.
    void check_response_target() {
        if (ended_) {
            return;
        }
        progress_.may_have_run = true; // the call may end before the check does
        auto const delay = take_cold_send(owner_, target_id_);
        if (delay > target_check_timeout && can_be_repeated()) {
            judge_response(false);
            return;
        }
        if (delay > duration::zero()) {
            run_after(owner_.loop, delay,
                      [self = shared_from_this()] { self->check_response_target(); });
            return;
        }
        auto const* const service = find_service(*owner_.config, service_);
        target_request request;
        request.address = sent_to_.address;
        request.bytes = format_request(
            "GET", service == nullptr ? "/" : service->health_path,
            platform::encode_health_headers(sent_to_.address, target_id_), {}, false);
        request.connect_timeout = connect_timeout;
        request.new_connection = true;
        exchange_callbacks callbacks;
        callbacks.on_head = [self = shared_from_this()](message_head const& head) {
            auto const found = platform::decode_target_response(head);
            self->same_target_answers_ = found.target_id.empty()
                                             ? found.status != misdirected_request
                                             : found.target_id == self->target_id_;
            return true;
        };
        callbacks.on_end = [self = shared_from_this()](exchange_end const& end) {
            self->end_target_check(end.result == exchange_result::complete);
        };
        same_target_answers_ = false;
        target_check_ = owner_.pool.start(std::move(request), std::move(callbacks));
        // A slow target, or one without a free slot, answers late. Where no other target can serve
        // the request, only that answer can complete the response, so the check lasts until the
        // deadline.
        if (can_be_repeated()) {
            limit_target_check();
        }
    }

    // Whether another target may serve the request from the start or go on with its stream.
    [[nodiscard]] bool can_be_repeated() {
        return is_retry_safe(progress_) &&
               progress_.distinct_targets + 1 < progress_.max_attempts && !is_too_late();
    }

    // Takes silence for the target's end after a while.
    void limit_target_check() {
        run_after(owner_.loop, target_check_timeout,
                  [weak = weak_from_this(), check = std::weak_ptr{target_check_}] {
                      auto const self = weak.lock();
                      if (self && self->target_check_ && self->target_check_ == check.lock()) {
                          self->target_check_->cancel();
                          self->end_target_check(false);
                      }
                  });
    }

    void end_target_check(bool answered) {
        target_check_.reset();
        judge_response(answered && same_target_answers_);
    }

    void log_response_end(response_end const& end, response_verdict verdict) {
        char const* const found = !end.target_runs ? "unknown" : *end.target_runs ? "yes" : "no";
        log_bounded(owner_.loop, events::response_end_judged,
                    {{"call", headers_.attempt_id},
                     {"request", fingerprint_},
                     {"target", target_id_},
                     {"stream", end.stream},
                     {"events", splitter_.event_count},
                     {"cut", end.cut},
                     {"target_changed", end.target_changed},
                     {"target_runs", found},
                     {"complete", verdict == response_verdict::complete}});
    }

    void finish_response() {
        record_finished(owner_.crashes, fingerprint_, loop_now(owner_.loop));
        if (response_->status == ok_status) {
            for (auto const& part : parts_) {
                record_finished(owner_.crashes, part, loop_now(owner_.loop));
            }
        }
        bool const server_error =
            response_->status >= first_server_error && response_->status != gateway_timeout;
        bool const bad = server_error || promises_not_run(response_->status);
        if (bad && owner_.settings.policies.avoid_failing) {
            mark_target_suspect();
        } else {
            mark_target_good();
        }
        if (retrying_failure_) {
            record_retry_result(owner_.failure_retries[service_], !bad);
            retrying_failure_ = false;
        }
        if (bad && owner_.settings.policies.retry_failed && !progress_.answer_started &&
            is_retry_safe(progress_) &&
            should_retry_failure(owner_.failure_retries[service_], owner_.random)) {
            finish_attempt(attempt_result::failed);
            return;
        }
        if (progress_.answer_started && !is_streaming()) {
            // The target that should resume the stream answered with a failure.
            finish_attempt(attempt_result::broken);
            return;
        }
        if (is_streaming()) {
            finish_stream();
            return;
        }
        send_response();
    }

    void mark_target_good() {
        if (auto* const known = current_target()) {
            record_success(*known);
        }
    }

    void mark_target_suspect() {
        auto* const known = current_target();
        if (known == nullptr) {
            return;
        }
        auto const now = loop_now(owner_.loop);
        record_error_response(*known, owner_.target_selection, now);
        log_bounded(owner_.loop, events::target_suspected,
                    {{"call", headers_.attempt_id},
                     {"target", target_id_},
                     {"status", response_->status},
                     {"in_a_row", known->consecutive_errors},
                     {"for_ms", in_millis(known->suspect_until - now)}});
    }

    void send_response() {
        // The target did not state that the request has not run, so its status cannot be passed on.
        if (promises_not_run(response_->status)) {
            respond(bad_gateway, "unproven_refusal", std::nullopt);
            return;
        }
        if (response_->status < first_error_status) {
            record_run_length();
        }
        count_outcome("answered");
        log_end(events::call_answered, response_->status, "");
        writer_->send(response_->status, platform::encode_caller_headers(response_head_),
                      std::move(response_body_));
        end();
    }

    void finish_stream() {
        write_events(std::exchange(splitter_.partial, {})); // empty lines at the end
        if (!progress_.answer_started) {
            writer_->start(response_head_.status, response_head_.reason,
                           platform::encode_caller_headers(response_head_));
        }
        record_run_length();
        count_outcome("answered");
        log_end(events::call_answered, ok_status, "");
        writer_->finish();
        end();
    }

    // Applies what a refusal says about the target and its group.
    void record_refusal() {
        auto* const known = current_target();
        if (known == nullptr) {
            return;
        }
        if (response_->status == misdirected_request) {
            known->announcement.state = target_phase::departed;
            return;
        }
        // A full target reports that in its load. One with free slots refuses because its group is
        // not working or because it fails itself.
        bool const full = response_->load && response_->load->running >= response_->load->slots;
        if (!full) {
            record_failure(*known, owner_.target_selection, loop_now(owner_.loop));
            mark_group_closed(owner_.targets, target_id_, loop_now(owner_.loop));
        }
    }

    // Events that the present run has sent.
    [[nodiscard]] std::uint64_t run_events() const {
        return splitter_.event_count - events_before_run_;
    }

    void count_attempt(attempt_result result) {
        if (result == attempt_result::not_connected) {
            ++progress_.connect_failures;
            return;
        }
        ++progress_.sends;
        if (!has_tried_target()) {
            tried_targets_.push_back(target_id_);
        }
        if (result != attempt_result::refused) {
            excluded_.push_back(target_id_);
        }
        progress_.distinct_targets = static_cast<unsigned>(tried_targets_.size());
        progress_.may_retry_same_target =
            std::any_of(tried_targets_.begin(), tried_targets_.end(), [&](std::string const& id) {
                return std::find(excluded_.begin(), excluded_.end(), id) == excluded_.end();
            });
    }

    void finish_attempt(attempt_result result) {
        count_attempt(result);
        auto const partial_bytes = splitter_.partial.size();
        discard_partial(splitter_);
        bool too_late = false;
        auto const action =
            decide_after_attempt(progress_, result, time_left() > min_time_left, [&] {
                too_late = is_too_late();
                return !too_late &&
                       (std::exchange(repeat_taken_, false) || take_retry_from_budget());
            });
        log_bounded(owner_.loop, events::call_attempt_ended,
                    {{"call", headers_.attempt_id},
                     {"request", fingerprint_},
                     {"target", target_id_},
                     {"end", name_of(result)},
                     {"status", response_ ? response_->status : 0},
                     {"framing", name_of(exchange_end_.framing)},
                     {"connection", name_of(exchange_end_.connection)},
                     {"reused", exchange_end_.reused},
                     {"sent_bytes", exchange_end_.sent_bytes},
                     {"request_bytes", request_bytes_},
                     {"events", run_events()},
                     {"partial_bytes", partial_bytes},
                     {"after_ms", in_millis(loop_now(owner_.loop) - sent_at_)},
                     {"step", name_of(action)}});
        count(*owner_.metrics, "fireflycrank_attempts_failed_total",
              std::string{"end=\""} + name_of(result) + "\"");
        if (action == call_action::pass_on) {
            send_response();
            return;
        }
        if (action == call_action::try_another) {
            retrying_failure_ = result == attempt_result::failed;
            if (awaits_check()) {
                owner_.calls_awaiting_check[target_id_].push_back(shared_from_this());
                return;
            }
            send_or_queue();
            return;
        }
        give_up(too_late ? stopping_reason : name_of(result));
    }

    // Whether the next attempt could crash another target: the last one is being checked, and a
    // part of the prompt has never been seen in a run to its end.
    [[nodiscard]] bool awaits_check() const {
        auto const now = loop_now(owner_.loop);
        return owner_.targets_being_checked.contains(target_id_) &&
               std::any_of(parts_.begin(), parts_.end(), [&](std::string const& part) {
                   return !is_proven_part(owner_.crashes, part, now);
               });
    }

    // Ends the call without another attempt. The response tells whether the request may have run.
    void give_up(std::string const& reason) {
        if (progress_.answer_started) {
            log_end(events::call_failed, 0, reason);
            count_outcome("broken_off");
            end();
            writer_->abort();
            return;
        }
        if (progress_.may_have_run) {
            respond(bad_gateway, reason, std::nullopt);
            return;
        }
        if (quarantine_left_) {
            respond(unavailable, reason, quarantine_left_); // exact, so it needs no jitter
            return;
        }
        if (reason == stopping_reason || reason == grace_over_reason) {
            refuse(reason, stopping_retry_after);
            return;
        }
        refuse(reason, reason == "refused" ? short_retry_after : long_retry_after);
    }

    void on_deadline() {
        leave_queue();
        bool const was_sent = holds_slot_;
        cancel_run();
        progress_.may_have_run = progress_.may_have_run || was_sent;
        char const* const reason =
            loop_now(owner_.loop) < deadline_ ? grace_over_reason : "time_over";
        if (progress_.answer_started || !progress_.may_have_run) {
            give_up(reason);
            return;
        }
        respond(gateway_timeout, reason, std::nullopt);
    }

    void on_caller_disconnected() {
        if (ended_) {
            return;
        }
        leave_queue();
        cancel_run();
        count_outcome("abandoned");
        log_end(events::call_abandoned, 0, "caller_gone");
        end();
    }

    void refuse(std::string const& reason, std::chrono::milliseconds retry_after) {
        // Jitter keeps callers that were refused together from returning together.
        auto const jitter = static_cast<std::uint64_t>(retry_after.count());
        auto const delay =
            retry_after + std::chrono::milliseconds{next_below(owner_.random, jitter)};
        respond(unavailable, reason, delay);
    }

    void respond(unsigned status, std::string const& reason,
                 std::optional<std::chrono::milliseconds> retry_after) {
        bool const refused = status == unavailable;
        count_outcome(refused ? "refused" : "failed");
        if (refused) {
            auto const now = loop_now(owner_.loop);
            record_refused_caller(owner_.time_limits, deadline_ - now, now);
            count(*owner_.metrics, "fireflycrank_calls_refused_total", "reason=\"" + reason + "\"");
        }
        log_end(refused ? events::call_refused : events::call_failed, status, reason);
        auto fields = platform::gateway_response_headers(headers_.attempt_id, retry_after);
        end();
        writer_->send(status, std::move(fields), {});
    }

    void count_outcome(char const* outcome) {
        auto const labels = std::string{"outcome=\""} + outcome + "\"";
        count(*owner_.metrics, "fireflycrank_calls_total", labels);
        observe(*owner_.metrics, "fireflycrank_call_ms", labels,
                in_millis(loop_now(owner_.loop) - request_.first_byte_at));
    }

    void log_end(log_event_kind const& kind, unsigned status, std::string const& reason) {
        auto const now = loop_now(owner_.loop);
        std::vector<log_field> fields{{"call", headers_.attempt_id},
                                      {"request", fingerprint_},
                                      {"route", route_},
                                      {"service", service_},
                                      {"team", team_},
                                      {"version", version_},
                                      {"status", status},
                                      {"reason", reason},
                                      {"attempts", sends_},
                                      {"target", target_id_},
                                      {"prompt_tokens", headers_.prompt_tokens},
                                      {"took_ms", in_millis(now - request_.first_byte_at)}};
        if (!quarantined_part_.empty()) {
            fields.emplace_back("part", quarantined_part_);
        }
        if (wait_cause_ != wait_cause::none) {
            auto const interval = next_slot_interval(owner_, service_);
            fields.emplace_back("waited_for", name_of(wait_cause_));
            fields.emplace_back("slack_ms", in_millis(latest_send_time() - now));
            fields.emplace_back("queued", queued_call_count(owner_.queue, service_));
            fields.emplace_back("slot_interval_ms", in_millis(interval));
        }
        if (response_) {
            fields.emplace_back("framing", name_of(exchange_end_.framing));
            fields.emplace_back("connection", name_of(exchange_end_.connection));
        }
        if (first_event_at_ != time_point{}) {
            fields.emplace_back("first_event_ms",
                                in_millis(first_event_at_ - request_.first_byte_at));
            fields.emplace_back("events", splitter_.event_count);
            fields.emplace_back("longest_pause_ms", in_millis(longest_pause_));
            fields.emplace_back("paused_after_ms",
                                in_millis(longest_pause_at_ - request_.first_byte_at));
        }
        add_left_out(fields, denied_);
        add_stop_fields(fields);
        log_bounded(owner_.loop, kind, fields);
    }

    void end() {
        ended_ = true;
        if (target_check_) {
            target_check_->cancel();
            target_check_.reset();
        }
        owner_.calls.erase(shared_from_this());
    }

    static constexpr unsigned misdirected_request = 421;

    /// The target when the request was sent to it.
    struct incarnation_sent_to {
        std::string address;
        wall_time started_at{};
        std::optional<group_membership> group;
    };

    gateway& owner_;
    incoming_request request_;
    std::shared_ptr<response_writer> writer_;
    call_headers headers_;
    access_rules access_;
    denied_targets denied_;                 ///< by the last choice that could end the call
    time_point read_at_{};                  ///< when the last byte of the request was read
    std::optional<duration> judged_length_; ///< last expected length of a run that begins in a stop
    call_progress progress_;
    std::string route_;
    std::string service_;
    std::string team_;
    std::string fingerprint_;
    std::vector<std::string> parts_; ///< fingerprints of the prompt's parts but the last
    std::string quarantined_part_;   ///< for which the request is refused; may be empty
    std::string prior_crash_id_;     ///< last crash seen under this request; may be empty
    /// Set when the request is quarantined.
    std::optional<std::chrono::milliseconds> quarantine_left_;
    std::optional<unsigned> priority_;
    unsigned route_priority_{lowest_priority};
    std::uint64_t version_{0};
    std::chrono::milliseconds route_timeout_{0};
    std::chrono::milliseconds latency_objective_{0};
    duration spent_before_{}; ///< on earlier attempts of the caller
    time_point deadline_{};
    time_point expires_at_{};
    time_point sent_at_{};
    time_point first_event_at_{};
    time_point last_event_at_{};
    bool retrying_failure_{false};  ///< the present attempt retries a failed run
    bool repeat_taken_{false};      ///< the next repeat was already taken from the retry budget
    time_point longest_pause_at_{}; ///< start of the longest pause between events
    duration longest_pause_{};
    std::vector<std::string> tried_targets_; ///< targets that the request was sent to
    std::vector<std::string> excluded_;      ///< those of them that must not be tried again
    /// Connections on which the request was refused. A late copy of the refusal would be taken for
    /// the answer to another send, which has the same attempt id.
    std::vector<std::uint64_t> refused_on_;
    unsigned sends_{0};
    std::string target_id_;
    incarnation_sent_to sent_to_;
    std::string group_name_;        ///< of the target; empty if it has none
    std::string passed_event_from_; ///< target of the last forwarded event
    bool holds_slot_{false};
    bool ended_{false};
    wait_cause wait_cause_{wait_cause::none};
    std::uint64_t queue_id_{0};
    bool waiting_for_config_{false};
    std::uint64_t events_before_run_{0};
    std::shared_ptr<target_exchange> exchange_;
    exchange_end exchange_end_;    ///< of the last attempt that ended
    std::size_t request_bytes_{0}; ///< encoded size of the request, as last sent
    time_point exchange_ended_at_{};
    std::shared_ptr<target_exchange> target_check_; ///< of the last attempt's target
    bool same_target_answers_{false};
    time_point last_byte_at_{}; ///< of the response
    std::optional<target_response> response_;
    message_head response_head_;
    std::string response_body_;
    bool waiting_for_room_{false}; ///< for the rest of the response
    event_splitter splitter_;
};

void serve_call(gateway& owner, incoming_request request, std::shared_ptr<response_writer> writer) {
    std::make_shared<gateway_call>(owner, std::move(request), std::move(writer))->begin();
}

void cut_off_calls(gateway& owner) {
    auto const open = owner.calls;
    for (auto const& call : open) {
        call->cut_off();
    }
}

void resume_calls(gateway& owner) {
    auto const open = owner.calls;
    for (auto const& call : open) {
        call->resume();
    }
}

namespace {

queue_order order_of(gateway const& owner) {
    return owner.settings.policies.order_by_priority ? queue_order::by_priority
                                                     : queue_order::by_time;
}

} // namespace

void admit_calls(gateway& owner) {
    std::vector<std::string> services;
    for (auto const& [service, waiting] : owner.queue.by_service) {
        services.push_back(service);
    }
    auto const now = loop_now(owner.loop);
    for (auto const& service : services) {
        while (auto const id = next_call(owner.queue, service, order_of(owner), now)) {
            auto const call = owner.queued_calls.at(*id);
            if (!call->try_admit()) {
                break;
            }
        }
    }
}

void refuse_hopeless_calls(gateway& owner, std::string const& service) {
    auto const now = loop_now(owner.loop);
    auto const interval = next_slot_interval(owner, service);
    bool const is_short = waits_for_cold(owner, service) ||
                          (owner.pass_needs.contains(service) && slots_are_short(owner, service));
    if (!owner.settings.policies.refuse_hopeless || interval <= duration::zero() || !is_short) {
        return;
    }
    for (auto const id : hopeless_calls(owner.queue, service, order_of(owner), interval, now,
                                        late_wait_end(owner, service))) {
        auto const call = owner.queued_calls.at(id);
        call->refuse_hopeless();
    }
}

void refuse_quarantined_calls(gateway& owner) {
    auto const waiting = owner.queued_calls;
    for (auto const& [id, call] : waiting) {
        call->refuse_if_quarantined();
    }
    auto const open = owner.calls;
    for (auto const& call : open) {
        call->end_quarantined_run();
    }
}

void recheck_access(gateway& owner) {
    auto const waiting = owner.queued_calls;
    for (auto const& [id, call] : waiting) {
        call->recheck_access();
    }
}

void retry_checked_calls(std::vector<std::shared_ptr<gateway_call>> const& calls) {
    for (auto const& call : calls) {
        call->retry_checked();
    }
}

void sweep_calls(gateway& owner) {
    auto const now = loop_now(owner.loop);
    admit_calls(owner);
    for (auto const& [service, needs] : owner.pass_needs) {
        if (queued_call_count(owner.queue, service) > 0) {
            refuse_hopeless_calls(owner, service);
        }
    }
    for (auto const id : expired_calls(owner.queue, now)) {
        auto const waiting = owner.queued_calls.find(id);
        if (waiting != owner.queued_calls.end()) {
            auto const call = waiting->second;
            call->on_queue_timeout();
        }
    }
    auto const open = owner.calls;
    if (owner.stop) {
        for (auto& [use, lengths] : owner.run_history) {
            lengths.in_progress.clear();
        }
        for (auto const& call : open) {
            call->report_run_in_progress(now);
        }
    }
    for (auto const& call : open) {
        call->sweep(now);
    }
}

} // namespace fireflycrank
