# Starts a small system on loopback whose hosts find each other by bootstrap addresses (`--seeded`).
# Sourced by other scripts of this folder.
#
# Needs $bin, the folder of the programs, and $work and the functions start, wait_for and fail of
# system.sh. Sets $entry1 and $entry2, the arrays keepers and engines, and $seeded_key.

seeded_net=127.${CLAYPLANK_SEEDED_NET:-77.1}
seeded_key=dala-timekeeper-key
keepers=() engines=() bootstrap_addresses=()
for i in 1 2 3; do
    keepers+=(--host "$seeded_net.$i:17402")
    bootstrap_addresses+=("\"$seeded_net.$i:17402\"")
done

# Writes the settings of a host and starts it. Arguments: role, number, listeners as JSON.
seeded_settings() {
    local role=$1 number=$2 listen=$3
    cat >"$work/$role-$number.json" <<EOF
{
  "name": "$role-$number", "role": "$role", "ip": "$seeded_net.$number", "data_centre": "hall-1",
  "listen": { $listen, "inner": "$seeded_net.$number:17403", "metrics": "$seeded_net.$number:17404" },
  "seeds": [$(IFS=,; echo "${bootstrap_addresses[*]}")],
  "is_first_start": true, "data_dir": "$work/seeded-$number", "tolerated_losses": 1,
  "bounds": { "heartbeat_ms": 300 }
}
EOF
    "$bin/clayplank" check --kind seeded "$work/$role-$number.json"
    start "$role-$number" "$bin/clayplankd" --seeded --settings "$work/$role-$number.json"
}

for i in 1 2 3; do
    seeded_settings keeper "$i" "\"control\": \"$seeded_net.$i:17402\""
done
for i in 11 12; do
    seeded_settings entry "$i" "\"callers\": \"$seeded_net.$i:17400\", \"readiness\": \"$seeded_net.$i:17401\""
done
entry1=http://$seeded_net.11:17400 entry2=http://$seeded_net.12:17400

keeper_flags=()
for i in 1 2 3; do keeper_flags+=(--keeper "$seeded_net.$i:17402"); done
for i in 21 22 23; do
    start "pool-engine-$i" "$bin/standin-upstream" --listen "$seeded_net.$i:17405" --id "engine-$i" \
        --service pool --data-centre hall-1 --engine --memory-tokens 150000 "${keeper_flags[@]}"
    engines+=("http://$seeded_net.$i:17405")
done
start app "$bin/standin-upstream" --listen "$seeded_net.31:17405" --id app-31 --service app \
    --data-centre hall-1 "${keeper_flags[@]}"

cat >"$work/plan.json" <<EOF
{
  "version": 1,
  "services": [
    { "name": "app" },
    { "name": "pool", "engine": {
        "slots": 16, "memory_tokens": 150000, "steps_per_event": 46, "step_ms": 0.925,
        "per_sequence_ms": 0.00483, "context_per_1000_tokens_ms": 0.00254,
        "read_tokens_per_s": 256000.0, "per_million_pairs_ms": 0.0917, "chunk_tokens": 2048,
        "hop_ms": 0.1 } }
  ],
  "routes": [
    { "name": "post", "host": "results.example", "path_prefix": "/times/", "kind": "unrepeatable",
      "time_limit_ms": 4000, "goal_ms": 300, "targets": [{ "service": "app", "weight": 1 }] },
    { "name": "prompt", "host": "results.example", "path_prefix": "/ask/", "kind": "resumable_stream",
      "time_limit_ms": 15000, "goal_ms": 3000, "pause_goal_ms": 800, "max_attempts": 2,
      "targets": [{ "service": "pool", "weight": 1 }] }
  ],
  "accounts": [{ "name": "timekeepers", "keys": ["$seeded_key"] }]
}
EOF
"$bin/clayplank" check --kind plan "$work/plan.json"
wait_for "the plan's acknowledgement" "$bin/clayplank" "${keepers[@]}" plan put "$work/plan.json"
for i in 11 12; do
    wait_for "the readiness of entry $i" curl -fsS "http://$seeded_net.$i:17401/health"
done

# Sends a request with the account's key. Arguments: attempt id, URL, further arguments of curl.
seeded_call() {
    curl -fsS -N -H "Host: results.example" -H "Authorization: Bearer $seeded_key" \
        -H "X-Clayplank-Attempt-Id: $1" -H "X-Clayplank-Deadline-Ms: 15000" "${@:2}"
}

# Entry hosts learn of newly registered upstreams with their next exchange with the keepers.
wait_for "a first prompt" seeded_call warm-1 -H "X-Clayplank-Tokens: 1000,46" "$entry1/ask/x" -d x
wait_for "a first post" seeded_call warm-2 "$entry2/times/x" -d x
