// The lock-step ranks of a stand-in engine: each step begins once every rank's gate is open, as in
// an engine whose ranks exchange tokens within a step.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

struct lockstep_options {
    std::map<unsigned, std::string> gates; // rank to its agent's HTTP address
    unsigned layers{2};
    unsigned experts{8};
    int step_ms{10};
    unsigned hot_steps{100}; // steps until another expert becomes the popular one
};

class lockstep_group {
public:
    explicit lockstep_group(lockstep_options options) : options_{std::move(options)} {
        if (!options_.gates.empty()) {
            worker_ = std::thread{[this] { run(); }};
        }
    }
    ~lockstep_group() {
        stopping_ = true;
        if (worker_.joinable()) {
            worker_.join();
        }
    }
    lockstep_group(lockstep_group const&) = delete;
    lockstep_group& operator=(lockstep_group const&) = delete;

    // POST /v1/group/map: the agent has a rank load or drop a map's weights.
    void take_map(std::string const& body, std::shared_ptr<fireflycrank::http_response> response) {
        auto const call = nlohmann::json::parse(body, nullptr, false);
        if (!call.is_object() ||
            (call.at("load") == true && call.at("layers").size() != options_.layers)) {
            response->send(bad_request_status, {}, "");
            return;
        }
        weights const wanted{call.at("rank"), call.at("map")};
        std::lock_guard const lock{mutex_};
        if (call.at("load") == false) {
            held_.erase(wanted);
            unloaded_at_[wanted] = step_;
            auto const running = running_.find(wanted.first);
            if (running != running_.end() && running->second == wanted.second) {
                unloaded_in_step_.push_back({step_, wanted.first, wanted.second});
            }
        } else if (loads_wait_ && !held_.contains(wanted)) {
            loading_.emplace_back(wanted, std::move(response));
            return;
        } else {
            held_.insert(wanted);
        }
        response->send(ok_status, {}, "");
    }

    // POST /loads with the body "wait" or "go on": lets loads of new weights wait.
    void set_loads(std::string const& body) {
        std::lock_guard const lock{mutex_};
        loads_wait_ = body == "wait";
        if (loads_wait_) {
            return;
        }
        for (auto& [wanted, response] : std::exchange(loading_, {})) {
            held_.insert(wanted);
            response->send(ok_status, {}, "");
        }
    }

    // GET /steps: every step that a rank began, in order.
    std::string steps() {
        std::lock_guard const lock{mutex_};
        return nlohmann::json{{"step", step_.load()},
                              {"begun", begun_},
                              {"not_held", not_held_.size()},
                              {"not_held_steps", not_held_},
                              {"unloaded_in_step", unloaded_in_step_},
                              {"unanswered", unanswered_},
                              {"refused", refused_}}
                   .dump() +
               "\n";
    }

private:
    using weights = std::pair<unsigned, std::uint64_t>; // rank and map
    static constexpr int ok_status = 200;
    static constexpr int bad_request_status = 400;

    nlohmann::json counts(std::uint64_t step) const {
        constexpr unsigned hot_tokens = 64;
        std::vector<unsigned> layer(options_.experts, 4);
        layer[step / options_.hot_steps % options_.experts] = hot_tokens;
        return std::vector<std::vector<unsigned>>(options_.layers, layer);
    }

    // Asks the gate of one rank; true once the rank has begun the step.
    bool begin(unsigned rank, std::string const& gate, std::uint64_t step) {
        fireflycrank::http_client_request request;
        request.method = "POST";
        request.address = gate;
        request.path = "/v1/group/step";
        request.headers = {{"content-type", "application/json"}};
        request.body =
            nlohmann::json{{"rank", rank}, {"step", step}, {"counts", counts(step)}}.dump();
        request.timeout = std::chrono::seconds{2};
        auto const answer = fireflycrank::call_http(request);
        if (!answer) {
            std::lock_guard const lock{mutex_};
            ++unanswered_;
            return false;
        }
        auto const body = nlohmann::json::parse(answer.value().body, nullptr, false);
        std::lock_guard const lock{mutex_};
        if (answer.value().status != ok_status || !body.is_object()) {
            ++refused_;
            return false;
        }
        if (body.at("run") != true) {
            return false;
        }
        std::uint64_t const map = body.at("map");
        if (!held_.contains({rank, map})) {
            auto const unloaded = unloaded_at_.find({rank, map});
            not_held_.push_back({{"step", step},
                                 {"rank", rank},
                                 {"map", map},
                                 {"unloaded_at", unloaded == unloaded_at_.end()
                                                     ? nlohmann::json{}
                                                     : nlohmann::json(unloaded->second)}});
        }
        begun_.push_back({step, rank, map});
        running_[rank] = map;
        return true;
    }

    void run() {
        constexpr std::chrono::milliseconds poll{2};
        while (!stopping_) {
            std::map<unsigned, std::string> waiting = options_.gates;
            while (!waiting.empty() && !stopping_) {
                std::erase_if(waiting, [&](auto const& rank) {
                    return begin(rank.first, rank.second, step_);
                });
                if (!waiting.empty()) {
                    std::this_thread::sleep_for(poll);
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{options_.step_ms});
            std::lock_guard const lock{mutex_};
            running_.clear();
            ++step_;
        }
    }

    lockstep_options options_;
    std::mutex mutex_;
    std::set<weights> held_;
    bool loads_wait_{false};
    std::vector<std::pair<weights, std::shared_ptr<fireflycrank::http_response>>> loading_;
    std::vector<std::vector<std::uint64_t>> begun_; // step, rank, map
    std::atomic<std::uint64_t> step_{0};
    std::map<unsigned, std::uint64_t> running_;    // map of the step that a rank runs, by rank
    std::map<weights, std::uint64_t> unloaded_at_; // step at the last unload
    // Steps under a map whose weights the rank did not hold; "unloaded_at" is null without an
    // unload.
    std::vector<nlohmann::json> not_held_;
    // Step, rank and map of unloads that arrived while the rank ran a step under that map.
    std::vector<std::vector<std::uint64_t>> unloaded_in_step_;
    std::uint64_t unanswered_{0}; // requests to a gate that got no answer
    std::uint64_t refused_{0};    // answers that were neither "run" nor "wait"
    std::atomic<bool> stopping_{false};
    std::thread worker_;
};

} // namespace standin
