# Shared by the scripts of the cases: a small deployment on loopback addresses, started with the commands of the
# deploy file and the settings of its template. To be sourced with bash, in the folder of a case.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
cd "$ROOT" || exit 2
DAEMON=target/release/cornelhitchd
STANDIN=target/review/standin
[ -x $DAEMON ] && [ -x $STANDIN ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
: > "$RECORD"
# A part of the loopback network of its own, and ports of its own, for each run.
NET=127.$((RANDOM % 100 + 100)).$((RANDOM % 250))
PORT=$((RANDOM % 20000 + 12000))
PIDS=""
ALL_ZONES="perth-a:perth-metro bunbury-a:south-west kalgoorlie-a:goldfields"

note() { echo "$(date +%s%3N) script: $*" | tee -a "$RECORD"; }

cleanup() {
    for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap cleanup EXIT

# settings NAME IP ZONE control|entry SEEDS BOOTSTRAP: what deploy/settings.yaml becomes for one process.
settings() {
    local region; region=$(for z in $ALL_ZONES; do [ "${z%%:*}" = "$3" ] && echo "${z##*:}"; done)
    {
        echo "cluster: fleet"; echo "protocol: platform"; echo "trusted-network: true"
        echo "region: $region"; echo "zone: $3"; echo "zones:"
        for z in $ALL_ZONES; do echo "- { name: ${z%%:*}, region: ${z##*:} }"; done
        echo "peers: $2:$PORT"; echo "operators: $2:$((PORT + 1))"; echo "metrics: $2:$((PORT + 4))"
        echo "seeds: [$5]"; echo "bootstrap: $6"; echo "losses: 1"
        if [ "$4" = entry ]; then
            echo "roles: [entry]"; echo "callers: $2:$((PORT + 5))"; echo "ready: $2:$((PORT + 6))"
            echo "directory: $2:$((PORT + 7))"
        else
            echo "roles: [control]"; echo "callers: $2:$((PORT + 2))"; echo "registry: $2:$((PORT + 3))"
            echo "fleet: deploy/fleet.yaml"; echo "data: $WORK/$1.data"; mkdir -p "$WORK/$1.data"
        fi
        echo "serving:"; echo "  isolated: serve"; echo "  max-age-ms: 2000"; echo "  leave-ms: 4500"
        echo "  grace-ms: 8e3"; echo "  strikes: 3"; echo "  quarantine: false"; echo "  retry-ratio: 0.2"
        echo "  retry-slack: 58"; echo "  retry-window-ms: 10e3"
    } > "$WORK/$1.yaml"
}

# daemon NAME: starts a process of the system; sets PID.
daemon() {
    $DAEMON --log-format json --settings "$WORK/$1.yaml" > "$WORK/$1.log" 2>&1 &
    PID=$!; PIDS="$PIDS $PID"
    note "started $1 (process $PID)"
}

# standin ARGUMENTS: starts a stand-in in the background; sets PID.
standin() {
    $STANDIN "$@" >> "$RECORD" 2>&1 &
    PID=$!; PIDS="$PIDS $PID"
}

# three_controls BOOTSTRAP: the settings of three control hosts, one a zone, and SEEDS, their addresses.
three_controls() {
    SEEDS="$NET.1:$((PORT + 3)),$NET.2:$((PORT + 3)),$NET.3:$((PORT + 3))"
    local i=0 z
    for z in $ALL_ZONES; do i=$((i + 1)); settings control-$i $NET.$i "${z%%:*}" control "$SEEDS" "$1"; done
}

# write_config: a small valid configuration with one route, as $WORK/config.json.
write_config() {
    cat > "$WORK/config.json" <<J
{"version":7,"routes":[{"name":"r-a","hostname":"ficu95.example","pathPrefix":"/puxa403/","routeType":"idempotent","timeoutMs":6000,"targetLatencyMs":3000,"priority":1,"service":"wuno96b","attempts":2,"sticky":false,"resumable":false}],"services":[{"name":"wuno96b","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
J
}

# verdict CODE TEXT: ends the script.
verdict() { note "$2"; exit "$1"; }
