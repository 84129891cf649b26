# Starts a small system on loopback whose hosts list each other in their settings. Sourced by other
# scripts of this folder.
#
# Needs $bin, the folder of the programs. Sets $work, $caller1, $caller2, $engine1, $service, $auth,
# $account_key and the arrays operators and host_pids.

base=${CLAYPLANK_PORT:-17300}
step_ms=${CLAYPLANK_STEP_MS:-12}
work=$(mktemp -d)
pids=()
host_pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
}

fail() {
    echo "system: $1" >&2
    tail -n 20 "$work"/*.log >&2
    exit 1
}

echo "== start two engines, a service, the platform's list, three hosts"
engine1=127.0.0.1:$((base + 1)) engine2=127.0.0.1:$((base + 2))
service=127.0.0.1:$((base + 3)) platform=127.0.0.1:$((base + 4))
start engine-1 "$bin/standin-engine" --listen "$engine1" --model base --memory-tokens 150000 --prefill-ms-per-token 0.02 --step-base-ms "$step_ms"
start engine-2 "$bin/standin-engine" --listen "$engine2" --model base --memory-tokens 150000 --prefill-ms-per-token 0.02 --step-base-ms "$step_ms"
start service "$bin/standin-service" --listen "$service"
start platform "$bin/standin-platform" --listen "$platform" --live h1 --live h2 --live h3

operator_key=dala-operator-secret
account_key=dala-timekeeper-secret
operator_digest=$(printf %s "$operator_key" | "$bin/clayplank" digest)
account_digest=$(printf %s "$account_key" | "$bin/clayplank" digest)

for i in 1 2 3; do
    cat >"$work/h$i.json" <<EOF
{
  "host": "h$i",
  "roles": ["entry", "keeper"],
  "data_dir": "$work/data-$i",
  "listen": {
    "callers": "127.0.0.1:$((base + 10 + i))",
    "inner": "127.0.0.1:$((base + 20 + i))",
    "operators": "127.0.0.1:$((base + 30 + i))"
  },
  "hosts": [
    { "host": "h1", "data_centre": "hall-1", "inner": "127.0.0.1:$((base + 21))", "keeper": true },
    { "host": "h2", "data_centre": "hall-2", "inner": "127.0.0.1:$((base + 22))", "keeper": true },
    { "host": "h3", "data_centre": "hall-3", "inner": "127.0.0.1:$((base + 23))", "keeper": true }
  ],
  "platform": { "address": "$platform" },
  "upstreams": [
    { "kind": "engine", "id": "engine-1", "address": "$engine1", "data_centre": "hall-1",
      "pool": "main", "memory_tokens": 150000, "models": ["base"] },
    { "kind": "engine", "id": "engine-2", "address": "$engine2", "data_centre": "hall-1",
      "pool": "main", "memory_tokens": 150000, "models": ["base"] },
    { "kind": "service", "id": "results", "address": "$service", "data_centre": "hall-1", "path_prefix": "/results/" }
  ],
  "operators": [{ "partner": "dala", "name": "dala-ops", "key_sha256": "$operator_digest" }],
  "timing": { "leave_grace_ms": 500 }
}
EOF
    "$bin/clayplank" check "$work/h$i.json"
    start "h$i" "$bin/clayplankd" --settings "$work/h$i.json"
    host_pids+=($!)
done
caller1=http://127.0.0.1:$((base + 11)) caller2=http://127.0.0.1:$((base + 12))
operators=(--host 127.0.0.1:$((base + 31)) --host 127.0.0.1:$((base + 32)) --host 127.0.0.1:$((base + 33)))
export CLAYPLANK_KEY=$operator_key

wait_for() {
    for _ in $(seq 150); do
        "${@:2}" >/dev/null 2>&1 && return
        sleep 0.1
    done
    fail "$1 did not happen"
}
for i in 1 2 3; do
    wait_for "the start of h$i" curl -fsS "http://127.0.0.1:$((base + 10 + i))/health"
done

echo "== set templates and an account"
cat >"$work/short.json" <<'EOF'
{ "priority": "high", "deadline_ms": 10000, "max_output_tokens": 64, "model": "base" }
EOF
cat >"$work/long.json" <<'EOF'
{ "priority": "low", "deadline_ms": 120000, "max_output_tokens": 64, "model": "base" }
EOF
echo "{ \"key_sha256\": \"$account_digest\", \"template\": \"short\", \"share\": 200, \"requests_per_s\": 100000 }" >"$work/account.json"
"$bin/clayplank" "${operators[@]}" template set short "$work/short.json"
"$bin/clayplank" "${operators[@]}" template set long "$work/long.json"
"$bin/clayplank" "${operators[@]}" account set timekeeper "$work/account.json"
auth="Authorization: Bearer $account_key"
wait_for "the account on h1" curl -fsS -H "$auth" "$caller1/v1/models"
wait_for "the account on h2" curl -fsS -H "$auth" "$caller2/v1/models"
# An engine gets no requests before its first load report has arrived.
wait_for "a first answer" curl -fsS -H "$auth" "$caller1/v1/completions" -d '{"prompt": "warm up", "max_tokens": 1}'

