#!/bin/bash
# Installs, builds, and runs a small system on loopback: three control replicas, two entries, three
# agents with stand-in engines. Sends one plain, one streamed and one non-idempotent request, prints
# the answers and their stories from the logs, and stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
bin=$PWD/build
run=$PWD/.quickstart
rm -rf "$run"
mkdir -p "$run/log"
pids=()

stop_limit_s=20 # an entry drains for 10 s at the longest here

# Ends whatever is still there after the limit, so that the script always ends with a verdict.
end_late_processes() {
    for _ in $(seq "$stop_limit_s"); do sleep 1; done
    for pid in "${pids[@]}"; do
        if kill -KILL "$pid" 2>/dev/null; then echo "process $pid did not stop within $stop_limit_s s" >&2; fi
    done
}

stop_all() {
    local verdict=$? pid
    # Agents and entries drain first, so that the control majority is there to the last.
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    end_late_processes &
    local watch=$!
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || [ $? -ne 137 ] || verdict=1
    done
    kill "$watch" 2>/dev/null || true
    exit "$verdict"
}
trap stop_all EXIT

control='"control": {
    "c1": {"mailbox": "127.0.0.1:17001", "http": "127.0.0.1:18001"},
    "c2": {"mailbox": "127.0.0.1:17002", "http": "127.0.0.1:18002"},
    "c3": {"mailbox": "127.0.0.1:17003", "http": "127.0.0.1:18003"}}'
zones=(kumamoto-a yatsushiro-b aso-c)

# start PROGRAM NAME ZONE MAILBOX HTTP EXTRA: writes the settings of one process and starts it.
start() {
    mkdir -p "$run/$2"
    cat > "$run/$2/10-process.json" <<JSON
{"name": "$2", "zone": "$3", "mailbox": "127.0.0.1:$4", "http": "127.0.0.1:$5",
 "seeds": ["127.0.0.1:17011", "127.0.0.1:17012"], "log_file": "$run/log/$2.log", $6 $control}
JSON
    "$bin/$1" --settings "$run/$2" 2> "$run/log/$2.err" &
    pids+=($!)
}

start_engine() {
    "$bin/standin-engine" --name "$1" --address "127.0.0.1:$2" 2> "$run/log/$1.err" &
    pids+=($!)
}

# wait_for URL TEXT: polls until the answer holds the text; gives up after 30 s.
wait_for() {
    for _ in $(seq 300); do
        if curl -s -m 2 "$1" | grep -q "$2"; then return 0; fi
        sleep 0.1
    done
    echo "no \"$2\" from $1 within 30 s; see $run/log" >&2
    exit 1
}

start_engine engine-1 19001
start_engine engine-2 19002
start_engine desk-1 19003
for n in 1 2 3; do
    start fireflycrank-control "c$n" "${zones[n-1]}" "1700$n" "1800$n" "\"data_folder\": \"$run/data-c$n\","
done
for n in 1 2; do
    start fireflycrank-entry "entry-$n" "${zones[n-1]}" "1701$n" "1801$n" ""
    start fireflycrank-agent "runner-$n" "${zones[n-1]}" "1702$n" "1802$n" \
        "\"target\": {\"engine\": \"127.0.0.1:1900$n\", \"serves\": [\"fude-model@7\"]},"
done
start fireflycrank-agent desk-1 aso-c 17023 18023 \
    '"target": {"engine": "127.0.0.1:19003", "serves": ["order-desk"]},'

controls=127.0.0.1:18001,127.0.0.1:18002,127.0.0.1:18003
wait_for http://127.0.0.1:18001/v1/status '"leader":"c'
echo "== apply the operators' folder"
"$bin/fireflycrank" apply examples/kumamoto --control "$controls" --operator quickstart --wait 16
wait_for http://127.0.0.1:18011/healthz serving
wait_for http://127.0.0.1:18012/healthz serving
wait_for http://127.0.0.1:18011/metrics 'fireflycrank_targets 3'

entry=127.0.0.1:18011
echo "== which addresses to use"
curl -s -m 5 "http://$entry/v1/addresses"
echo "== a plain request"
curl -s -m 30 -D "$run/plain" "http://$entry/v1/routes/kanji" -d '{"prompt": "How is this read?", "max_tokens": 8}'
echo "== a streamed request"
curl -sN -m 30 -D "$run/stream" "http://$entry/v1/routes/draft" -d '{"prompt": "A short inscription", "max_tokens": 4, "stream": true}'
echo "== an order, sent twice through two entries: it runs once"
curl -s -m 30 -D "$run/order" "http://$entry/v1/routes/commission" -d '{"order": "brush-1", "item": "scroll"}'
curl -s -m 30 "http://127.0.0.1:18012/v1/routes/commission" -d '{"order": "brush-1", "item": "scroll"}'
echo "== decision log lines"
sleep 1.2
for answer in plain stream order; do
    id=$(tr -d '\r' < "$run/$answer" | sed -n 's/^[xX]-[rR]equest-[iI]d: //p')
    "$bin/fireflycrank" explain "$id" "$run"/log/*.log | tee "$run/story-$answer"
    # Both sides of the path have to be in the story.
    grep -q ' entry-1 ' "$run/story-$answer" && grep -qE ' (runner-[12]|desk-1) ' "$run/story-$answer" ||
        { echo "the story of $id lacks its entry or its agent" >&2; exit 1; }
done
runs=$(curl -s -m 5 http://127.0.0.1:19003/runs)
echo "== runs at the service: $runs"
echo "$runs" | grep -q '}":1}' || { echo "the order did not run exactly once" >&2; exit 1; }
echo "== stop"
