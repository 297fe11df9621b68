#include "callidentity.h"
#include "eventsplit.h"
#include "gateway.h"
#include "platform/callheaders.h"

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

// One round trip between zones and a full accept queue fit; a dead VM is given up soon enough to
// try another within a first token's objective.
constexpr std::chrono::milliseconds connect_limit{300};
// Kept connections idle for longer are not used for requests that must not run twice.
constexpr std::chrono::milliseconds once_max_idle{800};
constexpr std::chrono::milliseconds repeatable_max_idle{10'000};
// A target told to stop at the deadline answers by itself; its answer needs this long to arrive.
constexpr std::chrono::milliseconds answer_slack{120};
// Below this there is no time for a target to do anything.
constexpr std::chrono::milliseconds least_time_left{15};
constexpr std::size_t max_backlog = 256U << 10U;
constexpr std::size_t max_answer_bytes = 32U << 20U;
constexpr std::chrono::milliseconds default_time_limit{60'000};
constexpr unsigned lowest_urgency = 9;
// A request that has missed its objective yields to those that can still meet theirs.
constexpr unsigned late_urgency = 8;

// A gateway that has just started gets its configuration within this time, unless the core is down
// for longer; what arrives meanwhile waits instead of using up the caller's retry.
constexpr std::chrono::milliseconds config_wait{1'500};
constexpr int config_wait_divisor = 3; // of the caller's time, so that a retry still has time
// Time from the send to the first event of a stream at a target with a free slot.
constexpr std::chrono::milliseconds usual_first_event{150};
// Callers abandon a stream after two seconds without an event; a refusal before that leaves them
// time to come back.
constexpr std::chrono::milliseconds stream_patience{1'500};
constexpr std::chrono::milliseconds plain_patience{350};
constexpr int patience_divisor = 3; // of the caller's time
// A stream that broke off goes on before its caller notices the pause.
constexpr std::chrono::milliseconds resume_hurry{50};
// When to come back after a refusal, before jitter.
constexpr std::chrono::milliseconds soon{300};
constexpr std::chrono::milliseconds later{1'000};

char const* name_of(attempt_end end) {
    switch (end) {
    case attempt_end::not_connected:
        return "not_connected";
    case attempt_end::send_cut:
        return "send_cut";
    case attempt_end::refused:
        return "refused";
    case attempt_end::wrong_target:
        return "wrong_target";
    case attempt_end::lost:
        return "lost";
    case attempt_end::broken:
        return "broken";
    case attempt_end::failed:
        return "failed";
    }
    return "";
}

char const* name_of(call_step step) {
    switch (step) {
    case call_step::try_another:
        return "try_another";
    case call_step::refuse:
        return "refuse";
    case call_step::report_unknown:
        return "report_unknown";
    case call_step::pass_on:
        return "pass_on";
    case call_step::break_off:
        return "break_off";
    }
    return "";
}

} // namespace

/// One caller's request at the gateway.
class gateway_call : public std::enable_shared_from_this<gateway_call> {
public:
    gateway_call(gateway& owner, incoming_request request, std::shared_ptr<response_writer> writer)
        : owner_{owner}
        , request_{std::move(request)}
        , writer_{std::move(writer)}
        , call_{platform::decode_caller_request(request_.head)} {}

    void begin() {
        owner_.calls.insert(shared_from_this());
        writer_->on_disconnect([weak = weak_from_this()] {
            if (auto const self = weak.lock()) {
                self->on_caller_gone();
            }
        });
        if (owner_.config_confirmed) {
            begin_routing();
            return;
        }
        waiting_ = true;
        auto const limit = call_.time_limit.value_or(default_time_limit) / config_wait_divisor;
        give_up_at_ = request_.first_byte_at + std::min<duration>(limit, config_wait);
    }

    // Goes on once the gateway knows its configuration.
    void resume() {
        if (std::exchange(waiting_, false) && !ended_) {
            begin_routing();
        }
    }

    void sweep(time_point at) {
        if (at < give_up_at_ || ended_) {
            return;
        }
        if (waiting_) {
            refuse("no_configuration", later);
            return;
        }
        on_time_over();
    }

    // Ends a waiting call whose request has meanwhile crashed too many targets.
    bool end_if_quarantined() {
        auto const left = refused_for(owner_.guard, fingerprint_, loop_now(owner_.loop));
        if (left <= duration::zero()) {
            return false;
        }
        leave_queue();
        come_back_ = std::chrono::ceil<std::chrono::milliseconds>(left);
        give_up("quarantined");
        return true;
    }

    // Takes a place if there is one.
    bool admit() {
        auto const choice = choose();
        if (!has_room(choice)) {
            return false;
        }
        leave_queue();
        send(choice);
        return true;
    }

    void lose_patience() {
        auto const choice = choose();
        leave_queue();
        bool const untried = progress_.offers == 0 && progress_.unconnected == 0;
        if (progress_.kind != call_kind::stream && untried && !choice.id.empty()) {
            send(choice); // a doubtful target is better than none
            return;
        }
        give_up(choice.id.empty() ? "no_target" : "no_room");
    }

private:
    void begin_routing() {
        auto const& config = owner_.config;
        auto const* const route = find_route(*config, call_.host, request_.head.target);
        if (route == nullptr) {
            answer_own(not_found, "no_route", std::nullopt);
            return;
        }
        if (route->needs_key && config->has_teams) {
            auto const* const team = find_team(*config, call_.key);
            if (team == nullptr) {
                answer_own(unauthorized, "unknown_key", std::nullopt);
                return;
            }
            team_ = team->name;
            urgency_ = team->priority;
        }
        take_route(*route);
        attempt();
    }

    void take_route(call_route const& route) {
        version_ = owner_.config->version;
        route_ = route.name;
        progress_.kind = route.kind;
        progress_.resumable = route.resumable;
        progress_.max_attempts = route.max_attempts;
        urgency_ = std::min(urgency_.value_or(route.priority), lowest_urgency);
        timeout_ = route.timeout;
        objective_ = route.target_latency;
        service_ = pick_service(route, next_unit(owner_.random));
        count_request(owner_.ledgers[service_], owner_.bound, request_.first_byte_at);
        fingerprint_ = call_fingerprint({call_.host, request_.head.method, request_.head.target,
                                         team_.empty() ? call_.key : team_, request_.body});
        auto const limit =
            std::min<duration>(call_.time_limit.value_or(default_time_limit), route.timeout);
        ends_at_ = request_.first_byte_at + limit;
        give_up_at_ = ends_at_ + answer_slack;
        splitter_.last_id = call_.after_event;
    }

    [[nodiscard]] std::chrono::milliseconds time_left() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(ends_at_ -
                                                                     loop_now(owner_.loop));
    }

    // Whether the objective is missed already, counted from the caller's first attempt: a retry
    // states less time than the route gives.
    [[nodiscard]] bool is_late() const {
        return !progress_.answer_started && objective_ > duration::zero() &&
               loop_now(owner_.loop) - request_.first_byte_at + spent_before() > objective_;
    }

    [[nodiscard]] duration spent_before() const {
        return std::max<duration>(duration::zero(), timeout_ - call_.time_limit.value_or(timeout_));
    }

    target_view* view() {
        auto const found = owner_.targets.find(target_);
        return found == owner_.targets.end() ? nullptr : &found->second;
    }

    [[nodiscard]] target_choice choose() const {
        target_filter filter;
        filter.excluded = excluded_;
        if (sent_to_.size() >= progress_.max_attempts) {
            filter.only = sent_to_;
        }
        auto const followed = owner_.followed.find(service_);
        filter.subset = followed == owner_.followed.end() ? nullptr : &followed->second;
        return choose_target(owner_.targets, service_, owner_.settings.zone, filter, owner_.choice,
                             owner_.random, loop_now(owner_.loop));
    }

    [[nodiscard]] bool has_room(target_choice const& choice) const {
        slot_request need;
        need.stream = progress_.kind == call_kind::stream;
        need.resumed = progress_.answer_started;
        need.slack = on_time_until() - loop_now(owner_.loop);
        return fireflycrank::has_capacity(choice, need);
    }

    // Sent by then, a stream can still have its first event in time.
    [[nodiscard]] time_point on_time_until() const {
        return request_.first_byte_at - spent_before() + objective_ - usual_first_event;
    }

    // Sends at once where there is room and nobody waits; waits otherwise.
    void attempt() {
        if (end_if_quarantined()) {
            return;
        }
        auto const choice = choose();
        auto& outage = owner_.outages[service_];
        note_soundness(outage, choice.healthy, loop_now(owner_.loop));
        bool const stream = progress_.kind == call_kind::stream;
        if (stream && is_lasting(outage, loop_now(owner_.loop))) {
            give_up("service_down");
            return;
        }
        bool const others_wait = waiting_calls(owner_.queue, service_) > 0 && stream;
        if (has_room(choice) && !others_wait) {
            send(choice);
            return;
        }
        wait_for_room();
    }

    void wait_for_room() {
        auto const at = loop_now(owner_.loop);
        bool const stream = progress_.kind == call_kind::stream;
        auto const limit =
            std::min<duration>(stream ? stream_patience : plain_patience,
                               (ends_at_ - request_.first_byte_at) / patience_divisor);
        queued_call waiting;
        waiting.id = ++owner_.last_queued;
        waiting.arrived = request_.first_byte_at;
        waiting.on_time_until = progress_.answer_started ? at + resume_hurry : on_time_until();
        waiting.patient_until = std::max(request_.first_byte_at, sent_at_) + limit;
        if (waiting.patient_until <= at) {
            give_up("no_room");
            return;
        }
        queued_id_ = waiting.id;
        enqueue(owner_.queue, service_, waiting);
        owner_.queued.emplace(waiting.id, shared_from_this());
    }

    void leave_queue() {
        if (queued_id_ != 0) {
            remove(owner_.queue, service_, queued_id_);
            owner_.queued.erase(queued_id_);
            queued_id_ = 0;
        }
    }

    void send(target_choice const& choice) {
        auto const at = loop_now(owner_.loop);
        target_ = choice.id;
        ++offers_;
        if (after_crash_.empty()) {
            after_crash_ = last_crash_of(owner_.guard, fingerprint_);
        }
        auto& chosen = owner_.targets.at(target_);
        ++chosen.own_in_flight;
        running_ = true;
        sent_at_ = at;
        answer_.reset();
        body_.clear();
        log_bounded(owner_.loop, events::call_attempt,
                    {{"call", call_.attempt_id},
                     {"request", fingerprint_},
                     {"route", route_},
                     {"version", version_},
                     {"attempt", offers_},
                     {"target", target_},
                     {"load", choice.load},
                     {"slots", choice.slots},
                     {"report_age_ms", in_millis(choice.report_age)},
                     {"candidates", choice.candidates},
                     {"suspect", choice.suspect},
                     {"waited_ms", in_millis(at - request_.first_byte_at)},
                     {"left_ms", time_left().count()}});
        exchange_ = owner_.pool.start(target_bytes(chosen), exchange_handlers());
    }

    target_request target_bytes(target_view const& chosen) {
        forwarding_fields fields;
        fields.target_id = chosen.announcement.id;
        fields.team = team_;
        fields.time_left = time_left();
        fields.urgency = is_late() ? std::max(urgency_.value_or(0), late_urgency) : urgency_;
        fields.after_event = splitter_.last_id;
        target_request out;
        out.address = chosen.announcement.address;
        out.bytes = format_request(request_.head.method, request_.head.target,
                                   platform::encode_target_headers(request_.head, fields),
                                   request_.body, request_.declares_body);
        out.head_only = request_.head.method == "HEAD";
        out.connect_timeout = connect_limit;
        out.max_idle = may_run_again(progress_) ? repeatable_max_idle : once_max_idle;
        return out;
    }

    exchange_callbacks exchange_handlers() {
        auto const self = shared_from_this();
        return {[self](message_head const& head) { return self->on_head(head); },
                [self](std::string const& bytes) { return self->on_body(bytes); },
                [self](exchange_result how) { self->on_exchange_end(how); }};
    }

    // An answer to another request, left over on the connection, is skipped.
    bool on_head(message_head const& head) {
        auto answer = platform::decode_target_response(head);
        if (!answer.attempt_id.empty() && answer.attempt_id != call_.attempt_id) {
            return false;
        }
        if (auto* const known = view(); known != nullptr && answer.load) {
            auto const pace = known->load ? known->load->slowdown : 1.0;
            known->load = load_sample{loop_now(owner_.loop), answer.load->running,
                                      answer.load->waiting, known->own_in_flight, pace};
        }
        answer_ = std::move(answer);
        head_ = head;
        return true;
    }

    [[nodiscard]] bool usable() const {
        bool const success = answer_->status < first_error_status;
        return !success || (answer_->signed_by_target && !answer_->attempt_id.empty());
    }

    [[nodiscard]] bool streaming() const {
        return progress_.kind == call_kind::stream && answer_->status == ok_status && usable();
    }

    bool on_body(std::string const& bytes) {
        if (!streaming()) {
            body_ += bytes;
            if (body_.size() > max_answer_bytes) {
                leave_endless();
            }
            return true;
        }
        pass_on(split_events(splitter_, bytes));
        if (exceeds_limits(splitter_)) {
            leave_endless();
            return true;
        }
        bool const room = writer_->unsent_bytes() < max_backlog;
        if (!room) {
            writer_->on_flushed([weak = weak_from_this()] {
                auto const self = weak.lock();
                if (self && self->exchange_) {
                    self->exchange_->resume();
                }
            });
        }
        return room;
    }

    // Bytes that are no answer of any use; the target is avoided for a while.
    void leave_endless() {
        exchange_->cancel();
        on_exchange_end(exchange_result::response_failed);
    }

    void pass_on(std::string const& events) {
        if (events.empty()) {
            return;
        }
        if (!progress_.answer_started) {
            progress_.answer_started = true;
            first_event_at_ = loop_now(owner_.loop);
            writer_->start(head_.status, head_.reason, platform::encode_caller_headers(head_));
        }
        auto const at = loop_now(owner_.loop);
        if (last_event_at_ != time_point{} && at - last_event_at_ > longest_pause_) {
            longest_pause_ = at - last_event_at_;
            paused_at_ = last_event_at_;
        }
        last_event_at_ = at;
        writer_->write(events);
    }

    void leave_target() {
        if (!running_) {
            return;
        }
        running_ = false;
        if (auto* const known = view()) {
            known->own_in_flight -= known->own_in_flight > 0 ? 1 : 0;
        }
        post_admission();
    }

    // A place became free; posted, because the caller of this is not done with its own call yet.
    void post_admission() {
        if (!owner_.queued.empty() && !owner_.admitting) {
            owner_.admitting = true;
            net::post(owner_.loop.context, [&owner = owner_] {
                owner.admitting = false;
                admit_calls(owner);
            });
        }
    }

    void on_exchange_end(exchange_result how) {
        exchange_.reset();
        leave_target();
        if (how == exchange_result::complete) {
            on_complete();
            return;
        }
        auto const at = loop_now(owner_.loop);
        if (auto* const known = view()) {
            record_failure(*known, owner_.choice, at);
            bool const handed_over =
                how == exchange_result::no_response || how == exchange_result::response_failed;
            // A target that leaves cuts what it has not finished.
            if (handed_over && known->announcement.state == target_state::ready) {
                note_lost_run(*known, at);
            }
        }
        switch (how) {
        case exchange_result::not_connected:
            after(attempt_end::not_connected);
            return;
        case exchange_result::send_failed:
            after(attempt_end::send_cut);
            return;
        case exchange_result::no_response:
            after(attempt_end::lost);
            return;
        default:
            after(attempt_end::broken);
        }
    }

    void note_lost_run(target_view const& known, time_point at) {
        lost_run run{fingerprint_,
                     target_,
                     known.announcement.started_at,
                     known.announcement.address,
                     sent_at_,
                     at,
                     after_crash_};
        after_crash_ = crash_id_of(run); // for the next attempt of this call
        take_lost_run(owner_, run);
    }

    void on_complete() {
        if (answer_->not_run) {
            note_refusal();
            after(answer_->status == misdirected ? attempt_end::wrong_target
                                                 : attempt_end::refused);
            return;
        }
        if (!usable()) {
            after(attempt_end::lost);
            return;
        }
        note_finished(owner_.guard, fingerprint_, loop_now(owner_.loop));
        bool const bad =
            answer_->status >= first_server_error && answer_->status != gateway_timeout;
        bad ? suspect_target() : trust_target();
        if (repeats_failure_) {
            note_repeat(owner_.repeats_of[service_], !bad);
            repeats_failure_ = false;
        }
        if (bad && !progress_.answer_started && may_run_again(progress_) &&
            worth_repeating(owner_.repeats_of[service_], owner_.random)) {
            after(attempt_end::failed);
            return;
        }
        if (progress_.answer_started && !streaming()) {
            // The target that should go on with the stream answered with a failure of its own.
            after(attempt_end::broken);
            return;
        }
        if (streaming()) {
            finish_stream();
            return;
        }
        answer_whole();
    }

    void trust_target() {
        if (auto* const known = view()) {
            record_success(*known);
        }
    }

    void suspect_target() {
        auto* const known = view();
        if (known == nullptr) {
            return;
        }
        auto const at = loop_now(owner_.loop);
        record_error_response(*known, owner_.choice, at);
        log_bounded(owner_.loop, events::target_suspected,
                    {{"call", call_.attempt_id},
                     {"target", target_},
                     {"status", answer_->status},
                     {"in_a_row", known->consecutive_errors},
                     {"for_ms", in_millis(known->suspect_until - at)}});
    }

    void answer_whole() {
        count_outcome("answered");
        log_end(events::call_answered, answer_->status, "");
        writer_->send(answer_->status, platform::encode_caller_headers(head_), std::move(body_));
        end();
    }

    void finish_stream() {
        pass_on(std::exchange(splitter_.partial, {}));
        if (!progress_.answer_started) {
            writer_->start(head_.status, head_.reason, platform::encode_caller_headers(head_));
        }
        count_outcome("answered");
        log_end(events::call_answered, ok_status, "");
        writer_->finish();
        end();
    }

    // The target's own word about itself or its group.
    void note_refusal() {
        auto* const known = view();
        if (known == nullptr) {
            return;
        }
        if (answer_->status == misdirected) {
            known->announcement.state = target_state::departed;
            return;
        }
        // A full target says so in its load; one with free slots refuses because its group does not
        // work, or because it fails.
        bool const full = answer_->load && answer_->load->running >= answer_->load->slots;
        if (!full) {
            record_failure(*known, owner_.choice, loop_now(owner_.loop));
            mark_group_closed(owner_.targets, target_, loop_now(owner_.loop));
        }
    }

    void count_attempt(attempt_end end) {
        if (end == attempt_end::not_connected) {
            ++progress_.unconnected;
            return;
        }
        ++progress_.offers;
        bool const first = std::find(sent_to_.begin(), sent_to_.end(), target_) == sent_to_.end();
        if (first) {
            sent_to_.push_back(target_);
        }
        if (end != attempt_end::refused) {
            excluded_.push_back(target_);
        }
        progress_.sent = static_cast<unsigned>(sent_to_.size());
        progress_.may_reoffer =
            std::any_of(sent_to_.begin(), sent_to_.end(), [&](std::string const& id) {
                return std::find(excluded_.begin(), excluded_.end(), id) == excluded_.end();
            });
    }

    void after(attempt_end end) {
        count_attempt(end);
        discard_partial(splitter_);
        auto const step = after_attempt(progress_, end, time_left() > least_time_left, [this] {
            return take_repeat(owner_.ledgers[service_], owner_.bound, owner_.share,
                               loop_now(owner_.loop));
        });
        log_bounded(owner_.loop, events::call_attempt_ended,
                    {{"call", call_.attempt_id},
                     {"request", fingerprint_},
                     {"target", target_},
                     {"end", name_of(end)},
                     {"status", answer_ ? answer_->status : 0},
                     {"after_ms", in_millis(loop_now(owner_.loop) - sent_at_)},
                     {"step", name_of(step)}});
        count(*owner_.metrics, "fireflycrank_attempts_failed_total",
              std::string{"end=\""} + name_of(end) + "\"");
        if (step == call_step::pass_on) {
            answer_whole();
            return;
        }
        if (step == call_step::try_another) {
            repeats_failure_ = end == attempt_end::failed;
            attempt();
            return;
        }
        give_up(name_of(end));
    }

    // No further target: the answer says what is known of the request.
    void give_up(std::string const& reason) {
        if (progress_.answer_started) {
            log_end(events::call_failed, 0, reason);
            count_outcome("broken_off");
            end();
            writer_->abort();
            return;
        }
        if (progress_.may_have_run) {
            answer_own(bad_gateway, reason, std::nullopt);
            return;
        }
        if (come_back_) {
            answer_own(unavailable, reason, come_back_); // known, so it needs no spread
            return;
        }
        refuse(reason, reason == "refused" ? soon : later);
    }

    void on_time_over() {
        leave_queue();
        bool const handed_over = running_;
        if (exchange_) {
            exchange_->cancel();
            exchange_.reset();
        }
        leave_target();
        progress_.may_have_run = progress_.may_have_run || handed_over;
        if (progress_.answer_started || !progress_.may_have_run) {
            give_up("time_over");
            return;
        }
        answer_own(gateway_timeout, "time_over", std::nullopt);
    }

    void on_caller_gone() {
        if (ended_) {
            return;
        }
        leave_queue();
        if (exchange_) {
            exchange_->cancel();
            exchange_.reset();
        }
        leave_target();
        count_outcome("abandoned");
        log_end(events::call_abandoned, 0, "caller_gone");
        end();
    }

    void refuse(std::string const& reason, std::chrono::milliseconds come_back) {
        // Spread, so that those who were refused together do not return together.
        auto const spread = static_cast<std::uint64_t>(come_back.count());
        auto const advice =
            come_back + std::chrono::milliseconds{next_below(owner_.random, spread)};
        answer_own(unavailable, reason, advice);
    }

    void answer_own(unsigned status, std::string const& reason,
                    std::optional<std::chrono::milliseconds> come_back) {
        bool const refused = status == unavailable;
        count_outcome(refused ? "refused" : "failed");
        log_end(refused ? events::call_refused : events::call_failed, status, reason);
        auto fields = platform::gateway_response_headers(call_.attempt_id, come_back);
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
        auto const at = loop_now(owner_.loop);
        std::vector<log_field> fields{{"call", call_.attempt_id},
                                      {"request", fingerprint_},
                                      {"route", route_},
                                      {"service", service_},
                                      {"team", team_},
                                      {"version", version_},
                                      {"status", status},
                                      {"reason", reason},
                                      {"attempts", offers_},
                                      {"target", target_},
                                      {"took_ms", in_millis(at - request_.first_byte_at)}};
        if (first_event_at_ != time_point{}) {
            fields.emplace_back("first_event_ms",
                                in_millis(first_event_at_ - request_.first_byte_at));
            fields.emplace_back("events", splitter_.event_count);
            fields.emplace_back("longest_pause_ms", in_millis(longest_pause_));
            fields.emplace_back("paused_after_ms", in_millis(paused_at_ - request_.first_byte_at));
        }
        log_bounded(owner_.loop, kind, fields);
    }

    void end() {
        ended_ = true;
        owner_.calls.erase(shared_from_this());
    }

    static constexpr unsigned misdirected = 421;

    gateway& owner_;
    incoming_request request_;
    std::shared_ptr<response_writer> writer_;
    caller_call call_;
    call_progress progress_;
    std::string route_;
    std::string service_;
    std::string team_;
    std::string fingerprint_;
    std::string after_crash_; ///< id of the crash of a target that this call saw last
    std::optional<std::chrono::milliseconds> come_back_; ///< end of the request's quarantine
    std::optional<unsigned> urgency_;
    std::uint64_t version_{0};
    std::chrono::milliseconds timeout_{0};
    std::chrono::milliseconds objective_{0};
    time_point ends_at_{};
    time_point give_up_at_{};
    time_point sent_at_{};
    time_point first_event_at_{};
    time_point last_event_at_{};
    bool repeats_failure_{false}; ///< the present attempt follows a target's failure
    time_point paused_at_{};      ///< begin of the longest pause between events
    duration longest_pause_{};
    std::vector<std::string> sent_to_;  ///< targets that were offered the request
    std::vector<std::string> excluded_; ///< of these, those that may not be asked again
    unsigned offers_{0};
    std::string target_;
    bool running_{false};
    bool ended_{false};
    std::uint64_t queued_id_{0};
    bool waiting_{false}; ///< for the configuration
    std::shared_ptr<target_exchange> exchange_;
    std::optional<target_answer> answer_;
    message_head head_;
    std::string body_;
    event_splitter splitter_;
};

void serve_call(gateway& owner, incoming_request request, std::shared_ptr<response_writer> writer) {
    std::make_shared<gateway_call>(owner, std::move(request), std::move(writer))->begin();
}

void resume_calls(gateway& owner) {
    auto const open = owner.calls;
    for (auto const& call : open) {
        call->resume();
    }
}

void watch_outages(gateway& owner) {
    auto const at = loop_now(owner.loop);
    for (auto& [service, outage] : owner.outages) {
        if (outage.since) {
            auto const choice = choose_target(owner.targets, service, owner.settings.zone, {},
                                              owner.choice, owner.random, at);
            note_soundness(outage, choice.healthy, at);
        }
    }
}

void admit_calls(gateway& owner) {
    std::vector<std::string> services;
    for (auto const& [service, waiting] : owner.queue.by_service) {
        services.push_back(service);
    }
    auto const at = loop_now(owner.loop);
    for (auto const& service : services) {
        while (auto const id = next_call(owner.queue, service, at)) {
            auto const call = owner.queued.at(*id);
            if (!call->admit()) {
                break;
            }
        }
    }
}

void end_quarantined_calls(gateway& owner) {
    auto const waiting = owner.queued;
    for (auto const& [id, call] : waiting) {
        call->end_if_quarantined();
    }
}

void sweep_calls(gateway& owner) {
    auto const at = loop_now(owner.loop);
    admit_calls(owner);
    for (auto const id : impatient_calls(owner.queue, at)) {
        auto const waiting = owner.queued.find(id);
        if (waiting != owner.queued.end()) {
            auto const call = waiting->second;
            call->lose_patience();
        }
    }
    auto const open = owner.calls;
    for (auto const& call : open) {
        call->sweep(at);
    }
}

} // namespace fireflycrank
